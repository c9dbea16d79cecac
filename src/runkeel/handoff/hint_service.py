"""Keeps hints on a storage node and writes their jobs to the store once it is available again.

A hint is a copy of a submitted job that a storage node keeps until the store has the job.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import DocumentConflictError, DocumentRejectedError
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.handoff.hint_log import HintLog
from runkeel.jobs.job_documents import (
    EncodedJob,
    decode_encoded_job,
    deserialize_job,
    encode_job,
    job_tenant,
    may_belong_to_tenant,
)
from runkeel.jobs.job_store import JobSubmission
from runkeel.metrics import JOB_HINTS
from runkeel.state.observed_store import ObservedStore
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    JobHint,
    JobHintLookup,
    JobHintLookupReply,
    JobHintReply,
    JobHintState,
)
from runkeel.wire.network import PeerNetwork

STORE_TIMEOUT_SECONDS = 0.5
"""Timeout of writing a job to the store."""

HANDOFF_INTERVAL_SECONDS = 0.3
"""Maximum pause between attempts to write the hinted jobs to a store that responds."""

HINT_EXPIRY_SECONDS = 120.0
"""Age of a job, since its submission, at which its hint is dropped.

Must be below the age at which coordinators remove jobs from the store, so that no removed job is
written again.
"""

NEW_DISK_WAIT_SECONDS = HINT_EXPIRY_SECONDS + 5.0
"""Time for which a node with a new or failing disk replies that its history is incomplete.

