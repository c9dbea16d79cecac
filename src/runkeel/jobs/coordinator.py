"""Runs batch jobs on the coordinator: watches the store, schedules items and lists results.

A result is *listed* once it is in a results segment in the store. A job's *end* is a document by
which its submitter says that no more results are needed.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from loguru import logger

from runkeel.api.documents import Document, DocumentKind, DocumentStore
from runkeel.api.jobs import BatchJob, ResultPage
from runkeel.clock import steady_seconds
from runkeel.coordination.rollout_plan import ModelDemand
from runkeel.errors import RunkeelError
from runkeel.jobs.job_copies import CopiedJob
from runkeel.jobs.job_documents import (
    EncodedJob,
    decode_encoded_job,
    decode_job,
    item_count,
    part_names,
)
from runkeel.jobs.job_state import JobState
from runkeel.jobs.job_store import JobStore
from runkeel.jobs.result_writer import ResultWriter, SupersededError
from runkeel.jobs.scheduler import Scheduler
from runkeel.metrics import JOBS
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.state.immutable_documents import get_immutable

LOAD_RETRY_SECONDS = 0.2
"""Pause before a failed read of a job is retried."""

WATCH_GRACE_SECONDS = 0.3
"""How long the watch may take to deliver a reported job before the job is fetched."""

RETENTION_SECONDS = 150.0
"""Age since submission from which an ended job is removed from the store.

Must exceed ``HINT_EXPIRY_SECONDS`` of :mod:`runkeel.handoff.hint_service`, so that no storage node
that keeps a hint of a removed job writes the job to the store again.
"""

SWEEP_INTERVAL_SECONDS = 10.0
"""Interval between two removals of expired jobs."""

MAX_UNLOADED_REMOVALS = 10
"""Maximum number of jobs per sweep that are removed without having been loaded."""

MAX_MEMORY_BYTES = 64 * 1024 * 1024
"""Total size of items and results above which ended jobs are unloaded.

