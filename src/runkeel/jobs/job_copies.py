"""Copies open jobs to the coordinator's likely successors.

Every accepted job is in the store, so copies matter only during a store outage: a successor runs
the items from its copies, and lists their results once the store is available again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent
from loguru import logger

from runkeel.api.jobs import BatchJob
from runkeel.background_task import BackgroundTask
from runkeel.errors import RunkeelError
from runkeel.jobs.job_documents import (
    decode_encoded_job,
    deserialize_job,
    encode_job,
    serialize_job,
)
from runkeel.jobs.job_state import JobState
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import JobCopies, JobCopiesReply, JobCopy
from runkeel.wire.network import PeerNetwork

SEND_INTERVAL_SECONDS = 0.5
"""Interval between updates to successors; short, as store outages last for seconds."""

CALL_TIMEOUT_SECONDS = 1.0
"""Longest wait for a successor's reply."""

ROUNDS_PER_COMPARISON = 4
"""Interval, in rounds, of checks that a successor still has the jobs that were sent to it.

A successor loses them when it restarts.
"""

MAX_COPY_BYTES = 32 * 1024 * 1024
"""Bound on the encoded jobs that a successor keeps; the oldest are evicted first."""

MAX_SENT_BYTES = 24 * 1024 * 1024
"""Bound on the size of the jobs that are sent to a successor, below what it keeps.

Otherwise it would evict jobs and be sent them again without end. Further jobs are not copied.
"""

MAX_MESSAGE_BYTES = 2 * 1024 * 1024
"""Size of the jobs in a message from which further ones go into the next message."""

MAX_COPIED_JOB_BYTES = 8 * 1024 * 1024
"""Size of a job above which it is not copied; its message would exceed the network's limit."""


@dataclass(frozen=True, slots=True)
class CopiedJob:
    """A successor's copy of an open job.

    Attributes:
        parts: names of the job's part documents in the store.
        listed: ids of items with a listed result, which need not be run again.
    """

    job: BatchJob
    parts: tuple[str, ...]
    listed: frozenset[str]


