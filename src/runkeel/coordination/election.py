"""Elects the coordinator through the store and arranges its succession.

Every node follows the coordinator's document and pings the coordinator. The coordinator ranks the
nodes that ping it; when it falls silent, or says that it has lost the store, the first in rank
replaces it by compare-and-swap. Two nodes may believe to coordinate for a moment: results and
orders are guarded by their own conditions in the store.
"""

from __future__ import annotations

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
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.coordination.overlay import Overlay, neighbours_digest
from runkeel.coordination.peers import LAST_RANK, PeerRegistry
from runkeel.coordination.pings import PingSender
from runkeel.coordination.succession import Succession
from runkeel.coordination.tentative_place import CHECK_SECONDS, TentativePlace
from runkeel.coordination.told_nodes import ToldNodes
from runkeel.coordination.witnesses import reached_by_others
from runkeel.errors import RunkeelError, Verdict
from runkeel.handoff.keeper_quorum import Keeper, KnownKeepers
from runkeel.metrics import COORDINATING
from runkeel.state.document_watcher import (
    RESTING_PROBE_SECONDS,
    WATCH_SECONDS,
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

PING_SECONDS = 0.5
FIRST_PING_SECONDS = 0.25
"""Pause between pings of the first in rank: a silence is counted from the first that fails."""

SLOW_PING_SECONDS = 1.0
"""Pause between pings of nodes out of rank, which do not take over first.

Chosen: twice the others' pause.
"""

PINGS_PER_SECOND = 60
"""Nodes out of rank ping less often when there are so many that more pings would come."""

SILENT_PINGS = 2.2
"""A node that has missed two pings may be down or cut off."""

FAILING_PING_SECONDS = 0.05
"""Pause between pings while they fail."""

VERIFY_SECONDS = 0.7
"""The coordinator has the store confirm its place so often, by a watch that waits so long."""

VERIFIED_SECONDS = 1.0
"""A confirmation counts for so long: results may be missing at a node for a second only."""

WITNESS_SECONDS = 0.8
"""Longest wait for what the witnesses say. Chosen: a little over two pings' time-outs."""

ASKED_SUCCESSORS = 2
"""So many are asked; where both are lost as well, the store tells."""

KEEPERS_TOLD_SECONDS = 3.0
"""A node that has started may not have been told of all that keep jobs until then.

It pings at once; a coordinator that has started with it hears of the others within 2 s.
"""

ASK_SUCCESSORS_SECONDS = 0.2
"""Pause between questions to the likeliest successors: all nodes ask them at once."""

PREDECESSOR_PINGS = 30
START_SPREAD_SECONDS = 0.3
"""Nodes that start at once claim the place spread over so long. Chosen, not measured."""

PREFERENCE_SECONDS = 1.5
"""So much longer a node that isn't preferred waits at a start without a coordinator."""

CLAIM_SECONDS = 0.6
"""Longest wait for the answer to a claim; one that comes to be taken later is recognized.

A store that is 85 times slower than usual answers in 0.35 s.
"""

STORE_PROBE_SECONDS = 0.5
"""Longest wait of a node in rank that asks, while the coordinator is silent, whether it would be
answered by the store: in an outage nobody can replace the coordinator, and items should go on.
"""

_CLAIM_RETRY_SECONDS = 0.3
"""Pause before a claim that the store did not answer is tried again. Chosen, not measured."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that may coordinate.

    Attributes:
        shard: what it coordinates.
        preferred: it should coordinate rather than one that is not preferred.
    """

    node_id: str
    zone: str
    shard: str
    preferred: bool


class LeaseTold(Protocol):
    """What an election passes on of the order lease, so that a successor can claim it soon."""

    @property
    def confirmation(self) -> tuple[int, float]:
        """Revision of this node's last confirmed lease, and its age in seconds."""

    def observe(self, revision: int, age_seconds: float) -> None:
        """Take what the coordinator told of its lease."""


class Terms(Protocol):
    """What happens when this node becomes coordinator, and when it no longer is."""

    def begin_tentative_term(self, epoch: int) -> None:
        """Run items on while the store is away, in a term that it has still to confirm."""

    def begin_term(self, epoch: int) -> None:
        """Coordinate from now on; a tentative term of this epoch is confirmed."""

    def end_term(self) -> None:
        """Coordinate no more, or run items on no more."""


class Election:
    """Follows and, when it is this node's turn, takes the coordinator's place.

    Args:
        store_reachable: whether the store has answered this node's last call.
        store_needed: set while the store has to be asked for the coordinator's document; None:
            always.
        quarantine_digest: of what this node knows of requests under which servers ended.
        on_quarantine_digest: called with the coordinator's name and its digest.
    """

    def __init__(
        self,
        store: DocumentStore,
        network: PeerNetwork,
        candidate: Candidate,
        lease: LeaseTold,
        terms: Terms,
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
        self._terms = terms
        self._succession = Succession(candidate.preferred, self._reaches_store)
        self._watcher = DocumentWatcher(
            store,
            DocumentKind.COORDINATOR,
            self._changed,
            watch_seconds=self._watch_seconds,
            needed=store_needed,
            # Who may have to take over at once wants to know whether it reaches the store.
            resting_probe_seconds=PING_SECONDS if self._preferred else RESTING_PROBE_SECONDS,
            # An old list may name a coordinator that was replaced; a claim is decided by the
            # store, on condition of the revision that it replaces.
            first_list=Freshness.ANY_AGE,
        )
        self._coordinator: Coordinator | None = None
        self._listeners: list[Callable[[], None]] = []
        self._epoch = 0
        """Epoch in which this node coordinates, 0 when it does not."""
        self._unanswered_epoch = 0
        """Epoch that it has claimed and of which the store has not answered yet; 0: none."""
        self._peers = PeerRegistry(candidate.zone)
        self._overlay = Overlay(
            lambda: [*self._peers.addresses(), self._pings.own_address], lambda: len(self._peers)
        )
        self._quarantine_digest = quarantine_digest
        self._on_quarantine_digest = on_quarantine_digest
        self._predecessor: Coordinator | None = None
        self._told = ToldNodes()
        self._tentative = TentativePlace(
            candidate.node_id,
            candidate.preferred,
            self._pings,
            self._told,
            self._succession,
            self._witnessed,
            terms.begin_tentative_term,
            terms.end_term,
        )
        self._asked_successors_at = 0.0
        self._started_at = steady_seconds()
        self._store_probed = False
        """Whether the store was asked since the coordinator was last heard."""
        self._stopping = False
        self._gained_at = 0.0
        self._task: gevent.Greenlet | None = None
        self._starter: gevent.Greenlet | None = None
        network.on_call(MessageType.COORDINATOR_PING, CoordinatorPing, self._answer_ping)
        network.on_call(MessageType.COORDINATOR_WITNESS, CoordinatorWitness, self._answer_witness)

    @property
    def watcher(self) -> DocumentWatcher:
        """Follows the coordinator's document."""
        return self._watcher

    @property
    def node_id(self) -> str:
        """This node's name."""
        return self._node_id

    @property
    def coordinator(self) -> Coordinator | None:
        """The coordinator as this node knows it."""
        return self._coordinator

    @property
    def other_coordinator(self) -> Coordinator | None:
        """The coordinator as this node knows it, None when that is this node."""
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
        """Steady time at which this node became coordinator; None: it is not."""
        return self._gained_at if self.coordinating else None

    @property
    def verified(self) -> bool:
        """Whether the store said a moment ago that this node is the coordinator."""
        age = steady_seconds() - max(self._watcher.fresh_at, self._gained_at)
        return self.coordinating and age <= VERIFIED_SECONDS

    def note_successor(self, address: NodeAddress, epoch: int) -> None:
        """Take note of a later coordinator, as told by itself or by the one before it.

        It need not be read from the store: who claims its place is held to the document there.
        """
        known = self._coordinator
        if known is not None and known.epoch >= epoch:
            return
        told = Coordinator(address.node_id, Address.parse(address.address), address.zone, epoch)
        self._know(told)

    def on_coordinator(self, listener: Callable[[], None]) -> None:
        """Have a listener called whenever another term is known, however it was told."""
        self._listeners.append(listener)

    @property
    def known_successor(self) -> Coordinator | None:
        """The coordinator that replaced this node, None when it has not been told of one."""
        return None if self.coordinating else self.other_coordinator

    def superseded(self, reason: str) -> None:
        """Give up the place: another coordinator's work has been seen."""
        self._step_down(reason)
        self._watcher.rewatch()

    def copy_holders(self, keepers: bool = True) -> list[str]:
        """Return the nodes that get copies of what runs here; see :class:`PeerRegistry`."""
        return self._peers.copy_holders(keepers)

    def peers(self) -> list[NodeAddress]:
        """Return the nodes that have pinged this coordinator lately."""
        return self._peers.addresses()

    @property
    def tentative(self) -> bool:
        """Whether this node runs items on until the store is back."""
        return self._tentative.epoch > 0

    def likely_successors(self) -> list[str]:
        """Return the nodes that get copies of the open jobs: those that are asked first."""
        return [one.node_id for one in self._peers.successors()[:ASKED_SUCCESSORS]]

    def keepers(self) -> KnownKeepers:
        """Return the nodes that keep jobs for the store: the coordinator and its successors."""
        known = self._coordinator
        keepers = [Keeper(one.node_id, one.zone) for one in self._told.successor_addresses]
        if self.coordinating:
            own_successors = [Keeper(one.node_id, one.zone) for one in self._peers.successors()]
            keepers = [Keeper(self._node_id, self._zone), *own_successors, *keepers]
        else:
            own = [Keeper(self._node_id, self._zone)] if self._preferred else []
            leading = [Keeper(known.node_id, known.zone)] if known is not None else []
            keepers = [*own, *leading, *keepers]
        told = self.coordinating or self._told.heard
        settled = steady_seconds() - self._started_at >= KEEPERS_TOLD_SECONDS
        # The same machine may be known by more than one of these.
        distinct = {one.node_id: one for one in reversed(keepers)}
        return KnownKeepers(tuple(reversed(distinct.values())), told and settled)

    @property
    def silent_peers(self) -> int:
        """Nodes that pinged this coordinator lately and have fallen silent."""
        return self._peers.silent(SILENT_PINGS * self._slow_pause())

    def neighbours(self) -> list[str]:
        """Return the nodes that this one tells its news to, as last told by a coordinator."""
        if self.coordinating:
            known = self._overlay.neighbours(self._node_id)
        else:
            known = self._told.neighbours
        return [one.node_id for one in known]

    @property
    def own_address(self) -> NodeAddress:
        """Where this node is reached by its peers."""
        return self._pings.own_address

    @property
    def known_epoch(self) -> int:
        """The latest term that this node has heard of."""
        told = self._coordinator.epoch if self._coordinator is not None else 0
        return max(told, self._epoch)

    def peer_address(self, node_id: str) -> tuple[Address, str] | None:
        """Return the address and zone of a node, for the peer network."""
        known = self._coordinator
        if known is not None and known.node_id == node_id:
            return known.address, known.zone
        before = self._predecessor
        if before is not None and before.node_id == node_id:
            return before.address, before.zone
        told = self._peers.address(node_id) or self._told.address(node_id)
        return None if told is None else (Address.parse(told.address), told.zone)

    def start(self, peer_address: Address, delay_seconds: float = 0.0) -> None:
        """Start to follow and to ping; ``peer_address`` is where this node is reached.

        Args:
            delay_seconds: the store is first asked for the coordinator after so long.
        """
        self._pings.own_address = NodeAddress(self._node_id, str(peer_address), self._zone)
        if delay_seconds > 0:
            self._starter = gevent.spawn_later(delay_seconds, self._watcher.start)
        else:
            self._watcher.start()
        self._task = gevent.spawn(self._run)

    def leave(self) -> None:
        """Stop coordinating as planned, so that a successor steps in at once."""
        self._stopping = True
        self._tentative.end("this node stops")
        self._step_down("this node stops")

    def stop(self) -> None:
        """End the tasks."""
        if self._starter is not None:
            self._starter.kill(block=False)
        self._watcher.stop()
        if self._task is not None:
            self._task.kill(block=False)

    def _changed(self, document: Document, removed: bool) -> None:
        if removed or document.name != self._shard:
            return
        told = Coordinator.from_document(document)
        if self._coordinator is not None and told.epoch < self._coordinator.epoch:
            # Its successor has told of itself before the store's news came.
            return
        self._know(told)

    def _know(self, told: Coordinator) -> None:
        """Go by a coordinator, and step down for one of a later term."""
        before = self._coordinator
        self._coordinator = told
        if self._epoch and told.epoch > self._epoch:
            self._step_down(f"{told.node_id} took over")
        if told.epoch >= self._tentative.epoch and not self._is_own(told):
            self._tentative.end(f"{told.node_id} took over")
        if before is None or before.epoch != told.epoch:
            for listener in self._listeners:
                listener()

    def _run(self) -> None:
        self._watcher.listed.wait()
        if self._coordinator is None or self._coordinator.node_id != self._node_id:
            gevent.sleep(random.uniform(0.0, START_SPREAD_SECONDS))
        if not self._preferred and self._coordinator is None:
            gevent.sleep(PREFERENCE_SECONDS)
        self._succession.note_contact()
        seen_epoch = 0
        while True:
            known = self._coordinator
            if self._stopping or self.coordinating:
                self._succession.note_contact()
                gevent.sleep(PING_SECONDS)
                continue
            if known is not None and self._is_own(known):
                self._gain(known.epoch, "the store has taken an earlier claim")
                continue
            if known is None or known.node_id == self._node_id:
                self._claim(known, "no other coordinator")
                continue
            if known.epoch != seen_epoch:
                seen_epoch = known.epoch
                self._succession.begin()
            if self.tentative:
                gevent.sleep(self._confirm_tentative(known))
                continue
            gevent.sleep(self._follow(known))

    def _confirm_tentative(self, known: Coordinator) -> float:
        """Claim the place once the store is back; returns when to look again.

        A coordinator that turns out to serve keeps its place.
        """
        pong = self._pings.ping(known.node_id, known.epoch)
        if pong is not None and pong.coordinator:
            self._tentative.end(f"{known.node_id} serves")
            self._succession.note_contact()
        elif self._reaches_store():
            self._claim(known, "the store is back")
        elif self._tentative.comes_second(known):
            self._tentative.end("another node runs items, too")
        return CHECK_SECONDS

    def _follow(self, known: Coordinator) -> float:
        """Ping the coordinator, replace it if that is due; returns when to ping again."""
        asked_at = steady_seconds()
        pong = self._pings.ping(known.node_id, known.epoch)
        pause = PING_SECONDS
        if pong is not None:
            pause = pong.interval_ms / 1000.0
            self._lease.observe(pong.lease_revision, pong.lease_age_ms / 1000.0)
            self._take_told(known, pong)
            if pong.coordinator and (pong.epoch or 0) > known.epoch:
                # It has restarted, and coordinates in a later term.
                address = NodeAddress(known.node_id, str(known.address), known.zone)
                self.note_successor(address, pong.epoch)
        # Time in which this process itself stood still doesn't count.
        asked_at = max(asked_at, steady_seconds() - pings.PING_TIMEOUT_SECONDS)
        if self._succession.serves(pong):
            self._succession.note_contact()
            self._store_probed = False
            return pause
        if pong is None and self._preferred and not self._store_probed:
            self._store_probed = True
            gevent.spawn(self._probe_store)
        if not self._succession.is_due(pong, asked_at):
            if self._succession.may_be_replaced:
                self._ask_successors(known)
            if pong is None and self._tentative.may_begin(known):
                self._tentative.begin(known)
            return FAILING_PING_SECONDS if pong is None else PING_SECONDS / 2
        if pong is None and self._witnessed(known):
            logger.info(
                "coordinator reached by others",
                code="coordinator_witnessed",
                coordinator=known.node_id,
                epoch=known.epoch,
                silent_ms=int(self._succession.silent_seconds * 1000),
            )
            self._succession.note_contact()
            return PING_SECONDS
        if pong is None and self._tentative.yields(known):
            return CHECK_SECONDS
        if self._coordinator is known:
            silent = self._succession.silent_seconds
            self._claim(known, f"{known.node_id} silent for {silent:.1f} s")
        return 0.0

    def _take_told(self, known: Coordinator, pong: CoordinatorPong) -> None:
        """Take what the coordinator tells of other nodes and of requests that are held back."""
        self._told.note(pong)
        self._pings.neighbours_digest = neighbours_digest(self._told.neighbours)
        if pong.coordinator:
            self._on_quarantine_digest(known.node_id, pong.quarantine_digest or 0)

    def _is_own(self, told: Coordinator) -> bool:
        """Return whether a coordinator's document is a claim of this process, unanswered so far."""
        return told.node_id == self._node_id and told.epoch == self._unanswered_epoch

    def _probe_store(self) -> None:
        """Find out in time whether the store answers; its calls note how they end."""
        try:
            self._store.get(DocumentKind.COORDINATOR, self._shard, STORE_PROBE_SECONDS)
        except RunkeelError as error:
            logger.info(
                "store not reached while the coordinator is silent",
                code="store_probe",
                error=str(error.code),
            )

    def _ask_successors(self, known: Coordinator) -> None:
        """Ask the likeliest successors whether one of them coordinates now.

        The store would tell as well; but a call to it has its price, and each node would make some.
        """
        now = steady_seconds()
        if now - self._asked_successors_at < ASK_SUCCESSORS_SECONDS:
            return
        self._asked_successors_at = now
        others = [one for one in self._told.successors if one not in (self._node_id, known.node_id)]
        answers = self._pings.ping_all(others[:ASKED_SUCCESSORS], known.epoch)
        for node_id, pong in answers.items():
            if pong.coordinator and pong.epoch > known.epoch:
                self.note_successor(self._told.address(node_id), pong.epoch)

    def _witnessed(self, known: Coordinator) -> bool:
        others = [one for one in self._told.witnesses if one not in (self._node_id, known.node_id)]
        return reached_by_others(self._network, self._shard, known.epoch, others, WITNESS_SECONDS)

    def _answer_witness(
        self, peer: str, message: CoordinatorWitness
    ) -> tuple[int, CoordinatorWitnessReply]:
        known = self._coordinator
        serving = self.coordinating
        if known is not None and known.epoch >= message.epoch and not serving:
            pong = self._pings.ping(known.node_id, known.epoch)
            serving = self._succession.serves(pong)
        reply = CoordinatorWitnessReply(serving)
        return MessageType.COORDINATOR_WITNESS_REPLY, reply

    def _watch_seconds(self) -> float:
        return VERIFY_SECONDS if self.coordinating else WATCH_SECONDS

    def _reaches_store(self) -> bool:
        return self._watcher.reachable and self._store_reachable()

    def _answer_ping(self, peer: str, ping: CoordinatorPing) -> tuple[int, CoordinatorPong]:
        if ping.coordinating:
            self.note_successor(ping.sender, ping.epoch)
        if self._epoch and ping.epoch > self._epoch:
            self._step_down(f"{peer} knows epoch {ping.epoch}")
        rank = self._peers.note(peer, ping.sender, ping.preferred)
        interval = PING_SECONDS if rank else FIRST_PING_SECONDS
        if rank == LAST_RANK:
            interval = self._slow_pause()
        lease_revision, lease_age = self._lease.confirmation
        pong = CoordinatorPong(
            self.coordinating,
            rank,
            int(interval * 1000),
            self._reaches_store() and not self._stopping,
            self._peers.witnesses_for(peer),
            lease_revision,
            int(lease_age * 1000),
            self._peers.successors(),
            self._epoch,
            self.tentative,
            self._neighbours_unknown_to(peer, ping),
            self._quarantine_digest(),
        )
        return MessageType.COORDINATOR_PONG, pong

    def _neighbours_unknown_to(self, peer: str, ping: CoordinatorPing) -> list[NodeAddress] | None:
        """Return a node's neighbours, None where it knows them already."""
        if not self.coordinating:
            return None
        neighbours = self._overlay.neighbours(peer)
        same = neighbours_digest(neighbours) == (ping.neighbours_digest or 0)
        return None if same else neighbours

    def _slow_pause(self) -> float:
        """Return the time between pings of nodes out of rank."""
        return max(SLOW_PING_SECONDS, len(self._peers) / PINGS_PER_SECOND)

    def _claim(self, known: Coordinator | None, reason: str) -> None:
        """Take the place of the coordinator that was found wanting, not of a later one."""
        epoch = (known.epoch if known else 0) + 1
        address = Address.parse(self._pings.own_address.address)
        claim = Coordinator(self._node_id, address, self._zone, epoch)
        # The watch may bring this claim before the answer comes.
        unanswered_before, self._unanswered_epoch = self._unanswered_epoch, epoch
        try:
            claim.write(self._store, self._shard, known, CLAIM_SECONDS)
        except DocumentConflictError as conflict:
            if self._claimed_already(conflict.current, epoch):
                self._gain(epoch, reason)
                return
            self._unanswered_epoch = 0
            if conflict.current is not None:
                self._changed(conflict.current, removed=False)
            gevent.sleep(random.uniform(0.0, _CLAIM_RETRY_SECONDS))
            return
        except RunkeelError as error:
            if error.verdict is Verdict.NOT_RUN:
                self._unanswered_epoch = unanswered_before
            logger.info(
                "place not claimed", code="claim_failed", epoch=epoch, error=str(error.code)
            )
            gevent.sleep(_CLAIM_RETRY_SECONDS)
            return
        self._gain(epoch, reason)
        if known is not None and known.node_id != self._node_id:
            self._predecessor = known
            gevent.spawn(self._tell_predecessor, known, epoch)

    def _claimed_already(self, document: Document | None, epoch: int) -> bool:
        """Return whether the store has taken a claim of this process that it did not answer."""
        if document is None or document.name != self._shard or epoch != self._unanswered_epoch:
            return False
        told = Coordinator.from_document(document)
        if told.epoch != epoch or not self._is_own(told):
            return False
        self._coordinator = told
        return True

    def _gain(self, epoch: int, reason: str) -> None:
        if self._tentative.epoch == epoch:
            self._tentative.confirmed()
        else:
            self._tentative.end("another term begins")
        self._epoch, self._unanswered_epoch = epoch, 0
        self._gained_at = steady_seconds()
        self._watcher.rewatch()
        self._peers.clear()
        COORDINATING.labels(self._shard).set(1)
        logger.info("coordinating", code="coordinator_gained", epoch=epoch, reason=reason)
        self._terms.begin_term(epoch)

    def _tell_predecessor(self, predecessor: Coordinator, epoch: int) -> None:
        """Ping the node before with the new epoch, in case it doesn't hear of it by the store."""
        for _ in range(PREDECESSOR_PINGS):
            if self._epoch != epoch:
                return
            if self._pings.ping(predecessor.node_id, epoch, coordinating=True) is not None:
                return
            gevent.sleep(PING_SECONDS)

    def _step_down(self, reason: str) -> None:
        if not self._epoch:
            return
        logger.info("not coordinating", code="coordinator_lost", epoch=self._epoch, reason=reason)
        self._epoch = 0
        self._told.note_witnesses(self._peers.witnesses_for(self._node_id))
        COORDINATING.labels(self._shard).set(0)
        self._terms.end_term()
