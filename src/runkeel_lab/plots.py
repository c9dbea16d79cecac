"""Plots of a run as PNG files."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  (the backend must be chosen first)

from runkeel_lab.load.records import CallRecord, Outcome  # noqa: E402
from runkeel_lab.report import RunResult  # noqa: E402

_SIZE_INCHES = (9, 5)


def write_plots(result: RunResult, folder: Path) -> list[Path]:
    """Write the plots for which there is something to show; return their paths."""
    paths = []
    if result.records:
        paths.append(_latency_over_time(result, folder / "latency.png"))
        paths.append(_latency_distribution(result.records, folder / "latency-distribution.png"))
    if any(findings.samples for _, findings in result.trainers):
        paths.append(_staleness(result, folder / "staleness.png"))
    return paths


def _by_class(records: Sequence[CallRecord]) -> dict[str, list[CallRecord]]:
    groups: dict[str, list[CallRecord]] = defaultdict(list)
    for record in records:
        groups[record.caller_class].append(record)
    return groups


def _latency_over_time(result: RunResult, path: Path) -> Path:
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for name, records in _by_class(result.records).items():
        answered = [record for record in records if record.outcome is Outcome.ANSWERED]
        times = [record.arrival - result.started for record in answered]
        axes.scatter(times, [record.latency_ms for record in answered], s=4, label=name)
    for fault in result.faults:
        end = fault.undone or fault.began
        axes.axvspan(
            fault.began - result.started, end - result.started + 0.05, alpha=0.15, color="red"
        )
    axes.set(xlabel="arrival, s", ylabel="latency, ms", yscale="log", title="Answered requests")
    return _save(figure, axes, path)


def _latency_distribution(records: Sequence[CallRecord], path: Path) -> Path:
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for name, group in _by_class(records).items():
        values = sorted(r.latency_ms for r in group if r.outcome is Outcome.ANSWERED)
        if values:
            fractions = [(rank + 1) / len(values) for rank in range(len(values))]
            axes.plot(values, fractions, label=name)
    axes.set(xlabel="latency, ms", ylabel="fraction", xscale="log", title="Latency distribution")
    return _save(figure, axes, path)


def _staleness(result: RunResult, path: Path) -> Path:
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    for trainer, findings in result.trainers:
        counts: Counter[int] = findings.staleness_versions
        axes.bar(list(counts), list(counts.values()), alpha=0.6, label=trainer.spec.name)
    axes.set(xlabel="versions behind", ylabel="samples", title="Staleness at hand-over")
    return _save(figure, axes, path)


def _save(figure: pyplot.Figure, axes: pyplot.Axes, path: Path) -> Path:
    axes.legend(loc="best", fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
    return path
