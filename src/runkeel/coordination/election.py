"""Elects the coordinator through the store and handles its succession.

Every node watches the coordinator's document and pings the coordinator. The coordinator ranks the
nodes that ping it; when it stops answering, or reports that it has lost the store, the first node
in rank replaces it by compare-and-swap. Two nodes may briefly both act as coordinator. This is
safe, since the results of jobs and the orders to engines to load a version are protected by
conditional writes of their own.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import (
    Document,
    DocumentConflictError,
    DocumentKind,
    DocumentStore,
    Freshness,
)
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.coordination import pings
from runkeel.coordination.advertised_nodes import AdvertisedNodes
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.coordination.overlay import Overlay, neighbours_digest
from runkeel.coordination.peers import UNRANKED, PeerRegistry
from runkeel.coordination.pings import PingSender
from runkeel.coordination.succession import Succession
from runkeel.coordination.tentative_term import STORE_CHECK_INTERVAL_SECONDS, TentativeTerm
from runkeel.coordination.witnesses import reached_by_others
from runkeel.errors import RunkeelError, Verdict
from runkeel.handoff.storage_quorum import KnownStorageNodes, StorageNode
from runkeel.metrics import COORDINATING
from runkeel.state.document_watcher import (
    IDLE_PROBE_INTERVAL_SECONDS,
    WATCH_TIMEOUT_SECONDS,
    DocumentWatcher,
)
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    CoordinatorPing,
    CoordinatorPong,
    CoordinatorWitness,
    CoordinatorWitnessReply,
    NodeAddress,
)
from runkeel.wire.network import PeerNetwork

PING_INTERVAL_SECONDS = 0.5
"""Ping interval of the ranked nodes after the first."""

FIRST_RANK_PING_INTERVAL_SECONDS = 0.25
"""Ping interval of the first node in rank; shorter, as it replaces the coordinator first."""

UNRANKED_PING_INTERVAL_SECONDS = 1.0
"""Minimum ping interval of unranked nodes, which are not among the first three successors."""

MAX_UNRANKED_PINGS_PER_SECOND = 60
"""Bound on the pings of all unranked nodes together; their interval grows with their number."""

SILENT_PING_INTERVALS = 2.2
"""A node counts as silent after this many unranked ping intervals without a ping."""

PING_RETRY_SECONDS = 0.05
"""Ping interval while pings fail."""

VERIFY_WATCH_SECONDS = 0.7
"""Maximum duration of a coordinator's watch of its document, which confirms its term."""

VERIFICATION_VALID_SECONDS = 1.0
"""How long a confirmation by the store stays valid."""

WITNESS_TIMEOUT_SECONDS = 0.8
"""Timeout of the queries to witnesses: other nodes that ping the coordinator before they answer."""

MAX_LIKELY_SUCCESSORS = 2
"""Number of successors that nodes query first and that get copies of the open jobs."""

STORAGE_NODES_SETTLE_SECONDS = 3.0
"""How long after its start a node's list of storage nodes may be incomplete.

A coordinator that has started at the same time usually hears of the other nodes within 2 s.
"""

SUCCESSOR_QUERY_INTERVAL_SECONDS = 0.2
"""Minimum interval between queries to the likeliest successors.

It bounds the load on them, since all nodes query the same ones.
"""

MAX_PREDECESSOR_PINGS = 30
"""Maximum number of attempts to notify the replaced coordinator of the new epoch."""

START_JITTER_SECONDS = 0.3
"""Maximum random delay before a starting node first claims the term or pings the coordinator.

It keeps the claims of nodes that start together from colliding. Nodes that only follow are delayed,
too; a restarted coordinator is not.
"""

NOT_PREFERRED_START_DELAY_SECONDS = 1.5
"""Delay of a node that is not preferred when it starts and there is no coordinator.

It begins with the first read of the coordinator's document, so it adds to the delay that
:meth:`Election.start` gets.
"""

CLAIM_TIMEOUT_SECONDS = 0.6
"""Timeout of a claim; a claim that the store applies after that is still recognized.

Exceeds the response time of a slow store.
"""

STORE_PROBE_TIMEOUT_SECONDS = 0.5
"""Timeout of the probe by which a node checks the store while the coordinator does not answer.

During a store outage no node can replace the coordinator, and a tentative term may be needed.
"""

