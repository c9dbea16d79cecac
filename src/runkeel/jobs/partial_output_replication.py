"""Replicates the partial outputs of running items to the coordinator's likely successors.

The coordinator periodically sends each successor the events added since the last update. A
successor that becomes coordinator continues each generation after the last event that it has,
instead of restarting it. Losing a copy only means that the generation restarts. Nodes with a disk
also write partial outputs to a journal, see :mod:`runkeel.jobs.partial_output_journal`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from loguru import logger

from runkeel.background_task import BackgroundTask
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.jobs.generation_run import PartialOutput
from runkeel.jobs.partial_output_journal import JournalRecord, PartialOutputJournal
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import TextReplication, TextReplicationReply, TextUpdate
from runkeel.wire.network import PeerNetwork

SEND_INTERVAL_SECONDS = 0.4
"""Interval between updates; a failover loses the output generated since the last one."""

CALL_TIMEOUT_SECONDS = 1.0
"""Longest wait for a successor's reply."""

RETENTION_SECONDS = 30.0
"""Time since its last update after which a copy is evicted."""

MAX_COPIES = 4_000
"""Bound on the copies that a node keeps; the items added first are evicted first."""

MAX_MESSAGE_BYTES = 500_000
"""Bound on the text in one message, counted in characters before encoding.

Larger messages may time out on a slow link.
"""

_NO_REVISION = 0
"""Marks an update that removes a copy; the revisions of outputs begin at 1."""


@dataclass(slots=True)
class SentOutput:
    """How much of a partial output a receiver has."""

    revision: int
    piece_count: int
    whole: bool


class PartialOutputSender:
    """Sends the partial outputs of one term to successors and to this node's journal.

    Args:
        outputs: returns the outputs, by item, of items that are running, waiting, or not listed in
            the job's results yet.
        successors: returns the nodes that receive copies.
        journal: this node's own; None if it has no disk.
        finished: returns whether an item is listed in the job's results, so that its copies may be
            removed.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        epoch: int,
        outputs: Callable[[], dict[str, PartialOutput]],
        successors: Callable[[], list[str]],
        journal: PartialOutputJournal | None = None,
        finished: Callable[[str], bool] = lambda item_id: False,
    ) -> None:
        self._finished = finished
        self._journal = journal
        self._journaled: dict[str, SentOutput] = {}
        self._network = network
        self._shard = shard
        self._epoch = epoch
        self._outputs = outputs
        self._successors = successors
        self._sent: dict[str, dict[str, SentOutput]] = {}
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start sending periodically."""
        self._task.start()

    def stop(self) -> None:
        """Stop sending."""
        self._task.stop()

    def _run(self) -> None:
        while True:
            gevent.sleep(SEND_INTERVAL_SECONDS)
            self.send_once()

    def send_once(self) -> None:
        """Send each successor, and write to the journal, what it does not have yet."""
        receivers = self._successors()
        self._sent = {one: sent for one, sent in self._sent.items() if one in receivers}
        outputs = self._outputs()
        sends = [gevent.spawn(self._send_to, receiver, outputs) for receiver in receivers]
        sends.append(gevent.spawn(self._write_journal, outputs))
        gevent.joinall(sends)

    def _write_journal(self, outputs: dict[str, PartialOutput]) -> None:
        if self._journal is not None:
            self._journal.append(lambda starts_file: self._journal_messages(outputs, starts_file))

    def _journal_messages(
        self, outputs: dict[str, PartialOutput], starts_file: bool
    ) -> list[TextReplication]:
        if starts_file:
            self._journaled.clear()
        updates = self._missing_updates(outputs, self._journaled)
        _record_sent(updates, self._journaled)
        return _messages(self._shard, self._epoch, updates)

    def _send_to(self, receiver: str, outputs: dict[str, PartialOutput]) -> None:
        """Send a receiver its missing updates; stops at the first message that fails."""
        known = self._sent.setdefault(receiver, {})
        for message in _messages(self._shard, self._epoch, self._missing_updates(outputs, known)):
            if not self._send_message(receiver, message, known):
                return

    def _send_message(
        self, receiver: str, message: TextReplication, known: dict[str, SentOutput]
    ) -> bool:
        """Send a message; returns False if no reply arrived."""
        try:
            reply = self._network.call(
                receiver,
                MessageType.TEXT_REPLICATION,
                message,
                TextReplicationReply,
                CALL_TIMEOUT_SECONDS,
            )
        except RunkeelError as error:
            logger.info(
                "sending partial outputs failed",
                code="texts_undelivered",
                to=receiver,
                items=len(message.updates),
                error=str(error.code),
            )
            # The receiver may or may not have them: send these outputs again from the beginning.
            for update in message.updates:
                known.pop(update.item_id, None)
            return False
        _record_sent(message.updates, known)
        for item_id in reply.missing:
            known.pop(item_id, None)
        return True

    def _missing_updates(
        self, outputs: dict[str, PartialOutput], known: dict[str, SentOutput]
    ) -> list[TextUpdate]:
        """Return the updates that a receiver lacks, removals of finished items first."""
        removed = [item_id for item_id in known if item_id not in outputs]
        updates = [_removal(item_id) for item_id in removed if self._finished(item_id)]
        for item_id in removed:
            del known[item_id]
        updates += [
            update
            for item_id, output in outputs.items()
            if (update := make_update(item_id, output, known.get(item_id))) is not None
        ]
        return updates


