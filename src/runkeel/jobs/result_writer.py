"""Lists results: writes them to the store in segments, then shows them."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from loguru import logger

from runkeel.api.documents import DocumentConflictError, DocumentKind, DocumentStore
from runkeel.api.jobs import ItemResult
from runkeel.errors import RunkeelError
from runkeel.jobs.job_documents import decode_segment, encode_segment, segment_name
from runkeel.jobs.job_state import JobState

GATHER_SECONDS = 0.7
"""Results are gathered for so long: each call to the store has its price."""

EARLY_GATHER_SECONDS = 1.5
"""The same while the trainer has far to go: it trains only once it has the groups it waits for."""

EARLY_SHARE = 0.5
"""A trainer has far to go with less than this part of the groups that it waits for."""

EARLY_AGE_SECONDS = 4.0
"""So long after the submission its deadline may be near. Chosen: half of a common deadline."""

RETRY_SECONDS = 0.15
"""Pause before results are written again after a failure of the store. Chosen, not measured."""

MAXIMUM_SEGMENT_BYTES = 800_000
"""Bound on the text of a segment; the store takes a megabyte."""


class SupersededError(Exception):
    """A coordinator of a later epoch has written a segment."""


class ResultWriter:
    """Writes one job's results until all are listed; one task a job.

    Args:
        epoch: the term in which this node coordinates.
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
        self._last_written_own = False

    def fence(self) -> None:
        """Read every segment there is and make an empty one after the last.

        A coordinator of an earlier epoch lists nothing after this. Raises SupersededError.
        """
        before = -1
        while self._state.segments != before and not self._state.complete:
            before = self._state.segments
            self._write_segment([], allow_empty=True)
            if self._last_written_own:
                return

    def run(self) -> None:
        """Write until every item is listed. Raises SupersededError."""
        state = self._state
        while not state.complete:
            state.ready.wait()
            if state.unloaded:
                return
            if len(state.results) + len(state.unlisted) < len(state.items):
                # Nothing is gained by gathering once the trainer has all it waits for.
                state.awaited.wait(self._gather_seconds())
            self._write_segment(_within_size(state.unlisted))
            self._on_listed(state)

    def _gather_seconds(self) -> float:
        state = self._state
        old = time.time() - state.job.submitted_at > EARLY_AGE_SECONDS
        early = state.awaited_share < EARLY_SHARE and not old
        return EARLY_GATHER_SECONDS if early else GATHER_SECONDS

    def _write_segment(self, batch: list[ItemResult], allow_empty: bool = False) -> None:
        """Write a batch as the next segment, or take the segment that another node wrote."""
        self._last_written_own = False
        state = self._state
        name = segment_name(state.job.job_id, state.segments)
        content = encode_segment(self._epoch, batch)
        while batch or allow_empty:
            try:
                self._store.create(DocumentKind.JOB_RESULTS, name, content)
            except DocumentConflictError as conflict:
                if self._take_existing(name, conflict):
                    return
            except RunkeelError as error:
                logger.info(
                    "results not stored yet",
                    code="results_delayed",
                    job=state.job.job_id,
                    segment=state.segments,
                    error=str(error.code),
                )
            else:
                self._last_written_own = True
                state.take_segment(batch)
                self._log_listed(batch, own=True)
                return
            gevent.sleep(RETRY_SECONDS)

    def _take_existing(self, name: str, conflict: DocumentConflictError) -> bool:
        document = conflict.current
        try:
            if document is None or document.content is None:
                document = self._store.get(DocumentKind.JOB_RESULTS, name)
        except RunkeelError as error:
            logger.info(
                "results of another term not read yet",
                code="results_delayed",
                job=self._state.job.job_id,
                segment=self._state.segments,
                error=str(error.code),
            )
            return False
        if document is None:
            return False
        epoch, results = decode_segment(document.content)
        self._last_written_own = epoch == self._epoch
        self._state.take_segment(results)
        self._log_listed(results, own=self._last_written_own)
        if epoch > self._epoch:
            raise SupersededError(f"{name} was written in epoch {epoch}")
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


def _within_size(results: list[ItemResult]) -> list[ItemResult]:
    batch: list[ItemResult] = []
    size = 0
    for result in results:
        size += len(result.text)
        if batch and size > MAXIMUM_SEGMENT_BYTES:
            break
        batch.append(result)
    return batch