_CLAIM_RETRY_SECONDS = 0.3
"""Pause before an unanswered claim is retried, and longest one after a conflicting claim."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that may coordinate.

    Attributes:
        shard: name of the coordinator's document.
        preferred: whether it takes precedence over nodes that are not preferred.
    """

    node_id: str
    zone: str
    shard: str
    preferred: bool


class LeaseConfirmations(Protocol):
    """Confirmations of the order lease, exchanged in pings.

    Only the holder of the lease may send orders to engines; see
    :mod:`runkeel.coordination.order_lease`. A successor has to pause before its first order. If it
    knows when the previous holder last confirmed the lease, it counts the pause from then.
    """

    @property
    def confirmation(self) -> tuple[int, float]:
        """Revision of this node's last confirmed lease, and its age in seconds."""

    def observe(self, revision: int, age_seconds: float) -> None:
        """Record the coordinator's last confirmation of its lease."""


class TermHandler(Protocol):
    """Starts and stops the work of a term of this node."""

    def begin_tentative_term(self, epoch: int) -> None:
        """Run open items while the store is unreachable, in a term that it has yet to confirm."""

    def begin_term(self, epoch: int) -> None:
        """Start coordinating; this confirms a tentative term of the same epoch."""

    def end_term(self) -> None:
        """Stop coordinating, or end a tentative term."""


