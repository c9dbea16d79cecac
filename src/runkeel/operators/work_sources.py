"""Tables of what a node answers for: open steps, claimed requests, record groups."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from runkeel.operators.sources import QuerySources, Row

STEP_COLUMNS = (
    "step",
    "model",
    "owner",
    "tasks",
    "running",
    "ready",
    "undelivered",
    "confirmed_cursors",
    "trainer_version",
    "finished",
    "opened_ms_ago",
    "used_ms_ago",
)
RECORD_GROUP_COLUMNS = (
    "group",
    "node",
    "phase",
    "epoch",
    "members",
    "records",
    "bytes",
    "refuses_ms",
    "leaving",
)
CLAIM_COLUMNS = ("request", "owner", "state", "error", "claimed_ms_ago")


class _StepKey(Protocol):
    model: str
    step_id: str


class _Task(Protocol):
    running: list[Any]
    ready: bool


class OpenStep(Protocol):
    """What is read of a step; times are of the monotonic clock, in s."""

    key: _StepKey
    tasks: Mapping[str, _Task]
    trainer_version: int
    confirmed_cursors: int
    finished: bool
    submitted_at: float
    last_used_at: float

    def undelivered_count(self) -> int:
        """Return how many tasks were not handed over yet."""


class RecordGroup(Protocol):
    """What is read of a node's part in a record group."""

    group: str
    phase: str
    epoch: int
    members: tuple[str, ...]
    records: int
    bytes: int
    refuses_seconds: float
    leaving: bool


class ClaimedRequest(Protocol):
    """What is read of a claimed request; ``done`` is set once its outcome is known."""

    started: float
    done: Any
    error: Exception | None


def register_steps(
    sources: QuerySources, node_id: str, steps: Callable[[], Iterable[OpenStep]]
) -> None:
    """Add the table of the steps that each node owns."""

    def rows() -> list[Row]:
        return [_step_row(node_id, step) for step in steps()]

    sources.add("steps", STEP_COLUMNS, rows, everywhere=True)


def register_claims(
    sources: QuerySources, node_id: str, claims: Callable[[], Iterable[tuple[str, ClaimedRequest]]]
) -> None:
    """Add the table of the requests that each node has claimed lately."""

    def rows() -> list[Row]:
        return [_claim_row(node_id, request_id, claim) for request_id, claim in claims()]

    sources.add("claims", CLAIM_COLUMNS, rows, everywhere=True)


def register_record_groups(
    sources: QuerySources, node_id: str, groups: Callable[[], Iterable[RecordGroup]]
) -> None:
    """Add the table of the record groups, as each node takes part in them."""

    def rows() -> list[Row]:
        return [_record_group_row(node_id, group) for group in groups()]

    sources.add("record_groups", RECORD_GROUP_COLUMNS, rows, everywhere=True)


def _record_group_row(node_id: str, group: RecordGroup) -> Row:
    return (
        group.group,
        node_id,
        str(group.phase),
        group.epoch,
        " ".join(group.members),
        group.records,
        group.bytes,
        math.ceil(group.refuses_seconds * 1000),
        group.leaving,
    )


def _step_row(node_id: str, step: OpenStep) -> Row:
    tasks = step.tasks.values()
    return (
        step.key.step_id,
        step.key.model,
        node_id,
        len(tasks),
        sum(bool(task.running) for task in tasks),
        sum(task.ready for task in tasks),
        step.undelivered_count(),
        step.confirmed_cursors,
        step.trainer_version,
        step.finished,
        _milliseconds_since(step.submitted_at),
        _milliseconds_since(step.last_used_at),
    )


def _claim_row(node_id: str, request_id: str, claim: ClaimedRequest) -> Row:
    state = "running"
    if claim.done.is_set():
        state = "failed" if claim.error is not None else "answered"
    error = str(claim.error) if claim.error is not None else None
    return (request_id, node_id, state, error, _milliseconds_since(claim.started))


def _milliseconds_since(moment: float) -> int:
    return int((time.monotonic() - moment) * 1000)
