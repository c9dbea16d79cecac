"""Joins a node's parts of the quarantine: its ledger, the news, the trials and the store."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import DocumentStore
from runkeel.api.fleet import Backend
from runkeel.clock import steady_seconds
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.errors import RunkeelError
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.quarantine.crash_record import CrashRecord, from_wire, to_wire
from runkeel.quarantine.gossip import QuarantineGossip
from runkeel.quarantine.quarantine import Quarantine
from runkeel.quarantine.record_keeper import RecordKeeper, read_records
from runkeel.quarantine.trials import NOBODY_RETRY_SECONDS, TrialAnswer, TrialArbiter
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.quarantine.ttypes import TrialReply, TrialRequest
from runkeel.wire.network import PeerNetwork

TRIAL_CALL_SECONDS = 0.3
"""Longest wait for the coordinator's word on a trial."""

CATCH_UP_SECONDS = 1.5
"""A node that starts and knows routes and servers serves after so long though it was not told which
requests are held back. Who told it the routes tells that as well, within some milliseconds.
"""

CATCH_UP_CHECK_SECONDS = 0.02
"""So often it is looked whether either is known. Chosen, not measured."""

CATCH_UP_CALL_SECONDS = 0.5
CATCH_UP_RETRY_SECONDS = (0.05, 1.0)
"""Longest wait for the store's answer then, and the first and the longest pause before the next.

Pauses double: in an outage each question has its price.
"""


