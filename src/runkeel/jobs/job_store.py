"""Batch jobs in the store: a document each, and parts for the items of a large one.

The parts are made first: a job is there once its document is. Each submission makes parts of its
own, named by the document that counts, so that one that was refused can remove what it made.
"""

from __future__ import annotations

import secrets

import gevent
from gevent.pool import Pool
from loguru import logger

from runkeel.api.documents import (
    CALL_TIMEOUT_SECONDS,
    Document,
    DocumentConflictError,
    DocumentKind,
    DocumentStore,
)
from runkeel.api.jobs import BatchJob
from runkeel.errors import RunkeelError, Verdict, not_run
from runkeel.jobs.job_documents import (
    EncodedJob,
    decode_job,
    encode_job,
    parts_of_job,
    segment_name,
)
from runkeel.state.unchanging import get_unchanging

PART_TRIES = 3
"""So often a part is written whose answer is lost; one of a few in a hundred is, on a bad day."""

PART_SECONDS = 3.0
"""A part is waited for so long; several share the node's link."""

CONCURRENT_PARTS = 4
"""So many parts are read or written at once."""

_PREFIX_BYTES = 4


class JobSubmission:
    """One node's attempts to store a job."""

    def __init__(self, store: DocumentStore, job_id: str, encoded: EncodedJob) -> None:
        self._store = store
        self._job_id = job_id
        self.encoded = encoded
        self._missing = dict(encoded.parts)

    @classmethod
    def of_job(cls, store: DocumentStore, job: BatchJob) -> JobSubmission:
        """Return the submission of a job, with names of its own for the job's parts."""
        prefix = f"{job.job_id}-{secrets.token_hex(_PREFIX_BYTES)}"
        return cls(store, job.job_id, encode_job(job, prefix))

    def write(self, timeout_seconds: float = CALL_TIMEOUT_SECONDS) -> None:
        """Store what is still missing, the job's document last.

        Args:
            timeout_seconds: longest wait for the answer to the document.

        Raises:
            DocumentConflictError: the job is there already.
            RunkeelError: with verdict NOT_RUN only if this call did not store the job.
        """
        self._write_parts()
        self._store.create(DocumentKind.JOB, self._job_id, self.encoded.content, timeout_seconds)

    def discard_parts(self) -> None:
        """Remove the parts that were made for nothing, in a task of its own."""
        if self.encoded.parts:
            gevent.spawn(self._remove_parts)

    def owns(self, document: Document | None) -> bool:
        """Return whether a job's document may be the one that this submission made."""
        if document is None or document.content is None:
            return True
        return parts_of_job(document.content) == tuple(self.encoded.parts)

    def _write_parts(self) -> None:
        writes = {
            name: gevent.spawn(self._write_part, name, part) for name, part in self._missing.items()
        }
        gevent.joinall(list(writes.values()))
        errors = [write.value for write in writes.values() if write.value is not None]
        if errors:
            # Whatever became of its parts, without its document the job is not there.
            raise not_run(errors[0].code, errors[0].detail)

    def _write_part(self, name: str, part: list[dict]) -> RunkeelError | None:
        problem: RunkeelError | None = None
        for _ in range(PART_TRIES):
            try:
                self._store.create(DocumentKind.JOB_PART, name, part, PART_SECONDS)
            except DocumentConflictError:
                # An earlier write whose answer was lost.
                problem = None
            except RunkeelError as error:
                problem = error
            if problem is None:
                del self._missing[name]
                return None
            if problem.verdict is Verdict.NOT_RUN:
                return problem
        return problem

    def _remove_parts(self) -> None:
        try:
            for name in self.encoded.parts:
                self._store.delete(DocumentKind.JOB_PART, name)
        except RunkeelError as error:
            logger.info("parts left", code="job_parts_left", job=self._job_id, error=error.detail)


class JobStore:
    """Reads and removes whole jobs. Every method raises RunkeelError when no answer came."""

    def __init__(self, store: DocumentStore) -> None:
        self._store = store

    def read(self, document: Document) -> BatchJob | None:
        """Return the job of a document; None when it is being removed."""
        names = parts_of_job(document.content)
        contents = []
        for part in Pool(CONCURRENT_PARTS).imap(self._read_part, names):
            if isinstance(part, RunkeelError):
                raise part
            if part is None:
                return None
            contents.append(part.content)
        return decode_job(document.name, document.content, contents)

    def _read_part(self, name: str) -> Document | RunkeelError | None:
        """Return a part; an error is returned rather than raised, as its reader waits elsewhere."""
        try:
            return get_unchanging(self._store, DocumentKind.JOB_PART, name, PART_SECONDS)
        except RunkeelError as error:
            return error

    def get(self, job_id: str) -> BatchJob | None:
        """Return a job; None when it is certain that there is none."""
        document = get_unchanging(self._store, DocumentKind.JOB, job_id)
        return None if document is None else self.read(document)

    def remove(self, job_id: str, parts: tuple[str, ...], segments: int) -> None:
        """Remove a job, its parts, its results and its end."""
        self._store.delete(DocumentKind.JOB, job_id)
        for name in parts:
            self._store.delete(DocumentKind.JOB_PART, name)
        for number in range(segments):
            self._store.delete(DocumentKind.JOB_RESULTS, segment_name(job_id, number))
        self._store.delete(DocumentKind.JOB_END, job_id)
