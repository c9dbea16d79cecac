"""The coordinator's batch jobs: follows the store's jobs and ends, runs items, lists results."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from gevent.event import Event
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
    parts_of_job,
)
from runkeel.jobs.job_state import JobState
from runkeel.jobs.job_store import JobStore
from runkeel.jobs.result_writer import ResultWriter, SupersededError
from runkeel.jobs.scheduler import Scheduler
from runkeel.metrics import JOBS
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.state.unchanging import get_unchanging

LOAD_RETRY_SECONDS = 0.2
"""Pause before jobs are read again after a failure of the store. Chosen, not measured."""

WATCH_GRACE_SECONDS = 0.3
"""The watch has so long to bring a job that a node has told of."""

RETENTION_SECONDS = 150.0
"""Jobs are removed from the store so long after their submission, once they have ended."""

SWEEP_SECONDS = 10.0
"""Ended jobs are looked for so often. Chosen: short beside the time for which they are kept."""

MAXIMUM_BYTES = 64 * 1024 * 1024
"""Items and results that are kept in memory; of what is beyond that, those of ended jobs go."""

TERM_SETTLE_SECONDS = 3.0
"""Jobs that come later in a term have been run by nobody else."""

FIRST_LOAD_SECONDS = 0.6
"""At the start of a term no item is placed for so long, until all jobs are loaded."""

TEXTS_SECONDS = 0.4
"""Texts that another node offers are waited for so long, from the start of the term."""

_POLL_SECONDS = 0.02

RECENT_JOBS = 6
"""Jobs of a model by which the engines that it needs are counted."""


@dataclass(frozen=True, slots=True)
class _Acceptance:
    """What a job accepted when it came, and the newest version by then."""

    submitted_at: float
    minimum_version: int
    newest_version: int


class JobCoordinator:
    """Drives all batch jobs while this node coordinates; made anew for each term.

    Args:
        newest_version: newest version of a model, as named by its trainer.
        on_superseded: called with the reason when another coordinator's work is seen.
        texts_expected: a node may offer texts of the coordinator before; items wait for a moment.
        earlier_runs_seconds: so long other nodes may still run items for the coordinator before,
            by the number of items of all open jobs.

    Attributes:
        loaded: set once the jobs that stood in the store are known, so that :meth:`demand` is.
    """

    def __init__(
        self,
        store: DocumentStore,
        scheduler: Scheduler,
        epoch: int,
        newest_version: Callable[[str], int],
        on_superseded: Callable[[str], None],
        texts_expected: bool = False,
        earlier_runs_seconds: Callable[[int], float] = lambda items: 0.0,
    ) -> None:
        self._earlier_runs_seconds = earlier_runs_seconds
        self.loaded = Event()
        self._texts_expected = texts_expected
        self._store = store
        self._job_store = JobStore(store)
        self._epoch = epoch
        self._on_superseded = on_superseded
        self._started_at = steady_seconds()
        self._newest_version = newest_version
        self._recent_items: dict[str, deque[int]] = {}
        self._latest_minimum: dict[str, _Acceptance] = {}
        self._scheduler = scheduler
        self._jobs: dict[str, JobState] = {}
        self._ended: set[str] = set()
        self._loading: set[str] = set()
        self._unconfirmed: dict[str, JobState] = {}
        """Jobs that run already, and of which the store has not told yet."""
        self._tasks: set[gevent.Greenlet] = set()
        self._ends = DocumentWatcher(store, DocumentKind.JOB_END, self._end_changed)
        self._submissions = DocumentWatcher(store, DocumentKind.JOB, self._job_changed)

    def start(self) -> None:
        """Load what the store holds and follow it. Ends are read before jobs."""
        self._spawn(self._begin)
        self._spawn(self._sweep)

    def stop(self) -> None:
        """End every run; what is listed stays."""
        self._ends.stop()
        self._submissions.stop()
        for task in list(self._tasks):
            task.kill(block=False)
        self._scheduler.stop()

    def job(self, job_id: str) -> JobState | None:
        """Return a job that is fully loaded, and still in memory."""
        state = self._jobs.get(job_id)
        return None if state is None or state.unloaded else state

    def accepted(self, job_id: str) -> None:
        """Take note that a job stands in the store; it is fetched if the watch doesn't bring it."""
        if job_id not in self._jobs and job_id not in self._ended:
            self._spawn(self._fetch, job_id)

    def handed_over(self, job_id: str, encoded: EncodedJob) -> None:
        """Run a job that is accepted and not in the store yet; it is listed once it is there."""
        if job_id in self._jobs or job_id in self._ended or job_id in self._loading:
            return
        try:
            job = decode_encoded_job(job_id, encoded)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("job not understood", code="bad_hint", job=job_id, error=repr(error))
            return
        JOBS.labels("handed_over").inc()
        self._run_unconfirmed(JobState(job, tuple(encoded.parts)))

    def begin_tentatively(self, copies: Iterable[CopiedJob]) -> None:
        """Run the open jobs of the coordinator before, while the store can't be asked for them.

        They are listed once :meth:`start` has found them in the store.
        """
        for copy in copies:
            state = JobState(copy.job, copy.parts)
            state.note_said_listed(copy.listed)
            self._run_unconfirmed(state)
        self._scheduler.start()

    def _run_unconfirmed(self, state: JobState) -> None:
        job_id = state.job.job_id
        state.listing_known = False
        self._jobs[job_id] = self._unconfirmed[job_id] = state
        self._log_loaded(state, ended=False)
        self._note_acceptance(state.job)
        self._scheduler.add(state)

    def end(self, job_id: str) -> None:
        """Take note that a job has been ended; its end stands in the store."""
        self._ended.add(job_id)
        state = self._jobs.get(job_id)
        if state is None or state.ended:
            return
        state.end()
        self._scheduler.drop(state)
        self._unload_oldest()
        JOBS.labels("ended").inc()
        logger.info(
            "job ended",
            code="job_ended",
            job=job_id,
            listed=len(state.results),
            total=len(state.items),
            age_ms=int((time.time() - state.job.submitted_at) * 1000),
        )

    def _unload_oldest(self) -> None:
        """Drop what is known of ended jobs, the oldest first, while too much is kept."""
        excess = sum(state.size for state in self._jobs.values()) - MAXIMUM_BYTES
        ended = [state for state in self._jobs.values() if state.ended and not state.unloaded]
        for state in sorted(ended, key=lambda one: one.job.submitted_at):
            if excess <= 0:
                return
            excess -= state.size
            state.unload()

    def all(self) -> list[JobState]:
        """Return the jobs that are loaded."""
        return list(self._jobs.values())

    def demand(self, model: str, newest_version: int) -> ModelDemand:
        """Return what the jobs accept of a model whose newest version is given."""
        open_jobs = [
            state.job.minimum_version
            for state in self._jobs.values()
            if state.job.model == model and not state.ended and not state.complete
        ]
        latest = self._latest_minimum.get(model)
        slack = 0 if latest is None else max(0, latest.newest_version - latest.minimum_version)
        items = max(self._recent_items.get(model, ()), default=None)
        pressed = self._scheduler.pressed(model)
        return ModelDemand(max(open_jobs, default=0), slack, items, pressed)

    def page(self, state: JobState, position: int, wait: float, maximum_bytes: int) -> ResultPage:
        """Return results of a job, waiting for one at the position."""
        if wait > 0:
            state.wait_beyond(position, wait)
        return state.page(position, maximum_bytes)

    def _spawn(self, function: Callable[..., None], *arguments: object) -> None:
        task = gevent.spawn(function, *arguments)
        self._tasks.add(task)
        task.rawlink(self._tasks.discard)

    def _begin(self) -> None:
        """Read ends and jobs, then place items: those of the oldest jobs come first."""
        self._ends.start()
        self._ends.listed.wait()
        self._submissions.start()
        self._submissions.listed.wait()
        deadline = steady_seconds() + FIRST_LOAD_SECONDS
        while self._loading and steady_seconds() < deadline:
            gevent.sleep(_POLL_SECONDS)
        self.loaded.set()
        if self._texts_expected and self._jobs:
            gevent.sleep(max(0.0, self._started_at + TEXTS_SECONDS - steady_seconds()))
        items = sum(len(state.items) for state in self._jobs.values() if not state.ended)
        over_at = self._started_at + self._earlier_runs_seconds(items)
        gevent.sleep(max(0.0, over_at - steady_seconds()))
        self._scheduler.start()

    def _end_changed(self, document: Document, removed: bool) -> None:
        if not removed:
            self.end(document.name)

    def _job_changed(self, document: Document, removed: bool) -> None:
        if removed:
            self._jobs.pop(document.name, None)
            self._unconfirmed.pop(document.name, None)
            return
        # Who asks for a job that had ended before this term is answered from the store.
        self._load_once(document)
        if document.name in self._ended and document.name not in self._jobs:
            self._note_ended(document)
        # The body is kept in the job's state; the watcher's copy would hold it twice.
        self._submissions.documents[document.name] = Document(
            document.kind, document.name, document.revision, None
        )

    def _note_ended(self, document: Document) -> None:
        """Learn from a job that had ended before this term what its model's jobs accept."""
        if parts_of_job(document.content):
            self._spawn(self._read_ended, document)
        else:
            self._note_acceptance(decode_job(document.name, document.content))

    def _read_ended(self, document: Document) -> None:
        job = self._read(document)
        if job is not None:
            self._note_acceptance(job)

    def _read(self, document: Document) -> BatchJob | None:
        """Return the job of a document, with its parts; None when it is gone."""
        while True:
            try:
                return self._job_store.read(document)
            except RunkeelError as error:
                logger.info(
                    "job not read yet", code="job_delayed", job=document.name, error=error.detail
                )
                gevent.sleep(LOAD_RETRY_SECONDS)

    def _fetch(self, job_id: str) -> None:
        gevent.sleep(WATCH_GRACE_SECONDS)
        while job_id not in self._submissions.documents and job_id not in self._loading:
            try:
                document = get_unchanging(self._store, DocumentKind.JOB, job_id)
            except RunkeelError as error:
                logger.info("job not read yet", code="job_delayed", job=job_id, error=error.detail)
                gevent.sleep(LOAD_RETRY_SECONDS)
                continue
            if document is not None:
                logger.info("job fetched", code="job_fetched", job=job_id)
                self._submissions.refresh("a job was not told")
                self._load_once(document)
            return

    def _load_once(self, document: Document) -> None:
        """Load a job unless it is loaded or being loaded."""
        name = document.name
        unconfirmed = self._unconfirmed.pop(name, None)
        if unconfirmed is not None:
            self._spawn(self._confirm, unconfirmed, parts_of_job(document.content))
            return
        if name in self._jobs or name in self._ended or name in self._loading:
            return
        self._loading.add(name)
        self._spawn(self._load, document)

    def _confirm(self, state: JobState, parts: tuple[str, ...]) -> None:
        """Read what others have listed of a job that runs already, then list the rest."""
        state.parts = parts
        writer = ResultWriter(self._store, state, self._epoch, self._listed)
        logger.info("job in the store", code="job_confirmed", job=state.job.job_id)
        fenced = self._write(writer.fence)
        state.listing_known = fenced
        self._scheduler.add_items(state, state.drop_said_listed())
        if fenced and not state.complete:
            self._write(writer.run)

    def _load(self, document: Document) -> None:
        """Read what is already listed, then run the rest."""
        job = self._read(document)
        if job is None:
            self._loading.discard(document.name)
            return
        state = JobState(job, parts_of_job(document.content))
        writer = ResultWriter(self._store, state, self._epoch, self._listed)
        if not self._submitted_in_this_term() and not self._write(writer.fence):
            return
        self._jobs[document.name] = state
        self._loading.discard(document.name)
        JOBS.labels("loaded").inc()
        ended = document.name in self._ended
        self._log_loaded(state, ended)
        self._note_acceptance(state.job)
        if ended:
            state.end()
        elif not state.complete:
            self._scheduler.add(state)
        if not state.complete:
            self._spawn(self._write, writer.run)

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
            minimum_version=job.minimum_version,
            step=job.step,
            confirmed=job.job_id not in self._unconfirmed,
            age_ms=int((time.time() - job.submitted_at) * 1000),
        )

    def _note_acceptance(self, job: BatchJob) -> None:
        self._note_items(job)
        known = self._latest_minimum.get(job.model)
        if known is not None and known.submitted_at >= job.submitted_at:
            return
        newest = self._newest_version(job.model)
        if newest:
            self._latest_minimum[job.model] = _Acceptance(
                job.submitted_at, job.minimum_version, newest
            )

    def _note_items(self, job: BatchJob) -> None:
        """Keep how many items of the model were open when a job came, for the latest jobs."""
        others = sum(
            len(state.items) - len(state.results)
            for state in self._jobs.values()
            if state.job.model == job.model and state.job.job_id != job.job_id and not state.ended
        )
        recent = self._recent_items.setdefault(job.model, deque(maxlen=RECENT_JOBS))
        recent.append(len(job.items) + others)

    def _submitted_in_this_term(self) -> bool:
        """Return whether a job that comes now can't have been run by another coordinator."""
        return steady_seconds() - self._started_at > TERM_SETTLE_SECONDS

    def _write(self, write: Callable[[], None]) -> bool:
        """Run a part of a writer; False when another coordinator has taken over."""
        try:
            write()
        except SupersededError as error:
            logger.warning("superseded", code="superseded", epoch=self._epoch, detail=str(error))
            self._on_superseded(str(error))
            return False
        return True

    def _listed(self, state: JobState) -> None:
        if state.complete:
            JOBS.labels("complete").inc()
            self._scheduler.wake()

    def _sweep(self) -> None:
        """Remove from the store what nobody may ask for any more."""
        while True:
            gevent.sleep(SWEEP_SECONDS)
            now = time.time()
            for job_id, state in list(self._jobs.items()):
                old = now - state.job.submitted_at > RETENTION_SECONDS
                if old and state.ended:
                    self._remove(job_id, state)
                elif old and job_id in self._unconfirmed:
                    # Whoever kept it for the store has lost it, too.
                    logger.warning("job never stored", code="job_lost", job=job_id)
                    self.end(job_id)
                    self._unconfirmed.pop(job_id)
                    self._jobs.pop(job_id)

    def _remove(self, job_id: str, state: JobState) -> None:
        try:
            self._job_store.remove(job_id, state.parts, state.segments)
        except RunkeelError as error:
            logger.info("job not removed", code="job_kept", job=job_id, error=str(error.code))
            return
        self._jobs.pop(job_id, None)
        self._ended.discard(job_id)
        logger.info("job removed", code="job_removed", job=job_id)
