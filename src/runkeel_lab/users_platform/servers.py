"""Application servers and engines of the platform; they write down what reaches them."""

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
from runkeel_lab.standins.http import AnswerAbortedError, Connection, Handler
from runkeel_lab.users_platform.crashes import CrashPlan
from runkeel_lab.users_platform.store_server import StoreServer

LAPSE_SECONDS = 1.0
"""The entry of a server that crashed goes after so long."""

_CONNECTION = "runkeel.connection"
Environment = dict[str, Any]
StartResponse = Callable[..., Any]


@dataclass(frozen=True, slots=True)
class Run:
    """One request that a server ran."""

    request_id: str
    path: str
    started: float
    deadline_ms: str
    resumed_after: str
    headers: dict[str, str] = field(default_factory=dict, compare=False)
    """All of its headers; names in lower case."""


@dataclass(frozen=True, slots=True)
class Order:
    """One order that an engine received; ``sent_at`` is when it arrived, taken late or not."""

    sent_at: float
    holder: str
    token: int
    version: int
    accepted: bool


@dataclass(slots=True)
class ServerFaults:
    """What goes wrong at a server; shares are of the requests that it runs."""

    failed_share: float = 0.0
    lost_share: float = 0.0
    refused: bool = False
    slow_factor: float = 1.0
    unanswered_orders: float = 0.0
    stale_share: float = 0.0
    """Share of the continued generations that are answered by an earlier run's events."""