class QuarantineService:
    """One node's quarantine.

    Args:
        secret: shared by the cluster's nodes.
        coordinator: the coordinator as this node knows it; None when that is this node.
        neighbours: nodes that this one tells its news to.
        coordinates: whether this node decides on trials.
        directory: the servers that this node knows.
        knows_routes: whether this node knows a configuration and the servers.

    Attributes:
        caught_up: set once this node knows what others knew before it started, or has known the
            routes for :data:`CATCH_UP_SECONDS` without being told.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        store: DocumentStore,
        secret: bytes,
        coordinator: Callable[[], Coordinator | None],
        neighbours: Callable[[], list[str]],
        coordinates: Callable[[], bool],
        directory: BackendDirectory,
        knows_routes: Callable[[], bool],
    ) -> None:
        self._knows_routes = knows_routes
        self._network = network
        self._shard = shard
        self._store = store
        self._coordinator = coordinator
        self._coordinates = coordinates
        self.quarantine = Quarantine(secret, self._ask_trial)
        ledger = self.quarantine.ledger
        self._directory = directory
        ledger.on_change(self._leave_ended)
        self._arbiter = TrialArbiter(ledger)
        self._keeper = RecordKeeper(store, shard, ledger)
        self.gossip = QuarantineGossip(
            network, shard, ledger, neighbours, lambda: _name(self._coordinator())
        )
        self._task: gevent.Greenlet | None = None
        self.caught_up = Event()
        network.on_call(MessageType.QUARANTINE_TRIAL, TrialRequest, self._answer_trial)

    def start(self, first_start: bool) -> None:
        """Catch up with the other nodes.

        Args:
            first_start: the whole system starts for the first time: there is nothing to know.
        """
        if first_start:
            self.caught_up.set()
        else:
            self._task = gevent.spawn(self._catch_up)

    def stop(self) -> None:
        """End the tasks."""
        if self._task is not None:
            self._task.kill(block=False)
        self._keeper.stop()
        self.gossip.stop()

    def begin_term(self) -> None:
        """Keep the records in the store from now on: this node coordinates."""
        self._keeper.start()

    def end_term(self) -> None:
        """Keep them no more."""
        self._keeper.stop()

    def backend_joined(self, backend: Backend) -> None:
        """Take the news of a server that has come."""
        self.quarantine.ends.backend_joined(backend)

    def start_over(self, state: BackendState) -> None:
        """Take the news that a server has gone, or started anew under its id."""
        if state.replaced:
            self.quarantine.ends.backend_restarted(state)
        else:
            self.quarantine.ends.backend_gone(state)

    def _leave_ended(self, record: CrashRecord, before: CrashRecord | None, source: str) -> None:
        """Send nothing more to servers that ended: their entries go some seconds later only."""
        known = before.ended if before is not None else frozenset()
        for incarnation in record.ended - known:
            state = self._directory.find(incarnation)
            if state is not None:
                state.note_ended()

    def _catch_up(self) -> None:
        """Ask the store and the coordinator, both at once, until one of them has answered."""
        started = steady_seconds()
        sources = (self._read_store, self._ask_coordinator)
        asking = [gevent.spawn(self._repeat, ask) for ask in sources]
        routes_unknown_at = started
        try:
            while not (done := [one for one in asking if one.ready()]):
                now = steady_seconds()
                if not self._knows_routes():
                    routes_unknown_at = now
                elif now - routes_unknown_at >= CATCH_UP_SECONDS:
                    self.caught_up.set()
                gevent.sleep(CATCH_UP_CHECK_SECONDS)
        finally:
            gevent.killall(asking, block=False)
        logger.info(
            "requests that are held back are known",
            code="quarantine_caught_up",
            source=done[0].value,
            served_before=self.caught_up.is_set(),
            records=len(self.quarantine.ledger),
            ms=int((steady_seconds() - started) * 1000),
        )
        self.caught_up.set()

    def _repeat(self, ask: Callable[[], str]) -> str:
        """Ask until there is an answer; returns its source."""
        pause, longest = CATCH_UP_RETRY_SECONDS
        while not (source := ask()):
            gevent.sleep(pause)
            pause = min(longest, 2 * pause)
        return source

    def _read_store(self) -> str:
        """Return the source of the records, empty when the store gave no answer."""
        try:
            read_records(self._store, self._shard, self.quarantine.ledger, CATCH_UP_CALL_SECONDS)
        except RunkeelError as error:
            logger.info("records not read", code="quarantine_unread", error=str(error.code))
            return ""
        return "store"

    def _ask_coordinator(self) -> str:
        """Return the source of the records, empty when no coordinator gave an answer."""
        coordinator = self._coordinator()
        if coordinator is None:
            return ""
        try:
            self.gossip.exchange(coordinator.node_id)
        except RunkeelError as error:
            logger.info("records not told", code="quarantine_unread", error=str(error.code))
            return ""
        return coordinator.node_id

    def _ask_trial(self, record: CrashRecord) -> TrialAnswer:
        if self._coordinates():
            return self._arbiter.ask(record, "")
        coordinator = self._coordinator()
        if coordinator is None:
            return TrialAnswer(False, NOBODY_RETRY_SECONDS)
        message = TrialRequest(self._shard, to_wire(record, steady_seconds()))
        try:
            reply = self._network.call(
                coordinator.node_id,
                MessageType.QUARANTINE_TRIAL,
                message,
                TrialReply,
                TRIAL_CALL_SECONDS,
            )
        except RunkeelError as error:
            logger.info(
                "nobody to decide on a trial",
                code="request_trial",
                fingerprint=record.fingerprint,
                coordinator=coordinator.node_id,
                granted=False,
                error=str(error.code),
            )
            return TrialAnswer(False, NOBODY_RETRY_SECONDS)
        return TrialAnswer(reply.granted, reply.retry_after_ms / 1000.0)

    def _answer_trial(self, peer: str, message: TrialRequest) -> tuple[int, TrialReply]:
        if self._coordinates():
            answer = self._arbiter.ask(from_wire(message.record, steady_seconds()), peer)
        else:
            answer = TrialAnswer(False, NOBODY_RETRY_SECONDS)
        reply = TrialReply(answer.granted, int(answer.retry_after_seconds * 1000))
        return MessageType.QUARANTINE_TRIAL_REPLY, reply


def _name(coordinator: Coordinator | None) -> str | None:
    return coordinator.node_id if coordinator is not None else None
