"""Runs one fleet: changes its configuration, restarts nodes, and measures each node's cost."""

from __future__ import annotations

import json
import random
import time
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import gevent
import psutil
from prometheus_client.parser import text_string_to_metric_families

from runkeel_lab.http_client import TransportError
from runkeel_lab.processes import ChildProcess
from runkeel_lab.scale.counters import Traffic, read_counters
from runkeel_lab.scale.fleet import Fleet
from runkeel_lab.scale.layout import MODELS
from runkeel_lab.scale.results import (
    Restarts,
    ScaleResult,
    StoreOutage,
    Usage,
    cost_between,
    mean_cost,
)
from runkeel_lab.scale.spread import Change, SpreadLog

CHANGE_INTERVAL_SECONDS = 1.0
"""One configuration change a second: 14 times the 6,200 a day of the size aimed at."""
IN_FORCE_WAIT_SECONDS = 12.0
DEPLOY_WAIT_SECONDS = 60.0
STORM_WAIT_SECONDS = 20.0
STORE_RETURN_WAIT_SECONDS = 30.0
SERVICES = 20
_COMMAND_TIMEOUT_SECONDS = 10.0
_POLL_SECONDS = 0.5
_CREATE_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class ScaleOptions:
    """What is done with each fleet.

    Attributes:
        seconds: length of the measurement.
        settle_seconds: time for the fleet to settle before it.
        outage_seconds: how long the object API is down after it; 0 for not at all.
        storm: whether 5% of the nodes are restarted at once after it.
    """

    seconds: float = 30.0
    settle_seconds: float = 20.0
    outage_seconds: float = 0.0
    storm: bool = False


