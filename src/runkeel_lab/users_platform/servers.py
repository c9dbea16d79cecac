"""Application servers and engines of the platform; they record the requests and orders received."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.pywsgi import WSGIServer

from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel_lab.standins.http import Connection, Handler, ResponseAbortedError
from runkeel_lab.users_platform.crashes import CrashPlan
from runkeel_lab.users_platform.store_server import StoreServer

ENTRY_EXPIRY_SECONDS = 1.0
"""Time from a server's crash to the removal of its entry from the store."""

_CONNECTION = "runkeel.connection"
Environment = dict[str, Any]
StartResponse = Callable[..., Any]


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a server ran; ``started`` is steady time in seconds."""

    request_id: str
    path: str
    started: float
    deadline_ms: str
    resumed_after: str
    headers: dict[str, str] = field(default_factory=dict, compare=False)
    """All headers of the request, with names in lower case."""


@dataclass(frozen=True, slots=True)
class Order:
    """An order that an engine received.

    ``received_at`` is the steady time of its arrival in seconds, even if it is executed later.
    """

    received_at: float
    holder: str
    token: int
    version: int
    accepted: bool


@dataclass(slots=True)
class ServerFaults:
    """Faults of a server, injected by setting attributes by name; each share is a probability.

    Attributes:
        failed_share: share of the requests run that get status 500.
        lost_share: share of the requests run whose connection is aborted.
        refused: whether all requests are refused with status 503, except control requests.
        slow_factor: factor on the time that a request takes.
        unanswered_orders: share of the orders that get no response and are executed later.
        stale_share: share of resumed generations that start over at the first event.
    """

    failed_share: float = 0.0
    lost_share: float = 0.0
    refused: bool = False
    slow_factor: float = 1.0
    unanswered_orders: float = 0.0
    stale_share: float = 0.0


class PlatformServer:
    """An application server.

    ``crashed`` is set by :meth:`crash`, but not by :meth:`stop`.
    """

    def __init__(
        self, server_id: str, service: str, zone: str, store: StoreServer, seed: int
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.faults = ServerFaults()
        self.runs: list[Run] = []
        self.work_seconds = 0.01
        self.slots = 6
        self.draining = False
        self.running = 0
        self.crashed = False
        self.crash_plan: CrashPlan | None = None
        self.born_ms = 0
        self.next_incarnation: PlatformServer | None = None
        """The next incarnation under this id."""
        self.seed = seed
        self._store = store
        self._random = random.Random(f"{seed} {server_id}")
        self._connections: list[Connection] = []
        self._server = self._listener(0)

    def _listener(self, port: int) -> WSGIServer:
        return WSGIServer(
            ("127.0.0.1", port), self._handle_request, log=None, handler_class=Handler
        )

    @property
    def address(self) -> Address:
        return Address("127.0.0.1", self._server.server_port)

    def start(self) -> None:
        """Listen, and write the entry to the store."""
        # Incarnations are told apart by this value, so it must grow even within a millisecond.
        self.born_ms = max(int(time.time() * 1000), self.born_ms + 1)
        try:
            self._server.start()
        except OSError:
            # Another process listens on the port of the previous server: take any free port.
            self._server = self._listener(0)
            self._server.start()
        self.report_state()

    def stop(self) -> None:
        """Stop listening, and remove the entry."""
        self._server.stop(timeout=0)
        self._store.objects.remove("servers", self.server_id)

    def crash(self) -> None:
        """Abort the listener and all connections at once; the entry expires later."""
        if self.crashed:
            return
        self.crashed = True
        self._server.stop(timeout=0)
        for connection in self._connections:
            connection.abort()
        gevent.spawn_later(ENTRY_EXPIRY_SECONDS, self._expire_entry)

    def _expire_entry(self) -> None:
        """Remove the entry, unless the next incarnation has written its own."""
        if self.next_incarnation is None:
            self._store.objects.remove("servers", self.server_id)

    def successor(self, number: int, reuse_id: bool = False) -> PlatformServer:
        """Return a replacement for this server, not yet started, at the same address.

        If that port is in use when the replacement starts, it listens on another one.

        Args:
            number: suffix of the new id, unless the id is kept.
            reuse_id: whether the replacement is the next incarnation under this id.
        """
        server_id = f"{self.server_id.partition('.')[0]}.{number}"
        replacement = self._new_instance(self.server_id if reuse_id else server_id)
        if reuse_id:
            self.next_incarnation = replacement
            replacement.born_ms = self.born_ms
        replacement.crash_plan, replacement.faults = self.crash_plan, self.faults
        replacement.work_seconds, replacement.slots = self.work_seconds, self.slots
        replacement._server = replacement._listener(self.address.port)
        return replacement

    def _new_instance(self, server_id: str) -> PlatformServer:
        return PlatformServer(server_id, self.service, self.zone, self._store, self.seed)

    def drain(self) -> None:
        """Report in the entry that this server takes no new work."""
        self.draining = True
        self.report_state()

    def report_state(self) -> None:
        """Write the server's entry, unless the server has crashed."""
        if self.crashed:
            return
        self._store.objects.put("servers", self.server_id, self._entry())

    def _entry(self) -> dict[str, Any]:
        return {
            "Service": self.service,
            "Address": str(self.address),
            "Zone": self.zone,
            "Slots": self.slots,
            "State": "draining" if self.draining else "ready",
            "Version": "v1",
            "ColdRemainingMs": 0,
            "Sequence": self.orders_accepted,
            "born": self.born_ms,
        }

    @property
    def entry(self) -> dict[str, Any]:
        """The entry for the current state."""
        return self._entry()

    @property
    def orders_accepted(self) -> int:
        """Number of orders that changed a weight version in this incarnation."""
        return 0

    def _handle_request(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        self._connections.append(environment[_CONNECTION])
        expected = environment.get("HTTP_EXPECT_INSTANCE")
        if expected and expected != self.server_id:
            start_response("421 Misdirected Request", [("Instance-Id", self.server_id)])
            return [b""]
        if environment["PATH_INFO"].startswith("/runkeel/"):
            return self._handle_control(environment, start_response)
        # Requests beyond the reported slots are accepted too, up to four times their number.
        if self.faults.refused or self.running >= 4 * self.slots:
            start_response("503 Service Unavailable", [("Not-Executed", "1")])
            return [b""]
        if self.crash_plan is not None and self.crash_plan.crashes(environment["PATH_INFO"]):
            self._crash_while_running(environment)
        return self._run(environment, start_response)

    def _crash_while_running(self, environment: Environment) -> None:
        """Start to run a request, and crash while it is in flight."""
        environment["wsgi.input"].read()
        self.crash_plan.record_reached(environment["PATH_INFO"], self.server_id)
        self._record_run(environment)
        gevent.sleep(self.crash_plan.crash_delay_seconds)
        if not self.crashed:
            self.crash()
            self.crash_plan.record_crash(environment["PATH_INFO"], self)
        raise ResponseAbortedError

    def _handle_control(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        start_response("404 Not Found", [])
        return [b""]

    def _record_run(self, environment: Environment) -> str:
        request_id = environment.get("HTTP_ATTEMPT_ID", "")
        self.runs.append(
            Run(
                request_id,
                environment["PATH_INFO"],
                steady_seconds(),
                environment.get("HTTP_DEADLINE_MS", ""),
                environment.get("HTTP_LAST_EVENT_ID", ""),
                _headers(environment),
            )
        )
        return request_id

    def _run(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        body = environment["wsgi.input"].read()
        request_id = self._record_run(environment)
        self.running += 1
        try:
            gevent.sleep(self.work_seconds * self.faults.slow_factor)
        finally:
            self.running -= 1
        headers = [("Attempt-Id", request_id)]
        if self._random.random() < self.faults.failed_share:
            start_response("500 Failed", headers)
            return [b"failed"]
        if self._random.random() < self.faults.lost_share:
            environment[_CONNECTION].abort()
            raise ResponseAbortedError
        start_response("200 OK", [*headers, ("Server-Stamp", f"{self.server_id}.{request_id}")])
        return [b"echo " + body]


def _headers(environment: Environment) -> dict[str, str]:
    prefix = "HTTP_"
    return {
        name.removeprefix(prefix).replace("_", "-").lower(): value
        for name, value in environment.items()
        if name.startswith(prefix)
    }


class PlatformEngine(PlatformServer):
    """A model server that streams events, holds weight versions and executes orders to load them.

    The n-th event of a generation contains ``ID:n``, so that the complete output is predictable.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        store: StoreServer,
        seed: int,
        models: tuple[str, ...],
    ) -> None:
        super().__init__(server_id, service, zone, store, seed)
        self.slots = 8
        self.event_seconds = 0.01
        self.load_seconds = 0.15
        self.versions = dict.fromkeys(models, 1)
        self.orders: list[Order] = []
        self._sequence = 0
        self._busy = False

    @property
    def orders_accepted(self) -> int:
        """Number of orders that changed a weight version in this incarnation."""
        return self._sequence

    def _new_instance(self, server_id: str) -> PlatformEngine:
        models = tuple(self.versions)
        replacement = PlatformEngine(
            server_id, self.service, self.zone, self._store, self.seed, models
        )
        replacement.versions = dict(self.versions)
        replacement.event_seconds, replacement.load_seconds = self.event_seconds, self.load_seconds
        return replacement

    def _entry(self) -> dict[str, Any]:
        models = [
            {"Name": model, "Version": version, "Adapters": []}
            for model, version in self.versions.items()
        ]
        return {**super()._entry(), "Stage": "both", "Models": models}

    def _handle_control(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        if environment["PATH_INFO"] == "/runkeel/report":
            start_response("200 OK", [("Content-Type", "application/json")])
            return [json.dumps(self._report()).encode()]
        if environment["PATH_INFO"] == "/runkeel/order":
            return self._receive_order(environment, start_response)
        return super()._handle_control(environment, start_response)

    def _report(self) -> dict[str, Any]:
        return {
            "born": self.born_ms,
            "Sequence": self._sequence,
            "Busy": self._busy,
            "RunningCount": self.running,
            "QueuedCount": 0,
            "Models": [
                {"Name": model, "Version": version} for model, version in self.versions.items()
            ],
        }

    def _receive_order(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        body = json.loads(environment["wsgi.input"].read())
        lost = self._random.random() < self.faults.unanswered_orders
        if lost:
            late = self._random.uniform(0.1, 1.0)
            gevent.spawn_later(late, self._execute_order_late, body, steady_seconds())
            environment[_CONNECTION].abort()
            raise ResponseAbortedError
        status = self._execute_order(body, steady_seconds())
        start_response(status, [])
        return [b""]

    def _execute_order_late(self, body: dict[str, Any], received_at: float) -> None:
        """Execute an order at the latest incarnation of this id, unless that one has crashed."""
        latest = self
        while latest.next_incarnation is not None:
            latest = latest.next_incarnation
        if not latest.crashed:
            latest._execute_order(body, received_at)

    def _execute_order(self, body: dict[str, Any], received_at: float) -> str:
        revision_matches = body.get("ExpectedRevision") in (None, self._sequence)
        accepted = revision_matches and not self._busy
        self.orders.append(
            Order(received_at, body["Holder"], body["FencingToken"], body["Version"], accepted)
        )
        if not accepted:
            return "409 Conflict"
        if self.versions[body["Model"]] == body["Version"]:
            return "200 OK"
        self._sequence += 1
        self._busy = True
        gevent.spawn_later(self.load_seconds, self._finish_load, body["Model"], body["Version"])
        return "202 Accepted"

    def _finish_load(self, model: str, version: int) -> None:
        self._busy = False
        self.versions[model] = version
        self.report_state()

    def _run(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        environment["wsgi.input"].read()
        request_id = self._record_run(environment)
        if self._random.random() < self.faults.failed_share:
            start_response("500 Failed", [("Attempt-Id", request_id)])
            return [b"failed"]
        model = environment.get("HTTP_MODEL", "")
        version = self.versions.get(model, 0)
        headers = [
            ("Attempt-Id", request_id),
            ("Content-Type", "text/event-stream"),
            ("Server-Stamp", f"{self.server_id}.{request_id}"),
            ("Weight-Versions", str(version)),
        ]
        start_response("200 OK", headers)
        first = int(environment.get("HTTP_LAST_EVENT_ID") or 0) + 1
        if first > 1 and self._random.random() < self.faults.stale_share:
            first = 1
        return self._events(environment, request_id, model, version, first)

    def _events(
        self, environment: Environment, request_id: str, model: str, version: int, first: int
    ) -> Iterator[bytes]:
        total = event_count(request_id)
        lost = self._random.random() < self.faults.lost_share
        self.running += 1
        try:
            for number in range(first, total + 1):
                gevent.sleep(self.event_seconds * self.faults.slow_factor)
                if lost and number > total // 2:
                    environment[_CONNECTION].abort()
                    return
                event = f"id: {number}\ndata: {request_id}:{number}\n\n"
                current = self.versions.get(model, 0)
                if current != version:
                    event = f"weight-versions: {current}\n{event}"
                    version = current
                yield event.encode()
        finally:
            self.running -= 1


def event_count(request_id: str) -> int:
    """Return the number of events of a generation; one in ten is long."""
    generator = random.Random(request_id)
    return generator.randint(3, 12) if generator.random() < 0.9 else generator.randint(30, 60)


def complete_output(request_id: str) -> str:
    """Return the complete output of a generation."""
    return "\n".join(f"{request_id}:{n}" for n in range(1, event_count(request_id) + 1))
