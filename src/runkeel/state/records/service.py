"""The record service of a node: replicas, proposers and the tasks that look after the groups."""

from __future__ import annotations

import math
import random
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.configuration import RecordGroupSpec
from runkeel.api.interfaces import Membership, PeerClient, PeerHandlers
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.state.records import metrics
from runkeel.state.records.broadcast import Broadcast
from runkeel.state.records.departure import commit_in_order
from runkeel.state.records.group import GroupManager, GroupStore
from runkeel.state.records.options import RecordOptions
from runkeel.state.records.proposer import Proposer
from runkeel.state.records.replica import Replica, ReplicaPhase
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.records.ttypes import (
    Accept,
    Departure,
    Learn,
    Prepare,
    Read,
    Recover,
)


@dataclass(frozen=True, slots=True)
class RecordGroupStatus:
    """What this node is to a group, for queries and readiness.

    Attributes:
        refuses_seconds: how long votes are still refused after the group was formed anew.
        leaving: whether this node waits to leave, or has leave to.
    """

    group: str
    phase: ReplicaPhase
    epoch: int
    members: tuple[str, ...]
    records: int
    bytes: int
    refuses_seconds: float
    leaving: bool

    def notice(self) -> str | None:
        """Return what an operator should know before touching another node, or None."""
        if self.refuses_seconds > 0:
            seconds = math.ceil(self.refuses_seconds)
            return f"{self.group} was formed anew and refuses new records for {seconds} s"
        if self.phase in (ReplicaPhase.JOINING, ReplicaPhase.RECOVERING):
            return f"{self.group}: this node's replica is {self.phase.value}"
        return None


