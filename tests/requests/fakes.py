"""In-memory stand-ins for the other parts of a node, with faults on the way between nodes."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from socket import IPPROTO_TCP, TCP_NODELAY

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from runkeel.api.configuration import (
    EngineRoleSpec,
    MemberLimitSpec,
    ModelSpec,
    PriorityClassSpec,
    ServiceSpec,
)
from runkeel.api.http import HttpRequest, HttpResponse
from runkeel.api.machines import (
    Address,
    Machine,
    MachineKind,
    MachineState,
    Member,
    MemberStatus,
)
from runkeel.errors import ErrorCode, may_have_run, not_run
from runkeel.pauses import PauseDetector
from runkeel.requests.backend_choice import make_client
from runkeel.requests.service import RequestService
from runkeel.wire.codec import decode, encode
from runkeel.wire.handlers import HandlerRegistry
from runkeel.wire.local import open_local_stream

UNUSED = Address("127.0.0.1", 9)


def machine(machine_id: str, kind: MachineKind, pool: str, http: Address) -> Machine:
    return Machine(machine_id, kind, "zone-a", pool, http, MachineState.LIVE, 1)


class Callbacks:
    def __init__(self) -> None:
        self.callbacks: list[Callable] = []

    def on_change(self, callback) -> None:
        self.callbacks.append(callback)

    def changed(self, *arguments) -> None:
        for callback in self.callbacks:
            callback(*arguments)


class FakeConfiguration(Callbacks):
    def __init__(self) -> None:
        super().__init__()
        self.services: dict[str, ServiceSpec] = {}
        self.models: dict[str, ModelSpec] = {}
        self.classes: dict[str, PriorityClassSpec] = {}
        self.limit = MemberLimitSpec()
        self.roles: dict[str, EngineRoleSpec] = {}
        self.draining: set[str] = set()

    def service(self, name):
        return self.services.get(name)

    def model(self, name):
        return self.models.get(name)

    def priority_class(self, name):
        return self.classes.get(name)

    def member_limit(self, _member):
        return self.limit

    def engine_role(self, backend_id):
        return self.roles.get(backend_id, EngineRoleSpec())

    def is_draining(self, target_id):
        return target_id in self.draining


class FakeMachines(Callbacks):
    """Machine list and ownership of the whole cluster."""

    def __init__(self) -> None:
        super().__init__()
        self.all: dict[str, Machine] = {}
        self.owners: dict[str, str] = {}
        self.leaving: set[str] = set()

    def add(self, item: Machine, owner: str) -> None:
        self.all[item.machine_id] = item
        self.owners[item.machine_id] = owner

    def machine(self, machine_id):
        return self.all.get(machine_id)

    def machines(self, kind, pool=None):
        return tuple(
            item for item in self.all.values() if item.kind is kind and pool in (None, item.pool)
        )

    def is_leaving(self, machine_id):
        return machine_id in self.leaving or machine_id not in self.all


class FakeOwnership(Callbacks):
    def __init__(self, machines: FakeMachines, node_id: str) -> None:
        super().__init__()
        self.machines, self.node_id = machines, node_id

    def owner_of(self, backend_id):
        return self.machines.owners.get(backend_id)

    def owned(self):
        return tuple(
            item
            for item in self.machines.all.values()
            if self.machines.owners[item.machine_id] == self.node_id
        )


class FakeMembership:
    def __init__(self, cluster: FakeCluster, node_id: str, zone: str) -> None:
        self.cluster, self.node_id, self.zone = cluster, node_id, zone
        self.summaries = {}

    def local(self):
        return self.member(self.node_id)

    def member(self, node_id):
        node = self.cluster.nodes.get(node_id)
        if node is None:
            return None
        zone = node.membership.zone
        return Member(node_id, zone, 1, MemberStatus.ALIVE, UNUSED, UNUSED, UNUSED)

    def is_live(self, node_id):
        return node_id in self.cluster.nodes and node_id not in self.cluster.dead

    def pool_summaries(self, pool):
        found = (node.membership.summaries.get(pool) for node in self.cluster.nodes.values())
        return tuple(summary for summary in found if summary is not None)

    def publish_summaries(self, summaries):
        self.summaries = {summary.pool: summary for summary in summaries}


class FakeRecords:
    """Write-once records; ``unavailable`` makes decide fail, ``decides_anyway`` after the write."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.unavailable = False
        self.decides_anyway = False

    def decide(self, key, value, timeout_seconds):
        if self.unavailable and not self.decides_anyway:
            raise may_have_run(ErrorCode.RECORDS_UNAVAILABLE)
        decided = self.values.setdefault(key, value)
        if self.unavailable:
            raise may_have_run(ErrorCode.RECORDS_UNAVAILABLE)
        return decided


class FakeEngines:
    def __init__(self) -> None:
        self.statuses, self.held = {}, set()

    def status(self, backend_id):
        return self.statuses.get(backend_id)

    def in_service(self, backend_id):
        return backend_id not in self.held


@dataclass
class LinkFaults:
    """Faults of the next calls from one node; each entry is used up by one call."""

    before: list[str] = field(default_factory=list)
    """``unreachable`` (nothing is sent) or ``lost`` (sent, the answer is lost)."""
    delay_seconds: float = 0.0


