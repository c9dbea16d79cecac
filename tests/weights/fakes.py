"""Small stand-ins of a node's other parts, and an engine that arbitrates orders by fence."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

import gevent

from runkeel.api.configuration import EngineRoleSpec, ModelSpec, ObjectKind, Spec
from runkeel.api.machines import (
    Address,
    EngineStatus,
    Machine,
    MachineKind,
    MachineState,
    Member,
    MemberStatus,
    PoolSummary,
)
from runkeel.backends import engine_directory
from runkeel.backends.engine_directory import EngineMonitor
from runkeel.backends.engine_orders import EngineOrder
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.platform.weight_store import StoreLimits
from runkeel.weights import permit_client, permit_coordinator, reconciler, store_gate
from runkeel.weights.fences import Fence
from runkeel.weights.permit_client import PermitClient
from runkeel.weights.permit_coordinator import PermitCoordinator
from runkeel.weights.roll_out import RollOut

MODEL = "allocation"
ADDRESS = Address("127.0.0.1", 1)


@contextlib.contextmanager
def fast_timings() -> Iterator[None]:
    """Shorten all waits, keeping their order."""
    values = {
        (reconciler, "IDLE_SECONDS"): 0.02,
        (reconciler, "PERMIT_WAIT_SECONDS"): 0.2,
        (reconciler, "SWAP_POLL_SECONDS"): 0.005,
        (reconciler, "BACKOFF_SECONDS"): 0.02,
        (reconciler, "MAXIMUM_BACKOFF_SECONDS"): 0.08,
        (reconciler, "HELD_RETRY_SECONDS"): 0.2,
        (permit_coordinator, "GRACE_SECONDS"): 0.02,
        (permit_coordinator, "GRANT_SECONDS"): 0.005,
        (permit_coordinator, "LIMIT_KEPT_SECONDS"): 0.0,
        (store_gate, "PROBE_SPACING_SECONDS"): 0.05,
        (permit_client, "RETRY_SECONDS"): 0.02,
        (permit_client, "DECLARATION_WAIT_MS"): 50,
        (permit_client, "RENEW_SECONDS"): 0.05,
        (engine_directory, "POLL_SECONDS"): 0.02,
    }
    with contextlib.ExitStack() as stack:
        for (module, name), value in values.items():
            stack.enter_context(mock.patch.object(module, name, value))
        yield


def wait_until(condition: Callable[[], bool], timeout_seconds: float = 10.0) -> bool:
    """Wait for a condition; the time-out only ends a test that has failed."""
    with gevent.Timeout(timeout_seconds, False):
        while not condition():
            gevent.sleep(0.005)
        return True
    return False


class FakeConfiguration:
    """Objects with generations, as one node holds them."""

    def __init__(self) -> None:
        self.objects: dict[tuple[ObjectKind, str], tuple[int, Spec | None]] = {}
        self._listeners: list[Callable[[ObjectKind, str], None]] = []

    def put(self, kind: ObjectKind, name: str, spec: Spec | None) -> None:
        generation = self.generation(kind, name) + 1
        self.objects[(kind, name)] = (generation, spec)
        for listener in tuple(self._listeners):
            listener(kind, name)

    def deploy(self, version: int, **fields: object) -> None:
        self.put(ObjectKind.MODEL, MODEL, ModelSpec(target_version=version, **fields))

    def copy_from(self, other: FakeConfiguration) -> None:
        self.objects = dict(other.objects)

    def spec(self, kind: ObjectKind, name: str) -> Spec | None:
        return self.objects.get((kind, name), (0, None))[1]

    def model(self, name: str) -> ModelSpec | None:
        return self.spec(ObjectKind.MODEL, name)

    def engine_role(self, backend_id: str) -> EngineRoleSpec:
        return self.spec(ObjectKind.ENGINE_ROLE, backend_id) or EngineRoleSpec()

    def is_draining(self, target_id: str) -> bool:
        return self.spec(ObjectKind.DRAIN, target_id) is not None

    def names(self, kind: ObjectKind) -> tuple[str, ...]:
        found = (key for key, (_, spec) in self.objects.items() if spec is not None)
        return tuple(sorted(name for other, name in found if other is kind))

    def generation(self, kind: ObjectKind, name: str) -> int:
        return self.objects.get((kind, name), (0, None))[0]

    def on_change(self, callback: Callable[[ObjectKind, str], None]) -> None:
        self._listeners.append(callback)


class FakeMembership:
    """Live nodes, shared by all fakes of a cluster through ``zones``."""

    def __init__(self, node_id: str, zones: dict[str, str], engines: list[FakeEngine]) -> None:
        self.node_id = node_id
        self.zone = zones[node_id]
        self.zones = zones
        self.engines = engines
        self.gone: dict[str, Member] = {}
        self._listeners: list[Callable[[], None]] = []

    def local(self) -> Member:
        return self._member(self.node_id)

    def live_members(self, zone: str | None = None) -> tuple[Member, ...]:
        ids = sorted(node for node in self.zones if zone in (None, self.zones[node]))
        return tuple(self._member(node_id) for node_id in ids)

    def member(self, node_id: str) -> Member | None:
        return self._member(node_id) if node_id in self.zones else self.gone.get(node_id)

    def is_live(self, node_id: str) -> bool:
        return node_id in self.zones

    def on_change(self, callback: Callable[[], None]) -> None:
        self._listeners.append(callback)

    def changed(self) -> None:
        for listener in self._listeners:
            listener()

    def pool_summaries(self, pool: str) -> tuple[PoolSummary, ...]:
        return tuple(
            PoolSummary(self.node_id, pool, 1, 1, 8, 0, 0, 0, engine.version, engine.version)
            for engine in self.engines
            if engine.ready
        )

    def _member(self, node_id: str) -> Member:
        zone = self.zones[node_id]
        return Member(node_id, zone, 1, MemberStatus.ALIVE, ADDRESS, ADDRESS, ADDRESS)


class FakeMachines:
    """A machine list of the given machines."""

    def __init__(self, machines: list[Machine]) -> None:
        self.all = machines
        self.leaving: set[str] = set()

    def machines(self, kind: MachineKind, pool: str | None = None) -> tuple[Machine, ...]:
        return tuple(
            machine for machine in self.all if machine.kind is kind and pool in (None, machine.pool)
        )

    def is_leaving(self, machine_id: str) -> bool:
        return machine_id in self.leaving


class FakeOwnership:
    """Owners as one node believes them; ``owners`` may differ from node to node."""

    def __init__(self, node_id: str, machines: list[Machine], owners: dict[str, str]) -> None:
        self.node_id = node_id
        self.owners = owners
        self._machines = machines
        self._listeners: list[Callable[[], None]] = []

    def owner_of(self, backend_id: str) -> str | None:
        return self.owners.get(backend_id)

    def owned(self) -> tuple[Machine, ...]:
        return tuple(
            machine
            for machine in self._machines
            if self.owners.get(machine.machine_id) == self.node_id
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        self._listeners.append(callback)

    def changed(self) -> None:
        for listener in self._listeners:
            listener()


class LocalPeers:
    """Calls between the nodes of one process; a node in ``cut`` can't be reached."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, int], Callable] = {}
        self.cut: set[str] = set()

    def of(self, node_id: str) -> LocalPeer:
        return LocalPeer(self, node_id)


