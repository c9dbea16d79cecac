"""Lists a job's results: writes them to the store in segments, then makes them readable."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from loguru import logger

from runkeel.api.documents import DocumentConflictError, DocumentKind, DocumentStore
from runkeel.api.jobs import ItemResult
from runkeel.errors import RunkeelError
from runkeel.jobs.job_documents import (
    decode_segment,
    encode_segment,
    encoded_result_bytes,
    segment_name,
)
from runkeel.jobs.job_state import JobState

BATCH_DELAY_SECONDS = 0.7
"""Time for which results are batched before a write, to save calls to the store."""

EARLY_BATCH_DELAY_SECONDS = 1.5
"""Batch delay while few of the groups that the trainer waits for are complete."""

EARLY_PROGRESS_SHARE = 0.5
"""Share of the awaited groups below which :data:`EARLY_BATCH_DELAY_SECONDS` applies."""

EARLY_AGE_SECONDS = 4.0
"""Age of a job from which :data:`BATCH_DELAY_SECONDS` applies, as its deadline may be near."""

RETRY_DELAY_SECONDS = 0.15
"""Pause before a failed write is retried."""

MAX_SEGMENT_BYTES = 800_000
"""Bound on the results of a segment, as JSON in bytes; below the store's limit on documents."""


class SupersededError(Exception):
    """A coordinator of a later epoch has written a segment."""


class ResultWriter:
    """Writes one job's results until all are listed.

    Args:
        epoch: epoch of the term in which this node coordinates.
    """

    def __init__(
        self,
        store: DocumentStore,
        state: JobState,
        epoch: int,
        on_listed: Callable[[JobState], None],
    ) -> None:
        self._store = store
        self._state = state
        self._epoch = epoch
        self._on_listed = on_listed
        self._last_segment_own = False

    def fence(self) -> None:
        """Read all existing segments and create an empty one after the last.

        This stops coordinators of earlier epochs from listing more, so that the listing is known
        from then on. Raises SupersededError.
        """
        while not self._state.complete:
            self._write_segment([], allow_empty=True)
            if self._last_segment_own:
                break
        self._state.fenced = True

    def run(self) -> None:
        """Write until every item is listed. Raises SupersededError."""
        state = self._state
        while not state.complete:
            state.ready.wait()
            if state.unloaded:
                return
            if len(state.results) + len(state.unlisted) < len(state.items):
                # No batching once all groups that the trainer waits for are complete.
                state.required_groups_complete.wait(self._batch_delay_seconds())
            self._write_segment(_limit_size(state.unlisted))
            self._on_listed(state)

    def _batch_delay_seconds(self) -> float:
        state = self._state
        old = time.time() - state.job.submitted_at > EARLY_AGE_SECONDS
        early = state.required_groups_share < EARLY_PROGRESS_SHARE and not old
        return EARLY_BATCH_DELAY_SECONDS if early else BATCH_DELAY_SECONDS

    def _write_segment(self, batch: list[ItemResult], allow_empty: bool = False) -> None:
        """Write a batch as the next segment, or read the segment that another node wrote there."""
        self._last_segment_own = False
        state = self._state
        name = segment_name(state.job.job_id, state.segments)
        content = encode_segment(self._epoch, batch)
        while batch or allow_empty:
            state.write_pending = True
            try:
                self._store.create(DocumentKind.JOB_RESULTS, name, content)
            except DocumentConflictError as conflict:
                if self._adopt_existing(name, conflict):
                    return
            except RunkeelError as error:
                logger.info(
                    "writing results failed; retrying",
                    code="results_delayed",
                    job=state.job.job_id,
                    segment=state.segments,
                    error=str(error.code),
                )
            else:
                self._last_segment_own = True
                state.append_segment(batch)
                self._log_listed(batch, own=True)
                return
            gevent.sleep(RETRY_DELAY_SECONDS)

    def _adopt_existing(self, name: str, conflict: DocumentConflictError) -> bool:
        document = conflict.current
        try:
            if document is None or document.content is None:
                document = self._store.get(DocumentKind.JOB_RESULTS, name)
        except RunkeelError as error:
            logger.info(
                "reading a segment of another term failed; retrying",
                code="results_delayed",
                job=self._state.job.job_id,
                segment=self._state.segments,
                error=str(error.code),
            )
            return False
        if document is None:
            return False
        epoch, results = decode_segment(document.content)
        self._last_segment_own = epoch == self._epoch
        self._state.append_segment(results)
        self._log_listed(results, own=self._last_segment_own)
        if epoch > self._epoch:
            raise SupersededError(f"results segment {name} was written in later epoch {epoch}")
        return True

    def _log_listed(self, results: list[ItemResult], own: bool) -> None:
        state = self._state
        logger.info(
            "results listed",
            code="results_listed",
            job=state.job.job_id,
            own=own,
            segment=state.segments - 1,
            count=len(results),
            listed=len(state.results),
            total=len(state.items),
        )


def _limit_size(results: list[ItemResult]) -> list[ItemResult]:
    batch: list[ItemResult] = []
    size = 0
    for result in results:
        size += encoded_result_bytes(result)
        if batch and size > MAX_SEGMENT_BYTES:
            break
        batch.append(result)
    return batch
