"""Tuning of the record service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecordOptions:
    """Bounds and intervals; times in seconds, sizes in bytes.

    Attributes:
        groups: number of replica groups that the keys are spread over; the same on all nodes.
        expected_zones: zones that formation waits for; empty to wait ``formation_wait_seconds``.
        max_members: largest replica group.
        retention_seconds: how long a record is kept; see docs/design/records.md.
        max_records: records that one replica holds.
        max_bytes: keys and values that one replica holds.
        call_timeout_seconds: wait for one replica's answer.
        backoff_seconds: upper bound of the first random wait after a duel; doubles up to
            ``max_backoff_seconds``.
        fast_ballots: whether a first attempt asks for every member's vote in one round trip.
        fast_wait_seconds: wait for all members' votes before the usual two round trips.
        fast_pause_seconds: no fast ballots for so long after a member did not answer one.
        max_calls: calls in flight from one node's proposers.
        max_cached_values: decided values that a proposer remembers.
        recovery_page_bytes: size of one page of state sent to a recovering replica.
        step_interval_seconds: how often a group is looked after.
        formation_wait_seconds: wait for the other zones before a group is created.
        cover_after_seconds: how long a zone with live nodes is left without a replica.
        replace_after_seconds: how long a member must be dead before it is replaced.
        abandon_after_seconds: how long a member must be dead before its state counts as lost.
        loss_rounds: consecutive observations of a lost majority before a group is formed anew.
        departure_interval_seconds: how often a member that wants to stop asks the others.
        store_timeout_seconds: wait for one write to the object API.
    """

    groups: int = 1
    expected_zones: tuple[str, ...] = ()
    max_members: int = 7
    retention_seconds: float = 900.0
    max_records: int = 200_000
    max_bytes: int = 64 * 1024 * 1024
    max_key_bytes: int = 512
    max_value_bytes: int = 256 * 1024
    call_timeout_seconds: float = 1.0
    backoff_seconds: float = 0.01
    max_backoff_seconds: float = 0.2
    fast_ballots: bool = True
    fast_wait_seconds: float = 0.05
    fast_pause_seconds: float = 2.0
    max_calls: int = 4_096
    max_cached_values: int = 10_000
    recovery_page_bytes: int = 128 * 1024
    step_interval_seconds: float = 0.2
    formation_wait_seconds: float = 2.0
    cover_after_seconds: float = 2.0
    replace_after_seconds: float = 20.0
    abandon_after_seconds: float = 600.0
    loss_rounds: int = 5
    departure_interval_seconds: float = 0.1
    store_timeout_seconds: float = 2.0
