"""Measures fleets of several sizes one after the other."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from runkeel_lab.scale.fleet import Fleet, FleetOptions
from runkeel_lab.scale.layout import ZONES, ScaleLayout, free_network
from runkeel_lab.scale.report import write_report
from runkeel_lab.scale.results import ScaleResult
from runkeel_lab.scale.run import ScaleOptions, ScaleRun

NODES_PER_RECORD_GROUP = 25


def run_scale(
    node_counts: Sequence[int],
    engines_per_node: Sequence[float],
    out: Path,
    options: ScaleOptions | None = None,
    fleet_options: FleetOptions | None = None,
    zones: int = len(ZONES),
    seed: int = 1,
) -> list[ScaleResult]:
    """Measure each size with each number of engines a node; write the report after each.

    Args:
        node_counts: sizes, smallest first.
        engines_per_node: engines for each node.
        out: folder for logs and results.
        options: what is done with each fleet.
        fleet_options: shape of the processes.
        zones: how many zones the nodes are spread over.
        seed: seed of the choices of nodes.
    """
    results: list[ScaleResult] = []
    for nodes in node_counts:
        for ratio in engines_per_node:
            engines = round(nodes * ratio)
            groups = max(1, nodes // NODES_PER_RECORD_GROUP)
            layout = ScaleLayout(nodes, engines, groups, zones, free_network())
            folder = out / f"nodes-{nodes}-engines-{engines}"
            with Fleet(layout, fleet_options or FleetOptions(), folder) as fleet:
                results.append(ScaleRun(fleet, options or ScaleOptions(), seed).measure())
            write_report(results, out)
    return results


def holds(result: ScaleResult) -> bool:
    """Return whether every change came into force, every engine has the new weights and every
    restarted node has caught up."""
    storm_failures = 0 if result.storm is None else result.storm.not_caught_up
    failures = result.not_in_force + result.real_lacking + result.restarts.not_caught_up
    return not failures + storm_failures and result.engines_on_new_version_s is not None
