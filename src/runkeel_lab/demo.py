"""The demonstration: the food bank at its size of today, checked against the journals."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import gevent
from rich.console import Console
from rich.table import Table

from runkeel_lab.deployment import load_deployment
from runkeel_lab.experiment import TrainerSpec
from runkeel_lab.http_client import TransportError
from runkeel_lab.journals import Journals
from runkeel_lab.launcher import EmulatedDeployment
from runkeel_lab.load.arrivals import LengthDistribution
from runkeel_lab.load.caller import Caller, NodeTarget
from runkeel_lab.load.classes import CallerClass, CallKind
from runkeel_lab.load.plans import plan_calls
from runkeel_lab.load.records import CallRecord, Outcome
from runkeel_lab.operators import OperatorClient
from runkeel_lab.processes import LabError
from runkeel_lab.runner import SETTLE_SECONDS, fresh_folder
from runkeel_lab.summary import make_console
from runkeel_lab.trainer import Trainer
from runkeel_lab.verify_callers import CallerVerifier
from runkeel_lab.verify_samples import verify_trainer

DEPLOYMENT_PATH = Path("examples/food-bank.toml")
SEED = 1
_MODEL = "allocation"
_SERVICE = "ledger"
_STEPS = 3
_DEPLOY_SECONDS = 12.0
_TRAINER_SECONDS = 20.0
_DRAINED_SETTLE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Check:
    """One thing that the demonstration shows; ``evidence`` says what was seen."""

    name: str
    holds: bool
    evidence: str


class Demo:
    """Runs the demonstration on a deployment that is up."""

    def __init__(self, running: EmulatedDeployment, console: Console) -> None:
        self.records: list[CallRecord] = []
        self._running = running
        self._console = console
        self._targets = running.targets()
        self._operator = OperatorClient(self._targets, "demo")
        self._trainer: Trainer | None = None
        self._drained = running.plan.applications[0]
        self._drain_accepted = 0.0
        self._deploy_accepted = 0.0
        self._deploy_seconds: float | None = None

    def run(self) -> None:
        """Show everything, one after another."""
        steps: tuple[tuple[str, Callable[[], None]], ...] = (
            ("stock queries through the first node", self._lookups),
            ("reservations, each sent again through another node", self._reservations),
            ("streamed allocation drafts", self._drafts),
            ("rollouts, pulled by a trainer", self._train),
            ("a new weight version, by an operator's command", self._deploy),
            ("a drained server", self._drain),
        )
        for title, step in steps:
            began = time.monotonic()
            step()
            self._console.print(f"{title}: {time.monotonic() - began:.1f} s")

    def _send(
        self, name: str, kind: CallKind, pool: str, count: int, targets: Sequence[NodeTarget]
    ) -> list[CallRecord]:
        caller_class = CallerClass(
            name=name,
            kind=kind,
            pool=pool,
            rate=100.0,
            deadline_ms=10_000,
            service_ms=LengthDistribution(median=3.0, tail_fraction=0.0),
            tokens=LengthDistribution(median=24.0, tail_fraction=0.0),
        )
        calls = list(plan_calls(caller_class, SEED, count / 25.0))[:count]
        caller = Caller(targets, self._running.deployment.client_delay_ms / 1000.0)
        tasks = [
            gevent.spawn(caller.run, call, number, time.monotonic())
            for number, call in enumerate(calls)
        ]
        gevent.joinall(tasks, raise_error=True)
        records = [task.value for task in tasks]
        self.records += records
        return records

    def _lookups(self) -> None:
        self._send("lookup", CallKind.LOOKUP, _SERVICE, 40, self._targets[:1])

    def _reservations(self) -> None:
        """The second sending carries the same key, as a client that lost its answer would."""
        self._send("reservation", CallKind.RESERVE, _SERVICE, 20, self._targets)
        self._send("reservation", CallKind.RESERVE, _SERVICE, 20, self._targets[1:])

    def _drafts(self) -> None:
        self._send("draft", CallKind.DRAFT_STREAM, _MODEL, 12, self._targets)

    def _train(self) -> None:
        spec = TrainerSpec(
            name="trainer",
            model=_MODEL,
            tasks_per_step=16,
            train_ms=200.0,
            steps_per_version=0,
            maximum_steps=_STEPS,
            tokens=LengthDistribution(median=32.0, tail_fraction=0.05, tail_factor=4.0),
        )
        self._trainer = Trainer(spec, self._targets, self._running.publish_weights, SEED)
        self._trainer.run(time.monotonic() + _TRAINER_SECONDS, grace_seconds=0.0)

    def _deploy(self) -> None:
        self._running.publish_weights(_MODEL, 2)
        text = f"deploy model {_MODEL} version 2"
        record = self._operator.command(text, node_number=1, retry_seconds=5.0)
        if not record.accepted:
            return
        self._deploy_accepted = record.ended
        deadline = record.ended + _DEPLOY_SECONDS
        while time.monotonic() < deadline and not self._all_engines_at(2):
            gevent.sleep(0.1)
        self._send("draft-after", CallKind.DRAFT, _MODEL, 8, self._targets)

    def _all_engines_at(self, version: int) -> bool:
        for engine in self._running.plan.engines:
            try:
                state = self._running.control("GET", engine.id, "/fault/state")
            except TransportError:
                return False
            if state["weight_version"] != version:
                return False
        self._deploy_seconds = time.monotonic() - self._deploy_accepted
        return True

    def _drain(self) -> None:
        text = f"drain backend {self._drained.id}"
        record = self._operator.command(text, node_number=2, retry_seconds=5.0)
        if not record.accepted:
            return
        self._drain_accepted = record.ended
        gevent.sleep(_DRAINED_SETTLE_SECONDS)
        self._send("lookup-after-drain", CallKind.LOOKUP, _SERVICE, 40, self._targets[:1])

    # Checks

    def checks(self, journals: Journals) -> list[Check]:
        """Return what the journals prove."""
        plan = self._running.plan
        runs = journals.executions([backend.id for backend in plan.backends()])
        found = CallerVerifier(runs, self._running.deployment.configured_pools()).verify(
            self.records
        )
        answered = sum(record.outcome is Outcome.ANSWERED for record in self.records)
        detail = f"{answered} of {len(self.records)} answered; {len(found)} violations"
        if found:
            detail += f": {found[0].kind} {found[0].subject} {found[0].detail}"
        return [
            Check("whole answers to their own requests", not found, detail),
            self._check_all_answered(),
            self._check_reservations(journals),
            self._check_other_zone(journals),
            *self._check_samples(),
            self._check_deploy(journals),
            self._check_new_version(),
            self._check_drain(journals),
        ]

    def _check_all_answered(self) -> Check:
        others = [r for r in self.records if r.outcome is not Outcome.ANSWERED]
        detail = ", ".join(
            f"{r.nonce}: {r.outcome} {r.attempts[-1].status} {r.attempts[-1].code}"
            for r in others[:3]
        )
        return Check("every request answered", bool(self.records) and not others, detail or "all")

    def _check_reservations(self, journals: Journals) -> Check:
        servers = [server.id for server in self._running.plan.applications]
        keys = {record.nonce for record in self.records if record.kind == CallKind.RESERVE}
        runs = [run for run in journals.executions(servers) if run.nonce in keys]
        holds = bool(keys) and len(runs) == len(keys)
        return Check("a reservation sent twice ran once", holds, f"{len(keys)}: {len(runs)} runs")

    def _check_other_zone(self, journals: Journals) -> Check:
        """Look for queries, all sent through the first node, that ran in another zone."""
        home = self._running.plan.nodes[0].zone
        zones = {server.id: server.zone for server in self._running.plan.applications}
        nonces = {r.nonce for r in self.records if r.kind == CallKind.LOOKUP}
        places: dict[str, int] = {}
        for run in journals.executions(zones):
            if run.nonce in nonces:
                places[zones[run.standin]] = places.get(zones[run.standin], 0) + 1
        holds = any(zone != home for zone in places)
        detail = ", ".join(f"{zone}: {count}" for zone, count in sorted(places.items()))
        return Check(f"through {home}, answered in another zone", holds, detail)

    def _check_samples(self) -> list[Check]:
        trainer = self._trainer
        if trainer is None:
            return [Check("rollouts", False, "no trainer ran")]
        findings = verify_trainer(trainer, lambda _: 0)
        wanted = trainer.spec.tasks_per_step * _STEPS
        whole = len(trainer.steps) == _STEPS and findings.samples == wanted
        versions = sorted(
            {entry.version for step in trainer.steps for s in step.samples for entry in s.versions}
        )
        detail = f"{findings.samples} of {wanted} samples in {len(trainer.steps)} steps"
        if trainer.errors:
            detail += f"; errors {trainer.errors}"
        found = findings.violations
        labelled = f"versions {versions}; {len(found)} violations"
        if found:
            labelled += f": {found[0].kind} {found[0].subject} {found[0].detail}"
        return [
            Check("each step whole", whole, detail),
            Check("each sample once, labelled and scored truly", whole and not found, labelled),
        ]

    def _check_deploy(self, journals: Journals) -> Check:
        engines = self._running.plan.engines
        swapped = {
            event.standin
            for engine in engines
            for event in journals.of(engine.id, "swapped")
            if event.fields.get("version") == 2
        }
        seconds = "-" if self._deploy_seconds is None else f"{self._deploy_seconds:.1f} s"
        detail = f"{len(swapped)} of {len(engines)} engines, {seconds} after acceptance"
        if not self._deploy_accepted:
            detail = self._refused("deploy")
        return Check("new version on every engine", len(swapped) == len(engines), detail)

    def _check_new_version(self) -> Check:
        records = [record for record in self.records if record.caller_class == "draft-after"]
        versions = sorted({version for record in records for version in record.versions})
        return Check("drafts made by the new version", versions == [2], f"versions {versions}")

    def _check_drain(self, journals: Journals) -> Check:
        if not self._drain_accepted:
            return Check("drained server got no new work", False, self._refused("drain"))
        since = self._drain_accepted + _DRAINED_SETTLE_SECONDS
        late = [e for e in journals.of(self._drained.id, "received") if e.at > since]
        sent = sum(record.caller_class == "lookup-after-drain" for record in self.records)
        detail = f"{self._drained.id}: {len(late)} of {sent} later queries"
        return Check("drained server got no new work", bool(sent) and not late, detail)

    def _refused(self, verb: str) -> str:
        for record in self._operator.records:
            if record.command.startswith(verb):
                return f"not accepted: {record.status} {record.content}"
        return "not sent"


def run_demo(out: Path) -> bool:
    """Run the demonstration; return whether everything held."""
    console = make_console()
    folder = fresh_folder(out)
    deployment = load_deployment(DEPLOYMENT_PATH)
    began = time.monotonic()
    with EmulatedDeployment(deployment, folder, SEED) as running:
        console.print(
            f"{deployment.name}: {len(running.plan.nodes)} nodes, "
            f"{len(running.plan.engines)} engines, {len(running.plan.applications)} servers, "
            f"up after {time.monotonic() - began:.1f} s; logs in {folder}"
        )
        gevent.sleep(SETTLE_SECONDS)
        demo = Demo(running, console)
        try:
            demo.run()
        except (LabError, TransportError) as error:
            console.print(f"ended early: {error}", markup=False)
    checks = demo.checks(Journals.read(folder / "journals"))
    _print_checks(checks, console)
    console.print(f"{time.monotonic() - began:.1f} s in all")
    return all(check.holds for check in checks)


def _print_checks(checks: Sequence[Check], console: Console) -> None:
    table = Table(title="seen by the callers and in the journals", title_justify="left")
    table.add_column("what")
    table.add_column("holds")
    table.add_column("evidence")
    for check in checks:
        table.add_row(check.name, "yes" if check.holds else "NO", check.evidence)
    console.print(table)