class PlatformServer:
    """An application server."""

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
        self.ended = False
        self.plan: CrashPlan | None = None
        self.born_ms = 0
        self.heir: PlatformServer | None = None
        """The next start under this id."""
        self.seed = seed
        self._store = store
        self._random = random.Random(f"{seed} {server_id}")
        self._connections: list[Connection] = []
        self._server = self._listener(0)

    def _listener(self, port: int) -> WSGIServer:
        return WSGIServer(("127.0.0.1", port), self._answer, log=None, handler_class=Handler)

    @property
    def address(self) -> Address:
        """Where it listens."""
        return Address("127.0.0.1", self._server.server_port)

    def start(self) -> None:
        """Listen and enter the store's list."""
        # Two starts within a millisecond would be one to everybody.
        self.born_ms = max(int(time.time() * 1000), self.born_ms + 1)
        try:
            self._server.start()
        except OSError:
            # The address of the server before has gone to somebody else meanwhile.
            self._server = self._listener(0)
            self._server.start()
        self.report_state()

    def stop(self) -> None:
        """Fall silent; the entry goes."""
        self._server.stop(timeout=0)
        self._store.objects.remove("servers", self.server_id)

    def crash(self) -> None:
        """End without a word: the listener and all connections at once, the entry later."""
        if self.ended:
            return
        self.ended = True
        self._server.stop(timeout=0)
        for connection in self._connections:
            connection.abort()
        gevent.spawn_later(LAPSE_SECONDS, self._lapse)

    def _lapse(self) -> None:
        """Take the entry away, unless the next start has written it anew."""
        if self.heir is None:
            self._store.objects.remove("servers", self.server_id)

    def successor(self, number: int, keeps_id: bool = False) -> PlatformServer:
        """Return what is started in this server's place, at the same address.

        Args:
            number: makes its id, unless it keeps this one's.
        """
        server_id = f"{self.server_id.partition('.')[0]}.{number}"
        after = self._like(self.server_id if keeps_id else server_id)
        if keeps_id:
            self.heir = after
            after.born_ms = self.born_ms
        after.plan, after.faults = self.plan, self.faults
        after.work_seconds, after.slots = self.work_seconds, self.slots
        after._server = after._listener(self.address.port)
        return after

    def _like(self, server_id: str) -> PlatformServer:
        return PlatformServer(server_id, self.service, self.zone, self._store, self.seed)

    def drain(self) -> None:
        """Say that this server takes no new work."""
        self.draining = True
        self.report_state()

    def report_state(self) -> None:
        """Write this server's entry; one that has ended writes nothing more."""
        if self.ended:
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
            "Sequence": self.orders_taken,
            "born": self.born_ms,
        }

    @property
    def entry(self) -> dict[str, Any]:
        """Its entry as it would write it now."""
        return self._entry()

    @property
    def orders_taken(self) -> int:
        """Orders since its start."""
        return 0

    def _answer(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        self._connections.append(environment[_CONNECTION])
        expected = environment.get("HTTP_EXPECT_INSTANCE")
        if expected and expected != self.server_id:
            start_response("421 Misdirected Request", [("Instance-Id", self.server_id)])
            return [b""]
        if environment["PATH_INFO"].startswith("/runkeel/"):
            return self._answer_control(environment, start_response)
        if self.faults.refused or self.running >= 4 * self.slots:
            start_response("503 Service Unavailable", [("Not-Executed", "1")])
            return [b""]
        if self.plan is not None and self.plan.crashes(environment["PATH_INFO"]):
            self._crash_under(environment)
        return self._run(environment, start_response)

    def _crash_under(self, environment: Environment) -> None:
        """Begin to run a request, and end while doing so."""
        environment["wsgi.input"].read()
        self.plan.note_reached(environment["PATH_INFO"], self.server_id)
        self._note_run(environment)
        gevent.sleep(self.plan.seconds)
        if not self.ended:
            self.crash()
            self.plan.note_ended(environment["PATH_INFO"], self)
        raise AnswerAbortedError

    def _answer_control(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        start_response("404 Not Found", [])
        return [b""]

    def _note_run(self, environment: Environment) -> str:
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
        request_id = self._note_run(environment)
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
            raise AnswerAbortedError
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
    """A model server: streams of events, weight versions, orders.

    The n-th event of a generation holds ``ID:n``, so that its whole text is known beforehand.
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
    def orders_taken(self) -> int:
        """Orders since its start."""
        return self._sequence

    def _like(self, server_id: str) -> PlatformEngine:
        models = tuple(self.versions)
        after = PlatformEngine(server_id, self.service, self.zone, self._store, self.seed, models)
        after.versions = dict(self.versions)
        after.event_seconds, after.load_seconds = self.event_seconds, self.load_seconds
        return after

    def _entry(self) -> dict[str, Any]:
        models = [
            {"Name": model, "Version": version, "Adapters": []}
            for model, version in self.versions.items()
        ]
        return {**super()._entry(), "Stage": "both", "Models": models}

    def _answer_control(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        if environment["PATH_INFO"] == "/runkeel/report":
            start_response("200 OK", [("Content-Type", "application/json")])
            return [json.dumps(self._report()).encode()]
        if environment["PATH_INFO"] == "/runkeel/order":
            return self._take_order(environment, start_response)
        return super()._answer_control(environment, start_response)

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

    def _take_order(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        body = json.loads(environment["wsgi.input"].read())
        lost = self._random.random() < self.faults.unanswered_orders
        if lost:
            late = self._random.uniform(0.1, 1.0)
            gevent.spawn_later(late, self._carry_out_late, body, steady_seconds())
            environment[_CONNECTION].abort()
            raise AnswerAbortedError
        status = self._carry_out(body, steady_seconds())
        start_response(status, [])
        return [b""]

    def _carry_out_late(self, body: dict[str, Any], sent_at: float) -> None:
        """Carry an order out, at the start that bears the id by now."""
        present = self
        while present.heir is not None:
            present = present.heir
        if not present.ended:
            present._carry_out(body, sent_at)

    def _carry_out(self, body: dict[str, Any], sent_at: float) -> str:
        fits = body.get("ExpectedRevision") in (None, self._sequence)
        accepted = fits and not self._busy
        self.orders.append(
            Order(sent_at, body["Holder"], body["FencingToken"], body["Version"], accepted)
        )
        if not accepted:
            return "409 Conflict"
        if self.versions[body["Model"]] == body["Version"]:
            return "200 OK"
        self._sequence += 1
        self._busy = True
        gevent.spawn_later(self.load_seconds, self._loaded, body["Model"], body["Version"])
        return "202 Accepted"

    def _loaded(self, model: str, version: int) -> None:
        self._busy = False
        self.versions[model] = version
        self.report_state()

    def _run(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        environment["wsgi.input"].read()
        request_id = self._note_run(environment)
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
    """Return how many events a generation has; a few are long."""
    generator = random.Random(request_id)
    return generator.randint(3, 12) if generator.random() < 0.9 else generator.randint(30, 60)


def whole_text(request_id: str) -> str:
    """Return the whole text of a generation."""
    return "\n".join(f"{request_id}:{n}" for n in range(1, event_count(request_id) + 1))
