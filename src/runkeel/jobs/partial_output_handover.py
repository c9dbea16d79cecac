"""Hands copies of partial outputs to a new coordinator that has none.

All likely coordinators may lose power at once. Copies are therefore also kept by nodes that are
not likely to coordinate, which offer them to the next coordinator.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import gevent
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.jobs.generation_run import PartialOutput
from runkeel.jobs.partial_output_replication import (
    CALL_TIMEOUT_SECONDS,
    PartialOutputCopies,
    make_update,
)
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import TextReplication, TextReplicationReply, TextUpdate
from runkeel.wire.network import PeerNetwork

OFFER_TIMEOUT_SECONDS = 3.0
"""Time for which a failed offer is retried.

The first call to a restarted coordinator may fail, on a connection to its previous process.
"""

OFFER_RETRY_DELAY_SECONDS = 0.1
"""Pause before an offer is retried; short, as the coordinator waits only briefly for offers."""

MAX_OUTPUTS_PER_MESSAGE = 50
"""Bound on the outputs that are sent in one message."""


class PartialOutputReceiver(Protocol):
    """The part of a coordinator's scheduler that receives partial outputs."""

    def needs_output(self, item_id: str, precedence: tuple[int, int]) -> bool:
        """Return whether an item would continue from an output of this precedence."""

    def adopt_output(self, item_id: str, output: PartialOutput) -> None:
        """Let an item continue from an output if it needs the output."""


class PartialOutputHandover:
    """Both sides of the handover: offers copies, and receives them while coordinating.

    Args:
        receiver: returns the scheduler while this node coordinates, else None.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        copies: PartialOutputCopies,
        receiver: Callable[[], PartialOutputReceiver | None],
    ) -> None:
        self._network = network
        self._shard = shard
        self._copies = copies
        self._receiver = receiver
        self._offered_epoch = 0
        copies.on_handover(self._receive)

    def offer(self, coordinator: str, epoch: int) -> None:
        """Offer the copies of earlier epochs to a coordinator, in the background.

        They are kept afterwards: the coordinator may fail before it has copied them to successors,
        and the next one needs them too.
        """
        if self._copies.epoch < epoch and epoch > self._offered_epoch:
            self._offered_epoch = epoch
            outputs = self._copies.fresh()
            if outputs:
                gevent.spawn(self._run_handover, coordinator, epoch, outputs)

    def _run_handover(
        self, coordinator: str, epoch: int, outputs: dict[str, PartialOutput]
    ) -> None:
        offers = [_make_offer(item_id, output) for item_id, output in outputs.items()]
        wanted = self._send_until_answered(coordinator, epoch, offers)
        for first in range(0, len(wanted), MAX_OUTPUTS_PER_MESSAGE):
            batch = wanted[first : first + MAX_OUTPUTS_PER_MESSAGE]
            updates = [make_update(one, outputs[one], None) for one in batch if one in outputs]
            self._send_until_answered(coordinator, epoch, updates)
        logger.info(
            "partial outputs offered to coordinator",
            code="texts_offered",
            coordinator=coordinator,
            items=len(outputs),
            wanted=len(wanted),
        )

    def _send_until_answered(
        self, coordinator: str, epoch: int, updates: list[TextUpdate]
    ) -> list[str]:
        """Send updates, with retries, until the coordinator replies or a later one is known.

        Returns the items whose output is wanted; empty without a reply.
        """
        deadline = steady_seconds() + OFFER_TIMEOUT_SECONDS
        while steady_seconds() < deadline and self._offered_epoch == epoch:
            wanted = self._send(coordinator, updates)
            if wanted is not None:
                return wanted
            gevent.sleep(OFFER_RETRY_DELAY_SECONDS)
        return []

    def _send(self, coordinator: str, updates: list[TextUpdate]) -> list[str] | None:
        """Send updates; returns the items whose output is wanted, None without a reply."""
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
                "sending partial outputs failed",
                code="texts_undelivered",
                to=coordinator,
                items=len(updates),
                error=str(error.code),
            )
            return None
        return reply.missing

    def _receive(self, updates: list[TextUpdate]) -> list[str]:
        """Adopt full outputs; returns the items whose offered output is wanted."""
        receiver = self._receiver()
        if receiver is None:
            return []
        wanted = []
        for update in updates:
            if update.first_piece:  # an offer; a full output starts at piece 0
                offered = min(update.versions, default=0), update.first_piece
                if receiver.needs_output(update.item_id, offered):
                    wanted.append(update.item_id)
                continue
            receiver.adopt_output(update.item_id, _decode_output(update))
        return wanted


def _make_offer(item_id: str, output: PartialOutput) -> TextUpdate:
    """Return an update without pieces, whose ``first_piece`` is the number of pieces offered."""
    count, versions = len(output.pieces), list(output.versions)
    return TextUpdate(item_id, output.revision, count, [], "", versions, output.complete)


def _decode_output(update: TextUpdate) -> PartialOutput:
    return PartialOutput(
        list(update.pieces),
        update.last_event_id or None,
        list(update.versions),
        update.whole,
    )