def _removal(item_id: str) -> TextUpdate:
    return TextUpdate(item_id, _NO_REVISION, 0, [], "", [], False)


def _messages(shard: str, epoch: int, updates: list[TextUpdate]) -> list[TextReplication]:
    """Group updates into messages of at most :data:`MAX_MESSAGE_BYTES` or one update."""
    batches: list[list[TextUpdate]] = []
    remaining = 0
    for update in updates:
        size = sum(len(piece) for piece in update.pieces)
        if size > remaining or not batches:
            batches.append([])
            remaining = MAX_MESSAGE_BYTES
        batches[-1].append(update)
        remaining -= size
    return [TextReplication(shard, epoch, batch, False) for batch in batches]


def _record_sent(updates: list[TextUpdate], known: dict[str, SentOutput]) -> None:
    for update in updates:
        if update.generation == _NO_REVISION:
            continue
        piece_count = update.first_piece + len(update.pieces)
        known[update.item_id] = SentOutput(update.generation, piece_count, update.whole)


def make_update(item_id: str, output: PartialOutput, sent: SentOutput | None) -> TextUpdate | None:
    """Return the part of an output that a receiver lacks; None if it is up to date."""
    first = sent.piece_count if sent is not None and sent.revision == output.revision else 0
    if sent is not None and first == len(output.pieces) and sent.whole == output.complete:
        return None
    return TextUpdate(
        item_id,
        output.revision,
        first,
        list(output.pieces[first:]),
        output.last_event_id or "",
        list(output.versions),
        output.complete,
    )


@dataclass(slots=True)
class _Copy:
    output: PartialOutput
    updated_at: float


