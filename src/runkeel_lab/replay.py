"""Replays a trace on an emulated deployment and compares with its stated outcomes."""

from __future__ import annotations

import json
import random
import time
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

import gevent
from rich.console import Console
from rich.table import Table

from runkeel_lab.deployment import load_deployment
from runkeel_lab.experiment import TrainerSpec
from runkeel_lab.faults import FaultRunner
from runkeel_lab.journals import Execution, Journals
from runkeel_lab.launcher import EmulatedDeployment
from runkeel_lab.load.arrivals import LengthDistribution
from runkeel_lab.load.caller import Caller, NodeTarget
from runkeel_lab.load.classes import CallerClass, CallKind
from runkeel_lab.load.plans import PlannedCall, make_prompt
from runkeel_lab.load.records import CallRecord, Outcome
from runkeel_lab.operators import CommandRecord, OperatorClient
from runkeel_lab.processes import LabError
from runkeel_lab.runner import SETTLE_SECONDS, fresh_folder
from runkeel_lab.summary import make_console
from runkeel_lab.trace import Trace, TraceCall, TraceCommand, TraceFault, TraceStep, load_trace
from runkeel_lab.trainer import Trainer
from runkeel_lab.verify_callers import CallerVerifier
from runkeel_lab.verify_control import verify_control
from runkeel_lab.verify_samples import verify_trainer

_SHARED_PREFIX = 0
_UNBOUNDED_VERSIONS = 1_000_000


@dataclass(frozen=True, slots=True)
class Deviation:
    """What differs from the trace's statement."""

    subject: str
    stated: str
    seen: str


class TraceReplay:
    """One replay on a deployment that is up."""

    def __init__(self, trace: Trace, running: EmulatedDeployment) -> None:
        self._trace = trace
        self._running = running
        self._targets = {target.node_id: target for target in running.targets()}
        self._operator = OperatorClient(list(self._targets.values()), "trace")
        self._faults = FaultRunner(running, self._operator)
        self._calls: list[tuple[TraceCall, CallRecord]] = []
        self._commands: list[tuple[TraceCommand, CommandRecord]] = []
        self._steps: list[tuple[TraceStep, Trainer]] = []

    def run(self) -> None:
        """Bring about every stimulus at its time and wait for the end of each."""
        start = time.monotonic()
        tasks = []
        for stimulus in self._trace.stimuli:
            if isinstance(stimulus, TraceCall):
                tasks.append(gevent.spawn(self._call, stimulus, start))
            elif isinstance(stimulus, TraceCommand):
                tasks.append(gevent.spawn(self._command, stimulus, start))
            elif isinstance(stimulus, TraceStep):
                tasks.append(gevent.spawn(self._step, stimulus, start))
        schedule = [each.fault for each in self._trace.stimuli if isinstance(each, TraceFault)]
        tasks.append(gevent.spawn(self._faults.run, schedule, start))
        gevent.joinall(tasks, raise_error=True)

    def _ordered_targets(self, first: str) -> list[NodeTarget]:
        """Return all nodes, the named one first."""
        if first and first not in self._targets:
            raise LabError(f"no such node: {first}")
        ids = list(self._targets)
        start = ids.index(first) if first else 0
        return [self._targets[node_id] for node_id in ids[start:] + ids[:start]]

    def _call(self, stimulus: TraceCall, start: float) -> None:
        gevent.sleep(max(0.0, start + stimulus.at - time.monotonic()))
        delay = self._running.deployment.client_delay_ms / 1000.0
        caller = Caller(self._ordered_targets(stimulus.node), delay)
        record = caller.run(_planned(stimulus), 0, time.monotonic())
        self._calls.append((stimulus, record))

    def _command(self, stimulus: TraceCommand, start: float) -> None:
        gevent.sleep(max(0.0, start + stimulus.at - time.monotonic()))
        number = list(self._targets).index(stimulus.node) if stimulus.node else 0
        record = self._operator.command(stimulus.command, number)
        self._commands.append((stimulus, record))

    def _step(self, stimulus: TraceStep, start: float) -> None:
        gevent.sleep(max(0.0, start + stimulus.at - time.monotonic()))
        spec = TrainerSpec(
            name=stimulus.name,
            model=stimulus.model,
            tasks_per_step=stimulus.tasks,
            train_ms=0.0,
            steps_per_version=0,
            steps_ahead=0,
            maximum_steps=1,
            tokens=LengthDistribution(median=stimulus.tokens, tail_fraction=0.0),
        )
        targets = list(self._targets.values())
        seed = self._trace.header.seed
        trainer = Trainer(spec, targets, _publish_nothing, seed, stimulus.version)
        self._steps.append((stimulus, trainer))
        trainer.run(time.monotonic() + stimulus.within_s, grace_seconds=0.0)

    def deviations(self, journals: Journals) -> list[Deviation]:
        """Return what differs from the statements, and every violation."""
        backends = [backend.id for backend in self._running.plan.backends()]
        runs = journals.executions(backends)
        by_nonce: dict[str, list[Execution]] = defaultdict(list)
        for run in runs:
            by_nonce[run.nonce].append(run)
        found: list[Deviation] = []
        for stimulus, record in self._calls:
            found += _call_deviations(stimulus, record, len(by_nonce[record.nonce]))
        for stimulus, command in self._commands:
            if command.status not in stimulus.status:
                stated = " or ".join(map(str, stimulus.status))
                found.append(Deviation(stimulus.command, stated, _command_text(command)))
        records = [record for _, record in self._calls]
        violations = CallerVerifier(runs, self._running.deployment.configured_pools()).verify(
            self._judged(records)
        )
        violations += verify_control(self._faults.records, journals, records).violations
        for _, trainer in self._steps:
            violations += verify_trainer(trainer, lambda _: _UNBOUNDED_VERSIONS).violations
        found += [Deviation(each.subject, f"not {each.kind}", each.detail) for each in violations]
        return found

    def _judged(self, records: list[CallRecord]) -> list[CallRecord]:
        """Leave out calls that the trace allows to be lost, for example with their node."""
        allowed = {id(r) for s, r in self._calls if Outcome.LOST in s.expect.outcomes}
        return [r for r in records if id(r) not in allowed or r.outcome is not Outcome.LOST]


