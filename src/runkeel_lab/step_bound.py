"""Lag of each training step behind a lower bound of its duration, by cause.

The bound is computed from log lines: the lengths of the items, the engines that ran items, their
peak number of slots in use, and the time per event of the faster half of the engines. Items are
placed on free slots, longest first within a step; version loads, the coordinator and the store are
assumed to take no time. A step lasts until ``AWAITED_SHARE`` of its items are listed; its lag is
the time beyond the bound.
"""

from __future__ import annotations

import heapq
import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from runkeel_lab.step_times import AWAITED_SHARE, ItemRun, StepTimes, collect_steps

MIN_EVENTS = 8
"""Shorter runs are ignored for the time per event, since the prompt dominates them."""


@dataclass(frozen=True, slots=True)
class StepLag:
    """Duration of one step compared with its bound; times in seconds.

    The deciding item is the one whose end completes the share ``AWAITED_SHARE``.

    Attributes:
        bound: lower bound of the time from acceptance until the share has ended.
        took: time from acceptance until the share was listed; None if it never was.
        waited: time until the first run of the deciding item, for lack of a slot, a weight
            version or a coordinator.
        repeated: time for its events that were generated more than once.
        slow: time of its runs beyond the usual time per event.
        between: time between its runs.
        listing: time from the end of its last run until it was listed.
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
        """Time in seconds beyond the bound; 0 if the share was never listed."""
        return 0.0 if self.took is None else max(0.0, self.took - self.bound)


def step_lags(lines: Iterable[dict[str, Any]]) -> list[StepLag]:
    """Return the lag of each step in the log lines, in order of acceptance."""
    steps = [step for step in collect_steps(lines) if step.runs]
    seconds_per_event = _seconds_per_event(steps)
    slots = _slot_count(steps)
    if not steps or not slots or not seconds_per_event:
        return []
    free_at = [steps[0].accepted] * slots
    heapq.heapify(free_at)
    return [_lag(step, seconds_per_event, free_at) for step in steps]


def format_lags(lags: list[StepLag]) -> str:
    """Return a table of the lags by cause, and their total."""
    if not lags:
        return "no step with runs in these lines"
    rows = ["step model           bound   took    lag | waited repeated slow between listing"]
    rows.extend(_format(lag) for lag in lags)
    listed = [lag for lag in lags if lag.took is not None]
    bound, total = sum(lag.bound for lag in listed), sum(lag.lag for lag in listed)
    share = 100 * total / bound if bound else 0.0
    rows.append(
        f"{len(listed)} of {len(lags)} steps listed; "
        f"lag {total:.1f} s, {share:.0f}% above the bound"
    )
    return "\n".join(rows)


def _format(lag: StepLag) -> str:
    took = "-" if lag.took is None else f"{lag.took:.2f}"
    causes = (lag.waited, lag.repeated, lag.slow, lag.between, lag.listing)
    cells = " ".join(f"{cause:7.2f}" for cause in causes)
    return f"{lag.step:>4} {lag.model:<12} {lag.bound:8.2f} {took:>6} {lag.lag:6.2f} | {cells}"


def _lag(step: StepTimes, seconds_per_event: float, free_at: list[float]) -> StepLag:
    items = _runs_by_item(step)
    durations = sorted(
        (_event_count(runs) * seconds_per_event for runs in items.values()), reverse=True
    )
    ends = []
    for seconds in durations:
        end = max(heapq.heappop(free_at), step.accepted) + seconds
        heapq.heappush(free_at, end)
        ends.append(end)
    wanted = max(1, int(AWAITED_SHARE * len(ends)))
    bound = sorted(ends)[wanted - 1] - step.accepted
    listed_at = step.time_of_listed_share(AWAITED_SHARE)
    if listed_at is None:
        return StepLag(step.step, step.model, bound, None)
    deciding = sorted(items.values(), key=lambda runs: runs[-1].ended)[wanted - 1]
    return _with_causes(step, deciding, bound, listed_at, seconds_per_event)


def _with_causes(
    step: StepTimes, runs: list[ItemRun], bound: float, listed_at: float, seconds_per_event: float
) -> StepLag:
    generated = sum(run.events for run in runs)
    run_seconds = sum(run.ended - run.began for run in runs)
    between = runs[-1].ended - runs[0].began - run_seconds
    repeated = max(0, generated - _event_count(runs)) * seconds_per_event
    return StepLag(
        step.step,
        step.model,
        bound,
        listed_at - step.accepted,
        waited=max(0.0, runs[0].began - step.accepted),
        repeated=repeated,
        slow=max(0.0, run_seconds - generated * seconds_per_event),
        between=max(0.0, between),
        listing=max(0.0, listed_at - runs[-1].ended),
    )


def _runs_by_item(step: StepTimes) -> dict[str, list[ItemRun]]:
    items: dict[str, list[ItemRun]] = {}
    for run in sorted(step.runs, key=lambda run: run.began):
        items.setdefault(run.item_id, []).append(run)
    return items


def _event_count(runs: list[ItemRun]) -> int:
    """Return the number of events of an item's output, up to the furthest of its runs."""
    return max(_resume_offset(run) + run.events for run in runs)


def _resume_offset(run: ItemRun) -> int:
    return int(run.resumed_after) if run.resumed_after.isdigit() else 0


def _seconds_per_event(steps: list[StepTimes]) -> float:
    """Return the median seconds per event of the faster half of the engines."""
    by_engine: dict[str, list[float]] = {}
    for step in steps:
        for run in step.runs:
            if run.events >= MIN_EVENTS and run.outcome == "complete":
                by_engine.setdefault(run.backend, []).append((run.ended - run.began) / run.events)
    samples = sorted(statistics.median(samples) for samples in by_engine.values())
    return statistics.median(samples[: max(1, len(samples) // 2)]) if samples else 0.0


def _slot_count(steps: list[StepTimes]) -> int:
    """Return the estimated total of slots: engines times the peak of concurrent runs of any."""
    changes: dict[str, list[tuple[float, int]]] = {}
    for step in steps:
        for run in step.runs:
            changes.setdefault(run.backend, []).extend([(run.began, 1), (run.ended, -1)])
    peaks = []
    for of_engine in changes.values():
        running = peak = 0
        for _, change in sorted(of_engine):
            running += change
            peak = max(peak, running)
        peaks.append(peak)
    return len(peaks) * max(peaks, default=0)
