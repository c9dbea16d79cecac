"""Soak test of requests that crash servers, besides operator actions, outages and random crashes.

Clients send the same crashing request repeatedly, with new ids and to different nodes. Servers also
crash at random while they run harmless requests.

Checked in addition to :mod:`runkeel_lab.users_platform.operations_soak`:

- From ``PROPAGATION_SECONDS`` after its third crash, a crashing request reaches at most
  ``MAX_LATE_RUNS`` servers. It is sent again after recovery, when all servers are back.
- After recovery, every node serves the harmless requests.
"""

from __future__ import annotations

import random

import gevent

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import CHAT_PREFIX, COUNT_PREFIX, RESERVE_PREFIX
from runkeel_lab.users_platform.operations_soak import OperationsSoak

PROPAGATION_SECONDS = 3.0
"""Time that the platform allows nodes to learn of crashes seen by other nodes."""

MAX_LATE_RUNS = 3
"""Maximum number of runs that a crashing request may start after ``PROPAGATION_SECONDS``."""

MAX_CRASHING_REQUESTS = 4
"""Maximum number of different crashing requests in one run."""

RETRY_INTERVAL_SECONDS = (0.1, 0.6)
"""Range of the pause before a client repeats a crashing request."""

HARMLESS_INTERVAL_SECONDS = 0.3
"""Pause before a harmless request is repeated."""

HARMLESS_REQUEST_COUNT = 4

LAST_SENDS = 10
"""Maximum number of times that each crashing request is sent after recovery."""

LAST_SEND_PAUSE_SECONDS = 0.3
"""Pause between these sends, in which crashed servers are replaced."""


class CrashSoak(OperationsSoak):
    """One soak run; the seed determines the plan of acts."""

    def __init__(self, seed: int, seconds: float, edges: int = 3) -> None:
        super().__init__(seed, seconds, edges)
        self._sends = 0
        self._harmless_paths = [
            f"{COUNT_PREFIX}innocent-{n}" for n in range(HARMLESS_REQUEST_COUNT)
        ]
        self._acts["request"] = self._add_crashing_request
        self._acts["chance"] = self._crash_at_random
        self._frequent_acts = ("request", "chance", "chance")

    def _start_tasks(self, end: float) -> list[gevent.Greenlet]:
        self._add_crashing_request(random.Random(self._random.random()))
        harmless = [gevent.spawn(self._send_repeatedly, path, end) for path in self._harmless_paths]
        return [*super()._start_tasks(end), *harmless]

    def _add_crashing_request(self, rng: random.Random) -> None:
        """Add a crashing request, which a client repeats until the end of the faults."""
        paths = self._deployment.crashes.paths
        if len(paths) >= MAX_CRASHING_REQUESTS:
            return
        prefix = rng.choice((COUNT_PREFIX, COUNT_PREFIX, RESERVE_PREFIX, CHAT_PREFIX))
        path = f"{prefix}crash-{len(paths)}"
        paths.add(path)
        end = self._started_at + self._seconds
        gevent.spawn(self._send_repeatedly, path, end, random.Random(rng.random()))

    def _crash_at_random(self, rng: random.Random) -> None:
        """Crash one server, or all servers of a service at once."""
        servers = rng.choice((self._deployment.applications, self._deployment.engines))
        count = rng.choice((1, 1, 1, len(servers)))
        for server in rng.sample(servers, count):
            if not server.crashed:
                self._deployment.crash(server)

    def _send_repeatedly(self, path: str, end: float, rng: random.Random | None = None) -> None:
        while steady_seconds() < end:
            edges = self._deployment.edge_names
            edge = rng.choice(edges) if rng is not None else edges[self._sends % len(edges)]
            gevent.spawn(self._send_once, edge, path)
            pause = (
                rng.uniform(*RETRY_INTERVAL_SECONDS)
                if rng is not None
                else HARMLESS_INTERVAL_SECONDS
            )
            gevent.sleep(pause)

    def _send_once(self, edge: str, path: str) -> int:
        self._sends += 1
        headers = {"Attempt-Id": f"again-{self._sends}", "Deadline-Ms": "1500"}
        response = self._deployment.call(edge, "POST", path, headers, b"rice")
        return response.status if response is not None else 0

    def _check(self) -> None:
        for edge in self._deployment.edge_names:
            for path in self._harmless_paths:
                status = self._send_once(edge, path)
                if status != 200:
                    self._report_violation(f"{edge}: innocent {path} answers {status}")
        super()._check()
        # Last, as the other checks need all servers.
        paths = sorted(self._deployment.crashes.paths)
        gevent.joinall(
            [gevent.spawn(self._send_after_recovery, path) for path in paths], raise_error=True
        )
        self._check_crashing_requests()

    def _send_after_recovery(self, path: str) -> None:
        """Send a crashing request until it has reached too many servers, or ``LAST_SENDS`` times.

        An outage or a stalled process can leave so little time before the recovery that a request
        which isn't quarantined reaches few servers.
        """
        edges = self._deployment.edge_names
        for number in range(LAST_SENDS):
            if self._count_late_runs(path) > MAX_LATE_RUNS:
                return
            self._send_once(edges[number % len(edges)], path)
            gevent.sleep(LAST_SEND_PAUSE_SECONDS)

    def _count_late_runs(self, path: str) -> int:
        return self._deployment.crashes.count_late_runs(path, PROPAGATION_SECONDS)

    def _check_crashing_requests(self) -> None:
        plan = self._deployment.crashes
        for path in sorted(plan.paths):
            late = self._count_late_runs(path)
            if late > MAX_LATE_RUNS:
                ends = sum(1 for event in plan.ended if event.path == path)
                self._report_violation(f"{path}: {late} servers reached late, {ends} ended in all")