class LocalPeer:
    """One node's PeerClient and PeerHandlers."""

    def __init__(self, network: LocalPeers, node_id: str) -> None:
        self._network = network
        self._node_id = node_id

    def on_call(self, message_type: int, _request_class: type, handler: Callable) -> None:
        self._network.handlers[(self._node_id, message_type)] = handler

    def call(self, node_id, message_type, message, reply_class, timeout_seconds):
        handler = self._network.handlers.get((node_id, message_type))
        if handler is None or {node_id, self._node_id} & self._network.cut:
            raise not_run(ErrorCode.PEER_UNREACHABLE, node_id)
        return handler(self._node_id, message)[1]


class FakePauseDetector:
    """Says what the test wants."""

    def __init__(self) -> None:
        self.value = True

    def settled(self, seconds: float) -> bool:
        return self.value


class FakeWeightStore:
    """A store that counts loads; more than ``concurrent_loads`` at once are refused."""

    def __init__(self, concurrent_loads: int = 2, load_seconds: float = 0.02) -> None:
        self.limits_value = StoreLimits(concurrent_loads, load_seconds)
        self.down = False
        self.versions = set(range(1, 100))
        self.attempts = 0
        self.refused = 0
        self.running = 0
        self.maximum_running = 0

    def limits(self) -> StoreLimits:
        if self.down:
            raise not_run(ErrorCode.STORE_UNAVAILABLE, "down")
        return self.limits_value

    def load(self, version: int) -> bool:
        self.attempts += 1
        if self.down or version not in self.versions:
            return False
        if self.running >= self.limits_value.concurrent_loads:
            self.refused += 1
            return False
        self.running += 1
        self.maximum_running = max(self.maximum_running, self.running)
        gevent.sleep(self.limits_value.load_seconds)
        self.running -= 1
        return True


