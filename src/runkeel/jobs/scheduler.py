"""Decides which engine runs which item of the batch jobs, and sees each item to its end."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol, GenerationRequest
from runkeel.api.fleet import Route
from runkeel.api.jobs import ItemResult, ResultState
from runkeel.gateway.backends import BackendState
from runkeel.gateway.routing import RoutingTable, choose_service
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.generation_run import GenerationRun, PartialText, RunOutcome
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.job_state import JobState
from runkeel.jobs.kept_texts import KeptTexts
from runkeel.jobs.length_estimates import LengthEstimates
from runkeel.jobs.run_mover import RunMover
from runkeel.jobs.scorer import Scorer, ScoringFailedError
from runkeel.metrics import ITEM_RUNS

IDLE_CHECK_SECONDS = 0.25
REQUEUE_SECONDS = 0.05
MAXIMUM_LISTED = 4_000
"""Listed items that are remembered, so that copies of their texts are dropped."""

UNKNOWN_ITEM_SECONDS = 3.0
"""Texts of items that no job names are taken for so long after the start: jobs are loading."""

MISSING_ROUTE_SECONDS = 5.0
"""An item whose route has left the configuration is given up after so long."""

PRESSED_AFTER_SECONDS = 1.0
PRESSED_SECONDS = 20.0
"""A model counts as pressed for so long after an item has waited for an engine."""


class Scheduler:
    """Runs the open items of all jobs on the engines; one task an item that runs.

    Args:
        placement: chooses the engines.
        is_loading: tells whether an engine is loading a version of a model.
    """

    def __init__(
        self,
        placement: EnginePlacement,
        routing: RoutingTable,
        protocol: BackendProtocol,
        scorer: Scorer,
        is_loading: Callable[[str, str], bool],
    ) -> None:
        self._placement = placement
        self._routing = routing
        self._protocol = protocol
        self._scorer = scorer
        self._is_loading = is_loading
        self._queue: list[ItemTask] = []
        self._running: dict[tuple[str, str], ItemTask] = {}
        self._kept = KeptTexts()
        self._lengths = LengthEstimates()
        self._mover = RunMover(placement, self._lengths, self._route)
        self._pressed_at: dict[str, float] = {}
        self._checked_at = 0.0
        self._created_at = time.monotonic()
        self._unlisted: list[ItemTask] = []
        """Finished items whose result is not in the store yet."""
        self._listed: dict[str, None] = {}
        """Items that were listed lately, the latest last."""
        self._wake = Event()
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to place items."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop placing and end every run."""
        if self._loop is not None:
            self._loop.kill(block=False)
        for task in list(self._running.values()):
            if task.task is not None:
                task.task.kill(block=False)
        self._queue.clear()
        self._running.clear()

    def keep_texts(self, texts: dict[str, PartialText]) -> None:
        """Take texts of an earlier coordinator's runs; jobs that are added continue them."""
        for item_id, text in texts.items():
            self._kept.keep(item_id, text)

    def lacks_text(self, item_id: str, precedence: tuple[int, int]) -> bool:
        """Return whether an item may go on from a text of this precedence."""
        if any(task.item.item_id == item_id for task in self._running.values()):
            return False
        task = self._queued(item_id)
        if task is None and time.monotonic() - self._created_at > UNKNOWN_ITEM_SECONDS:
            return False
        known = task.partial if task is not None else self._kept.get(item_id)
        return known is None or known.precedence < precedence

    def adopt_text(self, item_id: str, text: PartialText) -> None:
        """Let an item go on from a text, unless it runs already or its job can't use it."""
        if not self.lacks_text(item_id, text.precedence):
            return
        task = self._queued(item_id)
        if task is None:
            self._kept.keep(item_id, text)
        else:
            self._continue_from(task, text)

    def _queued(self, item_id: str) -> ItemTask | None:
        return next((task for task in self._queue if task.item.item_id == item_id), None)

    def _continue_from(self, task: ItemTask, text: PartialText) -> None:
        task.carried = True
        route = self._route(task)
        if text.fits(task.state.job.minimum_version, bool(route and route.single_version)):
            task.partial = text

    def open_texts(self) -> dict[str, PartialText]:
        """Return the texts of the items that are running, waiting, scored or not listed yet."""
        self._note_listed()
        tasks = [*self._unlisted, *self._running.values(), *self._queue]
        return {task.item.item_id: task.partial for task in tasks if task.partial.pieces}

    def finished(self, item_id: str) -> bool:
        """Return whether an item's result was listed lately, so that its text isn't needed."""
        return item_id in self._listed

    def _note_listed(self) -> None:
        unlisted = []
        for task in self._unlisted:
            if task.state.is_listed(task.item.item_id):
                self._listed[task.item.item_id] = None
            elif not task.state.ended:
                unlisted.append(task)
        self._unlisted = unlisted
        while len(self._listed) > MAXIMUM_LISTED:
            self._listed.pop(next(iter(self._listed)))

    def pressed(self, model: str) -> bool:
        """Return whether items of a model have lately waited long for an engine."""
        return time.monotonic() - self._pressed_at.get(model, -PRESSED_SECONDS) < PRESSED_SECONDS

    def wake(self) -> None:
        """Look again whether an item can be placed."""
        self._wake.set()

    def add(self, state: JobState) -> None:
        """Take the open items of a job."""
        for item in state.open_items():
            self._listed.pop(item.item_id, None)
            task = ItemTask(state, item)
            kept = self._kept.take(item.item_id)
            if kept is not None:
                self._continue_from(task, kept)
            self._queue.append(task)
        self.wake()

    def drop(self, state: JobState) -> None:
        """End the runs of a job and forget its items; their text is kept for a later job."""
        self._queue = [task for task in self._queue if not self._drop_task(task, state)]
        for key in [key for key in self._running if key[0] == state.job.job_id]:
            task = self._running[key]
            self._kept.keep(task.item.item_id, task.partial)
            if task.task is not None:
                task.task.kill(block=False)
            if not task.begun:
                del self._running[key]
                if task.engine is not None:
                    self._placement.release(task.engine)

    def _drop_task(self, task: ItemTask, state: JobState) -> bool:
        if task.state is not state:
            return False
        self._kept.keep(task.item.item_id, task.partial)
        self._release_reserved(task)
        return True

    def _run(self) -> None:
        while True:
            self._wake.wait(IDLE_CHECK_SECONDS)
            self._wake.clear()
            self._place_all()
            self._move_runs()

    def _place_all(self) -> None:
        now = time.monotonic()
        waiting: list[ItemTask] = []
        for task in sorted(self._queue, key=self._order):
            if task.state.ended or task.state.is_listed(task.item.item_id):
                self._release_reserved(task)
                continue
            if self._place(task, now):
                continue
            waiting.append(task)
            task.waiting_since = task.waiting_since or now
            if now - task.waiting_since > PRESSED_AFTER_SECONDS:
                self._pressed_at[task.state.job.model] = now
        self._queue = waiting

    def _order(self, task: ItemTask) -> tuple[int, float, bool, float]:
        """Return the place in the queue: of a job, the items that will run longest come first."""
        route = self._route(task)
        rank = route.rank if route else 9
        length = self._mover.relative_length(task)
        return rank, task.state.job.submitted_at, not task.carried, -length

    def _route(self, task: ItemTask) -> Route | None:
        return self._routing.match(task.state.job.host, task.item.path.partition("?")[0])

    def _place(self, task: ItemTask, now: float) -> bool:
        """Start an item if it can run now; True when it no longer waits."""
        if now < task.not_before:
            return False
        route = self._route(task)
        if route is None:
            return self._without_route(task, now)
        if time.time() > task.state.job.submitted_at + route.maximum_queue_seconds > 0:
            self._finish(task, ResultState.FAILED, detail="waited too long")
            return True
        if task.partial.whole:
            self._start(task, route, None)
            return True
        reserved = self._release_reserved(task)
        if reserved is not None and self._placement.usable(task.state.job, reserved):
            self._start(task, route, reserved)
            return True
        service = choose_service(route, task.item.item_id)
        length = self._mover.relative_length(task)
        engine = self._placement.choose(task.state.job, task.item, service, length)
        if engine is None:
            return False
        self._start(task, route, engine)
        return True

    def _release_reserved(self, task: ItemTask) -> BackendState | None:
        """Give back the slot that is kept for an item; returns its engine."""
        reserved, task.next_engine = task.next_engine, None
        if reserved is not None:
            self._placement.release(reserved)
        return reserved

    def _without_route(self, task: ItemTask, now: float) -> bool:
        """Give an item up once its route has been gone from the configuration for a while."""
        if self._routing.configuration is None:
            return False
        task.route_missing_since = task.route_missing_since or now
        if now - task.route_missing_since < MISSING_ROUTE_SECONDS:
            return False
        self._finish(task, ResultState.FAILED, detail="no route")
        return True

    def _move_runs(self) -> None:
        now = time.monotonic()
        if now - self._checked_at >= IDLE_CHECK_SECONDS:
            self._checked_at = now
            self._mover.move_from_slow_engines(list(self._running.values()))

    def leave_engine(self, backend_id: str) -> None:
        """Let long items go on elsewhere: the engine is about to stand still for a load."""
        self._mover.move_before_load(backend_id, list(self._running.values()))

    def _start(self, task: ItemTask, route: Route, engine: BackendState | None) -> None:
        task.engine = engine
        task.begun = False
        task.waiting_since = 0.0
        if engine is not None:
            self._placement.take(engine)
            self._placement.note_group(task.state.job, task.item, engine)
        self._running[task.key] = task
        task.task = gevent.spawn(self._run_item, task, route)

    def _run_item(self, task: ItemTask, route: Route) -> None:
        task.begun = True
        try:
            if task.engine is not None:
                outcome = self._generate(task, route)
                if outcome is not RunOutcome.COMPLETE:
                    self._after_break(task, route, outcome)
                    return
            self._score(task, route)
        finally:
            if task not in self._queue:
                self._release_reserved(task)
            self._running.pop(task.key, None)
            self.wake()

    def _generate(self, task: ItemTask, route: Route) -> RunOutcome:
        engine = task.engine
        job = task.state.job
        request = GenerationRequest(
            request_id=task.item.item_id,
            path=task.item.path,
            host=job.host,
            headers=task.item.headers,
            body=base64.b64decode(task.item.body),
            urgency=min(9, route.rank),
            resume_after=task.partial.last_event_id,
        )
        run = GenerationRun(
            self._protocol,
            engine,
            request,
            task.partial,
            job.minimum_version,
            route.single_version,
        )
        run.loading = lambda: self._is_loading(engine.backend_id, job.model)
        task.run = run
        started = time.monotonic()
        try:
            outcome = run.run(started + self._seconds_left(task, route))
        finally:
            self._placement.release(engine)
            task.run = None
        self._judge(engine, outcome)
        if outcome is RunOutcome.COMPLETE:
            self._lengths.observe(task.item.guessed_tokens, len(task.partial.pieces))
        ITEM_RUNS.labels(outcome.value).inc()
        logger.info(
            "item run ended",
            code="item_run",
            request=task.item.item_id,
            job=job.job_id,
            backend=engine.backend_id,
            outcome=outcome.value,
            detail=run.detail,
            events=run.events,
            versions=list(task.partial.versions),
            resumed_after=request.resume_after,
            ms=int((time.monotonic() - started) * 1000),
        )
        return outcome

    def _judge(self, engine: BackendState, outcome: RunOutcome) -> None:
        if outcome is RunOutcome.COMPLETE:
            engine.failures = 0
        elif outcome in (RunOutcome.BROKEN, RunOutcome.UNREACHABLE):
            engine.failed()
        elif outcome is RunOutcome.REFUSED:
            engine.refused()

    def _after_break(self, task: ItemTask, route: Route, outcome: RunOutcome) -> None:
        job = task.state.job
        if outcome is RunOutcome.FAILED:
            task.failures += 1
        if outcome is RunOutcome.IMPOSSIBLE or task.failures >= route.maximum_attempts:
            self._finish(task, ResultState.FAILED, detail=outcome.value)
            return
        if outcome is RunOutcome.OLD_VERSION:
            self._placement.versions.pop((task.engine.backend_id, job.model), None)
        if not task.partial.fits(job.minimum_version, route.single_version):
            task.partial.clear()
        if outcome is not RunOutcome.MOVED:
            task.not_before = time.monotonic() + REQUEUE_SECONDS
        task.engine = None
        if not task.state.ended:
            self._queue.append(task)

    def _score(self, task: ItemTask, route: Route) -> None:
        score = ""
        if task.item.scorer is not None:
            deadline = time.monotonic() + self._seconds_left(task, route)
            try:
                score = self._scorer.score(task.item.scorer, deadline)
            except ScoringFailedError as error:
                self._finish(task, ResultState.FAILED, detail=f"scoring: {error}")
                return
        self._finish(task, ResultState.COMPLETED, score)

    def _finish(
        self, task: ItemTask, state: ResultState, score: str = "", detail: str = ""
    ) -> None:
        completed = state is ResultState.COMPLETED
        result = ItemResult(
            task.item.item_id,
            state,
            "\n".join(task.partial.pieces) if completed else "",
            tuple(sorted(task.partial.versions)) if completed else (),
            score,
        )
        if completed:
            self._kept.keep(task.item.item_id, task.partial)
            self._unlisted.append(task)
        if detail:
            logger.info(
                "item given up",
                code="item_failed",
                request=task.item.item_id,
                job=task.state.job.job_id,
                reason=detail,
                failures=task.failures,
            )
        task.state.add_unlisted(result)

    def _seconds_left(self, task: ItemTask, route: Route) -> float:
        if route.maximum_queue_seconds <= 0:
            return route.timeout_seconds
        end = task.state.job.submitted_at + route.maximum_queue_seconds
        return max(0.1, end - time.time())
