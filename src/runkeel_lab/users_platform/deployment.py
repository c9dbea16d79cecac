"""A deployment on the stand-in platform: nodes, servers, and calls of clients and trainers."""

from __future__ import annotations

import base64
import json
import shutil
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import gevent

from runkeel.api.machines import Address
from runkeel.api.usage import UsageSettings
from runkeel.backends.http_connection import HttpConnectionPool, HttpResponse, OutgoingRequest
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.fleet_node import FleetSettings
from runkeel.handoff.storage_quorum import LossTolerance
from runkeel_lab.users_platform import use_adapter
from runkeel_lab.users_platform.crashes import CrashPlan
from runkeel_lab.users_platform.duty_server import DutyServer
from runkeel_lab.users_platform.servers import PlatformEngine, PlatformServer
from runkeel_lab.users_platform.store_server import StoreServer

use_adapter()

from runkeel_platform.process import NodeProcess  # noqa: E402  (use_adapter() must run first)
from runkeel_platform.settings import ProcessSettings  # noqa: E402

HOST = "pantry.example"
MODEL = "allocation"
MODELS = (MODEL, "forecast")
"""Names of the models; a deployment serves the first ones."""

ENGINES = "engines"
APPLICATION = "ledger"
COUNT_PREFIX = "/count/"
RESERVE_PREFIX = "/reserve/"
DRAFT_PREFIX = "/draft/"
CHAT_PREFIX = "/chat/"
SCORE_PREFIX = "/score/"
ZONES = ("a", "b", "c")
_LOOPBACK = Address("127.0.0.1", 0)
_CALL_TIMEOUT_SECONDS = 3.0


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Build a route in the operator's configuration format."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "Service": service,
        "TimeoutMs": 2_000,
        "TargetLatencyMs": 200,
        "Priority": 1,
        "MaxAttempts": 3,
        **more,
    }


def tenant(name: str, *keys: str, priority: int | None = None) -> dict[str, Any]:
    """Build a tenant in the operator's configuration format."""
    built: dict[str, Any] = {"Name": name, "ApiKeys": list(keys)}
    return built if priority is None else {**built, "Priority": priority}


def configuration(
    version: int,
    more_routes: tuple[dict[str, Any], ...] = (),
    tenants: tuple[dict[str, Any], ...] = (),
    models: tuple[str, ...] = (MODEL,),
) -> dict[str, Any]:
    """Build a configuration with at least one route of each kind."""
    routes = [
        route("count", COUNT_PREFIX, "idempotent", APPLICATION),
        route("reserve", RESERVE_PREFIX, "non_idempotent", APPLICATION),
        route("draft", DRAFT_PREFIX, "rollout", ENGINES, ResultDeadlineMs=20_000, MaxQueueS=60.0),
        route("score", SCORE_PREFIX, "idempotent", APPLICATION, Public=True),
        route("chat", CHAT_PREFIX, "streaming", ENGINES, Resumable=True, TimeoutMs=10_000),
        *more_routes,
    ]
    services = [
        {"Name": ENGINES, "Engine": {"Slots": 8, "Models": [{"Name": one} for one in models]}},
        {"Name": APPLICATION},
    ]
    content = {"Version": version, "Routes": routes, "Services": services, "Limits": {}}
    return {**content, "Tenants": list(tenants)} if tenants else content


@dataclass(slots=True)
class _Machine:
    """A machine: its settings, its endpoint of the store, and its process while one runs."""

    settings: ProcessSettings
    store: StoreServer
    process: NodeProcess | None = None