class FakeEngine:
    """An engine: takes fenced orders and loads from the store."""

    exchanged_bytes = 0

    def __init__(self, backend_id: str, port: int, zone: str, store: FakeWeightStore) -> None:
        address = Address("127.0.0.1", port)
        self.machine = Machine(
            backend_id, MachineKind.ENGINE, zone, MODEL, address, MachineState.LIVE, 1
        )
        self.store = store
        self.version = 1
        self.role = "mixed"
        self.ready = True
        self.fence = 0
        self.swap = "idle"
        self.order_id = ""
        self.accepted: list[EngineOrder] = []
        self.refused: list[EngineOrder] = []
        self.failures_to_come = 0
        self.unreachable = False
        self.before_order: Callable[[EngineOrder], None] | None = None

    def close(self) -> None:
        pass

    def load(self) -> EngineStatus:
        return self.status()

    def status(self) -> EngineStatus:
        if self.unreachable:
            raise RunkeelError(ErrorCode.BACKEND_UNREACHABLE, self.machine.machine_id)
        return EngineStatus(
            1, 0.0, 0, 0, 8, 0, 100, self.ready, MODEL, self.version, self.role,
            self.fence, self.swap, self.order_id,
        )  # fmt: skip

    def order(self, order: EngineOrder) -> None:
        if self.before_order is not None:
            self.before_order(order)
        self.take(order)

    def take(self, order: EngineOrder) -> None:
        if order.fence < self.fence:
            self.refused.append(order)
            raise RunkeelError(ErrorCode.STALE_FENCE, order.order_id)
        self.fence = order.fence
        if order.order_id == self.order_id and order.kind == "load":
            return
        self.accepted.append(order)
        if order.kind == "role":
            self.role = order.role
            return
        self.order_id, self.swap = order.order_id, "loading"
        gevent.spawn(self._swap, order)

    def generations(self) -> list[int]:
        return [Fence.parse(order.fence).model_generation for order in self.accepted]

    def _swap(self, order: EngineOrder) -> None:
        loaded = self.store.load(order.version)
        if self.order_id != order.order_id:
            return
        if self.failures_to_come > 0:
            self.failures_to_come -= 1
            loaded = False
        self.swap = "idle" if loaded else "failed"
        if loaded:
            self.version = order.version


class Cluster:
    """Nodes with monitor, permits and roll-out over fake engines."""

    def __init__(
        self, zones: dict[str, str], engine_zones: list[str], store: FakeWeightStore
    ) -> None:
        self.store = store
        self.engines = [
            FakeEngine(f"engine-{index}", index + 1, zone, store)
            for index, zone in enumerate(engine_zones)
        ]
        self.machines = FakeMachines([engine.machine for engine in self.engines])
        self.peers = LocalPeers()
        node_ids = sorted(zones)
        owners = {
            engine.machine.machine_id: node_ids[index % len(node_ids)]
            for index, engine in enumerate(self.engines)
        }
        self.configuration = FakeConfiguration()
        self.nodes = {
            node_id: ClusterNode(node_id, zones, self, dict(owners)) for node_id in node_ids
        }

    def at_version(self, version: int) -> bool:
        return all(engine.version == version for engine in self.engines)

    def start(self) -> None:
        for node in self.nodes.values():
            node.start()

    def stop(self) -> None:
        for node in self.nodes.values():
            node.stop()


class ClusterNode:
    """One node of a :class:`Cluster`."""

    def __init__(
        self, node_id: str, zones: dict[str, str], cluster: Cluster, owners: dict[str, str]
    ) -> None:
        self.membership = FakeMembership(node_id, zones, cluster.engines)
        self.ownership = FakeOwnership(node_id, cluster.machines.all, owners)
        self.pause_detector = FakePauseDetector()
        peer = cluster.peers.of(node_id)
        self.coordinator = PermitCoordinator(
            self.membership, cluster.configuration, cluster.machines, peer, cluster.store.limits
        )
        self.permits = PermitClient(self.membership, peer)
        self.monitor = EngineMonitor(self.ownership, _factory(cluster), poll_seconds=0.02)
        self.roll_out = RollOut(
            self.membership,
            cluster.configuration,
            cluster.machines,
            self.ownership,
            self.monitor,
            self.permits,
            self.pause_detector,
            _factory(cluster),
        )

    def start(self) -> None:
        self.permits.start()
        self.monitor.start()
        self.roll_out.start()

    def stop(self) -> None:
        self.roll_out.stop()
        self.coordinator.stop()
        self.monitor.stop()
        self.permits.stop()


def _factory(cluster: Cluster) -> Callable[[Address], FakeEngine]:
    by_address = {engine.machine.http: engine for engine in cluster.engines}
    return lambda address: by_address[address]
