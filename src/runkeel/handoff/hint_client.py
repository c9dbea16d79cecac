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
from runkeel.handoff.keeper_quorum import Keeper, KeeperQuorum, KnownKeepers
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
"""Longest wait for the machines that may keep a job of which the store knows nothing.

A reader of a job that there isn't waits for it; a machine that is later counts as not heard.
"""


class JobTrace(enum.Enum):
    """What the machines that keep jobs say of one that the store doesn't have."""

    KEPT = "kept"
    """One has it, so that it will be in the store."""
    RULED_OUT = "ruled_out"
    """It can't have been accepted."""
    UNSURE = "unsure"
    """Too few of them were heard."""


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

    keeper: Keeper
    state: int | None
    may_be_kept: bool


class HintClient:
    """Hands jobs to the machines that keep hints, and asks them for what the store doesn't have.

    Args:
        keepers: the machines with disks that are known to be up.
        quorum: which of them are enough; None: there are no such machines.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        keepers: Callable[[], KnownKeepers],
        quorum: KeeperQuorum | None,
    ) -> None:
        self._network = network
        self._shard = shard
        self._keepers = keepers
        self._quorum = quorum

    def keep(self, job_id: str, encoded: EncodedJob) -> HintOutcome:
        """Hand a job to all machines; returns as soon as it is certain to last."""
        keepers = self._keepers().keepers
        if self._quorum is None or not self._quorum.lasts(keepers):
            return HintOutcome.REFUSED
        message = JobHint(self._shard, job_id, job_text(encoded))
        replies: Queue = Queue()
        for keeper in keepers:
            gevent.spawn(self._hand_over, keeper, message, replies)
        kept: set[Keeper] = set()
        outcome = self._judge(replies, len(keepers), kept)
        logger.info(
            "job handed over",
            code="job_handed_over",
            job=job_id,
            keepers=len(keepers),
            kept=sorted(one.node_id for one in kept),
            outcome=outcome.value,
        )
        return outcome

    def trace(self, job_id: str) -> JobTrace:
        """Find out whether a job that the store doesn't have may have been accepted."""
        if self._quorum is None:
            return JobTrace.RULED_OUT
        known = self._keepers()
        message = JobHintLookup(self._shard, job_id)
        asking = {one: gevent.spawn(self._look_up, one, message) for one in known.keepers}
        gevent.joinall(list(asking.values()), timeout=LOOKUP_SECONDS)
        replies = {one: task.value for one, task in asking.items() if task.value is not None}
        unheard = [one for one in known.keepers if one not in replies or not replies[one].remembers]
        if any(reply.kept for reply in replies.values()):
            trace = JobTrace.KEPT
        elif known.complete and self._quorum.rules_out(unheard):
            trace = JobTrace.RULED_OUT
        else:
            trace = JobTrace.UNSURE
        logger.info(
            "job looked up",
            code="job_looked_up",
            job=job_id,
            trace=trace.value,
            keepers=len(known.keepers),
            complete=known.complete,
            unheard=sorted(one.node_id for one in unheard),
        )
        return trace

    def _judge(self, replies: Queue, count: int, kept: set[Keeper]) -> HintOutcome:
        """Wait for the answers; ``kept`` takes the machines that have the job."""
        deadline = steady_seconds() + HINT_SECONDS
        unsure = False
        for _ in range(count):
            try:
                reply = replies.get(timeout=max(0.0, deadline - steady_seconds()))
            except Empty:
                unsure = True
                break
            if reply.state == JobHintState.STORED:
                return HintOutcome.ACCEPTED
            if reply.state == JobHintState.KEPT:
                kept.add(reply.keeper)
            unsure = unsure or reply.may_be_kept
            if self._quorum.lasts(kept):
                return HintOutcome.ACCEPTED
        return HintOutcome.UNSURE if unsure else HintOutcome.REFUSED

    def _hand_over(self, keeper: Keeper, message: JobHint, replies: Queue) -> None:
        try:
            reply = self._network.call(
                keeper.node_id, MessageType.JOB_HINT, message, JobHintReply, HINT_SECONDS
            )
        except RunkeelError as error:
            _log_unreached(keeper, error)
            replies.put(_Reply(keeper, None, error.verdict is not Verdict.NOT_RUN))
            return
        replies.put(_Reply(keeper, reply.state, reply.state != JobHintState.REFUSED))

    def _look_up(self, keeper: Keeper, message: JobHintLookup) -> JobHintLookupReply | None:
        try:
            return self._network.call(
                keeper.node_id,
                MessageType.JOB_HINT_LOOKUP,
                message,
                JobHintLookupReply,
                LOOKUP_SECONDS,
            )
        except RunkeelError as error:
            _log_unreached(keeper, error)
            return None


def _log_unreached(keeper: Keeper, error: RunkeelError) -> None:
    logger.info(
        "keeper not reached",
        code="keeper_unreached",
        keeper=keeper.node_id,
        zone=keeper.zone,
        error=str(error.code),
    )
