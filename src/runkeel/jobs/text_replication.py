"""Copies the text of running generations to the coordinator's successor.

The coordinator sends what has been added, a few times a second, to the node that would replace it.
When that node becomes coordinator, it continues each generation after the last event that it has,
instead of running it anew. A lost copy costs time, never a result. Nodes with a disk keep the texts
there as well, see :mod:`runkeel.jobs.text_journal`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from loguru import logger

from runkeel.background_task import BackgroundTask
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.jobs.generation_run import PartialText
from runkeel.jobs.text_journal import JournalRecord, TextJournal
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import TextReplication, TextReplicationReply, TextUpdate
from runkeel.wire.network import PeerNetwork

INTERVAL_SECONDS = 0.4
"""Texts are sent to successors so often; what is newer is generated again after a loss.

Chosen, not measured.
"""

CALL_SECONDS = 1.0
"""Longest wait for a successor's receipt. Chosen, not measured."""

KEPT_SECONDS = 30.0
"""A copy that is not updated for so long is dropped."""

MAXIMUM_COPIES = 4_000
"""Most texts that a successor keeps; the oldest go first. Chosen, not measured."""

MESSAGE_BYTES = 500_000
"""Text in one message. A larger one may not arrive within its time over a slow link."""

_NO_GENERATION = 0
"""Generation in an update that has a copy dropped; those of texts begin at 1."""


@dataclass(slots=True)
class SentText:
    """What the successor has of a text."""

    generation: int
    pieces: int
    whole: bool


class TextSender:
    """Sends the texts of one term to those who may succeed; one task.

    Args:
        texts: the texts that are running, waiting or not listed yet, by item.
        journal: this node's own; None: it has no disk.
        finished: tells whether an item's result is listed, so that its copies may go.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        epoch: int,
        texts: Callable[[], dict[str, PartialText]],
        successors: Callable[[], list[str]],
        journal: TextJournal | None = None,
        finished: Callable[[str], bool] = lambda item_id: False,
    ) -> None:
        self._finished = finished
        self._journal = journal
        self._written: dict[str, SentText] = {}
        self._network = network
        self._shard = shard
        self._epoch = epoch
        self._texts = texts
        self._successors = successors
        self._sent: dict[str, dict[str, SentText]] = {}
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start to send."""
        self._task.start()

    def stop(self) -> None:
        """Stop to send."""
        self._task.stop()

    def _run(self) -> None:
        while True:
            gevent.sleep(INTERVAL_SECONDS)
            self.send_once()

    def send_once(self) -> None:
        """Send each successor what it does not have yet."""
        receivers = self._successors()
        self._sent = {one: sent for one, sent in self._sent.items() if one in receivers}
        texts = self._texts()
        sends = [gevent.spawn(self._send_to, receiver, texts) for receiver in receivers]
        sends.append(gevent.spawn(self._write, texts))
        gevent.joinall(sends)

    def _write(self, texts: dict[str, PartialText]) -> None:
        if self._journal is not None:
            self._journal.append(lambda begins_file: self._journal_messages(texts, begins_file))

    def _journal_messages(
        self, texts: dict[str, PartialText], begins_file: bool
    ) -> list[TextReplication]:
        if begins_file:
            self._written.clear()
        updates = self._updates(texts, self._written)
        _note_sent(updates, self._written)
        return _messages(self._shard, self._epoch, updates)

    def _send_to(self, receiver: str, texts: dict[str, PartialText]) -> None:
        """Send a receiver what it lacks, in messages of a bounded size."""
        known = self._sent.setdefault(receiver, {})
        for message in _messages(self._shard, self._epoch, self._updates(texts, known)):
            if not self._send_message(receiver, message, known):
                return

    def _send_message(
        self, receiver: str, message: TextReplication, known: dict[str, SentText]
    ) -> bool:
        """Send some updates; False when no answer came."""
        try:
            reply = self._network.call(
                receiver,
                MessageType.TEXT_REPLICATION,
                message,
                TextReplicationReply,
                CALL_SECONDS,
            )
        except RunkeelError as error:
            logger.info(
                "texts not delivered",
                code="texts_undelivered",
                to=receiver,
                items=len(message.updates),
                error=str(error.code),
            )
            # What arrived is unknown: these texts are sent again, from their beginning.
            for update in message.updates:
                known.pop(update.item_id, None)
            return False
        _note_sent(message.updates, known)
        for item_id in reply.missing:
            known.pop(item_id, None)
        return True

    def _updates(
        self, texts: dict[str, PartialText], known: dict[str, SentText]
    ) -> list[TextUpdate]:
        """Return what a receiver lacks of all texts, and which of its copies it may drop."""
        gone = [item_id for item_id in known if item_id not in texts]
        updates = [_dropped(item_id) for item_id in gone if self._finished(item_id)]
        for item_id in gone:
            del known[item_id]
        updates += [
            update
            for item_id, text in texts.items()
            if (update := text_update(item_id, text, known.get(item_id))) is not None
        ]
        return updates


def _dropped(item_id: str) -> TextUpdate:
    return TextUpdate(item_id, _NO_GENERATION, 0, [], "", [], False)


def _messages(shard: str, epoch: int, updates: list[TextUpdate]) -> list[TextReplication]:
    """Return updates in messages of a bounded size."""
    batches: list[list[TextUpdate]] = []
    room = 0
    for update in updates:
        size = sum(len(piece) for piece in update.pieces)
        if size > room or not batches:
            batches.append([])
            room = MESSAGE_BYTES
        batches[-1].append(update)
        room -= size
    return [TextReplication(shard, epoch, batch, False) for batch in batches]