class PartialOutputCopies:
    """A node's copies of partial outputs; receives updates as soon as it is created.

    Args:
        journal: this node's own; None if it has no disk. Copies are restored from it.
    """

    def __init__(self, network: PeerNetwork, journal: PartialOutputJournal | None = None) -> None:
        self._copies: dict[str, _Copy] = {}
        self._epoch = 0
        self._journal = journal
        if journal is not None:
            self._restore(journal.load())
        self._handover_handler: Callable[[list[TextUpdate]], list[str]] = lambda updates: []
        network.on_call(MessageType.TEXT_REPLICATION, TextReplication, self._receive)

    @property
    def epoch(self) -> int:
        """The latest epoch of the copies."""
        return self._epoch

    def on_handover(self, handler: Callable[[list[TextUpdate]], list[str]]) -> None:
        """Set the handler of updates handed to this coordinator; it returns the wanted items."""
        self._handover_handler = handler

    def keep_local(self, epoch: int, item_id: str, output: PartialOutput) -> None:
        """Keep an output that this node has read itself, for the coordinator of a later term."""
        if epoch < self._epoch:
            return
        if epoch > self._epoch:
            self._copies.clear()
            self._epoch = epoch
        known = self._copies.get(item_id)
        if known is None or known.output.precedence < output.precedence:
            self._copies[item_id] = _Copy(output, steady_seconds())
            self._evict()

    def fresh(self) -> dict[str, PartialOutput]:
        """Return the outputs updated within the retention period; callers must not modify them."""
        oldest = steady_seconds() - RETENTION_SECONDS
        return {
            item_id: copy.output
            for item_id, copy in self._copies.items()
            if copy.updated_at >= oldest
        }

    def take(self) -> dict[str, PartialOutput]:
        """Return the outputs updated within the retention period and remove all copies."""
        outputs = {item_id: _with_own_revision(output) for item_id, output in self.fresh().items()}
        self._copies.clear()
        if outputs:
            logger.info(
                "partial outputs taken over from copies",
                code="texts_taken",
                items=len(outputs),
                events=sum(len(output.pieces) for output in outputs.values()),
                epoch=self._epoch,
            )
        return outputs

    def _receive(self, peer: str, message: TextReplication) -> tuple[int, TextReplicationReply]:
        if message.handover:
            wanted = self._handover_handler(message.updates)
            return MessageType.TEXT_REPLICATION_REPLY, TextReplicationReply(wanted)
        missing: list[str] = []
        if message.epoch >= self._epoch:
            if message.epoch > self._epoch:
                self._copies.clear()
                self._epoch = message.epoch
            now = steady_seconds()
            missing = [one.item_id for one in message.updates if not self._apply(one, now)]
            self._evict()
            self._write_journal(message)
        return MessageType.TEXT_REPLICATION_REPLY, TextReplicationReply(missing)

    def _restore(self, records: list[JournalRecord]) -> None:
        now = steady_seconds()
        for record in records:
            if record.message.epoch > self._epoch:
                self._copies.clear()
                self._epoch = record.message.epoch
            for update in record.message.updates:
                self._apply(update, now - record.age_seconds)
        self._evict()

    def _write_journal(self, message: TextReplication) -> None:
        if self._journal is not None:
            self._journal.append(
                lambda starts_file: self._full_messages(message) if starts_file else [message]
            )

    def _full_messages(self, message: TextReplication) -> list[TextReplication]:
        """Return messages with all copies in full; they already include the given message."""
        updates = [make_update(one, copy.output, None) for one, copy in self._copies.items()]
        return _messages(message.shard, message.epoch, updates)

    def _apply(self, update: TextUpdate, now: float) -> bool:
        """Apply an update to its copy; returns False if earlier pieces are missing."""
        if update.generation == _NO_REVISION:
            self._copies.pop(update.item_id, None)
            return True
        copy = self._copies.get(update.item_id)
        if update.first_piece == 0:
            copy = _Copy(PartialOutput(revision=update.generation), 0.0)
            self._copies[update.item_id] = copy
        elif copy is None or not _continues(copy.output, update):
            return False
        copy.output.pieces.extend(update.pieces)
        copy.output.last_event_id = update.last_event_id or None
        copy.output.versions = list(update.versions)
        copy.output.complete = update.whole
        copy.updated_at = now
        return True

    def _evict(self) -> None:
        oldest = steady_seconds() - RETENTION_SECONDS
        for item_id in [one for one, copy in self._copies.items() if copy.updated_at < oldest]:
            del self._copies[item_id]
        while len(self._copies) > MAX_COPIES:
            self._copies.pop(next(iter(self._copies)))


def _continues(output: PartialOutput, update: TextUpdate) -> bool:
    """Return whether an update starts exactly where a copy ends."""
    return output.revision == update.generation and len(output.pieces) == update.first_piece


def _with_own_revision(output: PartialOutput) -> PartialOutput:
    """Return a copy of an output with a new revision number of this process."""
    return PartialOutput(output.pieces, output.last_event_id, output.versions, output.complete)
