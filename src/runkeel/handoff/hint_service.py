"""Keeps jobs that other nodes could not write to the store, and writes them when it can."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import DocumentConflictError
from runkeel.errors import RunkeelError
from runkeel.handoff.hint_log import HintLog
from runkeel.jobs.job_documents import (
    EncodedJob,
    job_from_text,
    may_be_of_tenant,
    tenant_of_job,
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

STORE_SECONDS = 0.5
"""Longest wait for the store to take a job."""

HANDOFF_SECONDS = 0.3
"""Pause between attempts to write what is kept; the store's price for a refused call is small."""

EXPIRY_SECONDS = 120.0
"""A hint that is older is dropped: its job is due to be removed from the store, if it was there.

Below the age at which coordinators remove jobs (150 s), so that none comes back after that.
"""

REMEMBER_SECONDS = EXPIRY_SECONDS + 5.0
"""A machine whose disk was empty when it started doesn't know for so long what it was given before.

Whatever that was has been dropped by then.
"""

MAXIMUM_HINT_BYTES = 64 * 1024 * 1024
"""Texts that are kept at once; beyond that a hint is refused. A fifth of the smallest disk."""


class HintService:
    """A node's side of keeping hints; one without a disk keeps none.

    Args:
        log: on the machine's disk; None: it has none.
        on_hint: called with each job that this node keeps; what it refuses must not run.
        first_start: the whole system starts for the first time: there is nothing to remember.
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
        self._log = log
        self._on_hint = on_hint
        self._hints: dict[str, str] = {}
        self._remembers = log is None or first_start
        """Whether this node would know of a job that it was given; without a disk it takes none."""
        self._memory_task: gevent.Greenlet | None = None
        self._waiting = Event()
        self._task: gevent.Greenlet | None = None
        network.on_call(MessageType.JOB_HINT, JobHint, self._serve_hint)
        network.on_call(MessageType.JOB_HINT_LOOKUP, JobHintLookup, self._serve_lookup)

    @property
    def kept(self) -> int:
        """Jobs that this node keeps for the store."""
        return len(self._hints)

    def jobs(self) -> list[tuple[str, EncodedJob]]:
        """Return the jobs that this node keeps, by id."""
        return [(job_id, job_from_text(text)) for job_id, text in self._hints.items()]

    def start(self) -> None:
        """Hand on what is kept, from now on."""
        if self._log is None:
            return
        self._hints = self._log.load()
        self._memory_task = gevent.spawn(self._begin_to_remember)
        if self._hints:
            logger.info("hints read", code="hints_read", jobs=len(self._hints))
            self._waiting.set()
        self._task = gevent.spawn(self._hand_on)

    def stop(self) -> None:
        """Hand on no more."""
        for task in (self._task, self._memory_task):
            if task is not None:
                task.kill(block=False)

    def _begin_to_remember(self) -> None:
        """Vouch for what this disk holds, once it holds all that may have been given before."""
        if not self._log.marked:
            if not self._remembers:
                logger.warning(
                    "disk is new: what was kept on it before is not known",
                    code="hints_forgotten",
                    seconds=REMEMBER_SECONDS,
                )
                gevent.sleep(REMEMBER_SECONDS)
            self._log.mark()
        self._remembers = True

    def _serve_hint(self, peer: str, message: JobHint) -> tuple[int, JobHintReply]:
        state = self._take(peer, message)
        JOB_HINTS.labels(_STATE_NAMES[state]).inc()
        return MessageType.JOB_HINT_REPLY, JobHintReply(state)

    def _serve_lookup(self, peer: str, message: JobHintLookup) -> tuple[int, JobHintLookupReply]:
        return MessageType.JOB_HINT_LOOKUP_REPLY, JobHintLookupReply(
            message.job_id in self._hints, self._remembers
        )

    def _take(self, peer: str, message: JobHint) -> int:
        try:
            encoded = job_from_text(message.content)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("hint not understood", code="bad_hint", sender=peer, error=repr(error))
            return JobHintState.REFUSED
        if self._store.reachable:
            stored = self._stored(message.job_id, encoded)
            if stored is not None:
                return JobHintState.STORED if stored else JobHintState.REFUSED
        state = self._keep(message.job_id, message.content)
        logger.info(
            "job handed to this node",
            code="job_hint",
            job=message.job_id,
            sender=peer,
            state=_STATE_NAMES[state],
        )
        if state == JobHintState.KEPT:
            self._on_hint(message.job_id, encoded)
        return state

    def _keep(self, job_id: str, text: str) -> int:
        if self._log is None:
            return JobHintState.REFUSED
        if job_id not in self._hints:
            size = sum(len(one) for one in self._hints.values())
            if size + len(text) > MAXIMUM_HINT_BYTES or not self._log.put(job_id, text):
                return JobHintState.REFUSED
            self._hints[job_id] = text
            self._waiting.set()
        return JobHintState.KEPT

    def _stored(self, job_id: str, encoded: EncodedJob) -> bool | None:
        """Write a job to the store.

        Returns:
            whether it stands there; False: another tenant's has its id; None: no answer came.
        """
        try:
            JobSubmission(self._store, job_id, encoded).write(STORE_SECONDS)
        except DocumentConflictError as conflict:
            return may_be_of_tenant(conflict.current, tenant_of_job(encoded.content))
        except RunkeelError as error:
            logger.info(
                "job not handed on yet",
                code="job_hint_delayed",
                job=job_id,
                error=str(error.code),
            )
            return None
        return True

    def _hand_on(self) -> None:
        while True:
            self._waiting.wait()
            self._store.await_turn()
            for job_id, text in list(self._hints.items()):
                if not self._hand_on_one(job_id, text):
                    break
            if not self._hints:
                self._waiting.clear()
            gevent.sleep(HANDOFF_SECONDS * random.uniform(0.5, 1.0))

    def _hand_on_one(self, job_id: str, text: str) -> bool:
        """Write a kept job to the store, or drop one that is too old; False: the store is away."""
        encoded = job_from_text(text)
        age_seconds = time.time() - float(encoded.content["submitted_at"])
        expired = age_seconds > EXPIRY_SECONDS
        if not expired and self._stored(job_id, encoded) is None:
            return False
        logger.log(
            "WARNING" if expired else "INFO",
            "hint dropped" if expired else "job handed on",
            code="job_hint_expired" if expired else "job_handed_on",
            job=job_id,
            age_ms=int(age_seconds * 1000),
        )
        JOB_HINTS.labels("expired" if expired else "handed_on").inc()
        self._hints.pop(job_id, None)
        self._log.remove(job_id)
        return True


_STATE_NAMES = {
    JobHintState.STORED: "stored",
    JobHintState.KEPT: "kept",
    JobHintState.REFUSED: "refused",
}
