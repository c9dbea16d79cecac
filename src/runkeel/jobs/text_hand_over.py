"""Hands copies of running texts to a coordinator whose predecessors have all lost them.

Machines that are likely to coordinate may all lose power at once. So one node of another kind
keeps copies too, and offers them to the next coordinator.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import gevent
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.jobs.generation_run import PartialText
from runkeel.jobs.text_replication import CALL_TIMEOUT_SECONDS, TextCopies, make_update
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import TextReplication, TextReplicationReply, TextUpdate
from runkeel.wire.network import PeerNetwork

OFFER_SECONDS = 3.0
"""An offer that did not arrive is made again for so long.

A coordinator that has just restarted loses the connections of the process before it, which its
peers notice only by using them.
"""

OFFER_RETRY_SECONDS = 0.1
"""Pause before an offer is made again: short beside the time for which it is waited for."""

BATCH_TEXTS = 50
"""Texts in one message."""


class TextReceiver(Protocol):
    """The part of a coordinator's scheduler that takes texts."""

    def lacks_text(self, item_id: str, precedence: tuple[int, int]) -> bool:
        """Return whether an item may go on from a text of this precedence."""

    def adopt_text(self, item_id: str, text: PartialText) -> None:
        """Let an item that has not begun to run go on from a text."""


class TextHandOver:
    """Both sides of the hand-over.

    Args:
        receiver: the scheduler while this node coordinates.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        copies: TextCopies,
        receiver: Callable[[], TextReceiver | None],
    ) -> None:
        self._network = network
        self._shard = shard
        self._copies = copies
        self._receiver = receiver
        self._offered_epoch = 0
        copies.on_hand_over(self._receive)

    def offer(self, coordinator: str, epoch: int) -> None:
        """Offer the copies of earlier epochs to a coordinator, in a task of its own.

        They are kept: that coordinator may be lost before it has copied them to anybody, and the
        next one wants them as well.
        """
        if self._copies.epoch < epoch and epoch > self._offered_epoch:
            self._offered_epoch = epoch
            texts = self._copies.fresh()
            if texts:
                gevent.spawn(self._hand_over, coordinator, epoch, texts)

    def _hand_over(self, coordinator: str, epoch: int, texts: dict[str, PartialText]) -> None:
        offers = [_offer(item_id, text) for item_id, text in texts.items()]
        wanted = self._deliver(coordinator, epoch, offers)
        for first in range(0, len(wanted), BATCH_TEXTS):
            batch = wanted[first : first + BATCH_TEXTS]
            updates = [make_update(one, texts[one], None) for one in batch if one in texts]
            self._deliver(coordinator, epoch, updates)
        logger.info(
            "texts offered",
            code="texts_offered",
            coordinator=coordinator,
            items=len(texts),
            wanted=len(wanted),
        )

    def _deliver(self, coordinator: str, epoch: int, updates: list[TextUpdate]) -> list[str]:
        """Send until an answer comes, while that coordinator is the latest that is known."""
        deadline = steady_seconds() + OFFER_SECONDS
        while steady_seconds() < deadline and self._offered_epoch == epoch:
            wanted = self._send(coordinator, updates)
            if wanted is not None:
                return wanted
            gevent.sleep(OFFER_RETRY_SECONDS)
        return []

    def _send(self, coordinator: str, updates: list[TextUpdate]) -> list[str] | None:
        """Return which texts are wanted; None without an answer."""
        message = TextReplication(self._shard, self._copies.epoch, updates, True)
        try:
            reply = self._network.call(
                coordinator,
                MessageType.TEXT_REPLICATION,
                message,
                TextReplicationReply,
                CALL_TIMEOUT_SECONDS,
            )
        except RunkeelError as error:
            logger.info(
                "texts not delivered",
                code="texts_undelivered",
                to=coordinator,
                items=len(updates),
                error=str(error.code),
            )
            return None
        return reply.missing

    def _receive(self, updates: list[TextUpdate]) -> list[str]:
        """Take whole texts; returns the items whose offered text is wanted."""
        receiver = self._receiver()
        if receiver is None:
            return []
        wanted = []
        for update in updates:
            if update.first_piece:
                offered = min(update.versions, default=0), update.first_piece
                if receiver.lacks_text(update.item_id, offered):
                    wanted.append(update.item_id)
                continue
            receiver.adopt_text(update.item_id, _text(update))
        return wanted


def _offer(item_id: str, text: PartialText) -> TextUpdate:
    count, versions = len(text.pieces), list(text.versions)
    return TextUpdate(item_id, text.generation, count, [], "", versions, text.whole)


def _text(update: TextUpdate) -> PartialText:
    return PartialText(
        list(update.pieces),
        update.last_event_id or None,
        list(update.versions),
        update.whole,
    )
