"""Tables, JSON and the plot of scale runs."""

from __future__ import annotations

import json
import statistics
from dataclasses import asdict
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  (the backend must be chosen first)
from rich.console import Console  # noqa: E402
from rich.table import Table  # noqa: E402

from runkeel_lab.scale.counters import BYTE_COUNTERS  # noqa: E402
from runkeel_lab.scale.results import ScaleResult, Slope, fit_slopes  # noqa: E402

TARGET_NODES = 400
TARGET_SERVERS = 4_200
_COLUMNS = (
    "nodes",
    "engines",
    "CPU %",
    "MB",
    "bytes/s",
    "real CPU %",
    "real MB",
    "real bytes/s",
    "suspicions",
    "in force p50 s",
    "max s",
    "lacking",
    "weights s",
    "restarts",
    "not caught up",
)


def write_report(results: list[ScaleResult], folder: Path) -> None:
    """Write ``scale.json`` and ``scale.png``, and print the tables."""
    slopes = fit_slopes(results)
    document = {
        "steps": [asdict(result) for result in results],
        "slopes": [asdict(slope) for slope in slopes],
    }
    (folder / "scale.json").write_text(json.dumps(document, indent=1))
    _write_plot(results, folder / "scale.png")
    console = Console(width=200)
    console.print(_steps_table(results))
    if slopes:
        console.print(_slopes_table(slopes))
    for result in results:
        if result.storm is not None:
            console.print(f"{result.nodes} nodes, 5% restarted at once: {result.storm}")
        if result.outage is not None:
            console.print(f"{result.nodes} nodes, store down: {result.outage}")


def _steps_table(results: list[ScaleResult]) -> Table:
    table = Table(title="control cost of one node")
    for column in _COLUMNS:
        table.add_column(column, justify="right")
    for result in results:
        table.add_row(*_row(result))
    return table


def _row(result: ScaleResult) -> list[str]:
    moments = result.in_force_s or [float("nan")]
    weights = result.engines_on_new_version_s
    costs = [
        (f"{cost.cpu_percent:.2f}", f"{cost.rss_mb:.1f}", f"{cost.total_bytes_per_s:.0f}")
        if cost is not None
        else ("-", "-", "-")
        for cost in (result.hollow, result.real)
    ]
    return [
        str(result.nodes),
        str(result.engines),
        *costs[0],
        *costs[1],
        str(result.suspicions),
        f"{statistics.median(moments):.3f}",
        f"{max(moments):.3f}",
        str(result.not_in_force + result.real_lacking),
        "-" if weights is None else f"{weights:.1f}",
        str(result.restarts.count),
        str(result.restarts.not_caught_up),
    ]


def _slopes_table(slopes: list[Slope]) -> Table:
    table = Table(title="slopes of one hollow node's cost")
    target = f"at {TARGET_NODES} nodes, {TARGET_SERVERS:,} servers"
    for column in ("quantity", "intercept", "per node", "per own server", "residual", target):
        table.add_column(column, justify="right")
    for slope in slopes:
        per_server = "-" if slope.per_server is None else f"{slope.per_server:.4g}"
        table.add_row(
            slope.quantity,
            f"{slope.intercept:.4g}",
            f"{slope.per_node:.4g}",
            per_server,
            f"{slope.residual:.3g}",
            f"{slope.at(TARGET_NODES, TARGET_SERVERS / TARGET_NODES):.4g}",
        )
    return table


def _write_plot(results: list[ScaleResult], path: Path) -> None:
    measured = sorted(
        (result for result in results if result.hollow is not None), key=lambda each: each.nodes
    )
    nodes = [result.nodes for result in measured]
    figure, (cpu, memory, traffic) = pyplot.subplots(1, 3, figsize=(15, 4.5))
    cpu.plot(nodes, [result.hollow.cpu_percent for result in measured], "o-", label="hollow")
    memory.plot(nodes, [result.hollow.rss_mb for result in measured], "o-", label="hollow")
    for name in BYTE_COUNTERS:
        rates = [result.hollow.bytes_per_s[name] for result in measured]
        traffic.plot(nodes, rates, "o-", label=str(name).removeprefix("runkeel_"))
    real = [result for result in measured if result.real is not None]
    real_nodes = [result.nodes for result in real]
    cpu.plot(real_nodes, [result.real.cpu_percent for result in real], "x", label="real")
    memory.plot(real_nodes, [result.real.rss_mb for result in real], "x", label="real")
    cpu.set(xlabel="nodes", ylabel="% of a core", title="Processor")
    memory.set(xlabel="nodes", ylabel="MB", title="Memory")
    traffic.set(xlabel="nodes", ylabel="bytes/s", title="Control traffic")
    for axes in (cpu, memory, traffic):
        axes.set_ylim(bottom=0)
        axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
