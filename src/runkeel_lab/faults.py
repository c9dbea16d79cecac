"""Runs the schedule of faults of an experiment."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent

from runkeel_lab.experiment import FaultKind, FaultSpec
from runkeel_lab.http_client import TransportError
from runkeel_lab.launcher import EmulatedDeployment
from runkeel_lab.operators import CommandRecord, OperatorClient
from runkeel_lab.processes import LabError

_COMMAND_RETRY_SECONDS = 30.0
_PLANNED_STOP_SECONDS = 60.0
"""Half of a node's own bound: it may wait for another one that stops, then for work in flight."""
_DEFAULT_SLOW_MS = 1_000
_DEFAULT_LAG_MS = 2_000


@dataclass(slots=True)
class FaultRecord:
    """A fault as it happened; times are monotonic, in s.

    Attributes:
        undone: when it ended; 0 while it lasts.
        effective: when the thing that counts had happened, for example a command was accepted.
        error: why the lab could not bring it about, else empty.
    """

    spec: FaultSpec
    began: float
    effective: float = 0.0
    undone: float = 0.0
    error: str = ""


class FaultRunner:
    """Brings about faults at their times and undoes them after their durations.

    Attributes:
        races: the commands of each race, with what their operators were told.
    """

    def __init__(self, deployment: EmulatedDeployment, operator: OperatorClient) -> None:
        self.records: list[FaultRecord] = []
        self.races: list[list[CommandRecord]] = []
        self._deployment = deployment
        self._operator = operator
        self._begin: dict[FaultKind, Callable[[FaultSpec], None]] = {
            FaultKind.KILL: lambda spec: deployment.processes[spec.target].kill(),
            FaultKind.PAUSE: lambda spec: deployment.processes[spec.target].pause(),
            FaultKind.PLANNED_STOP: lambda spec: deployment.processes[spec.target].terminate(),
            FaultKind.CUT: lambda spec: deployment.cut(*_zone_pair(spec)),
            FaultKind.STORE_DOWN: lambda spec: self._set("object-api", "down"),
            FaultKind.STORE_SLOW: self._slow_store,
            FaultKind.STORE_LOSE_ANSWERS: self._lose_answers,
            FaultKind.STORE_RESTORE: self._restore_store,
            FaultKind.SWAP_FAILURE: self._fail_swap,
            FaultKind.ENGINE_CRASH: self._crash_backend,
            FaultKind.APPLICATION_CRASH: self._crash_backend,
            FaultKind.LIST_LEAVING: lambda spec: deployment.list_state(spec.target, "leaving"),
            FaultKind.DRAIN: lambda spec: self._command(f"drain backend {spec.target}"),
            FaultKind.CONFIGURATION_CHANGE: self._change_configuration,
            FaultKind.RACING_COMMANDS: self._race,
            FaultKind.MACHINE_LIST_LAG: self._lag_machine_list,
            FaultKind.WEIGHT_STORE_DOWN: lambda spec: self._set("weight-store", "down"),
            FaultKind.SCORER_DOWN: self._scorers_down,
        }
        self._end: dict[FaultKind, Callable[[FaultSpec], None]] = {
            FaultKind.KILL: lambda spec: deployment.restart_node(spec.target),
            FaultKind.PAUSE: lambda spec: deployment.processes[spec.target].resume(),
            FaultKind.PLANNED_STOP: self._restart_after_stop,
            FaultKind.CUT: lambda spec: deployment.heal(*_zone_pair(spec)),
            FaultKind.STORE_DOWN: lambda spec: self._set("object-api", "clear"),
            FaultKind.STORE_SLOW: lambda spec: self._set("object-api", "clear"),
            FaultKind.STORE_LOSE_ANSWERS: lambda spec: self._set("object-api", "clear"),
            FaultKind.ENGINE_CRASH: self._restart_backend,
            FaultKind.APPLICATION_CRASH: self._restart_backend,
            FaultKind.LIST_LEAVING: lambda spec: deployment.list_state(spec.target, "live"),
            FaultKind.DRAIN: lambda spec: self._command(f"undrain backend {spec.target}"),
            FaultKind.MACHINE_LIST_LAG: lambda spec: self._set("machine-list", "clear"),
            FaultKind.WEIGHT_STORE_DOWN: lambda spec: self._set("weight-store", "clear"),
            FaultKind.SCORER_DOWN: self._scorers_up,
        }

    def run(self, schedule: Iterable[FaultSpec], start: float) -> None:
        """Run a schedule whose times count from the monotonic time ``start``."""
        tasks = [gevent.spawn(self._run_one, spec, start) for spec in schedule]
        gevent.joinall(tasks, raise_error=True)

    def _run_one(self, spec: FaultSpec, start: float) -> None:
        gevent.sleep(max(0.0, start + spec.at - time.monotonic()))
        record = FaultRecord(spec, time.monotonic())
        self.records.append(record)
        try:
            self._begin[spec.kind](spec)
            record.effective = time.monotonic()
            end = self._end.get(spec.kind)
            if spec.duration and end is not None:
                gevent.sleep(max(0.0, record.began + spec.duration - time.monotonic()))
                end(spec)
                record.undone = time.monotonic()
        except (LabError, TransportError, KeyError, ValueError) as error:
            record.error = f"{type(error).__name__}: {error}"

    def _set(self, standin_id: str, kind: str, **options: object) -> None:
        self._deployment.set_fault(standin_id, kind, **options)

    def _slow_store(self, spec: FaultSpec) -> None:
        self._set("object-api", "slow", delay_ms=int(spec.value or _DEFAULT_SLOW_MS))

    def _lose_answers(self, spec: FaultSpec) -> None:
        self._set("object-api", "lose_answers", fraction=spec.value or 1.0)

    def _restore_store(self, spec: FaultSpec) -> None:
        """Restore the store as it was ``value`` revisions ago."""
        state = self._deployment.control("GET", "object-api", "/fault/state")
        revision = max(1, state["revision"] - int(spec.value or 1))
        self._set("object-api", "restore_older", revision=revision)

    def _fail_swap(self, spec: FaultSpec) -> None:
        variant = "half_swapped" if spec.value >= 1 else "old_version"
        self._set(spec.target, "fail_swap", variant=variant)

    def _crash_backend(self, spec: FaultSpec) -> None:
        if self._deployment.has_own_process(spec.target):
            self._deployment.standin_process(spec.target).kill()
        else:
            self._set(spec.target, "crash")

    def _restart_backend(self, spec: FaultSpec) -> None:
        if self._deployment.has_own_process(spec.target):
            process = self._deployment.standin_process(spec.target)
            process.start()
            process.wait_ready()
        else:
            self._set(spec.target, "clear")

    def _restart_after_stop(self, spec: FaultSpec) -> None:
        if not self._deployment.processes[spec.target].wait_end(_PLANNED_STOP_SECONDS):
            raise LabError(f"{spec.target}: did not end after SIGTERM")
        self._deployment.restart_node(spec.target)

    def _change_configuration(self, spec: FaultSpec) -> None:
        for text in spec.commands:
            self._command(text)

    def _race(self, spec: FaultSpec) -> None:
        self.races.append(self._operator.race(spec.commands))

    def _command(self, text: str) -> None:
        record = self._operator.command(text, retry_seconds=_COMMAND_RETRY_SECONDS)
        if not record.accepted:
            raise LabError(f"not accepted: {text}: {record.status} {record.content}")

    def _lag_machine_list(self, spec: FaultSpec) -> None:
        self._set("machine-list", "slow", delay_ms=int(spec.value or _DEFAULT_LAG_MS))

    def _scorers_down(self, spec: FaultSpec) -> None:
        for scorer in self._deployment.plan.scorers:
            self._set(scorer.id, "down")

    def _scorers_up(self, spec: FaultSpec) -> None:
        for scorer in self._deployment.plan.scorers:
            self._set(scorer.id, "clear")


def _zone_pair(spec: FaultSpec) -> tuple[str, str]:
    zone, separator, other = spec.target.partition("|")
    if not separator:
        raise ValueError(f"cut wants the target 'zone|zone', found {spec.target!r}")
    return zone, other
