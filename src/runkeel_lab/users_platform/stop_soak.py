"""Soak test of planned stops that overlap, under clients with open connections.

All edge nodes are stopped, one shortly after the other. Clients connect before or during the stops
and send one request each at any time until the process is gone: plain requests of both kinds and
streams, fast and slow, with deadlines from a fraction of the grace period to more than all of it.
The configuration changes meanwhile.

Checked for each request that was sent after the stop of its node had begun:

- If a server ran it, its response is complete, unless its own deadline passed first.
- If it was refused, no server ran it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import gevent
from gevent import socket
from runkeel_platform.process import NodeProcess

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import (
    CHAT_PREFIX,
    COUNT_PREFIX,
    HOST,
    RESERVE_PREFIX,
    Deployment,
    configuration,
)
from runkeel_lab.users_platform.soak import SoakReport

_PREFIXES = (COUNT_PREFIX, RESERVE_PREFIX, CHAT_PREFIX)
_CLIENTS_PER_EDGE = 60
_DEADLINE_SECONDS = (0.3, 10.0)
_STOP_OFFSET_SECONDS = 2.0
"""Maximum time between the first and the last stop."""

_LAST_CONNECT_SECONDS = 2.5
"""Time after the beginning of a stop until which clients still connect."""

_GRACE_SECONDS = 8.0
_DEADLINE_TOLERANCE_SECONDS = 0.1
_END_OF_CHUNKS = b"0\r\n\r\n"


@dataclass(slots=True)
class _Exchange:
    """One request of a client; times are steady times in seconds."""

    request_id: str
    sent_at: float
    deadline_seconds: float
    response: bytes = b""
    ended_at: float = 0.0

    @property
    def status(self) -> int:
        """Status of the response; 0 without one."""
        words = self.response.split(b" ", 2)
        return int(words[1]) if len(words) > 2 else 0

    @property
    def complete(self) -> bool:
        """Whether the response is complete."""
        head, separator, body = self.response.partition(b"\r\n\r\n")
        if not separator:
            return False
        for line in head.lower().split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name == b"content-length":
                return len(body) == int(value)
        return body.endswith(_END_OF_CHUNKS)

    @property
    def deadline_passed(self) -> bool:
        """Whether the response ended no earlier than the request's own deadline."""
        return self.ended_at >= self.sent_at + self.deadline_seconds - _DEADLINE_TOLERANCE_SECONDS


class StopSoak:
    """One soak run; the seed determines the servers' speeds, the stops and the requests."""

    def __init__(self, seed: int, edges: int = 3) -> None:
        self._random = random.Random(seed)
        self._deployment = Deployment(seed, edges=edges, engines=3, applications=3)
        self._report = SoakReport()
        self._exchanges: list[_Exchange] = []
        self._stopped_at: dict[str, float] = {}

    def run(self) -> SoakReport:
        """Run the soak and return its report."""
        deployment = self._deployment
        deployment.start()
        try:
            deployment.wait_ready()
            self._set_speeds()
            tasks = [gevent.spawn(self._change_configuration)]
            for edge in deployment.edge_names:
                tasks += self._stop_under_load(deployment.node(edge))
            gevent.joinall(tasks, raise_error=True)
            self._check()
        finally:
            deployment.stop()
        return self._report

    def _set_speeds(self) -> None:
        for server in self._deployment.applications:
            server.work_seconds = self._random.uniform(0.01, 1.2)
        for engine in self._deployment.engines:
            engine.event_seconds = self._random.uniform(0.02, 0.4)

    def _change_configuration(self) -> None:
        for version in range(2, 6):
            gevent.sleep(_STOP_OFFSET_SECONDS)
            self._deployment.configure(configuration(version))

    def _stop_under_load(self, process: NodeProcess) -> list[gevent.Greenlet]:
        offset = self._random.uniform(0.0, _STOP_OFFSET_SECONDS)
        stops_at = steady_seconds() + offset
        stop = gevent.spawn_later(offset, process.drain_and_stop)
        self._report.faults["stop"] = self._report.faults.get("stop", 0) + 1
        clients = []
        for _ in range(_CLIENTS_PER_EDGE):
            connect_at = stops_at + self._random.uniform(-offset, _LAST_CONNECT_SECONDS)
            send_at = self._random.uniform(max(connect_at, stops_at), stops_at + _GRACE_SECONDS)
            clients.append(gevent.spawn(self._exchange, process, connect_at, send_at))
        return [stop, *clients]

    def _exchange(self, process: NodeProcess, connect_at: float, send_at: float) -> None:
        request_id = f"{len(self._exchanges)}-{self._random.randrange(1 << 40)}"
        exchange = _Exchange(request_id, send_at, self._random.uniform(*_DEADLINE_SECONDS))
        self._exchanges.append(exchange)
        prefix = self._random.choice(_PREFIXES)
        gevent.sleep(max(0.0, connect_at - steady_seconds()))
        try:
            address = process.frontend_address
            client = socket.create_connection((address.host, address.port))
        except OSError:
            return
        with client:
            client.settimeout(2 * _GRACE_SECONDS)
            gevent.sleep(max(0.0, send_at - steady_seconds()))
            exchange.sent_at = steady_seconds()
            try:
                client.sendall(_encode(prefix, exchange))
                while data := client.recv(65_536):
                    exchange.response += data
            except OSError:
                pass
            exchange.ended_at = steady_seconds()

    def _check(self) -> None:
        servers = [*self._deployment.applications, *self._deployment.engines]
        ran = {run.request_id for server in servers for run in server.runs}
        for exchange in self._exchanges:
            self._report.answered += exchange.complete
            if exchange.request_id not in ran:
                continue
            description = (
                f"{exchange.request_id}: status {exchange.status}, {len(exchange.response)} bytes "
                f"after {exchange.ended_at - exchange.sent_at:.2f} s "
                f"of {exchange.deadline_seconds:.2f} s"
            )
            if exchange.status == 503:
                self._report.violations.append(f"refused although it ran: {description}")
            elif not exchange.complete and not exchange.deadline_passed:
                self._report.violations.append(f"cut off: {description}")


def _encode(prefix: str, exchange: _Exchange) -> bytes:
    return (
        f"POST {prefix}x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {exchange.request_id}\r\n"
        f"Deadline-Ms: {int(exchange.deadline_seconds * 1000)}\r\nContent-Length: 4\r\n\r\nrice"
    ).encode()
