"""Demonstration: runs a small deployment and checks it against what clients and servers saw."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import gevent
from loguru import logger
from rich.console import Console
from rich.table import Table

from runkeel.api.usage import UsageSettings
from runkeel.clock import steady_seconds
from runkeel_lab.run_chart import RunChart
from runkeel_lab.users_platform.deployment import (
    COUNT_PREFIX,
    MODEL,
    RESERVE_PREFIX,
    Deployment,
    configuration,
    key_header,
    tenant,
)
from runkeel_lab.users_platform.servers import complete_output, event_count

SEED = 1
STEPS = 3
GROUPS = 6
GROUP_SIZE = 4
WAIT_TIMEOUT_SECONDS = 15.0
DRAIN_PROPAGATION_SECONDS = 1.5
"""Time after which a draining server must get no new requests."""

KITCHEN_KEY = "demo-kitchen"
SCHOOL_KEY = "demo-school"
SCHOOL_SECOND_KEY = "demo-school-2"
_KITCHEN = tenant("kitchen", KITCHEN_KEY)
USAGE = UsageSettings(window_seconds=1.0, late_seconds=4.0)
"""Shorter windows than in production, so that the demonstration can wait for a report."""

_WIDTH_WITHOUT_TERMINAL = 150
_POLL_SECONDS = 0.02
_DEADLINE = {"Deadline-Ms": "1500"}


@dataclass(frozen=True, slots=True)
class Check:
    """Result of one check; ``evidence`` describes what was observed."""

    name: str
    holds: bool
    evidence: str


class DemoPartError(Exception):
    """A part of the demonstration failed or timed out."""


class Demo:
    """Runs the parts of the demonstration on a started deployment."""

    def __init__(self, deployment: Deployment, chart: RunChart) -> None:
        self.checks: list[Check] = []
        self._deployment = deployment
        self._chart = chart

    def run(self, console: Console) -> None:
        """Run all parts and print the duration of each."""
        parts: tuple[tuple[str, Callable[[], None]], ...] = (
            ("lookups through every edge node", self._lookups),
            ("two tenants, one key revoked", self._tenants),
            ("reservations whose responses are lost, and one that is refused", self._reservations),
            ("three training steps, each on newer weights", self._train),
            ("a draining server", self._drain),
            ("a job submitted during a store outage", self._outage),
            ("a coordinator failure during a job", self._kill_coordinator),
            ("usage reports", self._usage),
        )
        for title, part in parts:
            started = steady_seconds()
            self._chart.add_mark(title)
            try:
                part()
            except DemoPartError as error:
                self._check(title, False, str(error))
            console.print(f"{title}: {steady_seconds() - started:.1f} s", markup=False)

    def _check(self, name: str, holds: bool, evidence: str) -> None:
        self.checks.append(Check(name, holds, evidence))

    def _wait(self, what: str, condition: Callable[[], object]) -> object:
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while not (value := condition()):
            if steady_seconds() > deadline:
                raise DemoPartError(f"{what}: not within {WAIT_TIMEOUT_SECONDS:.0f} s")
            gevent.sleep(_POLL_SECONDS)
        return value

    def _send(self, edge: str, prefix: str, request_id: str, key: str = KITCHEN_KEY) -> int:
        """Send a request; return the status, 0 without a response or with a wrong body."""
        started = steady_seconds()
        headers = {"Attempt-Id": request_id} | _DEADLINE | key_header(key)
        response = self._deployment.call(
            edge, "POST", f"{prefix}rice", headers, request_id.encode()
        )
        status = response.status if response is not None else 0
        self._chart.add_request(started, steady_seconds(), status)
        if status == 200 and response.body != f"echo {request_id}".encode():
            return 0
        return status

    def _runs(self, request_id: str) -> int:
        servers = self._deployment.applications
        return sum(run.request_id == request_id for server in servers for run in server.runs)

    def _lookups(self) -> None:
        edges = self._deployment.edge_names
        ids = [f"lookup-{number}" for number in range(60)]
        tasks = [
            gevent.spawn(self._send, edges[number % len(edges)], COUNT_PREFIX, request_id)
            for number, request_id in enumerate(ids)
        ]
        gevent.joinall(tasks)
        succeeded = sum(task.value == 200 for task in tasks)
        detail = f"{succeeded} of {len(ids)}"
        self._check("responses complete and for the right request", succeeded == len(ids), detail)

    def _tenants(self) -> None:
        deployment = self._deployment
        keys = {"none": "", "unknown": "x", "school": SCHOOL_KEY}
        statuses = {
            name: self._send("edge-0", COUNT_PREFIX, name, key) for name, key in keys.items()
        }
        tenants_seen = [
            run.headers.get("tenant")
            for server in deployment.applications
            for run in server.runs
            if run.request_id == "school"
        ]
        holds = statuses == {"none": 401, "unknown": 401, "school": 200} and tenants_seen == [
            "school"
        ]
        self._check(
            "only known keys accepted, servers get the tenant",
            holds,
            f"{statuses}, tenants {tenants_seen}",
        )
        tenants = (_KITCHEN, tenant("school", SCHOOL_SECOND_KEY))
        deployment.configure(configuration(2, tenants=tenants))
        started = steady_seconds()
        self._wait(
            "refusal of the revoked key",
            lambda: self._send("edge-1", COUNT_PREFIX, "taken", SCHOOL_KEY) == 401,
        )
        detail = f"refused after {steady_seconds() - started:.2f} s"
        self._check("revoked key refused", True, detail)

    def _usage(self) -> None:
        """Compare reported usage with the runs of the servers, once the last window is reported."""
        ran: dict[str, set[str]] = {}
        for server in self._deployment.applications:
            for run in server.runs:
                if "tenant" in run.headers:
                    ran.setdefault(run.headers["tenant"], set()).add(run.request_id)
        expected = {name: len(requests) for name, requests in ran.items()}

        def reported() -> dict[str, int]:
            totals: dict[str, int] = {}
            windows = {one.window: one.counts for one in self._deployment.duties.reports}
            for counts in windows.values():
                for name, count in counts.items():
                    totals[name] = totals.get(name, 0) + count
            return totals

        self._wait("report of the last window", lambda: reported() == expected)
        problems = self._deployment.duties.problems()
        detail = (
            problems[0] if problems else f"{expected} in {len(self._deployment.duties.reports)}"
        )
        self._check("usage reported once and in full", not problems, f"{detail} reports")

    def _outage(self) -> None:
        items = [f"outage-g0-{number}" for number in range(8)]
        self._deployment.store.refused = True
        gevent.sleep(0.5)
        status = self._deployment.submit("edge-0", "outage", items, STEPS, KITCHEN_KEY)

        def ran() -> int:
            return sum(
                run.request_id in items for one in self._deployment.engines for run in one.runs
            )

        try:
            self._wait("runs of all items", lambda: ran() >= len(items))
        finally:
            self._deployment.store.refused = False
        results = self._wait_for_results("outage", len(items))
        complete = sum(result.get("Text") == complete_output(result["Id"]) for result in results)
        detail = f"status {status}, {complete} of {len(items)} complete after the outage"
        self._check("job accepted during a store outage", status == 202 and complete == 8, detail)

    def _reservations(self) -> None:
        servers = self._deployment.applications
        for server in servers:
            server.faults.lost_share = 1.0
        lost = [self._send("edge-0", RESERVE_PREFIX, f"lost-{number}") for number in range(4)]
        runs = [self._runs(f"lost-{number}") for number in range(4)]
        for server in servers:
            server.faults.lost_share = 0.0
        detail = f"statuses {sorted(set(lost))}, {sum(runs)} runs of {len(lost)}"
        self._check(
            "non-idempotent requests ran once", set(lost) == {502} and set(runs) == {1}, detail
        )
        for server in servers:
            server.faults.refused = True
        refused = self._send("edge-1", RESERVE_PREFIX, "refused")
        for server in servers:
            server.faults.refused = False
        gevent.sleep(0.2)
        runs_of_refused = self._runs("refused")
        detail = f"status {refused}, {runs_of_refused} runs"
        self._check("refused request did not run", (refused, runs_of_refused) == (503, 0), detail)

    def _train(self) -> None:
        samples = 0
        problems: list[str] = []
        for step in range(1, STEPS + 1):
            results = self._run_step(step, f"step-{step}")
            samples += len(results)
            problems += self._find_defects(results, step)
            if step < STEPS:
                self._publish_version(step + 1)
        wanted = STEPS * GROUPS * GROUP_SIZE
        detail = f"{samples} of {wanted} samples in {STEPS} steps"
        self._check("each step complete", samples == wanted, detail)
        detail = problems[0] if problems else f"versions 1 to {STEPS}, one per step"
        self._check("each sample has the right text, version and score", not problems, detail)

    def _run_step(self, version: int, job_id: str) -> list[dict]:
        started = steady_seconds()
        items = [
            f"{job_id}-g{group}-{number}" for group in range(GROUPS) for number in range(GROUP_SIZE)
        ]
        if self._deployment.submit("edge-0", job_id, items, version, KITCHEN_KEY) != 202:
            raise DemoPartError(f"{job_id} was not accepted")
        results = self._wait_for_results(job_id, len(items))
        self._chart.add_step(started, steady_seconds(), version)
        return results

    def _wait_for_results(self, job_id: str, count: int) -> list[dict]:
        def read() -> list[dict] | None:
            results = self._deployment.results("edge-1", job_id, key=KITCHEN_KEY)
            return results if results is not None and len(results) == count else None

        return self._wait(f"the results of {job_id}", read)

    def _find_defects(self, results: list[dict], version: int) -> list[str]:
        """Return defects of samples that must all have been generated by one version."""
        problems = []
        for result in results:
            name = result["Id"]
            if result.get("Text") != complete_output(name):
                problems.append(f"{name}: text is incomplete or wrong")
            if result.get("WeightVersions") != [version]:
                problems.append(
                    f"{name}: versions {result.get('WeightVersions')}, expected {version}"
                )
            if not str(result.get("Score", "")).endswith(f".score-{name}"):
                problems.append(f"{name}: wrong score {result.get('Score')}")
        return problems

    def _publish_version(self, version: int) -> None:
        """Publish a version, as a trainer does, and wait until an engine has loaded it."""
        started = steady_seconds()
        self._deployment.publish_version(version)

        def engines_at_version() -> int:
            return sum(one.versions[MODEL] == version for one in self._deployment.engines)

        self._wait(f"load of version {version} by an engine", engines_at_version)
        seconds = steady_seconds() - started
        self._chart.add_version(steady_seconds(), version)
        self._check(
            f"version {version} loaded by an engine", True, f"{seconds:.1f} s after publication"
        )

    def _drain(self) -> None:
        server = self._deployment.applications[0]
        server.drain()
        gevent.sleep(DRAIN_PROPAGATION_SECONDS)
        before = len(server.runs)
        edges = self._deployment.edge_names
        statuses = [
            self._send(edges[number % len(edges)], COUNT_PREFIX, f"later-{number}")
            for number in range(30)
        ]
        late = len(server.runs) - before
        holds = not late and set(statuses) == {200}
        self._check("draining server gets no new requests", holds, f"{late} of 30 later requests")

    def _kill_coordinator(self) -> None:
        for engine in self._deployment.engines:
            engine.event_seconds = 0.05
        names = (f"last-g{number}-{number}" for number in range(400))
        items = [name for name in names if event_count(name) > 30][:6]
        if self._deployment.submit("edge-0", "last", items, STEPS, KITCHEN_KEY) != 202:
            raise DemoPartError("the last job was not accepted")
        gevent.sleep(1.2)
        (victim,) = self._deployment.coordinators()
        self._deployment.kill_node(victim)
        self._chart.add_mark(f"{victim} killed")
        results = self._wait_for_results("last", len(items))
        complete = sum(result.get("Text") == complete_output(result["Id"]) for result in results)
        resumed = sum(
            bool(run.resumed_after) for engine in self._deployment.engines for run in engine.runs
        )
        (successor,) = self._deployment.coordinators()
        detail = f"{complete} of {len(items)} complete, {resumed} runs resumed, now by {successor}"
        self._check(
            "job survives the loss of its coordinator",
            complete == len(items) and resumed > 0,
            detail,
        )


def run_demo(out: Path) -> bool:
    """Run the demonstration; return whether all checks passed.

    Args:
        out: folder for the nodes' log and the chart.
    """
    out.mkdir(parents=True, exist_ok=True)
    console = Console()
    if not console.is_terminal:
        console = Console(width=_WIDTH_WITHOUT_TERMINAL)
    logger.remove()
    logger.add(out / "nodes.log", serialize=True, mode="w")
    started = steady_seconds()
    tenants = (_KITCHEN, tenant("school", SCHOOL_KEY, SCHOOL_SECOND_KEY))
    deployment = Deployment(
        SEED, edges=3, disks=3, engines=4, applications=3, tenants=tenants, usage=USAGE
    )
    deployment.start()
    try:
        deployment.wait_ready()
        console.print(
            f"{len(deployment.node_names)} nodes, {len(deployment.engines)} engines, "
            f"{len(deployment.applications)} servers on loopback, "
            f"up after {steady_seconds() - started:.1f} s; log lines in {out / 'nodes.log'}"
        )
        chart = RunChart()
        demo = Demo(deployment, chart)
        demo.run(console)
    finally:
        deployment.stop()
    _print_checks(demo.checks, console)
    chart.write(out / "day.png")
    console.print(f"chart: {out / 'day.png'}; {steady_seconds() - started:.1f} s in total")
    return all(check.holds for check in demo.checks)


def _print_checks(checks: Sequence[Check], console: Console) -> None:
    table = Table(title="checks of what clients and servers saw", title_justify="left")
    table.add_column("check")
    table.add_column("passed")
    table.add_column("evidence")
    for check in checks:
        table.add_row(check.name, "yes" if check.holds else "NO", check.evidence)
    console.print(table)
