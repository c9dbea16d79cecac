"""In-memory cluster, object API and machine list for the tests of the state part."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import gevent
from gevent.event import Event
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from runkeel.api.machines import Address, Machine, MachineKind, MachineState, Member, MemberStatus
from runkeel.errors import ErrorCode, RunkeelError, may_have_run, not_run
from runkeel.platform.machine_list import (
    ListedMachine,
    MachineEntry,
    MachineList,
    machine_to_json,
)
from runkeel.platform.object_api import (
    ObjectContent,
    ObjectList,
    StoredObject,
    WatchResult,
    WriteResult,
)
from runkeel.state.changes import ConfigurationWriter
from runkeel.state.replicated_state import ReplicatedState
from runkeel.state.spread import Spread

_FACTORY = TCompactProtocolAcceleratedFactory(fallback=False)
_ADDRESS = Address("127.0.0.1", 1)
_FRAME_HEADER_BYTES = 16


def machine_entry(
    machine_id: str,
    zone: str = "a",
    kind: MachineKind = MachineKind.ENGINE,
    pool: str = "allocation",
    version: int = 1,
    state: MachineState = MachineState.LIVE,
    address: Address = _ADDRESS,
) -> MachineEntry:
    """Build an entry of a machine list."""
    machine = Machine(machine_id, kind, zone, pool, address, state, version)
    return MachineEntry(machine, {"http": str(address)})


def machine_list(version: int, *entries: MachineEntry) -> MachineList:
    """Build a machine list."""
    items = (
        ListedMachine(entry.machine.machine_id, entry.machine.version, machine_to_json(entry))
        for entry in entries
    )
    return MachineList(version, tuple(items))


class FakeMembership:
    """One node's view: live are the running nodes that it can reach."""

    def __init__(self, cluster: FakeCluster, node_id: str, zone: str) -> None:
        self._cluster = cluster
        self.node_id = node_id
        self.zone = zone
        self.digest = 0
        self.change_callbacks: list[Callable[[], None]] = []
        self.mismatch_callbacks: list[Callable[[str], None]] = []

    def member(self, node_id: str) -> Member | None:
        zone = self._cluster.zones.get(node_id)
        if zone is None:
            return None
        return Member(node_id, zone, 1, MemberStatus.ALIVE, _ADDRESS, _ADDRESS, _ADDRESS)

    def local(self) -> Member:
        return self.member(self.node_id)

    def live_members(self, zone: str | None = None) -> tuple[Member, ...]:
        return self._cluster.live_from(self.node_id, zone)

    def is_live(self, node_id: str) -> bool:
        return any(member.node_id == node_id for member in self.live_members())

    def on_change(self, callback: Callable[[], None]) -> None:
        self.change_callbacks.append(callback)

    def publish_state_digest(self, digest: int) -> None:
        self.digest = digest

    def on_state_mismatch(self, callback: Callable[[str], None]) -> None:
        self.mismatch_callbacks.append(callback)


class FakePeers:
    """Peer calls of one node through the in-memory cluster, encoded as on the wire."""

    def __init__(self, cluster: FakeCluster, node_id: str) -> None:
        self._cluster = cluster
        self._node_id = node_id
        self.handlers: dict[int, tuple[type, Callable]] = {}

    def on_call(self, message_type: int, request_class: type, handler: Callable) -> None:
        self.handlers[message_type] = (request_class, handler)

    def call(self, node_id, message_type, message, reply_class, timeout_seconds):
        target = self._cluster.reachable(self._node_id, node_id)
        if target is None or node_id in self._cluster.silent:
            raise not_run(ErrorCode.PEER_UNREACHABLE, node_id)
        request = serialize(message, _FACTORY)
        self._cluster.count(self._node_id, node_id, len(request))
        request_class, handler = target.peers.handlers[message_type]
        gevent.sleep(0)
        _, reply = handler(self._node_id, deserialize(request_class(), request, _FACTORY))
        answer = serialize(reply, _FACTORY)
        self._cluster.count(node_id, self._node_id, len(answer))
        if self._cluster.reachable(self._node_id, node_id) is None:
            raise may_have_run(ErrorCode.PEER_LOST, node_id)
        return deserialize(reply_class(), answer, _FACTORY)


class FakeNode:
    """The state part of one node."""

    def __init__(
        self,
        cluster: FakeCluster,
        node_id: str,
        zone: str,
        state: ReplicatedState,
        store: FakeStore | None,
    ) -> None:
        self.node_id = node_id
        self.state = state
        self.membership = FakeMembership(cluster, node_id, zone)
        self.peers = FakePeers(cluster, node_id)
        source = random.Random(node_id)
        self.spread = Spread(state, self.membership, self.peers, self.peers, source)
        self.writer = ConfigurationWriter(state, self.spread, store, source)


