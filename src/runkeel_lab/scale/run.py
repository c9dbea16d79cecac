"""Runs fleets of growing size and measures each node's control cost."""

from __future__ import annotations

import json
import random
import statistics
import time
from collections import defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path

import gevent
from rich.console import Console
from rich.table import Table

from runkeel_lab.scale.fleet import Fleet, FleetOptions
from runkeel_lab.scale.hollow_nodes import CONTROL_BYTE_COUNTERS
from runkeel_lab.scale.layout import MODELS, ScaleLayout

SETTLE_SECONDS = 20.0
CHANGE_INTERVAL_SECONDS = 1.0
"""One configuration change a second: 14 times the letter's 6,200 a day."""
IN_FORCE_WAIT_SECONDS = 12.0
_COMMAND_TIMEOUT_SECONDS = 10.0


@dataclass(slots=True)
class ScaleResult:
    """What one fleet cost; rates are per node.

    Attributes:
        cpu_percent: of one core.
        rss_mb: the process's memory over its nodes, interpreter included.
        control_bytes_per_s: sent and received, by counter.
        in_force_s: seconds from a change's acceptance to the last node, for each change.
        not_in_force: changes that some node lacked after IN_FORCE_WAIT_SECONDS.
        engines_on_new_version_s: seconds from a deploy's acceptance until as many loads as
            there are engines have finished.
    """

    nodes: int
    engines: int
    seconds: float
    cpu_percent: float = 0.0
    rss_mb: float = 0.0
    control_bytes_per_s: dict[str, float] = field(default_factory=dict)
    total_bytes_per_s: float = 0.0
    in_force_s: list[float] = field(default_factory=list)
    not_in_force: int = 0
    refused_changes: int = 0
    engines_on_new_version_s: float | None = None


