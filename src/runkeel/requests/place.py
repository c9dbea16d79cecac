"""Placement at the entry: which owner node gets a request.

Power of two choices on the owners' summaries (Mitzenmacher, "The Power of Two Choices in Randomized
Load Balancing", 2001), the entry's own zone first while it has a free slot. The summaries are up to
a second old, those of other zones several; what this entry has itself sent and seen end since is
added to them. Without that, a whole zone's callers would queue behind full slots, or all leave for
the same other owner, until the next summary.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass

from runkeel.api.interfaces import MachineView, Membership, Ownership
from runkeel.api.machines import PoolSummary
from runkeel.requests.backend_choice import PoolId
from runkeel.requests.baselines import Baseline

OVERFLOW_MARGIN_MS = 20
"""Of full zones another is chosen when it would save at least so much waiting."""

SPARE_SUMMARIES = 16
"""Remembered summaries of owners that are gone, at most as many more as there are owners."""

SPARE_LOAD = 0.75
"""An owner with less of its slots taken or waited for has room for a hedge."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    node_id: str
    in_zone: bool
    load: float
    wait_ms: float
    slots: int


@dataclass(frozen=True, slots=True)
class _Seen:
    """An owner's latest summary, and the entry's own count when it was first looked at."""

    sequence: int
    outstanding: int


class Placement:
    """Chooses owners, and counts what this entry has under way at each."""

    def __init__(
        self,
        membership: Membership,
        machines: MachineView,
        ownership: Ownership,
        generator: random.Random | None = None,
        baseline: Baseline | None = None,
    ) -> None:
        self._membership = membership
        self._machines = machines
        self._ownership = ownership
        self._random = generator or random.Random()
        self._baseline = baseline
        self._outstanding: dict[tuple[str, str], int] = {}
        self._seen: dict[str, dict[str, _Seen]] = {}

    def choose(
        self,
        pool: PoolId,
        exclude: Collection[str] = (),
        minimum_version: int = 0,
        is_rollout: bool = False,
    ) -> str | None:
        """Return the node id of an owner of the pool, or None when no live node owns one.

        The projected wait of the summaries is a caller's; rollouts queue behind callers. They go
        to the owner of least load, wherever it is: to them slots count, not the way there.
        """
        candidates = self._candidates(pool, exclude, minimum_version)
        if not candidates:
            return self._choose_by_ownership(pool, exclude)
        if is_rollout:
            return min(candidates, key=lambda each: (each.load, self._random.random())).node_id
        if self._baseline is not None:
            return self._choose_by_baseline(self._baseline, pool, candidates)
        near = [candidate for candidate in candidates if candidate.in_zone]
        far = [candidate for candidate in candidates if not candidate.in_zone]
        chosen = self._best_of_two(_with_free_slot(near)) or self._best_of_two(_with_free_slot(far))
        return (chosen or self._shortest_wait(near, far)).node_id

    def choose_spare(self, pool: PoolId, exclude: Collection[str] = ()) -> str | None:
        """Return an owner with room to spare, or None: extra copies must not add to an overload."""
        spare = [
            candidate
            for candidate in self._candidates(pool, exclude, minimum_version=0)
            if candidate.load < SPARE_LOAD
        ]
        if spare and self._baseline is not None:
            return self._choose_by_baseline(self._baseline, pool, spare)
        best = self._best_of_two(spare)
        return best.node_id if best is not None else None

    def sent(self, pool: PoolId, node_id: str) -> None:
        """Count an attempt under way."""
        key = (pool.name, node_id)
        self._outstanding[key] = self._outstanding.get(key, 0) + 1

    def ended(self, pool: PoolId, node_id: str) -> None:
        """End what :meth:`sent` began."""
        key = (pool.name, node_id)
        left = self._outstanding[key] - 1
        if left:
            self._outstanding[key] = left
        else:
            del self._outstanding[key]

    def _candidates(
        self, pool: PoolId, exclude: Collection[str], minimum_version: int
    ) -> list[_Candidate]:
        summaries = self._membership.pool_summaries(pool.name)
        self._forget_old(pool, summaries)
        return [
            self._candidate(pool, summary)
            for summary in summaries
            if summary.slots > 0
            and summary.node_id not in exclude
            and summary.maximum_version >= minimum_version
            and self._membership.is_live(summary.node_id)
        ]

    def _candidate(self, pool: PoolId, summary: PoolSummary) -> _Candidate:
        outstanding = self._outstanding.get((pool.name, summary.node_id), 0)
        sent_since = outstanding - self._outstanding_at(pool, summary, outstanding)
        busy = max(summary.in_flight + summary.queued + sent_since, outstanding)
        member = self._membership.member(summary.node_id)
        in_zone = member is not None and member.zone == self._membership.zone
        load = busy / summary.slots
        return _Candidate(summary.node_id, in_zone, load, summary.projected_wait_ms, summary.slots)

    def _outstanding_at(self, pool: PoolId, summary: PoolSummary, outstanding: int) -> int:
        """Return this entry's count at the owner when the summary was first looked at."""
        seen = self._seen[pool.name].get(summary.node_id)
        if seen is None or seen.sequence != summary.sequence:
            seen = self._seen[pool.name][summary.node_id] = _Seen(summary.sequence, outstanding)
        return seen.outstanding

    def _forget_old(self, pool: PoolId, summaries: Collection[PoolSummary]) -> None:
        seen = self._seen.setdefault(pool.name, {})
        if len(seen) > len(summaries) + SPARE_SUMMARIES:
            owners = {summary.node_id for summary in summaries}
            self._seen[pool.name] = {key: each for key, each in seen.items() if key in owners}

    def _shortest_wait(self, near: list[_Candidate], far: list[_Candidate]) -> _Candidate:
        """Return the better of the full owners."""
        best_near = self._best_of_two(near)
        best_far = self._best_of_two(far)
        if best_near is None or best_far is None:
            return best_near or best_far
        saved_ms = best_near.wait_ms - best_far.wait_ms
        return best_far if saved_ms > OVERFLOW_MARGIN_MS else best_near

    def _best_of_two(self, candidates: list[_Candidate]) -> _Candidate | None:
        if not candidates:
            return None
        if len(candidates) > 2:
            weights = [candidate.slots for candidate in candidates]
            candidates = self._random.choices(candidates, weights, k=2)
        elif len(candidates) == 2 and self._random.random() < 0.5:
            candidates = candidates[::-1]
        return min(candidates, key=lambda candidate: (candidate.load, candidate.wait_ms))

    def _choose_by_baseline(
        self, baseline: Baseline, pool: PoolId, candidates: list[_Candidate]
    ) -> str:
        return baseline.choose(pool, {each.node_id: each.slots for each in candidates})

    def _choose_by_ownership(self, pool: PoolId, exclude: Collection[str]) -> str | None:
        """Fall back to the ownership rule while no summary is known, as after a start."""
        owners = {
            self._ownership.owner_of(machine.machine_id)
            for machine in self._machines.machines(pool.kind, pool.name)
            if not self._machines.is_leaving(machine.machine_id)
        }
        live = sorted(
            owner
            for owner in owners
            if owner is not None and owner not in exclude and self._membership.is_live(owner)
        )
        return self._random.choice(live) if live else None


def _with_free_slot(candidates: list[_Candidate]) -> list[_Candidate]:
    return [candidate for candidate in candidates if candidate.load < 1]
