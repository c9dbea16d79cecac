"""Tells the neighbours what has changed in the ledger, until every node has heard of it.

Each node passes what is new to it on to its neighbours, so that news reach all nodes though the
coordinator is gone, the store is away, or some nodes are. The cost grows with what changes, not
with traffic. Nodes that have missed news are found by a digest in the coordinator's pongs.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.quarantine.crash_ledger import MAXIMUM_RECORDS, CrashLedger
from runkeel.quarantine.crash_record import CrashRecord, from_wire, to_wire
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.quarantine.ttypes import QuarantineNews, QuarantineNewsReply
from runkeel.wire.network import PeerNetwork

CALL_SECONDS = 0.5
"""Longest wait for a neighbour's receipt."""

RETRY_SECONDS = 0.2
"""Pause before a neighbour that gave none is told again."""

GIVEN_UP_SECONDS = 12.0
"""A neighbour that can't be told for so long is given up: the coordinator counts it no longer."""

BATCH = 128
"""Records in a message, 12.6 KB (measured); a full ledger goes out in eight."""

MESSAGE_PAUSE_SECONDS = 0.1
"""Pause after each message to a neighbour: 126 KB/s at the most, whatever ends at once.

What is forgotten meanwhile is not sent: a full ledger forgets most of what a zone's loss brings.
"""

DIFFERENT_SECONDS = 0.3
"""Ledgers that differ for so long are exchanged: news on their way take less."""

EXCHANGE_PAUSE_SECONDS = 5.0
"""Least time between two exchanges: full ledgers may differ for good by what they left out."""


class QuarantineGossip:
    """Spreads the records of a node's ledger.

    Args:
        neighbours: nodes that this one tells its news to.
        coordinator: the coordinator, if that is another node; it is told at once of what this node
            has found itself.
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
        self._untold: dict[str, set[str]] = {}
        """Fingerprints that a neighbour has still to be told of, by neighbour."""
        self._senders: dict[str, gevent.Greenlet] = {}
        self._exchanged_at = -EXCHANGE_PAUSE_SECONDS
        self._exchanging: gevent.Greenlet | None = None
        network.on_call(MessageType.QUARANTINE_NEWS, QuarantineNews, self._receive)
        ledger.on_change(self._note)

    def stop(self) -> None:
        """Tell no more."""
        gevent.killall(list(self._senders.values()), block=False)
        if self._exchanging is not None:
            self._exchanging.kill(block=False)

    def exchange(self, node_id: str) -> None:
        """Tell another node everything and take all that it knows. Raises RunkeelError."""
        reply = self._call(node_id, self._ledger.records(), wants_all=True)
        self._take(reply.records, node_id)

    def note_digest(self, node_id: str, digest: int) -> None:
        """Take the digest of another node's ledger; one that differs for long is exchanged."""
        now = steady_seconds()
        rested = now - self._exchanged_at >= EXCHANGE_PAUSE_SECONDS
        if digest != self._ledger.digest and rested:
            self._exchanged_at = now
            self._exchanging = gevent.spawn(self._exchange_if_different, node_id, digest)

    def _exchange_if_different(self, node_id: str, digest: int) -> None:
        """Exchange ledgers, unless news that were on their way have made them the same."""
        gevent.sleep(DIFFERENT_SECONDS)
        if digest == self._ledger.digest:
            self._exchanged_at = -EXCHANGE_PAUSE_SECONDS
            return
        try:
            self.exchange(node_id)
        except RunkeelError as error:
            logger.info(
                "ledgers differ and were not exchanged",
                code="quarantine_unexchanged",
                peer=node_id,
                error=str(error.code),
            )
        else:
            logger.info(
                "ledgers differed and were exchanged", code="quarantine_exchanged", peer=node_id
            )

    def _note(self, record: CrashRecord, before: CrashRecord | None, source: str) -> None:
        coordinator = self._coordinator()
        first = [coordinator] if coordinator is not None and not source else []
        for neighbour in dict.fromkeys([*first, *self._neighbours()]):
            if neighbour == source:
                continue
            untold = self._untold.setdefault(neighbour, set())
            untold.add(record.fingerprint)
            if len(untold) > 2 * MAXIMUM_RECORDS:
                untold.intersection_update({one.fingerprint for one in self._ledger.records()})
            if neighbour not in self._senders:
                self._senders[neighbour] = gevent.spawn(self._tell, neighbour)

    def _tell(self, neighbour: str) -> None:
        """Tell a neighbour until it knows all that is new."""
        failing_since = 0.0
        try:
            while untold := self._untold.get(neighbour):
                batch = [untold.pop() for _ in range(min(BATCH, len(untold)))]
                records = [one for name in batch if (one := self._ledger.get(name)) is not None]
                if not records:
                    continue
                try:
                    self._call(neighbour, records)
                    failing_since = 0.0
                    gevent.sleep(MESSAGE_PAUSE_SECONDS)
                except RunkeelError as error:
                    failing_since = failing_since or steady_seconds()
                    if steady_seconds() - failing_since > GIVEN_UP_SECONDS:
                        self._give_up(neighbour, error)
                        return
                    untold.update(batch)
                    gevent.sleep(RETRY_SECONDS)
        finally:
            self._untold.pop(neighbour, None)
            self._senders.pop(neighbour, None)

    def _give_up(self, neighbour: str, error: RunkeelError) -> None:
        logger.info(
            "neighbour not told of requests under which servers ended",
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
            node_id, MessageType.QUARANTINE_NEWS, message, QuarantineNewsReply, CALL_SECONDS
        )

    def _receive(self, peer: str, message: QuarantineNews) -> tuple[int, QuarantineNewsReply]:
        self._take(message.records, peer)
        now = steady_seconds()
        known = self._ledger.records() if message.wants_all else []
        reply = QuarantineNewsReply([to_wire(record, now) for record in known])
        return MessageType.QUARANTINE_NEWS_REPLY, reply

    def _take(self, news: list, source: str) -> None:
        now = steady_seconds()
        for one in news:
            self._ledger.take(from_wire(one, now), source)
