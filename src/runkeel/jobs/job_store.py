"""Stores batch jobs: one document each, and part documents for the items of a large job.

Parts are written first; a job exists once its document does. Each submission writes parts under
names of its own, which its document lists, so that a refused submission can remove its parts.
"""

from __future__ import annotations

import math
import secrets

import gevent
from gevent.pool import Pool
from loguru import logger

from runkeel.api.documents import (
    CALL_TIMEOUT_SECONDS,
    MAX_CONTENT_BYTES,
    Document,
    DocumentConflictError,
    DocumentKind,
    DocumentRejectedError,
    DocumentStore,
)
from runkeel.api.jobs import BatchJob
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict, not_run
from runkeel.jobs.job_documents import (
    EncodedJob,
    content_bytes,
    decode_job,
    encode_job,
    part_names,
    segment_name,
)
from runkeel.state.immutable_documents import get_immutable

MAX_PART_ATTEMPTS = 3
"""Bound on the attempts to write a part when replies are lost."""

PART_TIMEOUT_SECONDS = 3.0
"""Longest wait for the read or write of a part; several share the node's link."""

MAX_CONCURRENT_PARTS = 4
"""Bound on the parts of a job that are read concurrently."""

_PREFIX_RANDOM_BYTES = 4


class JobSubmission:
    """One node's attempts to store a job."""

    def __init__(self, store: DocumentStore, job_id: str, encoded: EncodedJob) -> None:
        self._store = store
        self._job_id = job_id
        self.encoded = encoded
        self._unwritten_parts = dict(encoded.parts)

    @classmethod
    def of_job(cls, store: DocumentStore, job: BatchJob) -> JobSubmission:
        """Return a submission of a job, with unique names for the job's parts.

        Raises:
            RunkeelError: BODY_TOO_LARGE (NOT_RUN) if the job can't be stored, as its fields other
                than its items exceed the size of a document.
        """
        prefix = f"{job.job_id}-{secrets.token_hex(_PREFIX_RANDOM_BYTES)}"
        encoded = encode_job(job, prefix)
        if content_bytes(encoded.content) > MAX_CONTENT_BYTES:
            raise not_run(
                ErrorCode.BODY_TOO_LARGE,
                f"the job's fields exceed {MAX_CONTENT_BYTES} bytes",
            )
        return cls(store, job.job_id, encoded)

    def write(
        self, timeout_seconds: float = CALL_TIMEOUT_SECONDS, deadline: float = math.inf
    ) -> None:
        """Write all parts not yet written, then the job's document.

        Args:
            timeout_seconds: longest wait for the reply to the write of the document.
            deadline: steady time after which no part is waited for.

        Raises:
            DocumentConflictError: the job exists already.
            DocumentRejectedError: the store can't take the job.
            RunkeelError: with verdict NOT_RUN only if this call did not store the job.
        """
        self._write_parts(deadline)
        self._store.create(DocumentKind.JOB, self._job_id, self.encoded.content, timeout_seconds)

    def discard_parts(self) -> None:
        """Remove this submission's parts in the background."""
        if self.encoded.parts:
            gevent.spawn(self._remove_parts)

    def owns(self, document: Document | None) -> bool:
        """Return whether a job's document may have been written by this submission."""
        if document is None or document.content is None:
            return True
        return part_names(document.content) == tuple(self.encoded.parts)

    def _write_parts(self, deadline: float = math.inf) -> None:
        writes = {
            name: gevent.spawn(self._write_part, name, part, deadline)
            for name, part in self._unwritten_parts.items()
        }
        gevent.joinall(list(writes.values()))
        errors = [write.value for write in writes.values() if write.value is not None]
        if errors:
            rejection = next(
                (error for error in errors if isinstance(error, DocumentRejectedError)), None
            )
            if rejection is not None:
                raise rejection
            # Some parts may have been written, but without its document the job does not exist.
            raise not_run(errors[0].code, errors[0].detail)

    def _write_part(self, name: str, part: list[dict], deadline: float) -> RunkeelError | None:
        failure: RunkeelError | None = None
        for _ in range(MAX_PART_ATTEMPTS):
            remaining_seconds = deadline - steady_seconds()
            if remaining_seconds <= 0.0:
                return failure or not_run(ErrorCode.DEADLINE_EXCEEDED, f"part {name}")
            timeout_seconds = min(PART_TIMEOUT_SECONDS, remaining_seconds)
            try:
                self._store.create(DocumentKind.JOB_PART, name, part, timeout_seconds)
            except DocumentConflictError:
                # An earlier attempt wrote the part, and its reply was lost.
                failure = None
            except RunkeelError as error:
                failure = error
            if failure is None:
                del self._unwritten_parts[name]
                return None
            if failure.verdict is Verdict.NOT_RUN:
                return failure
        return failure

    def _remove_parts(self) -> None:
        try:
            for name in self.encoded.parts:
                self._store.delete(DocumentKind.JOB_PART, name)
        except RunkeelError as error:
            logger.info(
                "removing the parts of a refused job failed",
                code="job_parts_left",
                job=self._job_id,
                error=error.detail,
            )


class JobStore:
    """Reads and removes jobs. Every method raises RunkeelError if the store does not answer."""

    def __init__(self, store: DocumentStore) -> None:
        self._store = store

    def read(self, document: Document) -> BatchJob | None:
        """Return the job of a document; None if a part is missing, as the job is being removed."""
        names = part_names(document.content)
        contents = []
        for part in Pool(MAX_CONCURRENT_PARTS).imap(self._read_part, names):
            if isinstance(part, RunkeelError):
                raise part
            if part is None:
                return None
            contents.append(part.content)
        return decode_job(document.name, document.content, contents)

    def _read_part(self, name: str) -> Document | RunkeelError | None:
        """Return a part, or the error of the read, which the caller raises."""
        try:
            return get_immutable(self._store, DocumentKind.JOB_PART, name, PART_TIMEOUT_SECONDS)
        except RunkeelError as error:
            return error

    def get(self, job_id: str) -> BatchJob | None:
        """Return a job; None if it is certain that it does not exist."""
        document = get_immutable(self._store, DocumentKind.JOB, job_id)
        return None if document is None else self.read(document)

    def remove(self, job_id: str, parts: tuple[str, ...], segments: int) -> None:
        """Remove all documents of a job: its own, its parts, its results and its end.

        The end is removed last, and the results from the last to the first, so that
        :meth:`remove_by_id` can complete a removal that was interrupted after the parts. Parts left
        by an earlier interruption stay in the store.
        """
        self._store.delete(DocumentKind.JOB, job_id)
        for name in parts:
            self._store.delete(DocumentKind.JOB_PART, name)
        for number in reversed(range(segments)):
            self._store.delete(DocumentKind.JOB_RESULTS, segment_name(job_id, number))
        self._store.delete(DocumentKind.JOB_END, job_id)

    def remove_by_id(self, job_id: str) -> None:
        """Remove all documents of a job that is not loaded."""
        document = get_immutable(self._store, DocumentKind.JOB, job_id)
        is_malformed = document is not None and not isinstance(document.content, dict)
        parts = () if document is None or is_malformed else part_names(document.content)
        self.remove(job_id, parts, self._count_segments(job_id))

    def _count_segments(self, job_id: str) -> int:
        count = 0
        while self._store.get(DocumentKind.JOB_RESULTS, segment_name(job_id, count)) is not None:
            count += 1
        return count