class JobCopySender:
    """Sends the open jobs of a term to likely successors.

    Args:
        jobs: returns the jobs of this term.
        successors: returns the nodes that receive copies.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        epoch: int,
        jobs: Callable[[], Iterable[JobState]],
        successors: Callable[[], list[str]],
    ) -> None:
        self._network = network
        self._shard = shard
        self._epoch = epoch
        self._jobs = jobs
        self._successors = successors
        self._rounds = 0
        self._sent_counts: dict[str, dict[str, int]] = {}
        """Number of listed results sent, by successor and job."""
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
        """Send each successor the updates that it lacks."""
        self._rounds += 1
        successors = self._successors()
        self._sent_counts = {
            one: sent for one, sent in self._sent_counts.items() if one in successors
        }
        gevent.joinall([gevent.spawn(self._send_to, one) for one in successors])

    def _send_to(self, successor: str) -> None:
        """Send all updates that a successor lacks, in messages of limited size."""
        sent = self._sent_counts.setdefault(successor, {})
        copies: list[JobCopy] = []
        size = 0
        for state in self._copied_states(sent):
            copy = _missing_update(state, sent)
            if copy is None:
                continue
            copies.append(copy)
            size += len(copy.content)
            if size >= MAX_MESSAGE_BYTES:
                if not self._send(successor, sent, copies, []):
                    return
                copies, size = [], 0
        compare = self._rounds % ROUNDS_PER_COMPARISON == 0
        known_jobs = list(sent) if compare else []
        if copies or known_jobs:
            self._send(successor, sent, copies, known_jobs)

    def _copied_states(self, sent: dict[str, int]) -> list[JobState]:
        """Return the jobs to update at a successor: those it has, and others that fit beside."""
        copied: list[JobState] = []
        others: list[JobState] = []
        size = 0
        for state in self._jobs():
            if state.job.job_id not in sent:
                others.append(state)
                continue
            copied.append(state)
            size += 0 if state.ended or state.unloaded else state.size
        for state in others:
            if state.size <= MAX_COPIED_JOB_BYTES and size + state.size <= MAX_SENT_BYTES:
                copied.append(state)
                size += state.size
        return copied

    def _send(
        self,
        successor: str,
        sent: dict[str, int],
        copies: list[JobCopy],
        known_jobs: list[str],
    ) -> bool:
        """Send a message and record what the successor has; returns whether it replied."""
        message = JobCopies(self._shard, self._epoch, copies, known_jobs)
        try:
            reply = self._network.call(
                successor, MessageType.JOB_COPIES, message, JobCopiesReply, CALL_TIMEOUT_SECONDS
            )
        except RunkeelError as error:
            logger.info(
                "sending job copies failed",
                code="jobs_uncopied",
                to=successor,
                error=str(error.code),
            )
            for copy in copies:
                # The successor may or may not have them: send them in full again.
                sent.pop(copy.job_id, None)
            return False
        for copy in copies:
            if copy.ended:
                sent.pop(copy.job_id, None)
            else:
                sent[copy.job_id] = sent.get(copy.job_id, 0) + len(copy.listed)
        for job_id in reply.missing:
            sent.pop(job_id, None)
        return True


def _missing_update(state: JobState, sent: dict[str, int]) -> JobCopy | None:
    """Return what a successor lacks of a job; None if it is up to date."""
    job = state.job
    known = sent.get(job.job_id)
    if state.ended or state.unloaded:
        return JobCopy(job.job_id, "", [], True) if known is not None else None
    listed = [result.item_id for result in state.results[known or 0 :]]
    if known is None:
        return JobCopy(job.job_id, serialize_job(encode_job(job, job.job_id)), listed, False)
    return JobCopy(job.job_id, "", listed, False) if listed else None


@dataclass(slots=True)
class _CopyEntry:
    text: str
    listed: set[str] = field(default_factory=set)


class ReceivedJobCopies:
    """A node's copies of open jobs; receives updates as soon as it is created."""

    def __init__(self, network: PeerNetwork) -> None:
        self._epoch = 0
        self._copies: dict[str, _CopyEntry] = {}
        network.on_call(MessageType.JOB_COPIES, JobCopies, self._receive)

    def jobs(self) -> list[CopiedJob]:
        """Return the copied jobs in the order in which they first arrived."""
        jobs = []
        for job_id, entry in self._copies.items():
            try:
                encoded = deserialize_job(entry.text)
                job = decode_encoded_job(job_id, encoded)
            except (KeyError, TypeError, ValueError) as error:
                logger.warning(
                    "cannot decode job copy", code="bad_copy", job=job_id, error=repr(error)
                )
                continue
            jobs.append(CopiedJob(job, tuple(encoded.parts), frozenset(entry.listed)))
        return jobs

    def _receive(self, peer: str, message: JobCopies) -> tuple[int, JobCopiesReply]:
        if message.epoch < self._epoch:
            return MessageType.JOB_COPIES_REPLY, JobCopiesReply([])
        if message.epoch > self._epoch:
            self._epoch = message.epoch
            self._copies.clear()
        missing = [copy.job_id for copy in message.jobs if not self._apply(copy)]
        ended = {copy.job_id for copy in message.jobs if copy.ended}
        lost = {job_id for job_id in message.told or () if job_id not in self._copies} - ended
        missing += sorted(lost.difference(missing))
        self._evict_oldest()
        return MessageType.JOB_COPIES_REPLY, JobCopiesReply(missing)

    def _apply(self, copy: JobCopy) -> bool:
        """Apply an update; returns False if it needs a copy that is missing."""
        if copy.ended:
            self._copies.pop(copy.job_id, None)
            return True
        if copy.content:
            self._copies[copy.job_id] = _CopyEntry(copy.content)
        entry = self._copies.get(copy.job_id)
        if entry is None:
            return False
        entry.listed.update(copy.listed)
        return True

    def _evict_oldest(self) -> None:
        size = sum(len(entry.text) for entry in self._copies.values())
        while size > MAX_COPY_BYTES and len(self._copies) > 1:
            size -= len(self._copies.pop(next(iter(self._copies))).text)
