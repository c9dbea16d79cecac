"""A soak of requests that crash servers, beside what operators do, outages, and crashes by chance.

Clients send the same crashing request again and again, under other ids and at other nodes; servers
end by chance under innocent ones. The oracle, beyond that of
:mod:`runkeel_lab.users_platform.operations_soak`: a crashing request reaches servers three times at
the most later than three seconds after the third has ended under it; once all is quiet, every node
serves the innocent ones.
"""

from __future__ import annotations

import random

import gevent

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import CHAT_PREFIX, COUNT_PREFIX, RESERVE_PREFIX
from runkeel_lab.users_platform.operations_soak import OperationsSoak

CONTACT_SECONDS = 3.0
"""What nodes have on the users' platform to hear of each other's crashes."""

ALLOWED = 3
"""Servers that may be reached later than that after the third end."""

CRASHING_REQUESTS = 4
"""Most requests that crash servers in one soak; each ends six servers at the most."""

AGAIN_SECONDS = (0.1, 0.6)
"""A client comes again with a crashing request after so long."""

INNOCENT_SECONDS = 0.3
"""Pause between the sends of an innocent request."""

INNOCENT_REQUESTS = 4


class CrashSoak(OperationsSoak):
    """One soak with a seed; the same seed gives the same plan."""

    def __init__(self, seed: int, seconds: float, edges: int = 3) -> None:
        super().__init__(seed, seconds, edges)
        self._sends = 0
        self._innocent = [f"{COUNT_PREFIX}innocent-{n}" for n in range(INNOCENT_REQUESTS)]
        self._acts["request"] = self._crash_by_request
        self._acts["chance"] = self._crash_by_chance
        self._frequent_acts = ("request", "chance", "chance")

    def _start_tasks(self, end: float) -> list[gevent.Greenlet]:
        self._crash_by_request(random.Random(self._random.random()))
        innocent = [gevent.spawn(self._send_again, path, end) for path in self._innocent]
        return [*super()._start_tasks(end), *innocent]

    def _crash_by_request(self, rng: random.Random) -> None:
        """Let a client come with a request that crashes servers, until the end."""
        paths = self._deployment.crashes.paths
        if len(paths) >= CRASHING_REQUESTS:
            return
        prefix = rng.choice((COUNT_PREFIX, COUNT_PREFIX, RESERVE_PREFIX, CHAT_PREFIX))
        path = f"{prefix}crash-{len(paths)}"
        paths.add(path)
        end = self._began + self._seconds
        gevent.spawn(self._send_again, path, end, random.Random(rng.random()))

    def _crash_by_chance(self, rng: random.Random) -> None:
        """End one server, or all of a service at once."""
        servers = rng.choice((self._deployment.applications, self._deployment.engines))
        count = rng.choice((1, 1, 1, len(servers)))
        for server in rng.sample(servers, count):
            if not server.ended:
                self._deployment.crash(server)

    def _send_again(self, path: str, end: float, rng: random.Random | None = None) -> None:
        while steady_seconds() < end:
            edges = self._deployment.edge_names
            edge = rng.choice(edges) if rng is not None else edges[self._sends % len(edges)]
            gevent.spawn(self._send_once, edge, path)
            pause = rng.uniform(*AGAIN_SECONDS) if rng is not None else INNOCENT_SECONDS
            gevent.sleep(pause)

    def _send_once(self, edge: str, path: str) -> int:
        self._sends += 1
        headers = {"Attempt-Id": f"again-{self._sends}", "Deadline-Ms": "1500"}
        answer = self._deployment.call(edge, "POST", path, headers, b"rice")
        return answer.status if answer is not None else 0

    def _check(self) -> None:
        self._check_crashing()
        for edge in self._deployment.edge_names:
            for path in self._innocent:
                status = self._send_once(edge, path)
                if status != 200:
                    self._violated(f"{edge}: innocent {path} answers {status}")
        super()._check()

    def _check_crashing(self) -> None:
        plan = self._deployment.crashes
        for path in sorted(plan.paths):
            late = plan.reached_late(path, CONTACT_SECONDS)
            if late > ALLOWED:
                ends = sum(1 for event in plan.ended if event.path == path)
                self._violated(f"{path}: {late} servers reached late, {ends} ended in all")
