"""Sends hints of jobs to storage nodes while the store is unavailable, and looks them up."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.queue import Empty, Queue
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel.handoff.storage_quorum import KnownStorageNodes, StorageNode, StorageQuorum
from runkeel.jobs.job_documents import EncodedJob, serialize_job
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    JobHint,
    JobHintLookup,
    JobHintLookupReply,
    JobHintReply,
    JobHintState,
)
from runkeel.wire.network import PeerNetwork

HINT_TIMEOUT_SECONDS = 1.2
"""Timeout of sending a hint; covers a timed-out call to the store and a disk sync."""

LOOKUP_TIMEOUT_SECONDS = 0.4
"""Timeout of looking up a hint; a node that replies later does not count.

A read of a job that doesn't exist may take this long.
"""


class HintLookupResult(enum.Enum):
    """Result of looking up, on the storage nodes, a job that is not in the store."""

    KEPT = "kept"
    """A node keeps a hint of it, so that the job will be in the store."""
    RULED_OUT = "ruled_out"
    """It can't have been accepted."""
    UNSURE = "unsure"
    """Too few nodes replied."""


class HintOutcome(enum.Enum):
    """Result of sending hints of a job."""

    ACCEPTED = "accepted"
    """The job is in the store, or its hints survive any loss within the tolerance."""
    UNSURE = "unsure"
    """Some node may keep a hint of it."""
    REFUSED = "refused"
    """No node keeps a hint of it."""


@dataclass(frozen=True, slots=True)
class _Reply:
    """Outcome of sending a hint to a storage node; ``state`` is None if there was no reply."""

    node: StorageNode
    state: int | None
    may_be_kept: bool


class HintClient:
    """Sends hints of jobs to storage nodes, and looks up jobs that are not in the store.

    Args:
        storage_nodes: returns the storage nodes that are known to be up.
        quorum: decides which sets of nodes are enough; None if there are no storage nodes.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        storage_nodes: Callable[[], KnownStorageNodes],
        quorum: StorageQuorum | None,
    ) -> None:
        self._network = network
        self._shard = shard
        self._storage_nodes = storage_nodes
        self._quorum = quorum

    def send_hints(self, job_id: str, encoded: EncodedJob) -> HintOutcome:
        """Send hints of a job to all storage nodes; returns as soon as enough of them have it."""
        nodes = self._storage_nodes().nodes
        if self._quorum is None or not self._quorum.is_durable(nodes):
            return HintOutcome.REFUSED
        message = JobHint(self._shard, job_id, serialize_job(encoded))
        replies: Queue = Queue()
        for node in nodes:
            gevent.spawn(self._send_hint, node, message, replies)
        kept: set[StorageNode] = set()
        outcome = self._collect_replies(replies, len(nodes), kept)
        logger.info(
            "sent job hints to storage nodes",
            code="job_handed_over",
            job=job_id,
            keepers=len(nodes),
            kept=sorted(node.node_id for node in kept),
            outcome=outcome.value,
        )
        return outcome

    def look_up(self, job_id: str) -> HintLookupResult:
        """Look up whether a job that is not in the store may have been accepted."""
        if self._quorum is None:
            return HintLookupResult.RULED_OUT
        known = self._storage_nodes()
        message = JobHintLookup(self._shard, job_id)
        lookups = {node: gevent.spawn(self._look_up, node, message) for node in known.nodes}
        gevent.joinall(list(lookups.values()), timeout=LOOKUP_TIMEOUT_SECONDS)
        replies = {node: task.value for node, task in lookups.items() if task.value is not None}
        unheard = [
            node for node in known.nodes if node not in replies or not replies[node].remembers
        ]
        if any(reply.kept for reply in replies.values()):
            result = HintLookupResult.KEPT
        elif (
            known.complete
            # A list on which no job can be accepted lacks nodes that may have accepted this one.
            and self._quorum.is_durable(known.nodes)
            and self._quorum.rules_out(unheard)
        ):
            result = HintLookupResult.RULED_OUT
        else:
            result = HintLookupResult.UNSURE
        logger.info(
            "looked up job on storage nodes",
            code="job_looked_up",
            job=job_id,
            trace=result.value,
            keepers=len(known.nodes),
            complete=known.complete,
            unheard=sorted(node.node_id for node in unheard),
        )
        return result

    def _collect_replies(self, replies: Queue, count: int, kept: set[StorageNode]) -> HintOutcome:
        """Wait for the outcome, up to the timeout; adds the nodes that keep a hint to ``kept``."""
        deadline = steady_seconds() + HINT_TIMEOUT_SECONDS
        may_be_stored = False
        for _ in range(count):
            try:
                reply = replies.get(timeout=max(0.0, deadline - steady_seconds()))
            except Empty:
                may_be_stored = True
                break
            if reply.state == JobHintState.STORED:
                return HintOutcome.ACCEPTED
            if reply.state == JobHintState.KEPT:
                kept.add(reply.node)
            may_be_stored = may_be_stored or reply.may_be_kept
            if self._quorum.is_durable(kept):
                return HintOutcome.ACCEPTED
        return HintOutcome.UNSURE if may_be_stored else HintOutcome.REFUSED

    def _send_hint(self, node: StorageNode, message: JobHint, replies: Queue) -> None:
        try:
            reply = self._network.call(
                node.node_id, MessageType.JOB_HINT, message, JobHintReply, HINT_TIMEOUT_SECONDS
            )
        except RunkeelError as error:
            _log_unreachable(node, error)
            replies.put(_Reply(node, None, error.verdict is not Verdict.NOT_RUN))
            return
        replies.put(_Reply(node, reply.state, reply.state != JobHintState.REFUSED))

    def _look_up(self, node: StorageNode, message: JobHintLookup) -> JobHintLookupReply | None:
        try:
            return self._network.call(
                node.node_id,
                MessageType.JOB_HINT_LOOKUP,
                message,
                JobHintLookupReply,
                LOOKUP_TIMEOUT_SECONDS,
            )
        except RunkeelError as error:
            _log_unreachable(node, error)
            return None


def _log_unreachable(node: StorageNode, error: RunkeelError) -> None:
    logger.info(
        "call to storage node failed",
        code="keeper_unreached",
        keeper=node.node_id,
        zone=node.zone,
        error=str(error.code),
    )
