"""A soak of what operators do, in series that overlap, beside outages in which servers lapse.

Planned stops and kills, also of a process that is stopping already; configurations a tenth of a
second apart; outages of the store, for all machines or some, that end at one machine after the
other. Clients keep using their connections until the process is gone.

The oracle, beyond that of :mod:`runkeel_lab.users_platform.soak`: a process never goes back to an
older configuration; a planned stop cuts no request that was passed on, or sent 0.2 s before; once
all is quiet, every node serves the plain routes, old and new, and no route that was dropped.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from loguru import logger

from runkeel.backends.http_connection import HttpConnectionPool, OutgoingRequest
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel_lab.users_platform.deployment import (
    APPLICATION,
    COUNT_PREFIX,
    HOST,
    configuration,
    route,
)
from runkeel_lab.users_platform.soak import Soak

QUIET_SECONDS = 6.0
"""After the last disturbance all is as it was: a stop takes 3.2 s, servers are back after 2 s."""

ACT_PAUSES_SECONDS = (0.1, 0.9)
"""Between two acts; most last longer, so that they overlap."""

OUTAGE_SECONDS = (1.0, 5.0)
"""Length of an outage of the store."""

LAPSE_SECONDS = 2.4
"""Entries of servers lapse when the store has been away for so long."""

RETURN_SECONDS = (0.3, 1.8)
"""Servers write themselves again so long after the store's return; 2 s are promised."""

CUT_SECONDS = 0.2
"""A request that was sent so long before its connection ended did not cross the end."""

ADDED_ROUTES = 4
_REQUEST_SECONDS = 0.08
_SAMPLE_SECONDS = 0.05
_ANSWER_SECONDS = 3.0


class _Client:
    """One client of one machine, with one connection that it keeps."""

    def __init__(self, soak: OperationsSoak, edge: str, number: int) -> None:
        self._soak = soak
        self._edge = edge
        self._number = number
        self._sent = 0

    def run(self, end: float) -> None:
        """Use each process's connection until the process is gone."""
        while steady_seconds() < end:
            process = self._soak.process(self._edge)
            if process is None:
                gevent.sleep(_REQUEST_SECONDS)
                continue
            pool = HttpConnectionPool(process.frontend_address)
            while self._soak.process(self._edge) is process and steady_seconds() < end:
                self._request(pool)
                gevent.sleep(_REQUEST_SECONDS)
            pool.close()

    def _request(self, pool: HttpConnectionPool) -> None:
        self._sent += 1
        request_id = f"kept-{self._edge}-{self._number}-{self._sent}"
        headers = [("Attempt-Id", request_id), ("Deadline-Ms", "1500")]
        request = OutgoingRequest(
            "POST", f"{COUNT_PREFIX}x", headers, request_id.encode(), host=HOST
        )
        started = steady_seconds()
        try:
            answer = pool.request(request, started + _ANSWER_SECONDS)
        except RunkeelError as error:
            self._soak.note_cut(self._edge, request_id, started, error)
            return
        self._soak.note_answer(request_id, answer.status, answer.body)