def replay_trace(path: Path, out: Path) -> bool:
    """Replay a trace and print the deviations; return whether there were none."""
    trace = load_trace(path)
    deployment = load_deployment(path.parent / trace.header.deployment)
    folder = fresh_folder(out)
    with EmulatedDeployment(deployment, folder, trace.header.seed) as running:
        gevent.sleep(SETTLE_SECONDS)
        replay = TraceReplay(trace, running)
        replay.run()
    deviations = replay.deviations(Journals.read(folder / "journals"))
    _print_deviations(trace, deviations, make_console())
    return not deviations


def _planned(stimulus: TraceCall) -> PlannedCall:
    caller_class = CallerClass(
        name="trace",
        kind=stimulus.kind,
        pool=stimulus.pool,
        rate=1.0,
        deadline_ms=stimulus.deadline_ms,
        attempts=stimulus.attempts,
    )
    headers = {
        "X-Runkeel-Deadline-Ms": str(stimulus.deadline_ms),
        "Content-Type": "application/json",
    }
    if stimulus.kind.is_model:
        source = random.Random(stimulus.key)
        prompt = make_prompt(source, stimulus.key, _SHARED_PREFIX, 5, stimulus.tokens)
        streamed = stimulus.kind is CallKind.DRAFT_STREAM
        content = {"prompt": prompt, "max_tokens": stimulus.tokens, "stream": streamed}
        target = f"/v1/models/{stimulus.pool}/completions"
        body = json.dumps(content).encode()
        return PlannedCall(
            stimulus.at, caller_class, stimulus.key, "POST", target, body, prompt, headers
        )
    headers["X-Emulated-Ms"] = str(stimulus.service_ms)
    headers["X-Runkeel-Repeatable"] = "true" if stimulus.kind.repeatable else "false"
    base = f"/v1/services/{stimulus.pool}"
    if stimulus.kind is CallKind.LOOKUP:
        target = f"{base}/lookup/{stimulus.key}"
        return PlannedCall(stimulus.at, caller_class, stimulus.key, "GET", target, headers=headers)
    headers["Idempotency-Key"] = stimulus.key
    body = json.dumps({"key": stimulus.key}).encode()
    target = f"{base}/{stimulus.kind}"
    return PlannedCall(
        stimulus.at, caller_class, stimulus.key, "POST", target, body, headers=headers
    )


def _call_deviations(stimulus: TraceCall, record: CallRecord, runs: int) -> list[Deviation]:
    expect, found = stimulus.expect, []
    subject = f"{stimulus.kind} {stimulus.key}"
    if record.outcome not in expect.outcomes:
        last = record.attempts[-1]
        seen = f"{record.outcome} ({last.status} {last.code} {last.error})"
        found.append(Deviation(subject, " or ".join(expect.outcomes), seen))
    if expect.runs is not None and not expect.runs[0] <= runs <= expect.runs[1]:
        stated = f"{expect.runs[0]} to {expect.runs[1]} runs"
        found.append(Deviation(subject, stated, f"{runs} runs"))
    if expect.within_ms is not None and record.latency_ms > expect.within_ms:
        stated = f"within {expect.within_ms} ms"
        found.append(Deviation(subject, stated, f"{record.latency_ms:.0f} ms"))
    if expect.versions is not None and not set(record.versions) <= set(expect.versions):
        found.append(Deviation(subject, f"versions {expect.versions}", str(record.versions)))
    return found


def _command_text(command: CommandRecord) -> str:
    return f"{command.status} {command.content}"


def _publish_nothing(model: str, version: int) -> None:
    return None


def _print_deviations(trace: Trace, deviations: list[Deviation], console: Console) -> None:
    console.print(
        f"{trace.header.name}: {len(trace.stimuli)} stimuli, {len(deviations)} deviations"
    )
    if not deviations:
        return
    table = Table()
    for column in ("what", "stated", "seen"):
        table.add_column(column)
    for each in deviations:
        table.add_row(each.subject, each.stated, each.seen)
    console.print(table)