Afterwards, all hints that it may have lost have expired, so that a lookup that finds no hint shows
that this node has not lost one either.
"""

MAX_TOTAL_HINT_BYTES = 64 * 1024 * 1024
"""Maximum total size of the kept hints; further ones are refused."""

_HINT_PART_SUFFIX = "-hint"


class HintService:
    """Accepts and hands off hints; a node without a disk accepts none.

    Args:
        shard: name of the fleet, as in the messages between its nodes; not used here.
        log: hints on the node's disk; None if it has no disk.
        on_hint: called with the id and the encoded job of each hint that this node accepts.
        first_start: whether the whole deployment starts for the first time, so that no earlier
            hints can exist.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        store: ObservedStore,
        log: HintLog | None,
        on_hint: Callable[[str, EncodedJob], None],
        first_start: bool = False,
    ) -> None:
        self._shard = shard
        self._store = store
        self._hint_log = log
        self._on_hint = on_hint
        self._hints: dict[str, str] = {}
        self._rejected: set[str] = set()
        """Ids of the hinted jobs that the store has rejected."""
        self._knows_all_hints = log is None or first_start
        """Whether this node has every unexpired hint that it ever accepted.

        False until the hints on disk are loaded; for longer on a new disk, as the previous disk may
        have held hints, or after hints could not be read. A node without a disk accepts none.
        """
        self._history_task: gevent.Greenlet | None = None
        self._has_hints = Event()
        self._handoff_task: gevent.Greenlet | None = None
        network.on_call(MessageType.JOB_HINT, JobHint, self._handle_hint)
        network.on_call(MessageType.JOB_HINT_LOOKUP, JobHintLookup, self._handle_lookup)

    @property
    def hint_count(self) -> int:
        """Number of hints that this node keeps."""
        return len(self._hints)

    def hinted_jobs(self) -> list[tuple[str, EncodedJob]]:
        """Return the id and the encoded form of each job that this node keeps a hint of."""
        return [
            (job_id, deserialize_job(serialized_job))
            for job_id, serialized_job in self._hints.items()
        ]

    def start(self) -> None:
        """Load the hints on disk and start handing them off."""
        if self._hint_log is None:
            return
        stored = self._hint_log.load()
        self._hints = stored.jobs
        self._history_task = gevent.spawn(self._wait_for_history, stored.all_files_read)
        if self._hints:
            logger.info("loaded hints from disk", code="hints_read", jobs=len(self._hints))
            self._has_hints.set()
        self._handoff_task = gevent.spawn(self._handoff_loop)

    def stop(self) -> None:
        """Stop handing off hints."""
        for task in (self._handoff_task, self._history_task):
            if task is not None:
                task.kill(block=False)

    def _wait_for_history(self, all_files_read: bool) -> None:
        """Mark the history as complete.

        On a new disk, or if the disk failed while the hints were read, waits until all hints that
        this node may not know have expired.
        """
        was_complete = self._hint_log.history_complete
        if not self._knows_all_hints and not (was_complete and all_files_read):
            logger.warning(
                "hint disk is new or has failed; earlier hints are unknown until they expire",
                code="hints_forgotten",
                seconds=NEW_DISK_WAIT_SECONDS,
            )
            gevent.sleep(NEW_DISK_WAIT_SECONDS)
        if not was_complete:
            self._hint_log.mark_history_complete()
        self._knows_all_hints = True

    def _handle_hint(self, peer: str, message: JobHint) -> tuple[int, JobHintReply]:
        state = self._accept(peer, message)
        JOB_HINTS.labels(_STATE_NAMES[state]).inc()
        return MessageType.JOB_HINT_REPLY, JobHintReply(state)

    def _handle_lookup(self, peer: str, message: JobHintLookup) -> tuple[int, JobHintLookupReply]:
        return MessageType.JOB_HINT_LOOKUP_REPLY, JobHintLookupReply(
            message.job_id in self._hints, self._knows_all_hints
        )

    def _accept(self, peer: str, message: JobHint) -> int:
        try:
            encoded = deserialize_job(message.content)
            decode_encoded_job(message.job_id, encoded)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("malformed hint", code="bad_hint", sender=peer, error=repr(error))
            return JobHintState.REFUSED
        if self._store.reachable:
            # The sender of the hint does not wait as long as the parts of a large job may take.
            deadline = steady_seconds() + STORE_TIMEOUT_SECONDS
            try:
                stored = self._write_to_store(message.job_id, encoded, deadline)
            except DocumentRejectedError as rejection:
                _log_rejected(message.job_id, rejection)
                return JobHintState.REFUSED
            if stored is not None:
                return JobHintState.STORED if stored else JobHintState.REFUSED
        state = self._store_hint(message.job_id, message.content)
        logger.info(
            "received job hint",
            code="job_hint",
            job=message.job_id,
            sender=peer,
            state=_STATE_NAMES[state],
        )
        if state == JobHintState.KEPT:
            self._on_hint(message.job_id, encoded)
        return state

    def _store_hint(self, job_id: str, serialized_job: str) -> int:
        if self._hint_log is None:
            return JobHintState.REFUSED
        if job_id not in self._hints:
            size = sum(len(one) for one in self._hints.values())
            if size + len(serialized_job) > MAX_TOTAL_HINT_BYTES or not self._hint_log.put(
                job_id, serialized_job
            ):
                return JobHintState.REFUSED
            self._hints[job_id] = serialized_job
            self._has_hints.set()
        return JobHintState.KEPT

    def _write_to_store(
        self, job_id: str, encoded: EncodedJob, deadline: float = math.inf
    ) -> bool | None:
        """Write a job to the store.

        Args:
            deadline: steady time after which no part of the job is waited for.

        Returns:
            True if the store has the job; also after a conflict with a document whose content is
            unknown. False if another tenant uses its id; None if the store failed.

        Raises:
            DocumentRejectedError: the store can't take the job.
        """
        try:
            stored_form = _fit_into_documents(job_id, encoded)
            JobSubmission(self._store, job_id, stored_form).write(STORE_TIMEOUT_SECONDS, deadline)
        except DocumentConflictError as conflict:
            return may_belong_to_tenant(conflict.current, job_tenant(encoded.content))
        except DocumentRejectedError:
            raise
        except RunkeelError as error:
            logger.info(
                "writing job to the store failed",
                code="job_hint_delayed",
                job=job_id,
                error=str(error.code),
            )
            return None
        return True

    def _handoff_loop(self) -> None:
        while True:
            self._has_hints.wait()
            self._store.await_turn()
            self._hand_off_all()
            if not self._hints:
                self._has_hints.clear()
            gevent.sleep(HANDOFF_INTERVAL_SECONDS * random.uniform(0.5, 1.0))

    def _hand_off_all(self) -> None:
        """Hand off the hints in turn until the store fails.

        The hint with which it failed is tried last from then on, as the failure may concern this
        job alone.
        """
        for job_id, serialized_job in list(self._hints.items()):
            if not self._hand_off(job_id, serialized_job):
                if job_id in self._hints:
                    self._hints[job_id] = self._hints.pop(job_id)
                break

    def _hand_off(self, job_id: str, serialized_job: str) -> bool:
        """Write a job to the store or drop its expired hint; returns False if the store failed.

        A hint that the store rejects is kept until it expires, and not written again.
        """
        encoded = deserialize_job(serialized_job)
        age_seconds = time.time() - float(encoded.content["submitted_at"])
        expired = age_seconds > HINT_EXPIRY_SECONDS
        if not expired:
            if job_id in self._rejected:
                return True
            try:
                if self._write_to_store(job_id, encoded) is None:
                    return False
            except DocumentRejectedError as rejection:
                _log_rejected(job_id, rejection)
                self._rejected.add(job_id)
                return True
        logger.log(
            "WARNING" if expired else "INFO",
            "dropped expired hint" if expired else "handed off job to the store",
            code="job_hint_expired" if expired else "job_handed_on",
            job=job_id,
            age_ms=int(age_seconds * 1000),
        )
        JOB_HINTS.labels("expired" if expired else "handed_on").inc()
        self._hints.pop(job_id, None)
        self._rejected.discard(job_id)
        self._hint_log.remove(job_id)
        return True


def _log_rejected(job_id: str, rejection: DocumentRejectedError) -> None:
    logger.warning(
        "store rejected hinted job", code="job_hint_rejected", job=job_id, error=rejection.detail
    )


def _fit_into_documents(job_id: str, encoded: EncodedJob) -> EncodedJob:
    """Return a job in a form that the store can take; a hint may come from an older build.

    The names of the parts are the same on every node, so that several nodes write the same parts.
    """
    if encoded.fits_into_documents:
        return encoded
    return encode_job(decode_encoded_job(job_id, encoded), f"{job_id}{_HINT_PART_SUFFIX}")


_STATE_NAMES = {
    JobHintState.STORED: "stored",
    JobHintState.KEPT: "kept",
    JobHintState.REFUSED: "refused",
}
