"""Runs this node's quarantine of requests that crash servers."""

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
from runkeel.quarantine.crash_record_writer import CrashRecordWriter, read_records
from runkeel.quarantine.gossip import QuarantineGossip
from runkeel.quarantine.quarantine import Quarantine
from runkeel.quarantine.trials import NO_COORDINATOR_RETRY_SECONDS, TrialAnswer, TrialArbiter
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.quarantine.ttypes import TrialReply, TrialRequest
from runkeel.wire.network import PeerNetwork

TRIAL_CALL_TIMEOUT_SECONDS = 0.3
"""Timeout of a call that asks the coordinator for a trial."""

CATCH_UP_TIMEOUT_SECONDS = 1.5
"""Maximum time for which a starting node that has routes and servers waits for the crash records.

It then serves requests without them.
"""

CATCH_UP_POLL_SECONDS = 0.02
"""Polling interval while catching up."""

CATCH_UP_CALL_TIMEOUT_SECONDS = 0.5
"""Timeout of reading the store while catching up."""

CATCH_UP_BACKOFF_SECONDS = (0.05, 1.0)
"""Initial and maximum delay between attempts to catch up; the delay doubles."""


class QuarantineService:
    """The quarantine, with the exchange of its crash records with the other nodes and the store.

    Args:
        shard: name of the stored document with the crash records; also sent in messages.
        secret: fingerprint key shared by the cluster's nodes.
        coordinator: returns the coordinator, or None if that is this node or unknown.
        neighbours: returns the nodes that this node sends updates to.
        is_coordinator: returns whether this node is the coordinator, which decides on trials.
        directory: the servers that this node knows.
        knows_routes_and_servers: returns whether this node knows a routing configuration and the
            servers.

    Attributes:
        caught_up: set once this node has the crash records of the other nodes, or has known the
            routes and servers for :data:`CATCH_UP_TIMEOUT_SECONDS` without receiving them.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        store: DocumentStore,
        secret: bytes,
        coordinator: Callable[[], Coordinator | None],
        neighbours: Callable[[], list[str]],
        is_coordinator: Callable[[], bool],
        directory: BackendDirectory,
        knows_routes_and_servers: Callable[[], bool],
    ) -> None:
        self._knows_routes_and_servers = knows_routes_and_servers
        self._network = network
        self._shard = shard
        self._store = store
        self._coordinator = coordinator
        self._is_coordinator = is_coordinator
        self.quarantine = Quarantine(secret, self._ask_trial)
        ledger = self.quarantine.ledger
        self._directory = directory
        ledger.on_change(self._mark_crashed_servers)
        self._arbiter = TrialArbiter(ledger)
        self._record_writer = CrashRecordWriter(store, shard, ledger)
        self.gossip = QuarantineGossip(
            network, shard, ledger, neighbours, lambda: _node_id(self._coordinator())
        )
        self._task: gevent.Greenlet | None = None
        self.caught_up = Event()
        network.on_call(MessageType.QUARANTINE_TRIAL, TrialRequest, self._answer_trial)

    def start(self, first_start: bool) -> None:
        """Catch up with the other nodes.

        Args:
            first_start: whether the whole system starts for the first time, so that no records
                exist.
        """
        if first_start:
            self.caught_up.set()
        else:
            self._task = gevent.spawn(self._catch_up)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill(block=False)
        self._record_writer.stop()
        self.gossip.stop()

    def begin_term(self) -> None:
        """Start persisting records, as this node has become the coordinator."""
        self._record_writer.start()

    def end_term(self) -> None:
        """Stop persisting records, as this node is no longer the coordinator."""
        self._record_writer.stop()

    def backend_joined(self, backend: Backend) -> None:
        """Handle a server that has joined."""
        self.quarantine.crash_detector.backend_joined(backend)

    def backend_left(self, state: BackendState) -> None:
        """Handle a server that was removed or has restarted under its id."""
        if state.replaced:
            self.quarantine.crash_detector.backend_restarted(state)
        else:
            self.quarantine.crash_detector.backend_gone(state)

    def _mark_crashed_servers(
        self, record: CrashRecord, before: CrashRecord | None, source: str
    ) -> None:
        """Stop sending to crashed servers, whose entries expire only some seconds later.

        Args:
            record: the changed record; its ``crashed_servers`` holds the servers that crashed.
            before: the record before the change; None if there was none.
            source: node that sent the change, empty if it is this one; not used here.
        """
        already_recorded = before.crashed_servers if before is not None else frozenset()
        for incarnation in record.crashed_servers - already_recorded:
            state = self._directory.find(incarnation)
            if state is not None:
                state.mark_ended()

    def _catch_up(self) -> None:
        """Get the records from the store or the coordinator, whichever responds first."""
        started = steady_seconds()
        sources = (self._read_store, self._query_coordinator)
        queries = [gevent.spawn(self._retry, query) for query in sources]
        routes_last_unknown_at = started
        try:
            while not (done := [one for one in queries if one.ready()]):
                now = steady_seconds()
                if not self._knows_routes_and_servers():
                    routes_last_unknown_at = now
                elif now - routes_last_unknown_at >= CATCH_UP_TIMEOUT_SECONDS:
                    self.caught_up.set()
                gevent.sleep(CATCH_UP_POLL_SECONDS)
        finally:
            gevent.killall(queries, block=False)
        logger.info(
            "crash records received",
            code="quarantine_caught_up",
            source=done[0].value,
            served_before=self.caught_up.is_set(),
            records=len(self.quarantine.ledger),
            ms=int((steady_seconds() - started) * 1000),
        )
        self.caught_up.set()

    def _retry(self, query: Callable[[], str]) -> str:
        """Call ``query`` with backoff until it returns a source; returns that source."""
        delay, max_delay = CATCH_UP_BACKOFF_SECONDS
        while not (source := query()):
            gevent.sleep(delay)
            delay = min(max_delay, 2 * delay)
        return source

    def _read_store(self) -> str:
        """Merge the stored records; returns ``store``, or an empty string if it did not respond."""
        try:
            read_records(
                self._store, self._shard, self.quarantine.ledger, CATCH_UP_CALL_TIMEOUT_SECONDS
            )
        except RunkeelError as error:
            logger.info(
                "crash records not read from the store",
                code="quarantine_unread",
                error=str(error.code),
            )
            return ""
        return "store"

    def _query_coordinator(self) -> str:
        """Exchange records with the coordinator; returns its id, or an empty string on failure."""
        coordinator = self._coordinator()
        if coordinator is None:
            return ""
        try:
            self.gossip.exchange(coordinator.node_id)
        except RunkeelError as error:
            logger.info(
                "crash records not received from the coordinator",
                code="quarantine_unread",
                error=str(error.code),
            )
            return ""
        return coordinator.node_id

    def _ask_trial(self, record: CrashRecord) -> TrialAnswer:
        if self._is_coordinator():
            return self._arbiter.ask(record, "")
        coordinator = self._coordinator()
        if coordinator is None:
            return TrialAnswer(False, NO_COORDINATOR_RETRY_SECONDS)
        message = TrialRequest(self._shard, to_wire(record, steady_seconds()))
        try:
            reply = self._network.call(
                coordinator.node_id,
                MessageType.QUARANTINE_TRIAL,
                message,
                TrialReply,
                TRIAL_CALL_TIMEOUT_SECONDS,
            )
        except RunkeelError as error:
            logger.info(
                "coordinator did not respond to a trial request",
                code="request_trial",
                fingerprint=record.fingerprint,
                coordinator=coordinator.node_id,
                granted=False,
                error=str(error.code),
            )
            return TrialAnswer(False, NO_COORDINATOR_RETRY_SECONDS)
        return TrialAnswer(reply.granted, reply.retry_after_ms / 1000.0)

    def _answer_trial(self, peer: str, message: TrialRequest) -> tuple[int, TrialReply]:
        if self._is_coordinator():
            answer = self._arbiter.ask(from_wire(message.record, steady_seconds()), peer)
        else:
            answer = TrialAnswer(False, NO_COORDINATOR_RETRY_SECONDS)
        reply = TrialReply(answer.granted, int(answer.retry_after_seconds * 1000))
        return MessageType.QUARANTINE_TRIAL_REPLY, reply


def _node_id(coordinator: Coordinator | None) -> str | None:
    return coordinator.node_id if coordinator is not None else None
