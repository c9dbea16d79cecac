"""Soak test of overlapping operator actions and store outages.

Actions: planned stops and kills, also of a process that is already stopping; configuration changes
in quick succession; outages of the store for all machines or for one, during which server entries
expire, and which end at different times on each machine. Clients keep their connections open until
the process is gone.

Checked in addition to :mod:`runkeel_lab.users_platform.soak`:

- A process never returns to an older configuration.
- A planned stop aborts no request that was forwarded, or sent more than ``ABORT_GRACE_SECONDS``
  before the connection ended.
- After recovery, every node serves all current plain routes and none that was removed.
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

SETTLE_SECONDS = 6.0
"""Recovery time after the last act; covers a planned stop and the return of server entries."""

ACT_PAUSES_SECONDS = (0.1, 0.9)
"""Range of the pause between two acts; shorter than most acts, so that they overlap."""

OUTAGE_LENGTH_SECONDS = (1.0, 5.0)
"""Range of the length of a store outage."""

ENTRY_EXPIRY_SECONDS = 2.4
"""Server entries expire when an outage has lasted this long."""

ENTRY_REWRITE_SECONDS = (0.3, 1.8)
"""Range of the time from the end of an outage until a server rewrites its entry.

The platform guarantees at most 2 s.
"""

ABORT_GRACE_SECONDS = 0.2
"""A request sent less than this before its connection closed may still have been in transit."""

MAX_ADDED_ROUTES = 4
_REQUEST_INTERVAL_SECONDS = 0.08
_SAMPLE_INTERVAL_SECONDS = 0.05
_RESPONSE_TIMEOUT_SECONDS = 3.0


class _Client:
    """A client of one machine that keeps one connection open."""

    def __init__(self, soak: OperationsSoak, edge: str, number: int) -> None:
        self._soak = soak
        self._edge = edge
        self._number = number
        self._sent = 0

    def run(self, end: float) -> None:
        """Send requests to each process on one connection until the process is gone."""
        while steady_seconds() < end:
            process = self._soak.process(self._edge)
            if process is None:
                gevent.sleep(_REQUEST_INTERVAL_SECONDS)
                continue
            pool = HttpConnectionPool(process.frontend_address)
            while self._soak.process(self._edge) is process and steady_seconds() < end:
                self._request(pool)
                gevent.sleep(_REQUEST_INTERVAL_SECONDS)
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
            response = pool.request(request, started + _RESPONSE_TIMEOUT_SECONDS)
        except RunkeelError as error:
            self._soak.check_failure(self._edge, request_id, started, error)
            return
        self._soak.check_response(request_id, response.status, response.body)


class OperationsSoak(Soak):
    """One soak run; the seed determines the plan of acts.

    Args:
        seconds: length of the part of the run in which acts are started.
        edges: number of machines that serve clients.
    """

    def __init__(self, seed: int, seconds: float, edges: int = 3) -> None:
        sizes = {"edges": edges, "disks": 3, "engines": 3, "applications": 3}
        super().__init__(seed, seconds, sizes)
        self._version = 1
        self._added: deque[str] = deque()
        self._dropped: list[str] = []
        self._killed_at: dict[str, float] = {}
        self._active_outages = 0
        """Number of current outages; servers rewrite their entries after the last one."""
        self._frequent_acts = ("outage", "outage")
        """Additional entries in the draw, to make these acts more frequent."""
        self._acts: dict[str, Callable[[random.Random], None]] = {
            "stop": self._stop,
            "kill": self._kill,
            "configure": self._configure,
            "outage": self._start_outage,
            "refuse": self._refuse_machine,
            "compact": lambda rng: self._deployment.store.objects.compact(),
        }

    def process(self, machine: str) -> Any:
        """Return the process on a machine, or None while it is down."""
        return self._deployment.node(machine)

    def check_response(self, request_id: str, status: int, body: bytes) -> None:
        """Check the response to a client's request."""
        if status == 200:
            self._report.answered += 1
            if body != b"echo " + request_id.encode():
                self._report_violation(f"{request_id} got a response with body {body!r}")

    def check_failure(
        self, edge: str, request_id: str, sent_at: float, error: RunkeelError
    ) -> None:
        """Check a request without a response: only a kill may abort a forwarded request."""
        if error.verdict is Verdict.NOT_RUN or self._killed_at.get(edge, 0.0) >= sent_at:
            return
        forwarded = any(
            run.request_id == request_id
            for server in [*self._deployment.applications, *self._deployment.former_servers]
            for run in server.runs
        )
        seconds = steady_seconds() - sent_at
        if forwarded or seconds > ABORT_GRACE_SECONDS:
            self._report_violation(
                f"{request_id} was aborted after {seconds:.2f} s: {error.detail}"
            )

    def _start_tasks(self, end: float) -> list[gevent.Greenlet]:
        clients = [_Client(self, edge, n) for edge in self._deployment.edge_names for n in range(2)]
        return [
            *super()._start_tasks(end),
            *(gevent.spawn(client.run, end) for client in clients),
            gevent.spawn(self._monitor_versions, end),
        ]

    def _inject_faults(self) -> None:
        """Start some acts drawn from the seeded generator."""
        for _ in range(self._random.randint(1, 4)):
            act = self._random.choice([*sorted(self._acts), *self._frequent_acts])
            rng = random.Random(self._random.randrange(1 << 30))
            self._report.faults[act] = self._report.faults.get(act, 0) + 1
            logger.info("act", code="act", act=act)
            self._acts[act](rng)
            gevent.sleep(self._random.uniform(*ACT_PAUSES_SECONDS))

    def _stop(self, rng: random.Random) -> None:
        """Drain and restart a machine; sometimes kill it while it drains."""
        name = rng.choice(self._deployment.node_names)
        gevent.spawn(self._deployment.restart_node, name, rng.uniform(0.0, 0.5))
        if rng.random() < 0.2:
            gevent.spawn_later(rng.uniform(0.0, 3.0), self._kill_machine, name)

    def _kill(self, rng: random.Random) -> None:
        coordinators = self._deployment.coordinators()
        name = rng.choice([*self._deployment.node_names, *coordinators])
        self._kill_machine(name)
        gevent.spawn_later(rng.uniform(0.0, 1.0), self._deployment.start_if_down, name)

    def _kill_machine(self, name: str) -> None:
        self._killed_at[name] = steady_seconds()
        self._deployment.kill_node(name)
        gevent.spawn_later(1.0, self._deployment.start_if_down, name)

    def _configure(self, rng: random.Random) -> None:
        """Write several configurations in quick succession; each adds a route and may drop one."""
        for _ in range(rng.randint(1, 3)):
            self._version += rng.randint(1, 3)
            self._added.append(f"/added{self._version}/")
            if len(self._added) > MAX_ADDED_ROUTES:
                self._dropped.append(self._added.popleft())
            more = tuple(route(one, one, "idempotent", APPLICATION) for one in self._added)
            self._deployment.configure(configuration(self._version, more))
            gevent.sleep(rng.uniform(0.05, 0.3))

    def _start_outage(self, rng: random.Random) -> None:
        """Start an outage of the store, after which the machines regain it one by one."""
        gevent.spawn(self._outage, rng)

    def _outage(self, rng: random.Random) -> None:
        fault = rng.choice(("refused", "silent"))
        seconds = rng.uniform(*OUTAGE_LENGTH_SECONDS)
        self._active_outages += 1
        setattr(self._deployment.store, fault, True)
        gevent.sleep(min(seconds, ENTRY_EXPIRY_SECONDS))
        servers = [*self._deployment.engines, *self._deployment.applications]
        if seconds > ENTRY_EXPIRY_SECONDS:
            for server in servers:
                self._deployment.store.objects.remove("servers", server.server_id)
            gevent.sleep(seconds - ENTRY_EXPIRY_SECONDS)
        self._active_outages -= 1
        if self._active_outages:
            return
        self._restore_store_gradually(rng)
        for server in servers:
            gevent.spawn_later(rng.uniform(*ENTRY_REWRITE_SECONDS), self._write_entry, server)

    def _restore_store_gradually(self, rng: random.Random) -> None:
        endpoints = [self._deployment.store_endpoint(name) for name in self._deployment.node_names]
        for endpoint in endpoints:
            endpoint.refused = True
            gevent.spawn_later(rng.uniform(0.0, 0.6), setattr, endpoint, "refused", False)
        self._deployment.store.refused = self._deployment.store.silent = False

    def _write_entry(self, server: Any) -> None:
        """Write a server's entry, as its heartbeat does, unless the store is down."""
        if not self._active_outages:
            server.report_state()

    def _refuse_machine(self, rng: random.Random) -> None:
        """Make the store refuse one machine while it serves the others."""
        endpoint = self._deployment.store_endpoint(rng.choice(self._deployment.node_names))
        endpoint.refused = True
        gevent.spawn_later(rng.uniform(0.5, 3.0), setattr, endpoint, "refused", False)

    def _monitor_versions(self, end: float) -> None:
        """Check that no process returns to an older configuration."""
        seen: dict[int, int] = {}
        while steady_seconds() < end:
            for name in self._deployment.edge_names:
                process = self.process(name)
                known = process.node.routing.configuration if process is not None else None
                if known is None:
                    continue
                if known.version < seen.get(id(process), 0):
                    self._report_violation(
                        f"{name}: returned to older configuration {known.version}"
                    )
                seen[id(process)] = known.version
            gevent.sleep(_SAMPLE_INTERVAL_SECONDS)

    def _recover(self) -> None:
        gevent.sleep(SETTLE_SECONDS)
        for name in self._deployment.node_names:
            self._deployment.start_if_down(name)
        self._deployment.wait_ready()
        gevent.sleep(SETTLE_SECONDS)

    def _check(self) -> None:
        self._check_routes()
        super()._check()

    def _check_routes(self) -> None:
        """Check that every node serves the current plain routes and rejects the dropped ones."""
        for edge in self._deployment.edge_names:
            for prefix in (COUNT_PREFIX, *self._added):
                self._check_status(edge, prefix, 200)
            for prefix in self._dropped[-MAX_ADDED_ROUTES:]:
                self._check_status(edge, prefix, 404)

    def _check_status(self, edge: str, prefix: str, wanted: int) -> None:
        headers = {"Attempt-Id": f"check-{edge}{prefix}", "Deadline-Ms": "1500"}
        response = self._deployment.call(edge, "POST", f"{prefix}x", headers, b"rice")
        status = response.status if response is not None else 0
        if status != wanted:
            self._report_violation(f"{edge}: {prefix} gave status {status}, expected {wanted}")
