"""Breakdown of the time of each training step, from the nodes' log lines.

A step is one batch job. Its stages are: accepted, first runs of the items start, runs end, results
are listed, ended by the trainer. The runs of the items that ended last show what delayed the step.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

AWAITED_SHARE = 0.9
"""Share of the items that trainers usually wait for."""

MARK_CODES = (
    "version_named",
    "engine_version",
    "coordinator_gained",
    "order_lease",
    "store_lost",
    "store_regained",
)
_MARK_FIELDS = ("version", "model", "backend", "ms", "reason", "orders_in_ms", "kind")


@dataclass(frozen=True, slots=True)
class ItemRun:
    """One run of an item at an engine; times in seconds since the epoch."""

    item_id: str
    began: float
    ended: float
    backend: str
    outcome: str
    events: int
    resumed_after: str


@dataclass(slots=True)
class StepTimes:
    """Times of one step in seconds since the epoch; None if not in the log lines."""

    job_id: str
    model: str
    step: int
    accepted: float
    items: int
    runs: list[ItemRun] = field(default_factory=list)
    listed: list[tuple[float, int]] = field(default_factory=list)
    ended: float | None = None

    def time_of_listed_share(self, share: float) -> float | None:
        """Return the time at which a share of the items was listed, or None."""
        return next((at for at, count in self.listed if count >= share * self.items), None)

    def last_items(self, count: int) -> list[list[ItemRun]]:
        """Return the runs of the ``count`` items that ended last, latest first."""
        by_item: dict[str, list[ItemRun]] = {}
        for run in self.runs:
            by_item.setdefault(run.item_id, []).append(run)
        ordered = sorted(by_item.values(), key=lambda runs: -max(run.ended for run in runs))
        return [sorted(runs, key=lambda run: run.began) for runs in ordered[:count]]


def collect_steps(lines: Iterable[dict[str, Any]]) -> list[StepTimes]:
    """Return the steps in the log lines, in order of acceptance."""
    steps: dict[str, StepTimes] = {}
    for line in lines:
        job_id, code = line.get("job"), line["code"]
        if code == "job_accepted":
            step = StepTimes(job_id, line["model"], line["step"], line["time"], line["items"])
            steps.setdefault(job_id, step)
            continue
        step = steps.get(job_id)
        if step is None:
            continue
        if code == "item_run":
            step.runs.append(_item_run(line))
        elif code == "results_listed" and line["own"]:
            step.listed.append((line["time"], line["listed"]))
        elif code == "job_end" and step.ended is None:
            step.ended = line["time"]
    return sorted(steps.values(), key=lambda step: step.accepted)


def format_steps(lines: list[dict[str, Any]], last_items: int = 3) -> str:
    """Return a table of the steps with their last items, followed by the marks."""
    steps = collect_steps(lines)
    if not steps:
        return "no step in these lines"
    start = steps[0].accepted
    rows = [
        "step model        accepted | began first  half  last | last run ends"
        " | listed 90%   all | ended | outcomes"
    ]
    for step in steps:
        rows.append(_format_step(step, start))
        for runs in step.last_items(last_items):
            rows.append(f"       {runs[0].item_id} {_format_runs(runs, step.accepted)}")
    rows.extend(_format_mark(line, start) for line in lines if line["code"] in MARK_CODES)
    return "\n".join(rows)


def _item_run(line: dict[str, Any]) -> ItemRun:
    return ItemRun(
        line["request"],
        line["time"] - line["ms"] / 1000.0,
        line["time"],
        line["backend"],
        line["outcome"],
        line["events"],
        str(line["resumed_after"] or ""),
    )


def _format_step(step: StepTimes, start: float) -> str:
    began = sorted(run.began for run in step.runs) or [None]
    last_end = max((run.ended for run in step.runs), default=None)
    times = [began[0], began[len(began) // 2], began[-1], last_end]
    times += [step.time_of_listed_share(AWAITED_SHARE), step.time_of_listed_share(1.0), step.ended]
    first, half, last, end, most, complete, ended = (
        _format_delay(at, step.accepted) for at in times
    )
    outcomes = ", ".join(
        f"{outcome} {count}" for outcome, count in Counter(r.outcome for r in step.runs).items()
    )
    return (
        f"{step.step:>4} {step.model:<12} {step.accepted - start:8.2f} | {first:>11} {half:>5}"
        f" {last:>5} | {end:>13} | {most:>10} {complete:>5} | {ended:>5} | {outcomes}"
    )


def _format_runs(runs: list[ItemRun], accepted: float) -> str:
    return " | ".join(
        f"{run.began - accepted:.2f}-{run.ended - accepted:.2f} {run.backend} {run.outcome}"
        f" {run.events} events" + (f" after {run.resumed_after}" if run.resumed_after else "")
        for run in runs
    )


def _format_mark(line: dict[str, Any], start: float) -> str:
    fields = " ".join(f"{key}={line[key]}" for key in _MARK_FIELDS if key in line)
    return f"{line['time'] - start:8.2f} {line['node']} {line['code']} {fields}"


def _format_delay(at: float | None, accepted: float) -> str:
    return "-" if at is None else f"{at - accepted:.2f}"
