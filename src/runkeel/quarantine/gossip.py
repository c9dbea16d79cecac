"""Propagates changes of the crash ledger to all nodes by gossip.

Each node forwards records that are new to it to its neighbours, so that updates spread even while
the coordinator, the store or some nodes are unavailable. The cost grows with the number of
changes, not with traffic. A node that missed updates notices it by the ledger digest in the
coordinator's replies to pings, and exchanges all records with it.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.quarantine.crash_ledger import MAX_RECORDS, CrashLedger
from runkeel.quarantine.crash_record import CrashRecord, from_wire, to_wire
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.quarantine.ttypes import QuarantineNews, QuarantineNewsReply
from runkeel.wire.network import PeerNetwork

CALL_TIMEOUT_SECONDS = 0.5
"""Timeout of a call to another node."""

RETRY_DELAY_SECONDS = 0.2
"""Delay before an update that a neighbour did not acknowledge is sent again."""

NEIGHBOUR_TIMEOUT_SECONDS = 12.0
"""Updates for a neighbour that cannot be reached for this long are dropped.

By then the coordinator no longer counts it as a live node.
"""

MAX_BATCH_RECORDS = 128
"""Maximum number of records per message."""

MIN_MESSAGE_INTERVAL_SECONDS = 0.1
"""Pause after each message to a neighbour; bounds the bandwidth when many servers crash at once.

Records that are evicted in the meantime are not sent.
"""

DIGEST_MISMATCH_SECONDS = 0.3
"""Ledgers are exchanged if their digests still differ after this time.

Updates in transit arrive sooner.
"""

MIN_EXCHANGE_INTERVAL_SECONDS = 5.0
"""Minimum time between two exchanges.

Ledgers at capacity may have evicted different records, so their digests can differ permanently.
"""


class QuarantineGossip:
    """Sends changed records of a node's ledger to other nodes.

    Args:
        neighbours: returns the nodes that this node sends updates to.
        coordinator: returns the coordinator, or None if that is this node or unknown; it is
            notified directly of changes made by this node.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        ledger: CrashLedger,
        neighbours: Callable[[], list[str]],
        coordinator: Callable[[], str | None],
    ) -> None:
        self._coordinator = coordinator
        self._network = network
        self._shard = shard
        self._ledger = ledger
        self._neighbours = neighbours
        self._pending: dict[str, set[str]] = {}
        """Fingerprints of records still to be sent, by neighbour."""
        self._send_tasks: dict[str, gevent.Greenlet] = {}
        # No exchange yet: the first one need not wait for the minimum interval.
        self._exchanged_at = -MIN_EXCHANGE_INTERVAL_SECONDS
        self._exchange_task: gevent.Greenlet | None = None
        network.on_call(MessageType.QUARANTINE_NEWS, QuarantineNews, self._receive)
        ledger.on_change(self._on_record_changed)

    def stop(self) -> None:
        gevent.killall(list(self._send_tasks.values()), block=False)
        if self._exchange_task is not None:
            self._exchange_task.kill(block=False)

    def exchange(self, node_id: str) -> None:
        """Send all records to another node and merge all of its records. Raises RunkeelError."""
        reply = self._call(node_id, self._ledger.records(), wants_all=True)
        self._merge_records(reply.records, node_id)

    def compare_digest(self, node_id: str, digest: int) -> None:
        """Compare another node's digest with this ledger's and exchange if they stay different."""
        now = steady_seconds()
        interval_elapsed = now - self._exchanged_at >= MIN_EXCHANGE_INTERVAL_SECONDS
        if digest != self._ledger.digest and interval_elapsed:
            self._exchanged_at = now
            self._exchange_task = gevent.spawn(self._exchange_if_different, node_id, digest)

    def _exchange_if_different(self, node_id: str, digest: int) -> None:
        """Exchange ledgers, unless updates in transit have made them equal."""
        gevent.sleep(DIGEST_MISMATCH_SECONDS)
        if digest == self._ledger.digest:
            # Nothing was exchanged, so the next mismatch need not wait for the minimum interval.
            self._exchanged_at = -MIN_EXCHANGE_INTERVAL_SECONDS
            return
        try:
            self.exchange(node_id)
        except RunkeelError as error:
            logger.info(
                "crash ledgers differ; exchange failed",
                code="quarantine_unexchanged",
                peer=node_id,
                error=str(error.code),
            )
        else:
            logger.info(
                "crash ledgers differed; exchanged", code="quarantine_exchanged", peer=node_id
            )

    def _on_record_changed(
        self, record: CrashRecord, before: CrashRecord | None, source: str
    ) -> None:
        coordinator = self._coordinator()
        priority = [coordinator] if coordinator is not None and not source else []
        for neighbour in dict.fromkeys([*priority, *self._neighbours()]):
            if neighbour == source:
                continue
            pending = self._pending.setdefault(neighbour, set())
            pending.add(record.fingerprint)
            if len(pending) > 2 * MAX_RECORDS:
                # Bounds memory: records that the ledger has evicted need not be sent.
                pending.intersection_update({one.fingerprint for one in self._ledger.records()})
            if neighbour not in self._send_tasks:
                self._send_tasks[neighbour] = gevent.spawn(self._send_pending, neighbour)

    def _send_pending(self, neighbour: str) -> None:
        """Send pending records to a neighbour until none are left."""
        failing_since = 0.0
        try:
            while pending := self._pending.get(neighbour):
                fingerprints = [pending.pop() for _ in range(min(MAX_BATCH_RECORDS, len(pending)))]
                records = [
                    one for key in fingerprints if (one := self._ledger.get(key)) is not None
                ]
                if not records:
                    continue
                try:
                    self._call(neighbour, records)
                    failing_since = 0.0
                    gevent.sleep(MIN_MESSAGE_INTERVAL_SECONDS)
                except RunkeelError as error:
                    failing_since = failing_since or steady_seconds()
                    if steady_seconds() - failing_since > NEIGHBOUR_TIMEOUT_SECONDS:
                        self._log_neighbour_timeout(neighbour, error)
                        return
                    pending.update(fingerprints)
                    gevent.sleep(RETRY_DELAY_SECONDS)
        finally:
            self._pending.pop(neighbour, None)
            self._send_tasks.pop(neighbour, None)

    def _log_neighbour_timeout(self, neighbour: str, error: RunkeelError) -> None:
        logger.info(
            "neighbour unreachable; pending crash records dropped",
            code="quarantine_untold",
            peer=neighbour,
            error=str(error.code),
        )

    def _call(
        self, node_id: str, records: list[CrashRecord], wants_all: bool = False
    ) -> QuarantineNewsReply:
        now = steady_seconds()
        message = QuarantineNews(
            self._shard, [to_wire(record, now) for record in records], wants_all
        )
        return self._network.call(
            node_id, MessageType.QUARANTINE_NEWS, message, QuarantineNewsReply, CALL_TIMEOUT_SECONDS
        )

    def _receive(self, peer: str, message: QuarantineNews) -> tuple[int, QuarantineNewsReply]:
        self._merge_records(message.records, peer)
        now = steady_seconds()
        known = self._ledger.records() if message.wants_all else []
        reply = QuarantineNewsReply([to_wire(record, now) for record in known])
        return MessageType.QUARANTINE_NEWS_REPLY, reply

    def _merge_records(self, messages: list, source: str) -> None:
        now = steady_seconds()
        for one in messages:
            self._ledger.merge_record(from_wire(one, now), source)