class Election:
    """Follows the coordinator and replaces it when this node is due.

    Args:
        store_reachable: returns whether the store has answered this node's last call.
        store_needed: set while the coordinator's document has to be read from the store; None:
            always.
        quarantine_digest: returns the digest of this node's records of requests that crashed
            servers.
        on_quarantine_digest: called with the coordinator's name and the digest that it sent.
    """

    def __init__(
        self,
        store: DocumentStore,
        network: PeerNetwork,
        candidate: Candidate,
        lease: LeaseConfirmations,
        term_handler: TermHandler,
        store_reachable: Callable[[], bool],
        store_needed: Event | None = None,
        quarantine_digest: Callable[[], int] = lambda: 0,
        on_quarantine_digest: Callable[[str, int], None] = lambda node_id, digest: None,
    ) -> None:
        self._store = store
        self._network = network
        self._shard = candidate.shard
        self._node_id = candidate.node_id
        self._zone = candidate.zone
        self._preferred = candidate.preferred
        own_address = NodeAddress(candidate.node_id, "", candidate.zone)
        self._pings = PingSender(network, candidate.shard, candidate.preferred, own_address)
        self._store_reachable = store_reachable
        self._lease = lease
        self._term_handler = term_handler
        self._succession = Succession(candidate.preferred, self._reaches_store)
        self._watcher = DocumentWatcher(
            store,
            DocumentKind.COORDINATOR,
            self._on_document_changed,
            watch_seconds=self._watch_seconds,
            store_needed=store_needed,
            # A preferred node may have to take over at once, so it checks the store more often.
            idle_probe_interval_seconds=PING_INTERVAL_SECONDS
            if self._preferred
            else IDLE_PROBE_INTERVAL_SECONDS,
            # A stale list may name a replaced coordinator; a claim based on it is rejected by the
            # store, as it is conditional on the replaced revision.
            first_list_freshness=Freshness.STALE_ALLOWED,
            confirmation_interval_seconds=self._confirmation_interval_seconds,
        )
        self._coordinator: Coordinator | None = None
        self._listeners: list[Callable[[], None]] = []
        self._epoch = 0
        """Epoch of this node's term; 0: it does not coordinate."""
        self._pending_claim_epoch = 0
        """Epoch of a claim that the store has not answered; 0: none."""
        self._peers = PeerRegistry(candidate.zone)
        self._overlay = Overlay(
            lambda: [*self._peers.addresses(), self._pings.own_address], lambda: len(self._peers)
        )
        self._quarantine_digest = quarantine_digest
        self._on_quarantine_digest = on_quarantine_digest
        self._predecessor: Coordinator | None = None
        self._advertised = AdvertisedNodes()
        self._tentative = TentativeTerm(
            candidate.node_id,
            candidate.preferred,
            self._pings,
            self._advertised,
            self._succession,
            self._reached_by_witnesses,
            term_handler.begin_tentative_term,
            term_handler.end_term,
        )
        self._successors_queried_at = 0.0
        self._started_at = steady_seconds()
        self._store_probe: gevent.Greenlet | None = None
        """Probe of the store since the coordinator last served; None: none was made."""
        self._leaving = False
        self._coordinating_since = 0.0
        self._claim_sent_at = 0.0
        """Steady time at which the claim of this node's term was sent; 0: none was answered."""
        self._task: gevent.Greenlet | None = None
        self._starter: gevent.Greenlet | None = None
        network.on_call(MessageType.COORDINATOR_PING, CoordinatorPing, self._answer_ping)
        network.on_call(MessageType.COORDINATOR_WITNESS, CoordinatorWitness, self._answer_witness)

    @property
    def watcher(self) -> DocumentWatcher:
        """Watcher of the coordinator's document."""
        return self._watcher

    @property
    def node_id(self) -> str:
        return self._node_id

    @property
    def coordinator(self) -> Coordinator | None:
        """The latest coordinator known to this node."""
        return self._coordinator

    @property
    def other_coordinator(self) -> Coordinator | None:
        """The latest coordinator known to this node; None if none is known or it is this node."""
        known = self._coordinator
        if self.coordinating or known is None or known.node_id == self._node_id:
            return None
        return known

    @property
    def coordinating(self) -> bool:
        """Whether this node is the coordinator."""
        return self._epoch > 0

    @property
    def coordinating_since(self) -> float | None:
        """Steady time at which this node became coordinator; None: it is not the coordinator."""
        return self._coordinating_since if self.coordinating else None

    @property
    def verified(self) -> bool:
        """Whether the store has confirmed recently that this node is the coordinator."""
        age = steady_seconds() - max(self._watcher.current_as_of, self._claim_sent_at)
        return self.coordinating and age <= VERIFICATION_VALID_SECONDS

    def note_successor(self, address: NodeAddress, epoch: int) -> None:
        """Record a later coordinator, as announced by itself or by its predecessor.

        This is safe without a read of the store: claims are conditional on the stored document.
        """
        known = self._coordinator
        if known is not None and known.epoch >= epoch:
            return
        announced = Coordinator(
            address.node_id, Address.parse(address.address), address.zone, epoch
        )
        self._set_coordinator(announced)

    def on_term_change(self, listener: Callable[[], None]) -> None:
        """Add a listener that is called whenever a new term becomes known, from any source."""
        self._listeners.append(listener)

    @property
    def known_successor(self) -> Coordinator | None:
        """Coordinator to which this node refers its followers.

        Same as :attr:`other_coordinator`: it has not necessarily replaced this node, which may
        never have coordinated.
        """
        return None if self.coordinating else self.other_coordinator

    def step_down(self, reason: str) -> None:
        """Step down because another coordinator has acted, and restart the watch for it."""
        self._step_down(reason)
        self._watcher.restart_watch()

    def copy_holders(self, include_not_preferred: bool = True) -> list[str]:
        """Return the nodes that hold copies of the running items; see :class:`PeerRegistry`."""
        return self._peers.copy_holders(include_not_preferred)

    def peers(self) -> list[NodeAddress]:
        """Return the addresses of the nodes that have pinged this coordinator recently."""
        return self._peers.addresses()

    @property
    def tentative(self) -> bool:
        """Whether this node is in a tentative term."""
        return self._tentative.epoch > 0

    def likely_successors(self) -> list[str]:
        """Return the first successors in rank.

        The coordinator sends them copies of the open jobs, and nodes query them first.
        """
        return [one.node_id for one in self._peers.successors()[:MAX_LIKELY_SUCCESSORS]]

    def storage_nodes(self) -> KnownStorageNodes:
        """Return the known storage nodes, which keep hints of jobs that are not in the store yet.

        They are the coordinator, its successors and, if it is preferred, this node. The list counts
        as complete once this node has run for :data:`STORAGE_NODES_SETTLE_SECONDS` and either
        coordinates or has received an answer from a coordinator.
        """
        known = self._coordinator
        advertised = [
            StorageNode(one.node_id, one.zone) for one in self._advertised.successor_addresses
        ]
        if self.coordinating:
            own_successors = [
                StorageNode(one.node_id, one.zone) for one in self._peers.successors()
            ]
            known_storage_nodes = [
                StorageNode(self._node_id, self._zone),
                *own_successors,
                *advertised,
            ]
        else:
            own = [StorageNode(self._node_id, self._zone)] if self._preferred else []
            leading = [StorageNode(known.node_id, known.zone)] if known is not None else []
            known_storage_nodes = [*own, *leading, *advertised]
        complete = self.coordinating or self._advertised.received_any
        settled = steady_seconds() - self._started_at >= STORAGE_NODES_SETTLE_SECONDS
        # A node may appear in more than one of these lists; the first entry counts.
        distinct = {one.node_id: one for one in reversed(known_storage_nodes)}
        return KnownStorageNodes(tuple(reversed(distinct.values())), complete and settled)

    @property
    def silent_peers(self) -> int:
        """Number of nodes that have recently stopped pinging this coordinator."""
        return self._peers.count_silent(SILENT_PING_INTERVALS * self._unranked_ping_interval())

    def neighbours(self) -> list[str]:
        """Return the nodes to which this node sends updates, as last assigned by a coordinator."""
        if self.coordinating:
            known = self._overlay.neighbours(self._node_id)
        else:
            known = self._advertised.neighbours
        return [one.node_id for one in known]

    @property
    def own_address(self) -> NodeAddress:
        """Address at which peers reach this node."""
        return self._pings.own_address

    @property
    def known_epoch(self) -> int:
        """Epoch of the latest term known to this node."""
        coordinator_epoch = self._coordinator.epoch if self._coordinator is not None else 0
        return max(coordinator_epoch, self._epoch)

    def peer_address(self, node_id: str) -> tuple[Address, str] | None:
        """Return the address and zone of a node, for the peer network."""
        known = self._coordinator
        if known is not None and known.node_id == node_id:
            return known.address, known.zone
        before = self._predecessor
        if before is not None and before.node_id == node_id:
            return before.address, before.zone
        found = self._peers.address(node_id) or self._advertised.address(node_id)
        return None if found is None else (Address.parse(found.address), found.zone)

    def start(self, peer_address: Address, delay_seconds: float = 0.0) -> None:
        """Start following and pinging the coordinator.

        Args:
            peer_address: address at which peers reach this node.
            delay_seconds: delay before the coordinator's document is first read.
        """
        self._pings.own_address = NodeAddress(self._node_id, str(peer_address), self._zone)
        if delay_seconds > 0:
            self._starter = gevent.spawn_later(delay_seconds, self._watcher.start)
        else:
            self._watcher.start()
        self._task = gevent.spawn(self._run)

    def leave(self) -> None:
        """Step down and claim no further term, so that a successor can take over at once."""
        self._leaving = True
        self._tentative.end("this node hands over coordination")
        self._step_down("this node hands over coordination")

    def stop(self) -> None:
        """Stop the background tasks."""
        if self._starter is not None:
            self._starter.kill(block=False)
        self._watcher.stop()
        if self._task is not None:
            self._task.kill(block=False)

    def _on_document_changed(self, document: Document, removed: bool) -> None:
        if removed or document.name != self._shard:
            return
        stored = Coordinator.from_document(document)
        if self._coordinator is not None and stored.epoch < self._coordinator.epoch:
            # The store's update is older than what a later coordinator has announced.
            return
        self._set_coordinator(stored)

    def _set_coordinator(self, latest: Coordinator) -> None:
        """Adopt a coordinator, and step down if its term is later than this node's."""
        before = self._coordinator
        self._coordinator = latest
        if self._epoch and latest.epoch > self._epoch:
            self._step_down(f"{latest.node_id} took over")
        if latest.epoch >= self._tentative.epoch and not self._is_pending_claim(latest):
            self._tentative.end(f"{latest.node_id} took over")
        if before is None or before.epoch != latest.epoch:
            for listener in self._listeners:
                listener()

    def _run(self) -> None:
        self._watcher.first_list_applied.wait()
        if self._coordinator is None or self._coordinator.node_id != self._node_id:
            gevent.sleep(random.uniform(0.0, START_JITTER_SECONDS))
        if not self._preferred and self._coordinator is None:
            gevent.sleep(NOT_PREFERRED_START_DELAY_SECONDS)
        self._succession.note_contact()
        seen_epoch = 0
        while True:
            known = self._coordinator
            if self._leaving or self.coordinating:
                self._succession.note_contact()
                gevent.sleep(PING_INTERVAL_SECONDS)
                continue
            if known is not None and self._is_pending_claim(known):
                self._become_coordinator(known.epoch, "the store has applied an earlier claim")
                continue
            if known is None or known.node_id == self._node_id:
                self._claim(known, "no other coordinator")
                continue
            if known.epoch != seen_epoch:
                seen_epoch = known.epoch
                self._succession.reset()
            if self.tentative:
                gevent.sleep(self._confirm_tentative(known))
                continue
            gevent.sleep(self._follow(known))

    def _confirm_tentative(self, known: Coordinator) -> float:
        """Claim the term once the store is reachable; returns the pause in seconds until a retry.

        The tentative term ends if the coordinator turns out to serve.
        """
        pong = self._pings.ping(known.node_id, known.epoch)
        reaches_store = self._reaches_store()
        if pong is None and reaches_store:
            # If a partition has healed, a new connection shows whether the coordinator serves.
            pong = self._pings.ping_anew(known.node_id, known.epoch)
        if pong is not None and pong.coordinator:
            self._tentative.end(f"{known.node_id} serves")
            self._succession.note_contact()
        elif reaches_store:
            self._claim(known, "the store is reachable again")
        elif self._tentative.loses_tie(known):
            self._tentative.end("another tentative term takes precedence")
        return STORE_CHECK_INTERVAL_SECONDS

    def _follow(self, known: Coordinator) -> float:
        """Ping the coordinator, and replace it if due.

        Returns:
            The pause in seconds until the next ping.
        """
        pinged_at = steady_seconds()
        pong = self._pings.ping(known.node_id, known.epoch)
        pause = PING_INTERVAL_SECONDS
        if pong is not None:
            pause = pong.interval_ms / 1000.0
            self._lease.observe(pong.lease_revision, pong.lease_age_ms / 1000.0)
            self._record_advertised(known, pong)
            if pong.coordinator and (pong.epoch or 0) > known.epoch:
                # The coordinator has restarted and coordinates in a later term.
                address = NodeAddress(known.node_id, str(known.address), known.zone)
                self.note_successor(address, pong.epoch)
        # A ping takes at most its timeout; any longer time is a stall of this process, which must
        # not count as silence of the coordinator.
        pinged_at = max(pinged_at, steady_seconds() - pings.PING_TIMEOUT_SECONDS)
        if self._succession.is_serving(pong):
            self._succession.note_contact()
            self._store_probe = None
            return pause
        if pong is None and self._preferred and self._store_probe is None:
            self._store_probe = gevent.spawn(self._probe_store)
        if not self._succession.is_due(pong, pinged_at):
            if self._succession.may_be_replaced:
                self._query_successors(known)
            if pong is None and self._tentative.may_begin(known):
                self._tentative.begin(known)
            return PING_RETRY_SECONDS if pong is None else PING_INTERVAL_SECONDS / 2
        if pong is None and self._reached_by_witnesses(known):
            logger.info(
                "coordinator is reachable by other nodes; not replacing it",
                code="coordinator_witnessed",
                coordinator=known.node_id,
                epoch=known.epoch,
                silent_ms=int(self._succession.silent_seconds * 1000),
            )
            self._succession.note_contact()
            return PING_INTERVAL_SECONDS
        if pong is None and self._tentative.defers_claim(known):
            return STORE_CHECK_INTERVAL_SECONDS
        if pong is None and self._succession.regained_store and self._serves_after_all(known):
            self._succession.note_contact()
            return PING_INTERVAL_SECONDS
        if pong is None and not self._reaches_store_after_probe():
            return PING_RETRY_SECONDS
        if self._coordinator is known:
            silent = self._succession.silent_seconds
            self._claim(known, f"{known.node_id} silent for {silent:.1f} s")
        return 0.0

    def _reaches_store_after_probe(self) -> bool:
        """Return whether the store has answered since the coordinator fell silent.

        A claim that is sent into a partition may reach the store once it has healed.
        """
        if self._store_probe is not None:
            self._store_probe.join(STORE_PROBE_TIMEOUT_SECONDS)
        return self._reaches_store()

    def _serves_after_all(self, known: Coordinator) -> bool:
        """Return whether the coordinator answers on a new connection that it serves."""
        return self._succession.is_serving(self._pings.ping_anew(known.node_id, known.epoch))

    def _record_advertised(self, known: Coordinator, pong: CoordinatorPong) -> None:
        """Record the nodes named in an answer, and pass on its quarantine digest."""
        self._advertised.record(pong)
        self._pings.neighbours_digest = neighbours_digest(self._advertised.neighbours)
        if pong.coordinator:
            self._on_quarantine_digest(known.node_id, pong.quarantine_digest or 0)

    def _is_pending_claim(self, holder: Coordinator) -> bool:
        """Return whether this coordinator stems from this process's own unanswered claim."""
        return holder.node_id == self._node_id and holder.epoch == self._pending_claim_epoch

    def _probe_store(self) -> None:
        """Call the store, so that its reachability, which each call updates, is current."""
        try:
            self._store.get(DocumentKind.COORDINATOR, self._shard, STORE_PROBE_TIMEOUT_SECONDS)
        except RunkeelError as error:
            logger.info(
                "store did not answer a probe while the coordinator is silent",
                code="store_probe",
                error=str(error.code),
            )

    def _query_successors(self, known: Coordinator) -> None:
        """Query the likeliest successors to learn whether one of them coordinates now.

        If one does, this node follows its feed, which saves calls to the store that every node
        would make at the same time. The watch of the coordinator's document is independent of this.
        """
        now = steady_seconds()
        if now - self._successors_queried_at < SUCCESSOR_QUERY_INTERVAL_SECONDS:
            return
        self._successors_queried_at = now
        others = [
            one for one in self._advertised.successors if one not in (self._node_id, known.node_id)
        ]
        answers = self._pings.ping_all(others[:MAX_LIKELY_SUCCESSORS], known.epoch)
        for node_id, pong in answers.items():
            if pong.coordinator and pong.epoch > known.epoch:
                self.note_successor(self._advertised.address(node_id), pong.epoch)

    def _reached_by_witnesses(self, known: Coordinator) -> bool:
        others = [
            one for one in self._advertised.witnesses if one not in (self._node_id, known.node_id)
        ]
        return reached_by_others(
            self._network, self._shard, known.epoch, others, WITNESS_TIMEOUT_SECONDS
        )

    def _answer_witness(
        self, peer: str, message: CoordinatorWitness
    ) -> tuple[int, CoordinatorWitnessReply]:
        known = self._coordinator
        serving = self.coordinating
        if known is not None and known.epoch >= message.epoch and not serving:
            pong = self._pings.ping(known.node_id, known.epoch)
            serving = self._succession.is_serving(pong)
        reply = CoordinatorWitnessReply(serving)
        return MessageType.COORDINATOR_WITNESS_REPLY, reply

    def _watch_seconds(self) -> float:
        return VERIFY_WATCH_SECONDS if self.coordinating else WATCH_TIMEOUT_SECONDS

    def _confirmation_interval_seconds(self) -> float:
        return VERIFY_WATCH_SECONDS if self.coordinating else math.inf

    def _reaches_store(self) -> bool:
        return self._watcher.reachable and self._store_reachable()

    def _answer_ping(self, peer: str, ping: CoordinatorPing) -> tuple[int, CoordinatorPong]:
        if ping.coordinating:
            self.note_successor(ping.sender, ping.epoch)
        if self._epoch and ping.epoch > self._epoch:
            self._step_down(f"{peer} knows epoch {ping.epoch}")
        rank = self._peers.record_ping(peer, ping.sender, ping.preferred)
        interval = PING_INTERVAL_SECONDS if rank else FIRST_RANK_PING_INTERVAL_SECONDS
        if rank == UNRANKED:
            interval = self._unranked_ping_interval()
        lease_revision, lease_age = self._lease.confirmation
        pong = CoordinatorPong(
            self.coordinating,
            rank,
            int(interval * 1000),
            self._reaches_store() and not self._leaving,
            self._peers.witnesses_for(peer),
            lease_revision,
            int(lease_age * 1000),
            self._peers.successors(),
            self._epoch,
            self.tentative,
            self._changed_neighbours(peer, ping),
            self._quarantine_digest(),
        )
        return MessageType.COORDINATOR_PONG, pong

    def _changed_neighbours(self, peer: str, ping: CoordinatorPing) -> list[NodeAddress] | None:
        """Return a node's neighbours; None if its digest shows that it knows them."""
        if not self.coordinating:
            return None
        neighbours = self._overlay.neighbours(peer)
        same = neighbours_digest(neighbours) == (ping.neighbours_digest or 0)
        return None if same else neighbours

    def _unranked_ping_interval(self) -> float:
        """Return the ping interval of unranked nodes, in seconds."""
        return max(UNRANKED_PING_INTERVAL_SECONDS, len(self._peers) / MAX_UNRANKED_PINGS_PER_SECOND)

    def _claim(self, known: Coordinator | None, reason: str) -> None:
        """Claim the term after ``known``; the store rejects the claim if a later one exists."""
        epoch = (known.epoch if known else 0) + 1
        address = Address.parse(self._pings.own_address.address)
        claim = Coordinator(self._node_id, address, self._zone, epoch)
        sent_at = steady_seconds()
        # The watch may deliver this claim before the store answers.
        pending_before, self._pending_claim_epoch = self._pending_claim_epoch, epoch
        try:
            claim.write(self._store, self._shard, known, CLAIM_TIMEOUT_SECONDS)
        except DocumentConflictError as conflict:
            if self._adopt_applied_claim(conflict.current, epoch):
                self._claim_sent_at = sent_at
                self._become_coordinator(epoch, reason)
                return
            self._pending_claim_epoch = 0
            if conflict.current is not None:
                self._on_document_changed(conflict.current, removed=False)
            gevent.sleep(random.uniform(0.0, _CLAIM_RETRY_SECONDS))
            return
        except RunkeelError as error:
            if error.verdict is Verdict.NOT_RUN:
                self._pending_claim_epoch = pending_before
            logger.info(
                "could not claim the coordinator's term",
                code="claim_failed",
                epoch=epoch,
                error=str(error.code),
            )
            gevent.sleep(_CLAIM_RETRY_SECONDS)
            return
        self._claim_sent_at = sent_at
        self._become_coordinator(epoch, reason)
        if known is not None and known.node_id != self._node_id:
            self._predecessor = known
            gevent.spawn(self._notify_predecessor, known, epoch)

    def _adopt_applied_claim(self, document: Document | None, epoch: int) -> bool:
        """Record this process as the coordinator if the store holds its claim of this epoch.

        The store may have applied a claim although its answer was lost. Returns whether it has.
        """
        if document is None or document.name != self._shard or epoch != self._pending_claim_epoch:
            return False
        stored = Coordinator.from_document(document)
        if stored.epoch != epoch or not self._is_pending_claim(stored):
            return False
        self._coordinator = stored
        return True

    def _become_coordinator(self, epoch: int, reason: str) -> None:
        if self._tentative.epoch == epoch:
            self._tentative.confirm()
        else:
            self._tentative.end("a different term began")
        # ``_coordinator`` may remain the predecessor until the watch delivers this node's document.
        self._epoch, self._pending_claim_epoch = epoch, 0
        self._coordinating_since = steady_seconds()
        self._watcher.restart_watch()
        self._peers.clear()
        COORDINATING.labels(self._shard).set(1)
        logger.info("became coordinator", code="coordinator_gained", epoch=epoch, reason=reason)
        self._term_handler.begin_term(epoch)

    def _notify_predecessor(self, predecessor: Coordinator, epoch: int) -> None:
        """Ping the predecessor with the new epoch, in case it can't read it from the store."""
        for _ in range(MAX_PREDECESSOR_PINGS):
            if self._epoch != epoch:
                return
            if self._pings.ping(predecessor.node_id, epoch, coordinating=True) is not None:
                return
            gevent.sleep(PING_INTERVAL_SECONDS)

    def _step_down(self, reason: str) -> None:
        if not self._epoch:
            return
        logger.info(
            "stepped down as coordinator", code="coordinator_lost", epoch=self._epoch, reason=reason
        )
        self._epoch = 0
        self._advertised.set_witnesses(self._peers.witnesses_for(self._node_id))
        COORDINATING.labels(self._shard).set(0)
        self._term_handler.end_term()