class ScaleRun:
    """One fleet, measured."""

    def __init__(self, fleet: Fleet, options: ScaleOptions, seed: int) -> None:
        layout = fleet.layout
        self._fleet = fleet
        self._options = options
        self._random = random.Random(seed)
        self._spread = SpreadLog()
        self._usage: dict[str, list[Usage]] = defaultdict(list)
        self._restarts = Restarts()
        self._changes = 0
        self._measured_from = 0.0
        self.result = ScaleResult(layout.nodes, layout.engines, layout.zones, options.seconds)

    def measure(self) -> ScaleResult:
        """Let the fleet settle, measure it, then provoke what the options ask for."""
        self._create_services()
        gevent.sleep(self._options.settle_seconds)
        self._collect()
        self._usage.clear()
        self._measured_from = time.monotonic()
        self._measure_cost()
        if self._options.storm:
            self._storm()
        if self._options.outage_seconds > 0:
            self._outage(self._options.outage_seconds)
        self._deploy()
        self._wait_in_force()
        self.result.restarts = self._restarts
        self._summarize_spread()
        self.result.real_lacking = sum(
            self._lacking(index)
            for index in range(self._fleet.hollow_nodes, self._fleet.layout.nodes)
        )
        return self.result

    def _create_services(self) -> None:
        for number in range(SERVICES):
            for _ in range(_CREATE_ATTEMPTS):
                if self._command(f"create service load-{number}"):
                    break
                gevent.sleep(CHANGE_INTERVAL_SECONDS)

    def _measure_cost(self) -> None:
        real_before = [self._real_usage(process) for process in self._fleet.real_processes]
        deadline = time.monotonic() + self._options.seconds
        while time.monotonic() < deadline:
            self._change()
            gevent.sleep(CHANGE_INTERVAL_SECONDS)
        real_after = [self._real_usage(process) for process in self._fleet.real_processes]
        self._collect()
        self._summarize_hollow()
        pairs = zip(real_before, real_after, strict=True)
        costs = [cost_between(first, last, 1) for first, last in pairs]
        self.result.real = mean_cost(costs) if costs else None

    def _change(self) -> bool:
        self._changes += 1
        name = f"load-{self._changes % SERVICES}"
        return self._command(f"set service {name} default_deadline_ms {1_000 + self._changes}")

    def _command(self, command: str) -> bool:
        """Send a command to a random node; return whether it was accepted."""
        index = self._random.randrange(self._fleet.layout.nodes)
        try:
            answer = self._post(index, "/v1/commands", {"command": command})
        except (OSError, TransportError):
            answer = None
        if answer is None:
            self.result.refused_changes += 1
            return False
        words = command.split()
        object_name = f"{words[1]}/{words[2]}"
        change = Change(object_name, int(answer["generation"]), time.monotonic())
        self._spread.accept(change)
        return True

    def _post(self, index: int, target: str, content: dict[str, Any]) -> dict[str, Any] | None:
        answer = self._fleet.node_client(index).request(
            "POST",
            target,
            json.dumps(content).encode(),
            {"Content-Type": "application/json"},
            _COMMAND_TIMEOUT_SECONDS,
        )
        return answer.json() if answer.status < 300 else None

    def _storm(self) -> None:
        """Restart 5% of the nodes at once, while changes go on."""
        self._collect()
        before = self._restarts
        self._restarts = Restarts()
        self._fleet.restart_some()
        deadline = time.monotonic() + STORM_WAIT_SECONDS
        while self._restarts.count < self._fleet.storm_size and time.monotonic() < deadline:
            self._change()
            gevent.sleep(CHANGE_INTERVAL_SECONDS)
            self._collect()
        self.result.storm, self._restarts = self._restarts, before

    def _outage(self, seconds: float) -> None:
        """Take the object API down and back, and count what it has to bear."""
        lists_before = self._store_state()["calls"]["list"]
        self._fleet.control("object-api", "POST", "/fault", {"kind": "down"})
        gevent.sleep(seconds)
        self._fleet.control("object-api", "POST", "/fault", {"kind": "clear"})
        returned_at = time.monotonic()
        outage = StoreOutage(seconds)
        while time.monotonic() - returned_at < STORE_RETURN_WAIT_SECONDS:
            if self._change() and outage.change_after_s is None:
                outage.change_after_s = time.monotonic() - returned_at
            gevent.sleep(CHANGE_INTERVAL_SECONDS)
        state = self._store_state()
        outage.max_readers = int(state["max_watchers"])
        outage.lists = int(state["calls"]["list"]) - int(lists_before)
        self.result.outage = outage

    def _store_state(self) -> dict[str, Any]:
        return self._fleet.control("object-api", "GET", "/fault/state")

    def _deploy(self) -> None:
        for model in MODELS:
            self._fleet.control("weight-store", "POST", f"/fault/models/{model}/versions/2", {})
        loads_before = self._finished_loads()
        started = time.monotonic()
        for model in MODELS:
            self._command(f"deploy model {model} version 2")
        while time.monotonic() < started + DEPLOY_WAIT_SECONDS:
            gevent.sleep(_POLL_SECONDS)
            if self._finished_loads() - loads_before >= self.result.engines:
                self.result.engines_on_new_version_s = time.monotonic() - started
                return

    def _finished_loads(self) -> int:
        return int(self._fleet.control("weight-store", "GET", "/fault/state")["loads"])

    def _collect(self) -> None:
        for process in self._fleet.node_processes:
            for line in self._fleet.new_lines(process):
                self._take_line(process.name, line)

    def _take_line(self, process_name: str, line: dict[str, Any]) -> None:
        if "taken" in line:
            self._spread.take(line["taken"], line["generation"], line["node"], line["t"])
        elif "usage" in line:
            usage = Usage(line["t"], line["cpu_seconds"], line["rss_bytes"], line["counters"])
            self._usage[process_name].append(usage)
        elif "restarted" in line:
            self._restarts.count += 1
            self._restarts.not_caught_up += not line["caught_up"]
            self._restarts.slowest_s = max(self._restarts.slowest_s, line["seconds"])

    def _real_usage(self, process: ChildProcess) -> Usage:
        index = self._fleet.hollow_nodes + self._fleet.real_processes.index(process)
        page = self._fleet.node_client(index).request("GET", "/metrics").body.decode()
        inspected = psutil.Process(process.pid)
        times = inspected.cpu_times()
        return Usage(
            time.monotonic(),
            times.user + times.system,
            inspected.memory_info().rss,
            read_counters(text_string_to_metric_families(page)),
        )

    def _summarize_hollow(self) -> None:
        size = self._fleet.options.nodes_per_process
        remaining = self._fleet.hollow_nodes
        costs = []
        for process in self._fleet.node_processes:
            first, last = self._usage[process.name][0], self._usage[process.name][-1]
            costs.append(cost_between(first, last, min(size, remaining)))
            remaining -= size
            self.result.suspicions += _gained(first, last, Traffic.SUSPICIONS)
            self.result.refutations += _gained(first, last, Traffic.REFUTATIONS)
            self.result.connections_lost += _gained(first, last, Traffic.CONNECTIONS_LOST)
        self.result.hollow = mean_cost(costs)

    def _wait_in_force(self) -> None:
        """Wait until every node has the last generations, within the time that they are given."""
        deadline = time.monotonic() + IN_FORCE_WAIT_SECONDS
        self._collect()
        while time.monotonic() < deadline and self._seconds_to_all().count(None):
            gevent.sleep(_POLL_SECONDS)
            self._collect()

    def _seconds_to_all(self) -> list[float | None]:
        node_ids = self._fleet.layout.node_ids()[: self._fleet.hollow_nodes]
        return [self._spread.seconds_to_all(change, node_ids) for change in self._spread.changes]

    def _summarize_spread(self) -> None:
        moments = self._seconds_to_all()
        self.result.changes = len(moments)
        self.result.not_in_force = moments.count(None)
        # Those of the start, when not all nodes are there yet, must come into force as well, but
        # say nothing about how long it takes.
        self.result.in_force_s = [
            round(seconds, 4)
            for change, seconds in zip(self._spread.changes, moments, strict=True)
            if seconds is not None and change.accepted_at >= self._measured_from
        ]

    def _lacking(self, index: int) -> int:
        """Return how many services a real node has not in their last accepted generation."""
        answer = self._post(index, "/v1/queries", {"query": "show services"}) or {}
        columns = answer.get("columns", ["name", "generation"])
        name, generation = columns.index("name"), columns.index("generation")
        held = {f"service/{row[name]}": int(row[generation]) for row in answer.get("rows", ())}
        wanted = self._spread.latest().items()
        services = [(key, value) for key, value in wanted if key.startswith("service/")]
        return sum(held.get(key, 0) < value for key, value in services)


def _gained(first: Usage, last: Usage, counter: Traffic) -> int:
    return int(last.counters[counter] - first.counters[counter])
