"""Soak test that injects random faults into a deployment and checks acknowledged work.

Checked at the end of a run:

- The results of an accepted job are complete: each item once, with the complete output of its
  generation, identical at every node and unchanged since they were first read.
- A non-idempotent request runs at most once.
- The orders to an engine come from one node at a time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

import gevent
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import COUNT_PREFIX, RESERVE_PREFIX, Deployment
from runkeel_lab.users_platform.faults import Faults
from runkeel_lab.users_platform.servers import complete_output
from runkeel_lab.users_platform.trace import COMPLETED, REFUSED, Trace, TraceEvent, write_trace

_JOB_INTERVAL_SECONDS = 1.0
_REQUEST_INTERVAL_SECONDS = 0.15
_FAULT_INTERVAL_SECONDS = 0.8
_READ_INTERVAL_SECONDS = 0.3
_ITEMS = 12
_SETTLE_TIMEOUT_SECONDS = 60.0
_ORDER_PAUSE_SECONDS = 0.5
_SIZES = {"edges": 3, "disks": 2, "engines": 3, "applications": 3}


@dataclass(slots=True)
class SoakReport:
    """Counts of a soak run, and the violations found."""

    accepted: int = 0
    reads: int = 0
    completed_items: int = 0
    failed_items: int = 0
    answered: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)


class SoakRun(Protocol):
    """A soak run of any kind."""

    def run(self) -> SoakReport:
        """Run the soak and return its report."""


class Soak:
    """One soak run; the seed determines the plan of faults.

    Args:
        seconds: length of the part of the run in which faults are injected.
        sizes: arguments of :class:`Deployment`: numbers of machines and servers.
    """

    def __init__(self, seed: int, seconds: float, sizes: dict[str, int] = _SIZES) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._sizes = sizes
        self._deployment = Deployment(seed, order_pause_seconds=_ORDER_PAUSE_SECONDS, **sizes)
        self._faults = Faults(self._deployment)
        self._events: list[TraceEvent] = []
        self._started_at = 0.0
        self._report = SoakReport()
        self._accepted: dict[str, list[str]] = {}
        self._seen: dict[str, list[dict[str, Any]]] = {}

    def run(self) -> SoakReport:
        """Run the soak and return its report."""
        deployment = self._deployment
        deployment.start()
        try:
            deployment.wait_ready()
            self._started_at = steady_seconds()
            end = steady_seconds() + self._seconds
            gevent.joinall(self._start_tasks(end))
            self._recover()
            self._check()
        finally:
            deployment.stop()
        return self._report

    def _start_tasks(self, end: float) -> list[gevent.Greenlet]:
        """Start the tasks that run while faults are injected."""
        return [
            gevent.spawn(self._repeat, end, _JOB_INTERVAL_SECONDS, self._submit),
            gevent.spawn(self._repeat, end, _REQUEST_INTERVAL_SECONDS, self._request),
            gevent.spawn(self._repeat, end, _READ_INTERVAL_SECONDS, self._read_random_job),
            gevent.spawn(self._repeat, end, _FAULT_INTERVAL_SECONDS, self._inject_faults),
        ]

    def _check(self) -> None:
        """Check acknowledged work against the final state."""
        self._check_jobs()
        self._check_runs()
        self._check_orders()

    def trace(self) -> Trace:
        """Return the trace of a finished run."""
        return Trace(dict(self._sizes), tuple(self._events))

    def _elapsed(self) -> float:
        return round(steady_seconds() - self._started_at, 3)

    def _repeat(self, end: float, pause: float, action: Any) -> None:
        while steady_seconds() < end:
            action()
            gevent.sleep(pause)

    def _edge(self) -> str:
        return self._random.choice(self._deployment.edge_names)

    def _submit(self) -> None:
        job_id = f"job{len(self._accepted)}-{self._random.randrange(1 << 30)}"
        items = [f"{job_id}-g{n // 4}-{n}" for n in range(_ITEMS)]
        edge, at = self._edge(), self._elapsed()
        status = self._deployment.submit(edge, job_id, items)
        outcome = {202: COMPLETED, 503: REFUSED}.get(status, "")
        self._events.append(TraceEvent(at, "job", edge, job_id, {"items": _ITEMS}, outcome))
        if status == 202:
            self._accepted[job_id] = items
            self._report.accepted += 1

    def _request(self) -> None:
        prefix = self._random.choice((COUNT_PREFIX, RESERVE_PREFIX))
        request_id = f"{prefix.strip('/')}-{self._random.randrange(1 << 40)}"
        headers = {"Attempt-Id": request_id, "Deadline-Ms": "1000"}
        gevent.spawn(self._send, prefix, headers)

    def _send(self, prefix: str, headers: dict[str, str]) -> None:
        request_id = headers["Attempt-Id"]
        body = request_id.encode()
        edge, at = self._edge(), self._elapsed()
        response = self._deployment.call(edge, "POST", f"{prefix}x", headers, body)
        details = {"prefix": prefix}
        outcome = str(response.status) if response is not None else ""
        self._events.append(TraceEvent(at, "request", edge, request_id, details, outcome))
        if response is None or response.status != 200:
            return
        self._report.answered += 1
        if response.body != b"echo " + body:
            self._report_violation(f"{body!r} got a response with body {response.body!r}")

    def _read_random_job(self) -> None:
        if self._accepted:
            self._read(self._random.choice(list(self._accepted)), self._edge())

    def _read(self, job_id: str, edge: str) -> list[dict[str, Any]] | None:
        """Read a job's results, which must start with the results read before."""
        results = self._deployment.results(edge, job_id)
        if results is None:
            return None
        seen = self._seen.get(job_id, [])
        common = min(len(seen), len(results))
        if results[:common] != seen[:common]:
            self._report_violation(f"{job_id}: results changed at {edge}")
        if len(results) > len(seen):
            self._seen[job_id] = results
        return results

    def _inject_faults(self) -> None:
        """Inject one fault drawn from the seeded generator."""
        fault = self._faults.draw(self._random, self._elapsed())
        self._report.faults[fault.act] = self._report.faults.get(fault.act, 0) + 1
        logger.info("fault", code="fault", fault=fault.act, target=fault.target)
        self._events.append(fault)
        self._faults.inject(fault)

    def _recover(self) -> None:
        self._faults.wait_until_recovered()

    def _check_jobs(self) -> None:
        deadline = steady_seconds() + _SETTLE_TIMEOUT_SECONDS
        for job_id, items in self._accepted.items():
            while len(self._read(job_id, self._edge()) or ()) < len(items):
                if steady_seconds() > deadline:
                    self._report_violation(f"{job_id}: results incomplete at the end")
                    break
                gevent.sleep(0.05)
            for edge in self._deployment.edge_names:
                self._read(job_id, edge)
            self._check_results(job_id, items)

    def _check_results(self, job_id: str, items: list[str]) -> None:
        results = self._seen.get(job_id, [])
        if sorted(result["Id"] for result in results) != sorted(items):
            self._report_violation(
                f"{job_id}: wrong set of results: {[result['Id'] for result in results]}"
            )
        self._check_contents(results)

    def _check_contents(self, results: list[dict[str, Any]]) -> None:
        """Check that each completed result has the complete output and score of its item."""
        for result in results:
            if result["State"] != "completed":
                self._report.failed_items += 1
                continue
            self._report.completed_items += 1
            if result["Text"] != complete_output(result["Id"]):
                self._report_violation(f"{result['Id']}: wrong output {result['Text']!r}")
            if not result.get("Score", "").endswith(f".score-{result['Id']}"):
                self._report_violation(f"{result['Id']}: wrong score {result.get('Score')!r}")

    def _check_runs(self) -> None:
        runs: dict[str, int] = {}
        deployment = self._deployment
        for server in [*deployment.applications, *deployment.former_servers]:
            for run in server.runs:
                if run.path.startswith(RESERVE_PREFIX):
                    runs[run.request_id] = runs.get(run.request_id, 0) + 1
        for request_id, count in runs.items():
            if count > 1:
                self._report_violation(f"{request_id} ran {count} times")

    def _check_orders(self) -> None:
        former = [one for one in self._deployment.former_servers if hasattr(one, "orders")]
        for engine in [*self._deployment.engines, *former]:
            # Sorted by arrival, not by execution: the holder only controls when it sends an order.
            orders = sorted(engine.orders, key=lambda order: order.received_at)
            for before, after in zip(orders, orders[1:], strict=False):
                if after.token < before.token:
                    self._report_violation(
                        f"{engine.server_id}: fencing token {after.token} after {before.token}"
                    )
                close = after.received_at - before.received_at < _ORDER_PAUSE_SECONDS
                if before.holder != after.holder and close:
                    self._report_violation(
                        f"{engine.server_id}: orders of {before.holder} and {after.holder} "
                        f"{after.received_at - before.received_at:.2f} s apart"
                    )

    def _report_violation(self, text: str) -> None:
        self._report.violations.append(text)


def run_soaks(
    seed: int,
    runs: int,
    make_soak: Callable[[int], SoakRun],
    record: Path | None = None,
) -> bool:
    """Run several soaks and print a line for each; return True if there were no violations.

    Args:
        make_soak: builds the soak for a seed.
        record: file for the trace of the last run.
    """
    logger.remove()
    passed = True
    for number in range(seed, seed + runs):
        soak = make_soak(number)
        report = soak.run()
        passed = passed and not report.violations
        faults = sum(report.faults.values())
        reads = f"{report.reads} reads, " if report.reads else ""
        print(
            f"seed {number}: {report.accepted} jobs, {report.completed_items} items completed, "
            f"{report.failed_items} failed, {report.answered} requests answered, {reads}"
            f"{faults} faults, {len(report.violations)} violations",
            flush=True,
        )
        for violation in report.violations[:5]:
            print(f"  {violation}", flush=True)
    if record is not None and runs:
        write_trace(record, soak.trace())
    return passed