class OperationsSoak(Soak):
    """One soak with a seed; the same seed gives the same plan.

    Args:
        edges: machines that serve clients.
    """

    def __init__(self, seed: int, seconds: float, edges: int = 3) -> None:
        sizes = {"edges": edges, "disks": 3, "engines": 3, "applications": 3}
        super().__init__(seed, seconds, sizes)
        self._version = 1
        self._added: deque[str] = deque()
        self._dropped: list[str] = []
        self._killed_at: dict[str, float] = {}
        self._out = 0
        """Outages that are under way; servers are back after the last one."""
        self._frequent_acts = ("outage", "outage")
        """These are drawn more often than the others."""
        self._acts: dict[str, Callable[[random.Random], None]] = {
            "stop": self._stop,
            "kill": self._kill,
            "configure": self._configure,
            "outage": self._lose_store,
            "refuse": self._refuse_one,
            "compact": lambda rng: self._deployment.store.objects.compact(),
        }

    def process(self, machine: str) -> Any:
        """Return the process on a machine, None while there is none."""
        return self._deployment.node(machine)

    def note_answer(self, request_id: str, status: int, body: bytes) -> None:
        """Check a client's answer."""
        if status == 200:
            self._report.answered += 1
            if body != b"echo " + request_id.encode():
                self._violated(f"{request_id} got the answer {body!r}")

    def note_cut(self, edge: str, request_id: str, sent_at: float, error: RunkeelError) -> None:
        """Check a request without an answer: only a kill may cut what was passed on."""
        if error.verdict is Verdict.NOT_RUN or self._killed_at.get(edge, 0.0) >= sent_at:
            return
        passed_on = any(
            run.request_id == request_id
            for server in [*self._deployment.applications, *self._deployment.former_servers]
            for run in server.runs
        )
        seconds = steady_seconds() - sent_at
        if passed_on or seconds > CUT_SECONDS:
            self._violated(f"{request_id} was cut after {seconds:.2f} s: {error.detail}")

    def _start_tasks(self, end: float) -> list[gevent.Greenlet]:
        clients = [_Client(self, edge, n) for edge in self._deployment.edge_names for n in range(2)]
        return [
            *super()._start_tasks(end),
            *(gevent.spawn(client.run, end) for client in clients),
            gevent.spawn(self._watch_versions, end),
        ]

    def _disturb(self) -> None:
        """Begin one act after another for a while; the plan is drawn by the seed."""
        for _ in range(self._random.randint(1, 4)):
            act = self._random.choice([*sorted(self._acts), *self._frequent_acts])
            rng = random.Random(self._random.randrange(1 << 30))
            self._report.faults[act] = self._report.faults.get(act, 0) + 1
            logger.info("act", code="act", act=act)
            self._acts[act](rng)
            gevent.sleep(self._random.uniform(*ACT_PAUSES_SECONDS))

    def _stop(self, rng: random.Random) -> None:
        """Stop a machine as planned and start it again; now and then it is killed meanwhile."""
        name = rng.choice(self._deployment.node_names)
        gevent.spawn(self._restart, name, self.process(name), rng.uniform(0.0, 0.5))
        if rng.random() < 0.2:
            gevent.spawn_later(rng.uniform(0.0, 3.0), self._kill_named, name)

    def _restart(self, name: str, process: Any, pause: float) -> None:
        if process is None or process.stop_requested.is_set():
            return
        process.stop_requested.set()
        self._deployment.stop_node(name)
        gevent.sleep(pause)
        self._start_if_down(name)

    def _kill(self, rng: random.Random) -> None:
        coordinators = self._deployment.coordinators()
        name = rng.choice([*self._deployment.node_names, *coordinators])
        self._kill_named(name)
        gevent.spawn_later(rng.uniform(0.0, 1.0), self._start_if_down, name)

    def _kill_named(self, name: str) -> None:
        self._killed_at[name] = steady_seconds()
        self._deployment.kill_node(name)
        gevent.spawn_later(1.0, self._start_if_down, name)

    def _start_if_down(self, name: str) -> None:
        if self.process(name) is None:
            self._deployment.start_node(name)

    def _configure(self, rng: random.Random) -> None:
        """Write some versions in quick succession; each adds a route, and drops an old one."""
        for _ in range(rng.randint(1, 3)):
            self._version += rng.randint(1, 3)
            self._added.append(f"/added{self._version}/")
            if len(self._added) > ADDED_ROUTES:
                self._dropped.append(self._added.popleft())
            more = tuple(route(one, one, "idempotent", APPLICATION) for one in self._added)
            self._deployment.configure(configuration(self._version, more))
            gevent.sleep(rng.uniform(0.05, 0.3))

    def _lose_store(self, rng: random.Random) -> None:
        """Let the store be away for a while; servers lapse, and it comes back bit by bit."""
        gevent.spawn(self._outage, rng)

    def _outage(self, rng: random.Random) -> None:
        way = rng.choice(("refused", "silent"))
        seconds = rng.uniform(*OUTAGE_SECONDS)
        self._out += 1
        setattr(self._deployment.store, way, True)
        gevent.sleep(min(seconds, LAPSE_SECONDS))
        servers = [*self._deployment.engines, *self._deployment.applications]
        if seconds > LAPSE_SECONDS:
            for server in servers:
                self._deployment.store.objects.remove("servers", server.server_id)
            gevent.sleep(seconds - LAPSE_SECONDS)
        self._out -= 1
        if self._out:
            return
        self._let_in_bit_by_bit(rng)
        for server in servers:
            gevent.spawn_later(rng.uniform(*RETURN_SECONDS), self._write_entry, server)

    def _let_in_bit_by_bit(self, rng: random.Random) -> None:
        doors = [self._deployment.store_of(name) for name in self._deployment.node_names]
        for door in doors:
            door.refused = True
            gevent.spawn_later(rng.uniform(0.0, 0.6), setattr, door, "refused", False)
        self._deployment.store.refused = self._deployment.store.silent = False

    def _write_entry(self, server: Any) -> None:
        """Let a server write its entry, as each of its heartbeats does where it is missing."""
        if not self._out:
            server.report_state()

    def _refuse_one(self, rng: random.Random) -> None:
        """Let the store turn one machine away while it serves the others."""
        door = self._deployment.store_of(rng.choice(self._deployment.node_names))
        door.refused = True
        gevent.spawn_later(rng.uniform(0.5, 3.0), setattr, door, "refused", False)

    def _watch_versions(self, end: float) -> None:
        """See that no process goes back to an older configuration."""
        seen: dict[int, int] = {}
        while steady_seconds() < end:
            for name in self._deployment.edge_names:
                process = self.process(name)
                known = process.node.routing.configuration if process is not None else None
                if known is None:
                    continue
                if known.version < seen.get(id(process), 0):
                    self._violated(f"{name}: version {known.version} came back")
                seen[id(process)] = known.version
            gevent.sleep(_SAMPLE_SECONDS)

    def _heal(self) -> None:
        gevent.sleep(QUIET_SECONDS)
        for name in self._deployment.node_names:
            self._start_if_down(name)
        self._deployment.wait_ready()
        gevent.sleep(QUIET_SECONDS)

    def _check(self) -> None:
        self._check_routes()
        super()._check()

    def _check_routes(self) -> None:
        """Ask every node for the plain routes, those that were added and those that are gone."""
        for edge in self._deployment.edge_names:
            for prefix in (COUNT_PREFIX, *self._added):
                self._check_status(edge, prefix, 200)
            for prefix in self._dropped[-ADDED_ROUTES:]:
                self._check_status(edge, prefix, 404)

    def _check_status(self, edge: str, prefix: str, wanted: int) -> None:
        headers = {"Attempt-Id": f"check-{edge}{prefix}", "Deadline-Ms": "1500"}
        answer = self._deployment.call(edge, "POST", f"{prefix}x", headers, b"rice")
        status = answer.status if answer is not None else 0
        if status != wanted:
            self._violated(f"{edge}: {prefix} answers {status}, not {wanted}")
