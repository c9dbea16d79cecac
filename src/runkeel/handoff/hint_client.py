"""Has a job kept by storage machines that the store can't take just now."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.queue import Empty, Queue
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel.jobs.job_documents import EncodedJob, job_text
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    JobHint,
    JobHintLookup,
    JobHintLookupReply,
    JobHintReply,
    JobHintState,
)
from runkeel.wire.network import PeerNetwork

HINT_SECONDS = 1.2
"""Longest wait for the machines' answers: a call to a silent store, and a sync after it."""

LOOKUP_SECONDS = 0.4
"""Longest wait for the machines that may keep a job of which the store knows nothing."""


class HintOutcome(enum.Enum):
    """What has become of a job that was handed over."""

    ACCEPTED = "accepted"
    """It is in the store, or will be after any loss that must be borne."""
    UNSURE = "unsure"
    """Some machine may have it."""
    REFUSED = "refused"
    """No machine has it."""


@dataclass(frozen=True, slots=True)
class _Reply:
    """A machine's answer; ``state`` is None without one."""

    state: int | None
    may_be_kept: bool


class HintClient:
    """Hands jobs to the machines that keep hints.

    Args:
        keepers: the machines with disks that are known to be up.
        copies: a job must last on so many; 0: there are no such machines.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        keepers: Callable[[], list[str]],
        copies: int,
    ) -> None:
        self._network = network
        self._shard = shard
        self._keepers = keepers
        self._copies = copies

    def keep(self, job_id: str, encoded: EncodedJob) -> HintOutcome:
        """Hand a job to all machines; returns as soon as it is certain to last."""
        keepers = self._keepers() if self._copies else []
        if len(keepers) < self._copies or not keepers:
            return HintOutcome.REFUSED
        message = JobHint(self._shard, job_id, job_text(encoded))
        replies: Queue = Queue()
        for node_id in keepers:
            gevent.spawn(self._hand_over, node_id, message, replies)
        outcome = self._judge(replies, len(keepers))
        logger.info(
            "job handed over",
            code="job_handed_over",
            job=job_id,
            keepers=len(keepers),
            outcome=outcome.value,
        )
        return outcome

    def may_be_kept(self, job_id: str) -> bool:
        """Return whether a machine keeps a job that the store does not have yet."""
        if not self._copies:
            return False
        message = JobHintLookup(self._shard, job_id)
        tasks = [gevent.spawn(self._look_up, node_id, message) for node_id in self._keepers()]
        gevent.joinall(tasks, timeout=LOOKUP_SECONDS)
        return any(task.value for task in tasks)

    def _judge(self, replies: Queue, count: int) -> HintOutcome:
        deadline = steady_seconds() + HINT_SECONDS
        kept = 0
        unsure = False
        for _ in range(count):
            try:
                reply = replies.get(timeout=max(0.0, deadline - steady_seconds()))
            except Empty:
                unsure = True
                break
            if reply.state == JobHintState.STORED:
                return HintOutcome.ACCEPTED
            kept += reply.state == JobHintState.KEPT
            unsure = unsure or reply.may_be_kept
            if kept >= self._copies:
                return HintOutcome.ACCEPTED
        return HintOutcome.UNSURE if unsure else HintOutcome.REFUSED

    def _hand_over(self, node_id: str, message: JobHint, replies: Queue) -> None:
        try:
            reply = self._network.call(
                node_id, MessageType.JOB_HINT, message, JobHintReply, HINT_SECONDS
            )
        except RunkeelError as error:
            logger.info(
                "keeper not reached", code="keeper_unreached", keeper=node_id, error=str(error.code)
            )
            replies.put(_Reply(None, error.verdict is not Verdict.NOT_RUN))
            return
        replies.put(_Reply(reply.state, reply.state != JobHintState.REFUSED))

    def _look_up(self, node_id: str, message: JobHintLookup) -> bool:
        try:
            reply = self._network.call(
                node_id,
                MessageType.JOB_HINT_LOOKUP,
                message,
                JobHintLookupReply,
                LOOKUP_SECONDS,
            )
        except RunkeelError as error:
            logger.debug("keeper not reached: {}", error.code, code="keeper_unreached")
            return False
        return bool(reply.kept)