An unloaded job's items and results are dropped from memory; reads go to the store.
"""

INITIAL_LOAD_TIMEOUT_SECONDS = 0.6
"""Longest time that scheduling waits for stored jobs to load at the start of a term."""

PARTIAL_OUTPUT_WAIT_SECONDS = 0.4
"""Time since the start of the term for which scheduling waits for offered partial outputs."""

_POLL_INTERVAL_SECONDS = 0.02

MAX_CONCURRENT_LOADS = 2
"""Bound on the jobs with parts that are read from the store at once, which limits memory."""

MAX_RECENT_JOBS = 6
"""Number of latest jobs of a model from which its demand for engines is estimated."""


@dataclass(frozen=True, slots=True)
class _AcceptedVersions:
    """The oldest version that a job accepts, and the newest version at the time of recording."""

    submitted_at: float
    min_version: int
    newest_version: int


class JobCoordinator:
    """Runs all batch jobs for one term of this node as coordinator.

    Args:
        epoch: number of the term.
        newest_version: returns the newest version of a model, as announced by its trainer.
        on_superseded: called with the reason when a segment of a later term is found.
        partial_outputs_expected: whether another node may offer partial outputs of the previous
            term; scheduling waits for them, up to :data:`PARTIAL_OUTPUT_WAIT_SECONDS`.
        previous_term_drain_seconds: returns the time since the start of this term, in seconds, for
            which other nodes may still run items for the previous coordinator; its argument is the
            number of items of all open jobs.

    Attributes:
        loaded: set once the initial load has finished or timed out; :meth:`demand` is valid from
            then on.
    """

    def __init__(
        self,
        store: DocumentStore,
        scheduler: Scheduler,
        epoch: int,
        newest_version: Callable[[str], int],
        on_superseded: Callable[[str], None],
        partial_outputs_expected: bool = False,
        previous_term_drain_seconds: Callable[[int], float] = lambda items: 0.0,
    ) -> None:
        self._previous_term_drain_seconds = previous_term_drain_seconds
        self.loaded = Event()
        self._partial_outputs_expected = partial_outputs_expected
        self._store = store
        self._job_store = JobStore(store)
        self._epoch = epoch
        self._on_superseded = on_superseded
        self._started_at = steady_seconds()
        """Start of the term; from :meth:`start` on, of the confirmed one."""
        self._resumed_copies = False
        self._previous_term_drained = Event()
        """Set once no other node runs items for the previous coordinator any more."""
        self._newest_version = newest_version
        self._recent_item_counts: dict[str, deque[int]] = {}
        self._latest_job_versions: dict[str, _AcceptedVersions] = {}
        """By model, the versions that the most recently submitted job accepts."""
        self._scheduler = scheduler
        self._jobs: dict[str, JobState] = {}
        self._ended_ids: set[str] = set()
        self._end_seen_at: dict[str, float] = {}
        """Steady time at which this term first saw the end of each job whose end is stored."""
        self._loading: dict[str, int] = {}
        """Number of items of each job that is being loaded."""
        self._first_list_revision: int | None = None
        """Revision of the store as of which this term has listed the jobs; None until then."""
        self._unconfirmed: dict[str, JobState] = {}
        """Running jobs that have not been seen in the store yet."""
        self._tasks: set[gevent.Greenlet] = set()
        self._load_slots = BoundedSemaphore(MAX_CONCURRENT_LOADS)
        self._statistics_slots = BoundedSemaphore(1)
        """Slots of their own for ended jobs, which must not delay the open ones."""
        self._end_watcher = DocumentWatcher(store, DocumentKind.JOB_END, self._end_changed)
        self._job_watcher = DocumentWatcher(store, DocumentKind.JOB, self._job_changed)

    def start(self) -> None:
        """Load the stored jobs, then watch the store. Ends are read before jobs."""
        self._started_at = steady_seconds()
        self._scheduler.begin_loading()
        self._spawn(self._load_and_start)
        self._spawn(self._remove_expired)

    def stop(self) -> None:
        """Stop all tasks and runs; listed results stay in the store."""
        self._end_watcher.stop()
        self._job_watcher.stop()
        for task in list(self._tasks):
            task.kill(block=False)
        self._scheduler.stop()

    def job(self, job_id: str) -> JobState | None:
        """Return a job; None if it is not loaded, or has been unloaded to save memory."""
        state = self._jobs.get(job_id)
        return None if state is None or state.unloaded else state

    def on_accepted(self, job_id: str) -> None:
        """Handle a report that a job is in the store; fetches it if the watch misses it."""
        if job_id not in self._jobs and job_id not in self._ended_ids:
            self._spawn(self._fetch, job_id)

    def add_handed_over(self, job_id: str, encoded: EncodedJob) -> None:
        """Run a job that storage nodes keep; its results are listed once the store has it."""
        if self._is_known(job_id):
            return
        try:
            job = decode_encoded_job(job_id, encoded)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("cannot decode job", code="bad_hint", job=job_id, error=repr(error))
            return
        JOBS.labels("handed_over").inc()
        self._run_unconfirmed(JobState(job, tuple(encoded.parts)))

    def resume_from_copies(self, copies: Iterable[CopiedJob]) -> None:
        """Run copied jobs of the previous coordinator while the store is unavailable.

        Their results are listed once :meth:`start` has found the jobs in the store. Jobs that are
        known already, or have ended, are left out.
        """
        for copy in copies:
            if self._is_known(copy.job.job_id):
                continue
            state = JobState(copy.job, copy.parts)
            state.set_reported_listed(copy.listed)
            self._run_unconfirmed(state)
        self._resumed_copies = True
        self._scheduler.start()

    def _is_known(self, job_id: str) -> bool:
        return job_id in self._jobs or job_id in self._ended_ids or job_id in self._loading

    def _run_unconfirmed(self, state: JobState) -> None:
        job_id = state.job.job_id
        self._jobs[job_id] = self._unconfirmed[job_id] = state
        self._log_loaded(state, ended=False)
        self._record_job_statistics(state.job)
        self._scheduler.add(state)

    def end(self, job_id: str) -> None:
        """Stop running a job whose end is in the store."""
        self._ended_ids.add(job_id)
        state = self._jobs.get(job_id)
        if state is None or state.ended:
            return
        state.end()
        self._scheduler.drop(state)
        self._enforce_memory_limit()
        JOBS.labels("ended").inc()
        logger.info(
            "job ended",
            code="job_ended",
            job=job_id,
            listed=len(state.results),
            total=len(state.items),
            age_ms=int((time.time() - state.job.submitted_at) * 1000),
        )

    def _enforce_memory_limit(self) -> None:
        """Unload ended jobs, oldest first, until the memory limit is met."""
        excess = sum(state.size for state in self._jobs.values()) - MAX_MEMORY_BYTES
        ended = [state for state in self._jobs.values() if state.ended and not state.unloaded]
        for state in sorted(ended, key=lambda one: one.job.submitted_at):
            if excess <= 0:
                return
            excess -= state.size
            state.unload()

    def all(self) -> list[JobState]:
        """Return all known jobs, including unloaded ones."""
        return list(self._jobs.values())

    def demand(self, model: str, newest_version: int) -> ModelDemand:
        """Return which versions of a model the jobs accept, and how much work they have for it."""
        min_versions = [
            state.job.min_version
            for state in self._jobs.values()
            if state.job.model == model and not state.ended and not state.complete
        ]
        latest = self._latest_job_versions.get(model)
        max_version_lag = (
            0 if latest is None else max(0, latest.newest_version - latest.min_version)
        )
        items = max(self._recent_item_counts.get(model, ()), default=None)
        backlogged = self._scheduler.backlogged(model)
        return ModelDemand(max(min_versions, default=0), max_version_lag, items, backlogged)

    def page(
        self, state: JobState, position: int, wait_seconds: float, max_bytes: int
    ) -> ResultPage:
        """Return results from a position on, waiting up to ``wait_seconds`` for the first."""
        if wait_seconds > 0:
            state.wait_for_position(position, wait_seconds)
        if state.listing_known and state.is_beyond_listing(position):
            self._report_short_listing(state, position)
        return state.page(position, max_bytes)

    def _report_short_listing(self, state: JobState, position: int) -> None:
        """Log once per job that a reader expects more results than are listed here."""
        JOBS.labels("short_listing").inc()
        if state.short_listing_reported:
            return
        state.short_listing_reported = True
        logger.warning(
            "read beyond the listed results",
            code="listing_short",
            job=state.job.job_id,
            epoch=self._epoch,
            position=position,
            listed=len(state.results),
            total=len(state.items),
            segments=state.segments,
            ended=state.ended,
        )

    def _spawn(self, function: Callable[..., None], *arguments: object) -> None:
        task = gevent.spawn(function, *arguments)
        self._tasks.add(task)
        task.rawlink(self._tasks.discard)

    def _load_and_start(self) -> None:
        """Read ends, then jobs, then start the scheduler, so that the oldest jobs go first.

        Scheduling waits up to :data:`INITIAL_LOAD_TIMEOUT_SECONDS` until the stored jobs are
        loaded, then for partial outputs if some are expected, and for as long as other nodes may
        still run items for the previous coordinator.
        """
        self._end_watcher.start()
        self._end_watcher.first_list_applied.wait()
        self._job_watcher.start()
        self._job_watcher.first_list_applied.wait()
        self._first_list_revision = self._job_watcher.revision
        deadline = steady_seconds() + INITIAL_LOAD_TIMEOUT_SECONDS
        while self._loading and steady_seconds() < deadline:
            gevent.sleep(_POLL_INTERVAL_SECONDS)
        self.loaded.set()
        if self._partial_outputs_expected and self._jobs:
            gevent.sleep(
                max(0.0, self._started_at + PARTIAL_OUTPUT_WAIT_SECONDS - steady_seconds())
            )
        drained_at = self._started_at + self._previous_term_drain_seconds(self._count_open_items())
        gevent.sleep(max(0.0, drained_at - steady_seconds()))
        self._previous_term_drained.set()
        self._scheduler.start()

    def _count_open_items(self) -> int:
        """Return the number of items of all open jobs, including those that are still loading."""
        loaded = sum(len(state.items) for state in self._jobs.values() if not state.ended)
        return loaded + sum(self._loading.values())

    def _end_changed(self, document: Document, removed: bool) -> None:
        if removed:
            self._end_seen_at.pop(document.name, None)
            return
        self._end_seen_at.setdefault(document.name, steady_seconds())
        self.end(document.name)

    def _job_changed(self, document: Document, removed: bool) -> None:
        if removed:
            self._jobs.pop(document.name, None)
            self._unconfirmed.pop(document.name, None)
            return
        self._load_once(document)
        if document.name in self._ended_ids and document.name not in self._jobs:
            self._record_ended_job_statistics(document)
        # The job's state holds the content; drop the watcher's copy of it.
        self._job_watcher.documents[document.name] = Document(
            document.kind, document.name, document.revision, None
        )

    def _record_ended_job_statistics(self, document: Document) -> None:
        """Record the accepted versions and item count of a job that ended before this term."""
        if part_names(document.content):
            self._spawn(self._read_and_record_statistics, document)
        else:
            self._record_job_statistics(decode_job(document.name, document.content))

    def _read_and_record_statistics(self, document: Document) -> None:
        job = self._read(document, self._statistics_slots)
        if job is not None:
            self._record_job_statistics(job)

    def _read(self, document: Document, slots: BoundedSemaphore) -> BatchJob | None:
        """Return the job of a document; None if it has been removed.

        Args:
            slots: limits the jobs whose parts are read at once.
        """
        while True:
            try:
                if not part_names(document.content):
                    return self._job_store.read(document)
                with slots:
                    return self._job_store.read(document)
            except RunkeelError as error:
                logger.info(
                    "job read failed; retrying",
                    code="job_delayed",
                    job=document.name,
                    error=error.detail,
                )
                gevent.sleep(LOAD_RETRY_SECONDS)

    def _fetch(self, job_id: str) -> None:
        gevent.sleep(WATCH_GRACE_SECONDS)
        while job_id not in self._job_watcher.documents and job_id not in self._loading:
            try:
                document = get_immutable(self._store, DocumentKind.JOB, job_id)
            except RunkeelError as error:
                logger.info(
                    "job read failed; retrying",
                    code="job_delayed",
                    job=job_id,
                    error=error.detail,
                )
                gevent.sleep(LOAD_RETRY_SECONDS)
                continue
            if document is not None:
                logger.info("fetched job missed by the watch", code="job_fetched", job=job_id)
                self._job_watcher.refresh("watch missed a job")
                self._load_once(document)
            return

    def _load_once(self, document: Document) -> None:
        """Load a job unless it is loaded, being loaded or ended; confirm it if it runs already.

        A job that ended before it was loaded is not loaded: reads of it are served from the store.
        """
        name = document.name
        unconfirmed = self._unconfirmed.pop(name, None)
        if unconfirmed is not None:
            self._spawn(self._confirm_stored, unconfirmed, part_names(document.content))
            return
        if self._is_known(name):
            return
        self._loading[name] = item_count(document.content)
        self._spawn(self._load, document)

    def _confirm_stored(self, state: JobState, parts: tuple[str, ...]) -> None:
        """Read the listed results of a running job found in the store, then list the others."""
        state.parts = parts
        logger.info("running job found in store", code="job_confirmed", job=state.job.job_id)
        writer = self._writer(state)
        fenced = self._run_unless_superseded(writer.fence)
        self._scheduler.add_items(state, state.clear_reported_listed())
        if fenced:
            self._list_results(state, writer)

    def _load(self, document: Document) -> None:
        """Load a job and run its unlisted items.

        Another coordinator may have listed results of any job, so its segments are always read, and
        coordinators of earlier terms are stopped from listing more. The items of a job that may
        have run in an earlier term start after that, those of a new job at once.
        """
        job = self._read(document, self._load_slots)
        if job is None:
            self._loading.pop(document.name, None)
            return
        state = JobState(job, part_names(document.content))
        writer = self._writer(state)
        if self._is_from_earlier_term(document) and not self._run_unless_superseded(writer.fence):
            return
        self._jobs[document.name] = state
        self._loading.pop(document.name, None)
        JOBS.labels("loaded").inc()
        ended = document.name in self._ended_ids
        self._log_loaded(state, ended)
        self._record_job_statistics(state.job)
        if ended:
            state.end()
        self._schedule(state, document)
        self._list_results(state, writer)

    def _schedule(self, state: JobState, document: Document) -> None:
        """Add a loaded job to the scheduler, unless it has ended or is complete."""
        if self._resumed_copies and self._is_from_earlier_term(document):
            # The scheduler runs the copied jobs already.
            self._previous_term_drained.wait()
        if not state.ended and not state.complete:
            self._scheduler.add(state)

    def _is_from_earlier_term(self, document: Document) -> bool:
        """Return whether a job may have been stored before this term listed the stored jobs."""
        listed_at = self._first_list_revision
        return listed_at is None or document.revision <= listed_at

    def _writer(self, state: JobState) -> ResultWriter:
        return ResultWriter(self._store, state, self._epoch, self._on_listed)

    def _list_results(self, state: JobState, writer: ResultWriter) -> None:
        """Write a job's results to the store until all are listed or this node is superseded."""
        if not state.fenced and not self._run_unless_superseded(writer.fence):
            return
        if not state.complete:
            self._run_unless_superseded(writer.run)

    def _log_loaded(self, state: JobState, ended: bool) -> None:
        job = state.job
        logger.info(
            "job loaded",
            code="job_loaded",
            job=job.job_id,
            items=len(state.items),
            listed=len(state.results),
            ended=ended,
            model=job.model,
            minimum_version=job.min_version,
            step=job.step,
            confirmed=job.job_id not in self._unconfirmed,
            age_ms=int((time.time() - job.submitted_at) * 1000),
        )

    def _record_job_statistics(self, job: BatchJob) -> None:
        """Record a job's accepted versions and item count, which :meth:`demand` is based on."""
        self._record_item_count(job)
        known = self._latest_job_versions.get(job.model)
        if known is not None and known.submitted_at >= job.submitted_at:
            return
        newest = self._newest_version(job.model)
        if newest:
            self._latest_job_versions[job.model] = _AcceptedVersions(
                job.submitted_at, job.min_version, newest
            )

    def _record_item_count(self, job: BatchJob) -> None:
        """Record how many items of the model were open when a job arrived."""
        others = sum(
            len(state.items) - len(state.results)
            for state in self._jobs.values()
            if state.job.model == job.model and state.job.job_id != job.job_id and not state.ended
        )
        recent = self._recent_item_counts.setdefault(job.model, deque(maxlen=MAX_RECENT_JOBS))
        recent.append(len(job.items) + others)

    def _run_unless_superseded(self, write: Callable[[], None]) -> bool:
        """Call a writer's method; returns False if another coordinator has taken over."""
        try:
            write()
        except SupersededError as error:
            logger.warning(
                "superseded by a later coordinator",
                code="superseded",
                epoch=self._epoch,
                detail=str(error),
            )
            self._on_superseded(str(error))
            return False
        return True

    def _on_listed(self, state: JobState) -> None:
        if state.complete:
            JOBS.labels("complete").inc()
            self._scheduler.wake()

    def _remove_expired(self) -> None:
        """Periodically remove ended jobs that are past their retention period."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_SECONDS)
            self._remove_expired_loaded()
            self._remove_expired_unloaded()

    def _remove_expired_loaded(self) -> None:
        now = time.time()
        for job_id, state in list(self._jobs.items()):
            old = now - state.job.submitted_at > RETENTION_SECONDS
            if old and state.ended:
                self._remove(job_id, state)
            elif old and job_id in self._unconfirmed and self._first_list_revision is not None:
                # Its hints on storage nodes have expired, so that none of them can store it.
                logger.warning("job lost: it was never stored", code="job_lost", job=job_id)
                self.end(job_id)
                self._unconfirmed.pop(job_id)
                self._jobs.pop(job_id)

    def _remove_expired_unloaded(self) -> None:
        """Remove ended jobs that are not loaded.

        They ended before this term, or their removal was interrupted. Their retention period starts
        when this term first sees their end.
        """
        latest = steady_seconds() - RETENTION_SECONDS
        expired = [
            job_id
            for job_id, seen_at in self._end_seen_at.items()
            if seen_at < latest and job_id not in self._jobs and job_id not in self._loading
        ]
        for job_id in expired[:MAX_UNLOADED_REMOVALS]:
            try:
                self._job_store.remove_by_id(job_id)
            except RunkeelError as error:
                self._log_removal_failed(job_id, error)
                # Moved to the end, so that the next sweep tries the other jobs first.
                self._end_seen_at[job_id] = self._end_seen_at.pop(job_id)
                return
            self._forget_removed(job_id)

    def _remove(self, job_id: str, state: JobState) -> None:
        try:
            self._job_store.remove(job_id, state.parts, state.segments)
        except RunkeelError as error:
            self._log_removal_failed(job_id, error)
            return
        self._jobs.pop(job_id, None)
        self._forget_removed(job_id)

    def _forget_removed(self, job_id: str) -> None:
        self._ended_ids.discard(job_id)
        self._end_seen_at.pop(job_id, None)
        logger.info("job removed", code="job_removed", job=job_id)

    def _log_removal_failed(self, job_id: str, error: RunkeelError) -> None:
        logger.info("job removal failed", code="job_kept", job=job_id, error=str(error.code))