class FakePeers:
    """Calls and streams between the nodes of a fake cluster, through the real codec."""

    def __init__(self, cluster: FakeCluster, node_id: str) -> None:
        self.cluster, self.node_id = cluster, node_id
        self.faults: dict[int, LinkFaults] = {}
        self.calls: Counter[int] = Counter()

    def call(self, node_id, message_type, message, reply_class, timeout_seconds):
        self.calls[message_type] += 1
        target = self.cluster.nodes.get(node_id)
        if target is None or node_id in self.cluster.dead:
            raise not_run(ErrorCode.PEER_UNREACHABLE)
        faults = self.faults.get(message_type, LinkFaults())
        fault = faults.before.pop(0) if faults.before else ""
        if fault == "unreachable":
            raise not_run(ErrorCode.PEER_UNREACHABLE)
        stream = self._open(target, message_type, message)
        if fault == "lost":
            gevent.sleep(0.02)
            raise may_have_run(ErrorCode.PEER_LOST)
        try:
            gevent.sleep(faults.delay_seconds)
            reply_type, body = stream.receive(timeout_seconds - faults.delay_seconds)
        finally:
            stream.cancel()
        return decode(reply_class, body)

    def open_stream(self, node_id, message_type, message):
        target = self.cluster.nodes.get(node_id)
        if target is None or node_id in self.cluster.dead:
            raise not_run(ErrorCode.PEER_UNREACHABLE)
        return self._open(target, message_type, message)

    def _open(self, target, message_type, message):
        return open_local_stream(target.handlers, self.node_id, message_type, encode(message))


class FakeRoutes:
    def __init__(self) -> None:
        self.handlers = {}

    def add(self, method, pattern, handler):
        self.handlers[pattern] = handler


class FakeNode:
    """One node: the real request service among fakes."""

    def __init__(
        self,
        cluster: FakeCluster,
        node_id: str,
        zone: str = "zone-a",
        peers_class: type[FakePeers] | None = None,
        client_factory: Callable = make_client,
    ) -> None:
        self.membership = FakeMembership(cluster, node_id, zone)
        self.ownership = FakeOwnership(cluster.machines, node_id)
        self.peers = (peers_class or FakePeers)(cluster, node_id)
        self.handlers = HandlerRegistry()
        self.routes = FakeRoutes()
        self.engines = FakeEngines()
        self.pauses = PauseDetector()
        self.service = RequestService(
            self.membership,
            cluster.configuration,
            cluster.machines,
            self.ownership,
            cluster.records,
            self.peers,
            self.handlers,
            self.routes,
            self.engines,
            self.pauses,
            client_factory=client_factory,
        )

    def call_service(self, service, path="/lookup/a", method="GET", body=b"", **headers):
        """Send a caller's request; header names are given with underscores."""
        target = f"/v1/services/{service}{path}"
        handler = self.routes.handlers["/v1/services/{service}/{path...}"]
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        request = HttpRequest(method, target, target, {}, names, body, {"service": service})
        return handler(request)

    def complete(self, model, content, **headers) -> HttpResponse:
        target = f"/v1/models/{model}/completions"
        handler = self.routes.handlers["/v1/models/{model}/completions"]
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        body = content if isinstance(content, bytes) else json.dumps(content).encode()
        return handler(HttpRequest("POST", target, target, {}, names, body, {"model": model}))


class FakeCluster:
    """Nodes that share configuration, machine list and records."""

    def __init__(self, node_ids=("node-a",)) -> None:
        self.configuration = FakeConfiguration()
        self.machines = FakeMachines()
        self.records = FakeRecords()
        self.dead: set[str] = set()
        self.nodes: dict[str, FakeNode] = {}
        for node_id in node_ids:
            self.nodes[node_id] = FakeNode(self, node_id)

    def start(self) -> None:
        for node in self.nodes.values():
            node.pauses.start()
            node.service.start()
        gevent.sleep(0.01)

    def stop(self) -> None:
        for node in self.nodes.values():
            node.service.stop()
            node.pauses.stop()
            node.handlers.stop()


class _PromptHandler(WSGIHandler):
    """Sends head and body without waiting for the client's delayed acknowledgement."""

    def handle(self) -> None:
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()


class FakeApplication:
    """An HTTP back end that notes each request id, with faults and a service time."""

    def __init__(self, delay_seconds: float = 0.0) -> None:
        self.delay_seconds = delay_seconds
        self.runs: Counter[str] = Counter()
        self.bodies: list[bytes] = []
        self._server = WSGIServer(
            ("127.0.0.1", 0), self._answer, log=None, handler_class=_PromptHandler
        )
        self._server.start()

    @property
    def address(self) -> Address:
        return Address("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        self._server.stop(timeout=0.005)

    def _answer(self, environ, start_response):
        request_id = environ["HTTP_X_REQUEST_ID"]
        self.runs[request_id] += 1
        self.bodies.append(environ["wsgi.input"].read())
        gevent.sleep(self.delay_seconds)
        body = json.dumps({"request_id": request_id, "path": environ["PATH_INFO"]}).encode()
        start_response("200 OK", [("Content-Type", "application/json")])
        return [body]
