"""How far each training step was from the earliest end that its engines allowed, and why.

The bound is worked out from a day's log lines: the items' true lengths, the engines that ran any,
the slots that were in use at once, and the pace of the faster half of them. All items go to free
slots, the longest of a step first; versions, the coordinator and the store cost nothing. A step's
lag is what it took beyond that, until as many items were listed as trainers usually wait for.
"""

from __future__ import annotations

import heapq
import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from runkeel_lab.step_times import MOST_LISTED, ItemRun, StepTimes, collect_steps

LEAST_EVENTS = 8
"""Runs of fewer events say little of an engine's pace: their prompt weighs too much."""


@dataclass(frozen=True, slots=True)
class StepLag:
    """One step against its bound; seconds.

    Attributes:
        bound: from the acceptance to the earliest end of so many items.
        took: from the acceptance until so many were listed; None: they never were.
        waited: until the deciding item first ran: room, versions, the coordinator.
        repeated: for events of it that were made more than once.
        slow: for its other runs beyond the usual pace: slow engines, loads of versions.
        between: between its runs.
        listing: from its last run's end until it was listed.
    """

    step: int
    model: str
    bound: float
    took: float | None
    waited: float = 0.0
    repeated: float = 0.0
    slow: float = 0.0
    between: float = 0.0
    listing: float = 0.0

    @property
    def lag(self) -> float:
        """What the step took beyond the bound; 0 if it was never listed so far."""
        return 0.0 if self.took is None else max(0.0, self.took - self.bound)


def step_lags(lines: Iterable[dict[str, Any]]) -> list[StepLag]:
    """Return the lag of each step that the lines tell of, in order of acceptance."""
    steps = [step for step in collect_steps(lines) if step.runs]
    pace = _pace(steps)
    slots = _slots(steps)
    if not steps or not slots or not pace:
        return []
    free_at = [steps[0].accepted] * slots
    heapq.heapify(free_at)
    return [_lag(step, pace, free_at) for step in steps]


def format_lags(lags: list[StepLag]) -> str:
    """Return a table of the lags and their sum by cause."""
    if not lags:
        return "no step with runs in these lines"
    shown = ["step model           bound   took    lag | waited repeated slow between listing"]
    shown.extend(_format(lag) for lag in lags)
    listed = [lag for lag in lags if lag.took is not None]
    bound, total = sum(lag.bound for lag in listed), sum(lag.lag for lag in listed)
    share = 100 * total / bound if bound else 0.0
    shown.append(
        f"{len(listed)} of {len(lags)} steps listed; "
        f"lag {total:.1f} s, {share:.0f}% above the bound"
    )
    return "\n".join(shown)


def _format(lag: StepLag) -> str:
    took = "-" if lag.took is None else f"{lag.took:.2f}"
    causes = (lag.waited, lag.repeated, lag.slow, lag.between, lag.listing)
    told = " ".join(f"{cause:7.2f}" for cause in causes)
    return f"{lag.step:>4} {lag.model:<12} {lag.bound:8.2f} {took:>6} {lag.lag:6.2f} | {told}"


def _lag(step: StepTimes, pace: float, free_at: list[float]) -> StepLag:
    items = _runs_by_item(step)
    lengths = sorted((_length(runs) * pace for runs in items.values()), reverse=True)
    ends = []
    for seconds in lengths:
        end = max(heapq.heappop(free_at), step.accepted) + seconds
        heapq.heappush(free_at, end)
        ends.append(end)
    wanted = max(1, int(MOST_LISTED * len(ends)))
    bound = sorted(ends)[wanted - 1] - step.accepted
    listed_at = step.listed_share(MOST_LISTED)
    if listed_at is None:
        return StepLag(step.step, step.model, bound, None)
    deciding = sorted(items.values(), key=lambda runs: runs[-1].ended)[wanted - 1]
    return _with_causes(step, deciding, bound, listed_at, pace)


def _with_causes(
    step: StepTimes, runs: list[ItemRun], bound: float, listed_at: float, pace: float
) -> StepLag:
    made = sum(run.events for run in runs)
    ran = sum(run.ended - run.began for run in runs)
    between = runs[-1].ended - runs[0].began - ran
    repeated = max(0, made - _length(runs)) * pace
    return StepLag(
        step.step,
        step.model,
        bound,
        listed_at - step.accepted,
        waited=max(0.0, runs[0].began - step.accepted),
        repeated=repeated,
        slow=max(0.0, ran - made * pace),
        between=max(0.0, between),
        listing=max(0.0, listed_at - runs[-1].ended),
    )


def _runs_by_item(step: StepTimes) -> dict[str, list[ItemRun]]:
    items: dict[str, list[ItemRun]] = {}
    for run in sorted(step.runs, key=lambda run: run.began):
        items.setdefault(run.item_id, []).append(run)
    return items


def _length(runs: list[ItemRun]) -> int:
    """Return the events of an item's text, as far as any of its runs came."""
    return max(_first_event(run) + run.events for run in runs)


def _first_event(run: ItemRun) -> int:
    return int(run.resumed_after) if run.resumed_after.isdigit() else 0


def _pace(steps: list[StepTimes]) -> float:
    """Return the seconds per event of the faster half of the engines."""
    by_engine: dict[str, list[float]] = {}
    for step in steps:
        for run in step.runs:
            if run.events >= LEAST_EVENTS and run.outcome == "complete":
                by_engine.setdefault(run.backend, []).append((run.ended - run.began) / run.events)
    paces = sorted(statistics.median(paces) for paces in by_engine.values())
    return statistics.median(paces[: max(1, len(paces) // 2)]) if paces else 0.0


def _slots(steps: list[StepTimes]) -> int:
    """Return how many slots the engines have: the most that ran at each at once."""
    changes: dict[str, list[tuple[float, int]]] = {}
    for step in steps:
        for run in step.runs:
            changes.setdefault(run.backend, []).extend([(run.began, 1), (run.ended, -1)])
    most = []
    for of_engine in changes.values():
        running = highest = 0
        for _, change in sorted(of_engine):
            running += change
            highest = max(highest, running)
        most.append(highest)
    return len(most) * max(most, default=0)