def _note_sent(updates: list[TextUpdate], known: dict[str, SentText]) -> None:
    for update in updates:
        if update.generation == _NO_GENERATION:
            continue
        pieces = update.first_piece + len(update.pieces)
        known[update.item_id] = SentText(update.generation, pieces, update.whole)


def text_update(item_id: str, text: PartialText, sent: SentText | None) -> TextUpdate | None:
    """Return what a receiver lacks of a text, None when it has it all."""
    first = sent.pieces if sent is not None and sent.generation == text.generation else 0
    if sent is not None and first == len(text.pieces) and sent.whole == text.whole:
        return None
    return TextUpdate(
        item_id,
        text.generation,
        first,
        list(text.pieces[first:]),
        text.last_event_id or "",
        list(text.versions),
        text.whole,
    )


@dataclass(slots=True)
class _Copy:
    text: PartialText
    updated_at: float


class TextCopies:
    """The successor's copies; always ready to receive.

    Args:
        journal: this node's own; None: it has no disk. What it holds is taken over.
    """

    def __init__(self, network: PeerNetwork, journal: TextJournal | None = None) -> None:
        self._copies: dict[str, _Copy] = {}
        self._epoch = 0
        self._journal = journal
        if journal is not None:
            self._restore(journal.load())
        self._hand_over: Callable[[list[TextUpdate]], list[str]] = lambda updates: []
        network.on_call(MessageType.TEXT_REPLICATION, TextReplication, self._receive)

    @property
    def epoch(self) -> int:
        """The latest epoch whose coordinator sent copies."""
        return self._epoch

    def on_hand_over(self, receive: Callable[[list[TextUpdate]], list[str]]) -> None:
        """Have texts that are handed to this coordinator received; returns the items wanted."""
        self._hand_over = receive

    def hold(self, epoch: int, item_id: str, text: PartialText) -> None:
        """Keep a text that this node itself has read, for the coordinator of a later term."""
        if epoch < self._epoch:
            return
        if epoch > self._epoch:
            self._copies.clear()
            self._epoch = epoch
        known = self._copies.get(item_id)
        if known is None or known.text.precedence < text.precedence:
            self._copies[item_id] = _Copy(text, steady_seconds())
            self._forget_old()

    def fresh(self) -> dict[str, PartialText]:
        """Return the copies that are still fresh; they stay, and must not be changed."""
        oldest = steady_seconds() - KEPT_SECONDS
        return {
            item_id: copy.text
            for item_id, copy in self._copies.items()
            if copy.updated_at >= oldest
        }

    def take(self) -> dict[str, PartialText]:
        """Return the copies that are still fresh and forget them all."""
        texts = {item_id: _own_text(text) for item_id, text in self.fresh().items()}
        self._copies.clear()
        if texts:
            logger.info(
                "texts taken over",
                code="texts_taken",
                items=len(texts),
                events=sum(len(text.pieces) for text in texts.values()),
                epoch=self._epoch,
            )
        return texts

    def _receive(self, peer: str, message: TextReplication) -> tuple[int, TextReplicationReply]:
        if message.handover:
            wanted = self._hand_over(message.updates)
            return MessageType.TEXT_REPLICATION_REPLY, TextReplicationReply(wanted)
        missing: list[str] = []
        if message.epoch >= self._epoch:
            if message.epoch > self._epoch:
                self._copies.clear()
                self._epoch = message.epoch
            now = steady_seconds()
            missing = [one.item_id for one in message.updates if not self._apply(one, now)]
            self._forget_old()
            self._write(message)
        return MessageType.TEXT_REPLICATION_REPLY, TextReplicationReply(missing)

    def _restore(self, records: list[JournalRecord]) -> None:
        now = steady_seconds()
        for record in records:
            if record.message.epoch > self._epoch:
                self._copies.clear()
                self._epoch = record.message.epoch
            for update in record.message.updates:
                self._apply(update, now - record.age_seconds)
        self._forget_old()

    def _write(self, message: TextReplication) -> None:
        if self._journal is not None:
            self._journal.append(
                lambda begins_file: self._whole(message) if begins_file else [message]
            )

    def _whole(self, message: TextReplication) -> list[TextReplication]:
        """Return messages with all copies; the given one is reflected in them already."""
        updates = [text_update(one, copy.text, None) for one, copy in self._copies.items()]
        return _messages(message.shard, message.epoch, updates)

    def _apply(self, update: TextUpdate, now: float) -> bool:
        """Add an update to its copy; False when earlier pieces are missing."""
        if update.generation == _NO_GENERATION:
            self._copies.pop(update.item_id, None)
            return True
        copy = self._copies.get(update.item_id)
        if update.first_piece == 0:
            copy = _Copy(PartialText(generation=update.generation), 0.0)
            self._copies[update.item_id] = copy
        elif copy is None or not _continues(copy.text, update):
            return False
        copy.text.pieces.extend(update.pieces)
        copy.text.last_event_id = update.last_event_id or None
        copy.text.versions = list(update.versions)
        copy.text.whole = update.whole
        copy.updated_at = now
        return True

    def _forget_old(self) -> None:
        oldest = steady_seconds() - KEPT_SECONDS
        for item_id in [one for one, copy in self._copies.items() if copy.updated_at < oldest]:
            del self._copies[item_id]
        while len(self._copies) > MAXIMUM_COPIES:
            self._copies.pop(next(iter(self._copies)))


def _continues(text: PartialText, update: TextUpdate) -> bool:
    """Return whether an update begins where a copy ends."""
    return text.generation == update.generation and len(text.pieces) == update.first_piece


def _own_text(text: PartialText) -> PartialText:
    """Return a copy's text with a generation of this process."""
    return PartialText(text.pieces, text.last_event_id, text.versions, text.whole)