class ScaleRun:
    """One fleet, measured."""

    def __init__(self, fleet: Fleet, seconds: float, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._accepted: dict[tuple[str, int], float] = {}
        self._taken: dict[tuple[str, int], dict[str, float]] = defaultdict(dict)
        self._usage: dict[str, list[dict]] = defaultdict(list)
        self.result = ScaleResult(fleet.layout.nodes, fleet.layout.engines, seconds)

    def measure(self) -> ScaleResult:
        """Wait until the fleet has settled, then change configuration and measure."""
        gevent.sleep(SETTLE_SECONDS)
        self._collect()
        self._usage.clear()
        deadline = time.monotonic() + self.result.seconds
        number = 0
        while time.monotonic() < deadline:
            number += 1
            self._change(f"set service load-{number % 20} default_deadline_ms {1_000 + number}")
            gevent.sleep(CHANGE_INTERVAL_SECONDS)
        self._collect()
        self._summarize_usage()
        self._deploy()
        gevent.sleep(IN_FORCE_WAIT_SECONDS)
        self._collect()
        self._summarize_spread()
        return self.result

    def create_services(self) -> None:
        """Create the objects that the run changes."""
        for number in range(20):
            self._change(f"create service load-{number}")

    def _change(self, command: str) -> dict | None:
        index = self._random.randrange(self._fleet.layout.nodes)
        client = self._fleet.node_client(index)
        try:
            answer = client.request(
                "POST",
                "/v1/commands",
                json.dumps({"command": command}).encode(),
                {"Content-Type": "application/json"},
                _COMMAND_TIMEOUT_SECONDS,
            )
        except Exception:
            self.result.refused_changes += 1
            return None
        content = answer.json() or {}
        if answer.status >= 300:
            self.result.refused_changes += 1
            return None
        words = command.split()
        key = (f"{words[1]}/{words[2]}", int(content.get("generation", 0)))
        self._accepted[key] = time.monotonic()
        return content

    def _deploy(self) -> None:
        for model in MODELS:
            self._fleet.control("weight-store", "POST", f"/fault/models/{model}/versions/2", {})
        started = time.monotonic()
        for model in MODELS:
            self._change(f"deploy model {model} version 2")
        while time.monotonic() < started + 60.0:
            gevent.sleep(0.5)
            if self._finished_loads() >= self.result.engines:
                self.result.engines_on_new_version_s = time.monotonic() - started
                return

    def _finished_loads(self) -> int:
        return int(self._fleet.control("weight-store", "GET", "/fault/state")["loads"])

    def _collect(self) -> None:
        for process in self._fleet.node_processes:
            for line in self._fleet.new_lines(process):
                if "taken" in line:
                    key = (line["taken"], line["generation"])
                    self._taken[key].setdefault(line["node"], line["t"])
                elif "usage" in line:
                    self._usage[process.name].append(line)

    def _summarize_usage(self) -> None:
        cpu, memory, rates = [], [], defaultdict(list)
        for lines in self._usage.values():
            first, last = lines[0], lines[-1]
            elapsed = last["t"] - first["t"]
            nodes = last["nodes"]
            cpu.append(100 * (last["cpu_seconds"] - first["cpu_seconds"]) / elapsed / nodes)
            memory.append(last["rss_bytes"] / nodes / 1e6)
            for name in CONTROL_BYTE_COUNTERS:
                moved = last["bytes"][name] - first["bytes"][name]
                rates[name].append(moved / elapsed / nodes)
        self.result.cpu_percent = round(statistics.fmean(cpu), 3)
        self.result.rss_mb = round(statistics.fmean(memory), 1)
        self.result.control_bytes_per_s = {
            name: round(statistics.fmean(values), 1) for name, values in rates.items()
        }
        self.result.total_bytes_per_s = round(sum(self.result.control_bytes_per_s.values()), 1)

    def _summarize_spread(self) -> None:
        for key, accepted_at in self._accepted.items():
            moments = self._taken.get(key, {})
            # A later change of the same object may overtake this one on some nodes.
            if len(moments) < self.result.nodes and not self._is_overtaken(key):
                self.result.not_in_force += 1
            elif moments and len(moments) == self.result.nodes:
                self.result.in_force_s.append(max(moments.values()) - accepted_at)

    def _is_overtaken(self, key: tuple[str, int]) -> bool:
        return any(name == key[0] and generation > key[1] for name, generation in self._accepted)


def run_scale(
    node_counts: list[int], engines_per_node: float, seconds: float, out: Path, seed: int = 1
) -> list[ScaleResult]:
    """Measure fleets of several sizes one after the other; write ``scale.json`` and a table.

    Args:
        node_counts: sizes, smallest first.
        engines_per_node: engines for each node.
        seconds: length of each measurement.
        out: folder for logs and results.
        seed: seed of the choices of nodes.
    """
    results = []
    for count in node_counts:
        layout = ScaleLayout(count, round(count * engines_per_node), max(1, count // 25))
        with Fleet(layout, FleetOptions(), out / f"nodes-{count}") as fleet:
            run = ScaleRun(fleet, seconds, seed)
            gevent.sleep(5.0)
            run.create_services()
            results.append(run.measure())
        _write(results, out)
    return results


def _write(results: list[ScaleResult], out: Path) -> None:
    (out / "scale.json").write_text(json.dumps([asdict(each) for each in results], indent=1))
    table = Table(title="control cost of one node")
    for column in (
        "nodes",
        "engines",
        "CPU %",
        "MB",
        "bytes/s",
        "in force p50 s",
        "max s",
        "lacking",
        "weights s",
    ):
        table.add_column(column, justify="right")
    for each in results:
        moments = sorted(each.in_force_s) or [float("nan")]
        table.add_row(
            str(each.nodes),
            str(each.engines),
            f"{each.cpu_percent:.2f}",
            f"{each.rss_mb:.1f}",
            f"{each.total_bytes_per_s:.0f}",
            f"{statistics.median(moments):.3f}",
            f"{moments[-1]:.3f}",
            str(each.not_in_force),
            "-"
            if each.engines_on_new_version_s is None
            else f"{each.engines_on_new_version_s:.1f}",
        )
    Console().print(table)
