"""Copies of the open jobs at the coordinator's likeliest successors.

The store holds every accepted job. A successor needs a copy of its own only while the store is
away: it runs the items on, until the store can say who coordinates, and lists them then.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent
from loguru import logger

from runkeel.api.jobs import BatchJob
from runkeel.background_task import BackgroundTask
from runkeel.errors import RunkeelError
from runkeel.jobs.job_documents import decode_encoded_job, encode_job, job_from_text, job_text
from runkeel.jobs.job_state import JobState
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import JobCopies, JobCopiesReply, JobCopy
from runkeel.wire.network import PeerNetwork

INTERVAL_SECONDS = 0.5
"""Successors are told so often what they lack; an outage of the store lasts for seconds."""

CALL_SECONDS = 1.0
"""Longest wait for a successor's receipt."""

COMPARED_ROUNDS = 4
"""In one of so many rounds a successor is asked whether it still has what it was told.

One that was started anew has nothing; it lacks open jobs for two seconds then. The names of 20 open
jobs are 400 bytes.
"""

MAXIMUM_BYTES = 32 * 1024 * 1024
"""Texts of jobs that a successor keeps; the oldest go first. A tenth of its memory."""


@dataclass(frozen=True, slots=True)
class CopiedJob:
    """An open job as a successor knows it.

    Attributes:
        parts: names of the documents that hold its items in the store.
        listed: items that need not be run again.
    """

    job: BatchJob
    parts: tuple[str, ...]
    listed: frozenset[str]


class JobCopySender:
    """One task of a term that tells the likeliest successors of its open jobs.

    Args:
        jobs: the jobs of this term.
        successors: nodes that get copies.
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
        self._told: dict[str, dict[str, int]] = {}
        """By successor and job: how many results it has been told of."""
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start to tell."""
        self._task.start()

    def stop(self) -> None:
        """Tell no more."""
        self._task.stop()

    def _run(self) -> None:
        while True:
            gevent.sleep(INTERVAL_SECONDS)
            self.send_once()

    def send_once(self) -> None:
        """Tell each successor what it lacks."""
        self._rounds += 1
        successors = self._successors()
        self._told = {one: told for one, told in self._told.items() if one in successors}
        gevent.joinall([gevent.spawn(self._send_to, one) for one in successors])

    def _send_to(self, successor: str) -> None:
        told = self._told.setdefault(successor, {})
        states = {state.job.job_id: state for state in self._jobs()}
        copies = [copy for state in states.values() if (copy := _lacking(state, told)) is not None]
        compares = self._rounds % COMPARED_ROUNDS == 0
        before = list(told) if compares else []
        if not copies and not before:
            return
        message = JobCopies(self._shard, self._epoch, copies, before)
        try:
            reply = self._network.call(
                successor, MessageType.JOB_COPIES, message, JobCopiesReply, CALL_SECONDS
            )
        except RunkeelError as error:
            logger.info(
                "jobs not copied", code="jobs_uncopied", to=successor, error=str(error.code)
            )
            for copy in copies:
                # Whether they arrived is unknown: they are sent whole again.
                told.pop(copy.job_id, None)
            return
        for copy in copies:
            if copy.ended:
                told.pop(copy.job_id, None)
            else:
                told[copy.job_id] = told.get(copy.job_id, 0) + len(copy.listed)
        for job_id in reply.missing:
            told.pop(job_id, None)


def _lacking(state: JobState, told: dict[str, int]) -> JobCopy | None:
    """Return what a successor lacks of a job; None when it has it all."""
    job = state.job
    known = told.get(job.job_id)
    if state.ended or state.unloaded:
        return JobCopy(job.job_id, "", [], True) if known is not None else None
    listed = [result.item_id for result in state.results[known or 0 :]]
    if known is None:
        return JobCopy(job.job_id, job_text(encode_job(job, job.job_id)), listed, False)
    return JobCopy(job.job_id, "", listed, False) if listed else None


@dataclass(slots=True)
class _Kept:
    text: str
    listed: set[str] = field(default_factory=set)


class JobCopyKeeper:
    """A successor's copies; always ready to receive."""

    def __init__(self, network: PeerNetwork) -> None:
        self._epoch = 0
        self._kept: dict[str, _Kept] = {}
        network.on_call(MessageType.JOB_COPIES, JobCopies, self._receive)

    def jobs(self) -> list[CopiedJob]:
        """Return the open jobs, the oldest first."""
        jobs = []
        for job_id, kept in self._kept.items():
            try:
                encoded = job_from_text(kept.text)
                job = decode_encoded_job(job_id, encoded)
            except (KeyError, TypeError, ValueError) as error:
                logger.warning(
                    "copy not understood", code="bad_copy", job=job_id, error=repr(error)
                )
                continue
            jobs.append(CopiedJob(job, tuple(encoded.parts), frozenset(kept.listed)))
        return jobs

    def _receive(self, peer: str, message: JobCopies) -> tuple[int, JobCopiesReply]:
        if message.epoch < self._epoch:
            return MessageType.JOB_COPIES_REPLY, JobCopiesReply([])
        if message.epoch > self._epoch:
            self._epoch = message.epoch
            self._kept.clear()
        missing = [copy.job_id for copy in message.jobs if not self._take(copy)]
        ended = {copy.job_id for copy in message.jobs if copy.ended}
        lost = {job_id for job_id in message.told or () if job_id not in self._kept} - ended
        missing += sorted(lost.difference(missing))
        self._forget_oldest()
        return MessageType.JOB_COPIES_REPLY, JobCopiesReply(missing)

    def _take(self, copy: JobCopy) -> bool:
        """Take a copy; False when its beginning is missing."""
        if copy.ended:
            self._kept.pop(copy.job_id, None)
            return True
        if copy.content:
            self._kept[copy.job_id] = _Kept(copy.content)
        kept = self._kept.get(copy.job_id)
        if kept is None:
            return False
        kept.listed.update(copy.listed)
        return True

    def _forget_oldest(self) -> None:
        size = sum(len(kept.text) for kept in self._kept.values())
        while size > MAXIMUM_BYTES and len(self._kept) > 1:
            size -= len(self._kept.pop(next(iter(self._kept))).text)