class RecordService:
    """Implements :class:`runkeel.api.interfaces.Records`."""

    def __init__(
        self,
        node_id: str,
        peers: PeerClient,
        handlers: PeerHandlers,
        membership: Membership,
        group_store: GroupStore,
        options: RecordOptions | None = None,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._node_id = node_id
        self._options = options or RecordOptions()
        self._store = group_store
        rng = rng or random.Random()
        self._broadcast = Broadcast(node_id, peers, self._serve, self._options)
        self._replicas: dict[str, Replica] = {}
        self._proposers: dict[str, Proposer] = {}
        self._managers: dict[str, GroupManager] = {}
        self._wakers: dict[str, Event] = {}
        self._tasks: list[gevent.Greenlet] = []
        for number in range(self._options.groups):
            name = f"records-{number}"
            replica = Replica(name, node_id, self._options, clock, wall_clock, rng)
            self._replicas[name] = replica
            self._proposers[name] = Proposer(
                name, self._spec_reader(name), self._broadcast, self._options, clock, rng
            )
            self._managers[name] = GroupManager(
                replica, peers, membership, group_store, self._options, clock, rng
            )
            self._wakers[name] = Event()
        self._register(handlers)
        group_store.on_change(self._on_group_change)

    # Records

    def decide(self, key: str, value: bytes, timeout_seconds: float) -> bytes:
        """Propose a value for a key and return the value decided.

        Raises:
            RunkeelError: RECORDS_UNAVAILABLE. Its verdict is NOT_RUN when the value was sent to
                no replica and so will not be decided; BAD_REQUEST for a key or value too large.
        """
        self._check_size(key, value)
        started = time.monotonic()
        decided = self._counted(
            "decide", lambda: self._proposer(key).decide(key, value, timeout_seconds)
        )
        metrics.DECIDE_SECONDS.observe(time.monotonic() - started)
        return decided

    def read(self, key: str, timeout_seconds: float) -> bytes | None:
        """Return the decided value, or None when none was decided before the call began.

        Raises:
            RunkeelError: RECORDS_UNAVAILABLE.
        """
        self._check_size(key, b"")
        return self._counted("read", lambda: self._proposer(key).read(key, timeout_seconds))

    def _counted(self, operation: str, run: Callable[[], Any]) -> Any:
        try:
            result = run()
        except RunkeelError as error:
            metrics.PROPOSALS.labels(operation, error.code.value).inc()
            raise
        metrics.PROPOSALS.labels(operation, "ok").inc()
        return result

    def _check_size(self, key: str, value: bytes) -> None:
        if len(key.encode()) > self._options.max_key_bytes:
            raise not_run(ErrorCode.BAD_REQUEST, "record key too long")
        if len(value) > self._options.max_value_bytes:
            raise not_run(ErrorCode.BAD_REQUEST, "record value too long")

    def _proposer(self, key: str) -> Proposer:
        number = zlib.crc32(key.encode()) % self._options.groups
        return self._proposers[f"records-{number}"]

    def _spec_reader(self, name: str) -> Callable[[], RecordGroupSpec | None]:
        def spec() -> RecordGroupSpec | None:
            view = self._store.group(name)
            return None if view is None else view.spec

        return spec

    def replica_phase(self, group: str) -> ReplicaPhase:
        """Return what this node is to a group, for status pages and readiness."""
        return self._replica(group).phase

    def statuses(self) -> tuple[RecordGroupStatus, ...]:
        """Return what this node is to each group."""
        return tuple(
            RecordGroupStatus(
                name,
                replica.phase,
                replica.epoch,
                replica.members,
                replica.table.count,
                replica.table.bytes,
                replica.retention_wait_seconds(),
                replica.departure != Departure.NONE,
            )
            for name, replica in self._replicas.items()
        )

    # Tasks

    def start(self) -> None:
        """Begin to look after the groups."""
        for name in self._managers:
            self._tasks.append(gevent.spawn(self._look_after, name))

    def leave(self, timeout_seconds: float) -> bool:
        """Wait until every group keeps a majority without this node, then hand its seats over.

        The replicas go on voting until :meth:`stop`. Until this process has ended and come back,
        no other member of its groups may leave.

        Returns:
            Whether the node may go; False when the time has passed and it goes nevertheless.
        """
        allowed = self._wait_for_departure(timeout_seconds)
        if not allowed:
            logger.warning(
                "record groups may lose their majority by this stop", code="record_stop_unsafe"
            )
        metrics.DEPARTURES.labels("allowed" if allowed else "timed_out").inc()
        if allowed:
            gevent.joinall([gevent.spawn(one.hand_over) for one in self._managers.values()])
        return allowed

    def _wait_for_departure(self, timeout_seconds: float) -> bool:
        departures = [manager.departure for manager in self._managers.values()]
        with gevent.Timeout(timeout_seconds, False):
            while not commit_in_order(departures):
                gevent.sleep(self._options.departure_interval_seconds)
            return True
        return False

    def stop(self) -> None:
        """Stop all tasks; calls in flight fail."""
        gevent.killall(self._tasks, timeout=1.0)
        self._tasks.clear()
        self._broadcast.stop()

    def _look_after(self, name: str) -> None:
        replica = self._replicas[name]
        waker = self._wakers[name]
        while True:
            waker.clear()
            try:
                self._managers[name].step()
            except RunkeelError as error:
                logger.warning("record group step failed: {}", error, code=error.code.value)
            metrics.RECORDS.labels(self._node_id, name).set(replica.table.count)
            metrics.RECORD_BYTES.labels(self._node_id, name).set(replica.table.bytes)
            waker.wait(self._options.step_interval_seconds)

    def _on_group_change(self, name: str) -> None:
        if name in self._managers:
            self._managers[name].observe()
            self._wakers[name].set()

    # Messages

    def _register(self, handlers: PeerHandlers) -> None:
        for message_type, request_class, reply_type in (
            (MessageType.RECORD_PREPARE, Prepare, MessageType.RECORD_PREPARE_REPLY),
            (MessageType.RECORD_ACCEPT, Accept, MessageType.RECORD_ACCEPT_REPLY),
            (MessageType.RECORD_READ, Read, MessageType.RECORD_READ_REPLY),
            (MessageType.RECORD_LEARN, Learn, MessageType.RECORD_LEARN_REPLY),
        ):
            handlers.on_call(message_type, request_class, self._handler(message_type, reply_type))
        handlers.on_call(MessageType.RECORD_RECOVER, Recover, self._handle_recover)

    def _handler(self, message_type: int, reply_type: int) -> Callable[[str, Any], tuple[int, Any]]:
        def handle(_peer_node_id: str, request: Any) -> tuple[int, Any]:
            return reply_type, self._serve(message_type, request)

        return handle

    def _handle_recover(self, peer_node_id: str, request: Recover) -> tuple[int, Any]:
        reply = self._replica(request.group).recover(peer_node_id, request)
        return MessageType.RECORD_RECOVER_REPLY, reply

    def _serve(self, message_type: int, request: Any) -> Any:
        replica = self._replica(request.group)
        if message_type == MessageType.RECORD_PREPARE:
            return replica.prepare(request)
        if message_type == MessageType.RECORD_ACCEPT:
            return replica.accept(request)
        if message_type == MessageType.RECORD_READ:
            return replica.read(request)
        return replica.learn(request)

    def _replica(self, group: str) -> Replica:
        replica = self._replicas.get(group)
        if replica is None:
            raise not_run(ErrorCode.NOT_FOUND, f"no record group {group}")
        return replica