class Deployment:
    """Several nodes in one process; each can be killed and restarted.

    Args:
        edges: number of machines that serve clients.
        disks: number of machines with a disk.
        order_pause_seconds: minimum time between orders of two different nodes.
        metrics: whether nodes serve metrics and operators' queries.
        tenants: tenants of the initial configuration; if empty, requests need no key.
        usage: settings of usage reports; None disables them.
        tolerated_losses: number of machines with disks that may be lost; None: a minority.
        tolerated_zones: number of whole zones that may be lost.
        models: number of models that every engine serves, at most ``len(MODELS)``.

    Attributes:
        before_start: called with each new process of a machine before it starts; None: nothing.
    """

    def __init__(
        self,
        seed: int = 1,
        edges: int = 2,
        disks: int = 1,
        engines: int = 2,
        applications: int = 2,
        order_pause_seconds: float = 0.5,
        metrics: bool = False,
        tenants: tuple[dict[str, Any], ...] = (),
        usage: UsageSettings | None = None,
        tolerated_losses: int | None = None,
        tolerated_zones: int = 0,
        models: int = 1,
    ) -> None:
        self.before_start: Callable[[NodeProcess], None] | None = None
        self.models = MODELS[:models]
        machines = (disks - 1) // 2 if tolerated_losses is None else tolerated_losses
        self._loss_tolerance = LossTolerance(machines, tolerated_zones)
        self._tenants = tenants
        self._usage = usage
        self._stopped = False
        self._starts = 0
        self._successors = 0
        self.former_servers: list[PlatformServer] = []
        """Crashed servers that were replaced, kept for the record of their runs."""
        self.duties = DutyServer()
        self.duties.start()
        self.store = StoreServer(seed)
        self.store.start()
        self.engines = [
            PlatformEngine(f"e{n}", ENGINES, ZONES[n % 3], self.store, seed, self.models)
            for n in range(engines)
        ]
        self.applications = [
            PlatformServer(f"a{n}", APPLICATION, ZONES[n % 3], self.store, seed)
            for n in range(applications)
        ]
        self.crashes = CrashPlan(self._replace_crashed)
        for server in [*self.engines, *self.applications]:
            server.crash_plan = self.crashes
        self._order_pause_seconds = order_pause_seconds
        self._metrics = _LOOPBACK if metrics else None
        self._machines: dict[str, _Machine] = {}
        self._disks = tempfile.TemporaryDirectory(prefix="runkeel-disks-")
        for number in range(edges):
            self._add_machine(f"edge-{number}", ZONES[number % 3], serves_clients=True)
        for number in range(disks):
            self._add_machine(f"disk-{number}", ZONES[number % 3], serves_clients=False)

    def start(self) -> None:
        """Write the initial configuration, then start the servers and the nodes."""
        self.configure(configuration(1, tenants=self._tenants, models=self.models))
        for server in [*self.engines, *self.applications]:
            server.start()
        for name in self._machines:
            self.start_node(name, first=True)

    def stop(self) -> None:
        self._stopped = True
        for name in self._machines:
            self.kill_node(name)
        for server in [*self.engines, *self.applications]:
            server.stop()
        for machine in self._machines.values():
            machine.store.stop()
        self.store.stop()
        self.duties.stop()
        self._disks.cleanup()

    def crash(self, server: PlatformServer) -> None:
        """Crash a server, and start its replacement after ``crashes.restart_seconds``."""
        if not server.crashed:
            server.crash()
            self._replace_crashed(server)

    def _replace_crashed(self, server: PlatformServer) -> None:
        gevent.spawn_later(self.crashes.restart_seconds, self._start_successor, server)

    def _start_successor(self, server: PlatformServer) -> None:
        if self._stopped:
            return
        self._successors += 1
        self.former_servers.append(server)
        servers = self.engines if server in self.engines else self.applications
        replacement = server.successor(self._successors, self.crashes.reuse_id)
        replacement.start()
        servers[servers.index(server)] = replacement

    def configure(self, content: dict[str, Any]) -> None:
        """Write a configuration to the store, as an operator does."""
        self.store.objects.put("config", "main", content)

    def publish_version(self, version: int, model: str = MODEL) -> None:
        """Publish a weight version in the store, as a trainer does."""
        self.store.objects.put("versions", model, {"Model": model, "Version": version})

    @property
    def node_names(self) -> list[str]:
        """Names of all machines."""
        return list(self._machines)

    @property
    def edge_names(self) -> list[str]:
        """Names of the machines that serve clients."""
        return [name for name, machine in self._machines.items() if machine.settings.frontend]

    def node(self, name: str) -> NodeProcess | None:
        """Return the process on a machine, or None while it is down."""
        return self._machines[name].process

    def zone(self, name: str) -> str:
        """Return the zone of a machine."""
        return self._machines[name].settings.fleet.zone

    def store_endpoint(self, name: str) -> StoreServer:
        """Return a machine's own store endpoint, for faults that affect only this machine."""
        return self._machines[name].store

    def coordinators(self) -> list[str]:
        """Return the names of the machines that consider themselves coordinator."""
        running = [
            (name, machine.process) for name, machine in self._machines.items() if machine.process
        ]
        return [name for name, process in running if process.node.coordinating]

    def start_node(self, name: str, first: bool = False) -> None:
        """Start the process of a machine.

        Args:
            first: whether all machines have new, empty disks.
        """
        machine = self._machines[name]
        self._starts += 1
        fleet = replace(machine.settings.fleet, incarnation=self._starts)
        if machine.settings.frontend is None:
            fleet = replace(fleet, first_start=first)
        machine.process = NodeProcess(replace(machine.settings, fleet=fleet))
        if self.before_start is not None:
            self.before_start(machine.process)
        machine.process.start()

    def start_if_down(self, name: str) -> None:
        """Start the process of a machine unless one is running."""
        if self._machines[name].process is None:
            self.start_node(name)

    def kill_node(self, name: str) -> None:
        """Kill a machine's process without draining it."""
        machine = self._machines[name]
        process, machine.process = machine.process, None
        if process is not None:
            process.kill()

    def stop_node(self, name: str) -> None:
        """Drain and stop a machine's process; return once it is gone, even if it was killed."""
        machine = self._machines[name]
        process = machine.process
        if process is None:
            return
        process.drain_and_stop()
        if machine.process is process:
            machine.process = None

    def restart_node(self, name: str, pause_seconds: float) -> None:
        """Drain a machine's process and start the next one; nothing if it is stopping already."""
        process = self._machines[name].process
        if process is None or process.stop_requested.is_set():
            return
        process.stop_requested.set()
        self.stop_node(name)
        gevent.sleep(pause_seconds)
        self.start_if_down(name)

    def replace_disk(self, name: str) -> None:
        """Give a machine a new, empty disk if it has one; its process must be down."""
        folder = self._machines[name].settings.fleet.data_folder
        if folder is not None:
            shutil.rmtree(folder, ignore_errors=True)

    def wait_ready(self, seconds: float = 10.0) -> None:
        """Wait until a coordinator is elected and every running node has a configuration."""
        with gevent.Timeout(seconds):
            while not self.coordinators() or not all(
                machine.process.node.configured
                for machine in self._machines.values()
                if machine.process
            ):
                gevent.sleep(0.02)

    def call(
        self,
        edge: str,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> HttpResponse | None:
        """Send a client's request to an edge node; return None if there was no response."""
        process = self._machines[edge].process
        if process is None:
            return None
        pool = HttpConnectionPool(process.frontend_address)
        request = OutgoingRequest(method, target, list((headers or {}).items()), body, host=HOST)
        try:
            return pool.request(request, steady_seconds() + seconds)
        except RunkeelError:
            return None
        finally:
            pool.close()

    def submit(
        self,
        edge: str,
        job_id: str,
        items: list[str],
        min_version: int = 1,
        key: str = "",
        item_headers: dict[str, str] | None = None,
        model: str = MODEL,
        padding_bytes: int = 0,
    ) -> int:
        """Submit a batch job; return the HTTP status, 0 without a response.

        Args:
            padding_bytes: number of bytes by which the body of each item is extended.
        """
        body = {
            "Step": 0,
            "Model": model,
            "MinVersion": min_version,
            "DesiredCount": 1,
            "Items": [
                _item(item_id, {"Model": model, **(item_headers or {})}, padding_bytes)
                for item_id in items
            ],
        }
        headers = {"Attempt-Id": job_id, "Content-Type": "application/json", **key_header(key)}
        response = self.call(
            edge, "POST", f"{DRAFT_PREFIX}{job_id}", headers, json.dumps(body).encode()
        )
        return response.status if response is not None else 0

    def results(
        self, edge: str, job_id: str, position: int = 0, key: str = ""
    ) -> list[dict[str, Any]] | None:
        """Return a job's results, or None unless the response has status 200."""
        response = self.read(edge, job_id, position, key=key)
        if response is None or response.status != 200:
            return None
        return json.loads(response.body)["Results"]

    def read(
        self, edge: str, job_id: str, position: int = 0, wait_ms: int = 200, key: str = ""
    ) -> HttpResponse | None:
        """Read a job's results from a position on; return None if there was no response."""
        target = f"/runkeel/lots/{job_id}?AfterRevision={position}"
        headers = {"Wait-Ms": str(wait_ms), **key_header(key)}
        return self.call(edge, "GET", target, headers)

    def end(self, edge: str, job_id: str, key: str = "") -> int:
        """End a job; return the HTTP status, 0 without a response."""
        response = self.call(edge, "DELETE", f"/runkeel/lots/{job_id}", key_header(key))
        return response.status if response is not None else 0

    def _add_machine(self, name: str, zone: str, serves_clients: bool) -> None:
        fleet = FleetSettings(
            node_id=name,
            zone=zone,
            peer_address=_LOOPBACK,
            cluster_name="lab",
            cluster_key=b"lab secret",
            incarnation=1,
            order_pause_seconds=self._order_pause_seconds,
            preferred_coordinator=not serves_clients,
            data_folder=None if serves_clients else Path(self._disks.name) / name,
            usage=self._usage,
            loss_tolerance=self._loss_tolerance,
        )
        listener = _LOOPBACK if serves_clients else None
        store = StoreServer(len(self._machines), parent=self.store)
        store.start()
        settings = ProcessSettings(
            fleet,
            listener,
            listener,
            store.address,
            self._metrics,
            8.0,
            self.duties.address,
        )
        self._machines[name] = _Machine(settings, store)


def key_header(key: str) -> dict[str, str]:
    """Return the header that carries an API key; empty for an empty key."""
    return {"Authorization": f"Bearer {key}"} if key else {}


def _item(item_id: str, headers: dict[str, str], padding_bytes: int) -> dict[str, Any]:
    body = f"body {item_id}".encode() + b"x" * padding_bytes
    return {
        "Id": item_id,
        "Path": f"{DRAFT_PREFIX}{item_id}",
        "Headers": headers,
        "Body": base64.b64encode(body).decode(),
        "TokenCount": 10,
        "Group": item_id.rpartition("-")[0],
        "Scorer": {
            "Id": f"score-{item_id}",
            "Host": HOST,
            "Path": f"{SCORE_PREFIX}{item_id}",
            "Body": base64.b64encode(b"score").decode(),
        },
    }
