"""Replays recorded traces and checks for the outcomes recorded in them.

Whether a single request fails depends on timing, so only a share of the requests that succeeded
when recorded has to succeed again. Checked without tolerance: accepted jobs have exactly one result
for each item, with its complete output, and non-idempotent requests run at most once.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import gevent
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import RESERVE_PREFIX, Deployment
from runkeel_lab.users_platform.faults import Faults
from runkeel_lab.users_platform.servers import complete_output
from runkeel_lab.users_platform.trace import COMPLETED, Trace, TraceEvent, read_trace

_SEED = 1
_SETTLE_TIMEOUT_SECONDS = 60.0
_POLL_INTERVAL_SECONDS = 0.05
_MAX_SUBMISSIONS = 5
"""Attempts to submit a job that was accepted when recorded, since a trainer retries too."""

_RETRY_SECONDS = 0.5
_STATUS_OK = "200"
_MIN_ANSWERED_SHARE = 0.9
"""Share of the requests with status 200 when recorded that must get it again."""


class Replay:
    """Replays one trace on a deployment of its own."""

    def __init__(self, trace: Trace) -> None:
        self._trace = trace
        self._deployment = Deployment(_SEED, **trace.sizes)
        self._faults = Faults(self._deployment)
        self._accepted: dict[str, list[str]] = {}
        self._answered: set[str] = set()
        self.violations: list[str] = []

    def run(self) -> list[str]:
        """Replay the trace and return the violations."""
        self._deployment.start()
        try:
            self._deployment.wait_ready()
            started = steady_seconds()
            tasks = []
            for event in self._trace.events:
                gevent.sleep(max(0.0, started + event.at - steady_seconds()))
                tasks.append(gevent.spawn(self._execute, event))
            gevent.joinall(tasks)
            self._faults.wait_until_recovered()
            self._check_jobs()
            self._check_requests()
        finally:
            self._deployment.stop()
        return self.violations

    def _execute(self, event: TraceEvent) -> None:
        if event.act == "job":
            self._submit(event)
        elif event.act == "request":
            self._request(event)
        elif self._faults.is_fault(event.act):
            self._faults.inject(event)
        else:
            self.violations.append(f"unknown act {event.act!r}")

    def _submit(self, event: TraceEvent) -> None:
        job_id = event.subject
        items = [f"{job_id}-g{n // 4}-{n}" for n in range(event.details["items"])]
        edges = self._deployment.edge_names
        first = edges.index(event.target)
        for number in range(_MAX_SUBMISSIONS if event.outcome == COMPLETED else 1):
            edge = edges[(first + number) % len(edges)]
            if self._deployment.submit(edge, job_id, items) == 202:
                self._accepted[job_id] = items
                return
            gevent.sleep(_RETRY_SECONDS)

    def _request(self, event: TraceEvent) -> None:
        headers = {"Attempt-Id": event.subject, "Deadline-Ms": "1000"}
        body = event.subject.encode()
        target = f"{event.details['prefix']}x"
        response = self._deployment.call(event.target, "POST", target, headers, body)
        if response is None or response.status != int(_STATUS_OK):
            return
        self._answered.add(event.subject)
        if response.body != b"echo " + body:
            self.violations.append(f"{event.subject} got a response with body {response.body!r}")

    def _check_jobs(self) -> None:
        for event in self._trace.events:
            expected = event.act == "job" and event.outcome == COMPLETED
            if expected and event.subject not in self._accepted:
                self.violations.append(f"{event.subject}: not accepted in {_MAX_SUBMISSIONS} tries")
        deadline = steady_seconds() + _SETTLE_TIMEOUT_SECONDS
        for job_id, items in self._accepted.items():
            self._check_results(job_id, items, deadline)

    def _check_results(self, job_id: str, items: list[str], deadline: float) -> None:
        edge = self._deployment.edge_names[0]
        while len(results := self._deployment.results(edge, job_id) or []) < len(items):
            if steady_seconds() > deadline:
                break
            gevent.sleep(_POLL_INTERVAL_SECONDS)
        if sorted(result["Id"] for result in results) != sorted(items):
            self.violations.append(
                f"{job_id}: wrong set of results: {[one['Id'] for one in results]}"
            )
        for result in results:
            if result["State"] == COMPLETED and result["Text"] != complete_output(result["Id"]):
                self.violations.append(f"{result['Id']}: wrong output {result['Text']!r}")

    def _check_requests(self) -> None:
        expected = {
            event.subject
            for event in self._trace.events
            if event.act == "request" and event.outcome == _STATUS_OK
        }
        missing = expected - self._answered
        if len(missing) > (1.0 - _MIN_ANSWERED_SHARE) * len(expected):
            self.violations.append(f"{len(missing)} of {len(expected)} requests not answered")
        runs: dict[str, int] = {}
        for server in self._deployment.applications:
            for run in server.runs:
                if run.path.startswith(RESERVE_PREFIX):
                    runs[run.request_id] = runs.get(run.request_id, 0) + 1
        doubled = sorted(name for name, count in runs.items() if count > 1)
        if doubled:
            self.violations.append(f"ran more than once: {doubled}")


def replay_files(paths: Iterable[Path]) -> bool:
    """Replay traces and print a line for each; return True if there were no violations."""
    logger.remove()
    passed = True
    for path in paths:
        trace = read_trace(path)
        violations = Replay(trace).run()
        passed = passed and not violations
        print(f"{path.name}: {len(trace.events)} events, {len(violations)} violations", flush=True)
        for violation in violations[:5]:
            print(f"  {violation}", flush=True)
    return passed
