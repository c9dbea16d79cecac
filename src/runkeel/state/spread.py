"""Spread of records to all nodes: pushes down a tree, and catch-up where digests differ."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence

import gevent
from gevent.event import Event
from gevent.pool import Pool
from gevent.queue import Empty, Full, Queue

from runkeel.api.interfaces import Membership, PeerClient, PeerHandlers
from runkeel.errors import RunkeelError
from runkeel.state import metrics
from runkeel.state.anti_entropy import AntiEntropy
from runkeel.state.push_tree import MAX_DEPTH, pages, tree_children
from runkeel.state.replicated_state import RecordSource, ReplicatedState
from runkeel.state.versioned_record import VersionedRecord, record_from_wire
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.state.ttypes import StatePush, StatePushReply, StateRecord

PUSH_TIMEOUT_SECONDS = 2.0
MAX_PUSHES_IN_FLIGHT = 256
RELAYS_TRIED_PER_ZONE = 2
MAX_PENDING_MISMATCHES = 8
MISMATCH_JITTER_SECONDS = 0.3
MIN_SECONDS_BETWEEN_SYNCS = 0.5
"""Between two exchanges with the same peer."""
FIRST_CATCH_UP_RETRY_SECONDS = 0.2
MAX_CATCH_UP_RETRY_SECONDS = 5.0
_RETRY_FACTOR = 2.0


class Spread:
    """Keeps this node's replicated state and its peers' the same."""

    def __init__(
        self,
        state: ReplicatedState,
        membership: Membership,
        peers: PeerClient,
        handlers: PeerHandlers,
        random_source: random.Random | None = None,
    ) -> None:
        self._state = state
        self._membership = membership
        self._peers = peers
        self._random = random_source or random.Random()
        self._pushes = Pool(MAX_PUSHES_IN_FLIGHT)
        self._mismatches: Queue[str] = Queue(MAX_PENDING_MISMATCHES)
        self._pending: set[str] = set()
        self._last_sync: dict[str, float] = {}
        self._tasks: list[gevent.Greenlet] = []
        self._caught_up = Event()
        self.anti_entropy = AntiEntropy(state, peers, handlers, self._relay_from_other_zone)
        handlers.on_call(MessageType.STATE_PUSH, StatePush, self._serve_push)
        membership.on_state_mismatch(self._on_mismatch)
        state.on_change(lambda _taken: membership.publish_state_digest(state.digest))

    def start(self) -> None:
        """Start catching up from a peer, and answering mismatches."""
        self._membership.publish_state_digest(self._state.digest)
        self._tasks = [gevent.spawn(self._catch_up), gevent.spawn(self._answer_mismatches)]

    def close(self) -> None:
        """Stop all tasks."""
        gevent.killall(self._tasks)
        self._pushes.kill()

    @property
    def caught_up(self) -> bool:
        """Whether this node has taken the whole state from a peer or from the store."""
        return self._caught_up.is_set()

    def mark_caught_up(self) -> None:
        """Note that the whole state was read from the store."""
        self._caught_up.set()

    def wait_caught_up(self, timeout_seconds: float) -> bool:
        """Wait for :attr:`caught_up`; return whether it was reached in time."""
        return self._caught_up.wait(timeout_seconds)

    def push(self, records: Sequence[VersionedRecord]) -> None:
        """Push records to all nodes; returns at once."""
        for page in pages(records):
            self._push_down(page, self._membership.node_id, 0)
            for zone in self._other_zones():
                self._spawn(self._push_to_zone, zone, page)

    def look_up_everywhere(self, kind: str, name: str, timeout_seconds: float) -> None:
        """Take the newest version of a record that one peer of each zone holds.

        Zones that don't answer in time are passed over.
        """
        zones = {member.zone for member in self._membership.live_members()}
        tasks = [
            gevent.spawn(self._look_up_in_zone, zone, kind, name, timeout_seconds) for zone in zones
        ]
        gevent.joinall(tasks, timeout=timeout_seconds)
        gevent.killall(tasks)

    def _look_up_in_zone(self, zone: str, kind: str, name: str, timeout_seconds: float) -> None:
        peers = self._peer_ids(zone)
        if not peers:
            return
        try:
            self.anti_entropy.look_up(self._random.choice(peers), [(kind, name)], timeout_seconds)
        except RunkeelError:
            metrics.SYNCS.labels("failed").inc()

    def _other_zones(self) -> list[str]:
        zones = {member.zone for member in self._membership.live_members()}
        return sorted(zones - {self._membership.zone})

    def _peer_ids(self, zone: str | None) -> list[str]:
        own_id = self._membership.node_id
        members = self._membership.live_members(zone)
        return [member.node_id for member in members if member.node_id != own_id]

    def _push_down(self, page: list[StateRecord], root: str, depth: int) -> None:
        """Push a page to this node's children in the tree of its zone."""
        self._push_to_children(page, root, self._membership.node_id, depth)

    def _push_to_children(
        self, page: list[StateRecord], root: str, parent: str, depth: int
    ) -> None:
        """Push a page to a node's children; the node is this one or a child that didn't answer."""
        if depth >= MAX_DEPTH:
            return
        members = [
            member.node_id for member in self._membership.live_members(self._membership.zone)
        ]
        for child in tree_children(members, root, parent):
            if child != self._membership.node_id:
                self._spawn(self._push_to_child, child, page, root, depth)

    def _push_to_child(self, child: str, page: list[StateRecord], root: str, depth: int) -> None:
        if not self._send(child, StatePush(records=page, root=root, depth=depth + 1)):
            # The child may be dead and not yet noticed: its subtree must not wait for that.
            self._push_to_children(page, root, child, depth + 1)

    def _push_to_zone(self, zone: str, page: list[StateRecord]) -> None:
        """Push to one node of another zone, which pushes on there; to a second if that fails."""
        peers = self._peer_ids(zone)
        for relay in self._random.sample(peers, min(RELAYS_TRIED_PER_ZONE, len(peers))):
            if self._send(relay, StatePush(records=page, root="", depth=0)):
                return

    def _send(self, node_id: str, message: StatePush) -> bool:
        try:
            self._peers.call(
                node_id, MessageType.STATE_PUSH, message, StatePushReply, PUSH_TIMEOUT_SECONDS
            )
        except RunkeelError:
            metrics.PUSHES.labels("failed").inc()
            return False
        metrics.PUSHES.labels("sent").inc()
        return True

    def _spawn(self, function, *arguments) -> None:
        """Run a push in its own task, or drop it: catch-up mends what is dropped."""
        if self._pushes.full():
            metrics.PUSHES.labels("dropped").inc()
            return
        self._pushes.spawn(function, *arguments)

    def _serve_push(self, _peer_node_id: str, request: StatePush) -> tuple[int, StatePushReply]:
        records = [record_from_wire(message) for message in request.records or ()]
        taken = self._state.apply(records, RecordSource.PUSH)
        # Passed on even where nothing was new here: the tree's lower part has no other way.
        root = request.root or self._membership.node_id
        self._push_down(request.records or [], root, request.depth)
        return MessageType.STATE_PUSH_REPLY, StatePushReply(taken=len(taken))

    def _relay_from_other_zone(self, peer_node_id: str, taken: Sequence[VersionedRecord]) -> None:
        """Push inside the zone what a healed cut has brought, so that not every node fetches it."""
        peer = self._membership.member(peer_node_id)
        if peer is None or peer.zone == self._membership.zone or not self.caught_up:
            return
        for page in pages(taken):
            self._push_down(page, self._membership.node_id, 0)

    def _on_mismatch(self, node_id: str) -> None:
        if node_id in self._pending:
            return
        try:
            self._mismatches.put_nowait(node_id)
        except Full:
            return  # Heartbeats report it again.
        self._pending.add(node_id)

    def _answer_mismatches(self) -> None:
        while True:
            try:
                node_id = self._mismatches.get(timeout=60.0)
            except Empty:
                continue
            # Jitter: all nodes of a zone notice the same difference at the same heartbeat.
            gevent.sleep(self._random.uniform(0.0, MISMATCH_JITTER_SECONDS))
            self._pending.discard(node_id)
            self._synchronize_if_due(node_id)

    def _synchronize_if_due(self, node_id: str) -> None:
        now = time.monotonic()
        due = {
            peer: moment
            for peer, moment in self._last_sync.items()
            if now - moment < MIN_SECONDS_BETWEEN_SYNCS
        }
        if node_id in due:
            return
        self._last_sync = {**due, node_id: now}
        self._synchronize(node_id)

    def _synchronize(self, node_id: str) -> bool:
        try:
            self.anti_entropy.synchronize(node_id)
        except RunkeelError:
            metrics.SYNCS.labels("failed").inc()
            return False
        metrics.SYNCS.labels("done").inc()
        return True

    def _catch_up(self) -> None:
        """Take the whole state from a peer, so that a new node doesn't wait for the store."""
        delay = FIRST_CATCH_UP_RETRY_SECONDS
        while not self.caught_up:
            own_zone = self._peer_ids(self._membership.zone)
            other = [peer for peer in self._peer_ids(None) if peer not in own_zone]
            self._random.shuffle(own_zone)
            self._random.shuffle(other)
            if any(self._synchronize(peer) for peer in (own_zone + other)[:4]):
                self._caught_up.set()
                return
            gevent.sleep(self._random.uniform(0.5, 1.0) * delay)
            delay = min(delay * _RETRY_FACTOR, MAX_CATCH_UP_RETRY_SECONDS)