class FakeCluster:
    """Nodes in one process, with cuts between groups of nodes."""

    def __init__(self, store: FakeStore | None = None) -> None:
        self.store = store
        self.nodes: dict[str, FakeNode] = {}
        self.zones: dict[str, str] = {}
        self.isolated: set[str] = set()
        self.silent: set[str] = set()
        """Nodes that don't answer but are still believed alive."""
        self.calls = 0
        self.largest_message = 0
        self.sent_bytes: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()

    def add(
        self, node_id: str, zone: str = "a", state_class: type[ReplicatedState] = ReplicatedState
    ) -> FakeNode:
        """Add a node, or restart it with empty memory."""
        if node_id in self.nodes:
            self.nodes[node_id].spread.close()
        self.zones[node_id] = zone
        self.nodes[node_id] = FakeNode(self, node_id, zone, state_class(), self.store)
        return self.nodes[node_id]

    def remove(self, node_id: str) -> None:
        """Kill a node."""
        self.nodes.pop(node_id).spread.close()

    def close(self) -> None:
        for node in self.nodes.values():
            node.spread.close()

    def count(self, sender: str, receiver: str, size: int) -> None:
        self.calls += 1
        self.largest_message = max(self.largest_message, size)
        self.sent_bytes[sender] += size + _FRAME_HEADER_BYTES
        self.received_bytes[receiver] += size + _FRAME_HEADER_BYTES

    def reachable(self, node_id: str, other: str) -> FakeNode | None:
        """Return the other node unless it is down, or on the other side of a cut."""
        if (node_id in self.isolated) != (other in self.isolated):
            return None
        return self.nodes.get(other)

    def live_from(self, node_id: str, zone: str | None) -> tuple[Member, ...]:
        own = self.nodes[node_id].membership if node_id in self.nodes else None
        return tuple(
            Member(other, self.zones[other], 1, MemberStatus.ALIVE, _ADDRESS, _ADDRESS, _ADDRESS)
            for other in sorted(self.nodes)
            if own is not None
            and zone in (None, self.zones[other])
            and self.reachable(node_id, other) is not None
        )

    def membership_changed(self) -> None:
        for node in self.nodes.values():
            for callback in node.membership.change_callbacks:
                callback()

    def settle(self) -> None:
        """Let pushes run to their end."""
        for _ in range(1_000):
            gevent.sleep(0)
            if not any(len(node.spread._pushes) for node in self.nodes.values()):
                return
        raise AssertionError("pushes don't end")

    def repair(self) -> None:
        """Do what heartbeats cause: each node exchanges with its neighbour where digests differ."""
        for _ in range(2):
            for node in tuple(self.nodes.values()):
                for member in node.membership.live_members():
                    other = self.nodes[member.node_id]
                    if other.state.digest != node.state.digest:
                        node.spread.anti_entropy.synchronize(other.node_id)
        self.settle()


class FakeStore:
    """The object API: versions, watches, and the faults that the brief names."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.down = False
        self.unreachable = False
        self.lose_answers = 0
        self.delayed_writes: list[Callable[[], None]] = []
        self.delay_writes = 0
        self.operations_until_down: int | None = None
        self.old_reads: dict[tuple[str, str], StoredObject] = {}
        self.reads = 0
        self.reset_below = 0
        self._changed = Event()

    def _check(self) -> None:
        self.reads += 1
        gevent.sleep(0)
        if self.operations_until_down is not None:
            self.operations_until_down -= 1
            self.down = self.down or self.operations_until_down <= 0
        if self.unreachable:
            raise not_run(ErrorCode.STORE_UNAVAILABLE, "connection refused")
        if self.down:
            raise may_have_run(ErrorCode.STORE_UNAVAILABLE, "no answer")

    def list_objects(self, timeout_seconds: float) -> ObjectList:
        self._check()
        return ObjectList(self.revision, tuple(self.objects.values()))

    def read(self, kind: str, name: str, timeout_seconds: float) -> StoredObject | None:
        self._check()
        old = self.old_reads.pop((kind, name), None)
        return old or self.objects.get((kind, name))

    def write(
        self, kind: str, name: str, content: ObjectContent, expected_revision: int, timeout_seconds
    ) -> WriteResult:
        self._check()
        if self.delay_writes > 0:
            self.delay_writes -= 1
            self.delayed_writes.append(lambda: self._put(kind, name, content, expected_revision))
            raise may_have_run(ErrorCode.STORE_UNAVAILABLE, "no answer")
        result = self._put(kind, name, content, expected_revision)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise may_have_run(ErrorCode.STORE_UNAVAILABLE, "answer lost")
        return result

    def _put(self, kind, name, content, expected_revision) -> WriteResult:
        present = self.objects.get((kind, name))
        if (present.revision if present else 0) != expected_revision:
            return WriteResult(False, present)
        self.revision += 1
        stored = StoredObject(kind, name, self.revision, content)
        self.objects[(kind, name)] = stored
        self._changed.set()
        self._changed = Event()
        return WriteResult(True, stored)

    def land_delayed_writes(self) -> None:
        """Let delayed writes reach the store."""
        for write in self.delayed_writes:
            write()
        self.delayed_writes.clear()

    def backup(self) -> dict:
        return dict(self.objects)

    def restore(self, backup: dict, rewind: bool = False) -> None:
        """Put an older copy in place; revisions go on, or are counted again (rewind).

        Requests on their way to the old store don't reach the restored one.
        """
        revisions = [item.revision for item in backup.values()]
        self.revision = max(revisions, default=0) if rewind else self.revision + 1
        self.reset_below = self.revision
        self.delayed_writes.clear()
        self.old_reads.clear()
        self.objects = dict(backup)
        self._changed.set()
        self._changed = Event()

    def watch(self, since_revision: int, wait_seconds: float) -> WatchResult:
        self._check()
        if since_revision < self.reset_below or since_revision > self.revision:
            return WatchResult(self.revision, (), True)
        if self.revision == since_revision:
            self._changed.wait(wait_seconds)
            self._check()
        items = tuple(item for item in self.objects.values() if item.revision > since_revision)
        return WatchResult(self.revision, items, False)


class FakeMachineList:
    """The machine list; set ``listed`` to change it."""

    def __init__(self) -> None:
        self.listed = MachineList(1, ())
        self.failing = False
        self.reads = 0

    def poll(self, since_version: int, wait_seconds: float) -> MachineList:
        self.reads += 1
        gevent.sleep(0.01)
        if self.failing:
            raise RunkeelError(ErrorCode.STORE_UNAVAILABLE, "down")
        return self.listed
