"""Decides which engine runs which item of the batch jobs, and sees each item to its end."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol
from runkeel.api.fleet import Route, RoutingConfiguration
from runkeel.api.jobs import ItemResult, JobItem, ResultState
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendState
from runkeel.gateway.routing import RoutingTable, choose_service
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.expiry import expires_at
from runkeel.jobs.finished_items import FinishedItems
from runkeel.jobs.generation_run import PartialText, RunOutcome
from runkeel.jobs.item_queue import ItemQueue, Lane
from runkeel.jobs.item_runner import ItemRunner, given_up
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.job_state import JobState
from runkeel.jobs.kept_texts import KeptTexts
from runkeel.jobs.length_estimates import LengthEstimates
from runkeel.jobs.run_mover import RunMover
from runkeel.jobs.running_items import RunningItems
from runkeel.jobs.scorer import Scorer
from runkeel.quarantine.quarantine import Quarantine
from runkeel.runners.pool import RunnerPool

IDLE_CHECK_SECONDS = 0.25
"""Work is looked for at least so often, also when nothing wakes the loop. Chosen, not measured."""

REQUEUE_SECONDS = 0.05
"""An item whose run broke rests so long, so that it doesn't spin between engines that refuse."""

STARTS_PER_TURN = 64
"""So many items are started before other tasks have their turn: runs that are read, pings.

A start costs about 0.3 ms of a core, so that a turn stays under 20 ms.
"""

UNKNOWN_ITEM_SECONDS = 3.0
"""Texts of items that no job names are taken for so long after the start: jobs are loading."""

MISSING_ROUTE_SECONDS = 5.0
"""An item whose route has left the configuration is given up after so long."""

PRESSED_AFTER_SECONDS = 1.0
"""A model whose items wait for longer gets more engines. Chosen: about one load of a version."""

LEAST_EVENTS_AHEAD = 8
"""A run that began its item anew is ended for a text that is so many events ahead of it.

Going on elsewhere costs some hundredths of a second, as much as two events; chosen well above.
"""

PRESSED_SECONDS = 20.0
"""A model counts as pressed for so long after an item has waited for an engine."""


class Scheduler:
    """Runs the open items of all jobs on the engines; one task an item that runs.

    Args:
        placement: chooses the engines.
        is_loading: tells whether an engine is loading a version of a model.
        quarantine: keeps items that crash engines away from further ones.
        runners: other nodes that run items; None: this one runs all.
    """

    def __init__(
        self,
        placement: EnginePlacement,
        routing: RoutingTable,
        protocol: BackendProtocol,
        scorer: Scorer,
        is_loading: Callable[[str, str], bool],
        quarantine: Quarantine,
        runners: RunnerPool | None = None,
    ) -> None:
        self._placement = placement
        self._routing = routing
        self._runner = ItemRunner(protocol, scorer, routing, is_loading, quarantine, runners)
        self._running = RunningItems()
        self._kept = KeptTexts()
        self._finished = FinishedItems()
        self._lengths = LengthEstimates()
        self._mover = RunMover(placement, self._lengths, self._route)
        self._queue = ItemQueue(self._route, self._mover.relative_length, self._rank)
        self._arranged_for: RoutingConfiguration | None = None
        """The configuration by which the queue is arranged."""
        self._pressed_at: dict[str, float] = {}
        self._checked_at = 0.0
        self._created_at = steady_seconds()
        self._wake = Event()
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to place items; does nothing when it has been started."""
        if self._loop is not None:
            return
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop placing and end every run."""
        if self._loop is not None:
            self._loop.kill(block=False)
        for task in self._running:
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
        running = self._running.of_item(item_id)
        if running is not None:
            return _is_worth_going_back_to(running, precedence)
        task = self._queue.of_item(item_id)
        if task is None and steady_seconds() - self._created_at > UNKNOWN_ITEM_SECONDS:
            return False
        known = task.partial if task is not None else self._kept.get(item_id)
        return known is None or known.precedence < precedence

    def adopt_text(self, item_id: str, text: PartialText) -> None:
        """Let an item go on from a text, unless it is nearly as far or its job can't use it."""
        if not self.lacks_text(item_id, text.precedence):
            return
        running = self._running.of_item(item_id)
        if running is not None:
            self._go_back_to(running, text)
            return
        task = self._queue.of_item(item_id)
        if task is None:
            self._kept.keep(item_id, text)
            return
        self._continue_from(task, text)
        self._queue.put(task)

    def _go_back_to(self, task: ItemTask, text: PartialText) -> None:
        """End a run that began the item anew, so that it goes on from a text that came later."""
        if not self._fits(task, text):
            return
        logger.info(
            "item goes on from a text that came late",
            code="item_text_late",
            request=task.item.item_id,
            job=task.state.job.job_id,
            events=len(task.partial.pieces),
            text=len(text.pieces),
        )
        task.better_text = text
        task.run.move_away()

    def _fits(self, task: ItemTask, text: PartialText) -> bool:
        route = self._route(task)
        return text.fits(task.state.job.minimum_version, bool(route and route.single_version))

    def _continue_from(self, task: ItemTask, text: PartialText) -> None:
        task.carried = True
        if self._fits(task, text):
            task.partial = text

    def open_texts(self) -> dict[str, PartialText]:
        """Return the texts of the items that are running, waiting, scored or not listed yet."""
        tasks = [*self._finished.unlisted(), *self._running, *self._queue.tasks()]
        return {task.item.item_id: task.partial for task in tasks if task.partial.pieces}

    def finished(self, item_id: str) -> bool:
        """Return whether an item's result was listed lately, so that its text isn't needed."""
        return self._finished.is_listed(item_id)

    def pressed(self, model: str) -> bool:
        """Return whether items of a model have lately waited long for an engine."""
        return steady_seconds() - self._pressed_at.get(model, -PRESSED_SECONDS) < PRESSED_SECONDS

    def wake(self) -> None:
        """Look again whether an item can be placed."""
        self._wake.set()

    def add(self, state: JobState) -> None:
        """Take the open items of a job."""
        self.add_items(state, state.open_items())

    def add_items(self, state: JobState, items: Iterable[JobItem]) -> None:
        """Take some items of a job that neither wait nor run."""
        for item in items:
            self._finished.open_again(item.item_id)
            task = ItemTask(state, item)
            kept = self._kept.take(item.item_id)
            if kept is not None:
                self._continue_from(task, kept)
            self._queue.put(task)
        self.wake()

    def drop(self, state: JobState) -> None:
        """End the runs of a job and forget its items; their text is kept for a later job."""
        job_id = state.job.job_id
        for task in self._queue.of_job(job_id):
            self._kept.keep(task.item.item_id, task.partial)
            self._withdraw(task)
        for task in self._running.of_job(job_id):
            self._kept.keep(task.item.item_id, task.partial)
            if task.task is not None:
                task.task.kill(block=False)
            if not task.begun:
                self._running.remove(task)
                if task.engine is not None:
                    self._placement.release(task.engine)

    def leave_engine(self, incarnation: str) -> None:
        """Let long items go on elsewhere: the engine is about to stand still for a load."""
        self._mover.move_before_load(self._running.at_engine(incarnation))

    def _run(self) -> None:
        while True:
            self._wake.wait(self._idle_seconds())
            self._wake.clear()
            self._place_all()
            self._move_runs()

    def _idle_seconds(self) -> float:
        rested_at = self._queue.next_rested_at()
        if rested_at is None:
            return IDLE_CHECK_SECONDS
        return min(IDLE_CHECK_SECONDS, max(0.0, rested_at - steady_seconds()))

    def _place_all(self) -> None:
        """Start every item that can run now; see :class:`ItemQueue` for what is looked at."""
        now = steady_seconds()
        configuration = self._routing.configuration
        if configuration is not self._arranged_for:
            self._arranged_for = configuration
            self._queue.arrange_anew()
        self._queue.wake_rested(now)
        self._runner.note_open(len(self._queue) + len(self._running))
        for task in self._queue.ready():
            self._place_ready(task)
        starts = 0
        for lane in self._queue.lanes():
            starts = self._place_lane(lane, now, starts)

    def _place_ready(self, task: ItemTask) -> None:
        """Start an item that has a slot kept for it, or whose text is whole."""
        route = self._route(task)
        if self._is_over(task):
            self._withdraw(task)
        elif route is not None and time.time() > expires_at(task.state.job, route):
            self._give_up(task, "waited too long")
        elif route is not None and task.partial.whole:
            self._release_reserved(task)
            self._start(task, route, None)
        else:
            reserved = self._release_reserved(task)
            if route is None or reserved is None or self._is_held(task, reserved.backend.service):
                self._queue.put(task)
            elif self._placement.usable(task.state.job, reserved):
                self._start(task, route, reserved)
            else:
                self._queue.put(task)

    def _place_lane(self, lane: Lane, now: float, starts: int) -> int:
        """Start items of a lane until one finds no engine; returns the starts of this turn."""
        while (task := self._queue.first(lane)) is not None:
            if self._is_over(task):
                self._withdraw(task)
                continue
            route = self._route(task)
            if route is None:
                self._give_up_without_route(lane, now)
                return starts
            if time.time() > expires_at(task.state.job, route):
                self._give_up(task, "waited too long")
                continue
            if self._runner.goes_on(task.item.item_id):
                # Of an ended job that had the item, too; its end is not confirmed yet.
                task.not_before = now + REQUEUE_SECONDS
                self._queue.put(task)
                continue
            if not self._runner.has_room:
                # Better left in the queue than begun and not read in time.
                return starts
            length = self._mover.relative_length(task)
            service = choose_service(route, task.item.item_id)
            engine = self._placement.choose(task.state.job, task.item, service, length)
            if engine is None:
                self._note_waiting(lane, task.state.job.model, now)
                return starts
            if self._is_held(task, service):
                self._queue.put(task)
                continue
            self._start(task, route, engine)
            starts += 1
            if starts % STARTS_PER_TURN == 0:
                gevent.sleep(0)
        return starts

    def _is_held(self, task: ItemTask, service: str) -> bool:
        """Return whether an item has to rest since engines ended under it; notes how long."""
        wait = self._runner.seconds_held(task, service)
        if wait:
            task.not_before = steady_seconds() + wait
        return bool(wait)

    def _note_waiting(self, lane: Lane, model: str, now: float) -> None:
        lane.waiting_since = lane.waiting_since or now
        if now - lane.waiting_since > PRESSED_AFTER_SECONDS:
            self._pressed_at[model] = now

    def _is_over(self, task: ItemTask) -> bool:
        return task.state.ended or task.state.is_listed(task.item.item_id)

    def _withdraw(self, task: ItemTask) -> None:
        """Let an item wait no more."""
        self._queue.remove(task)
        self._release_reserved(task)

    def _route(self, task: ItemTask) -> Route | None:
        return self._routing.match(task.state.job.host, task.item.path.partition("?")[0])

    def _rank(self, task: ItemTask, route: Route) -> int:
        return self._routing.rank(route, task.state.job.tenant)

    def _release_reserved(self, task: ItemTask) -> BackendState | None:
        """Give back the slot that is kept for an item; returns its engine."""
        reserved, task.next_engine = task.next_engine, None
        if reserved is not None:
            self._placement.release(reserved)
        return reserved

    def _give_up_without_route(self, lane: Lane, now: float) -> None:
        """Give items up once their route has been gone from the configuration for a while."""
        if self._routing.configuration is None:
            return
        for task in self._queue.of_lane(lane):
            task.route_missing_since = task.route_missing_since or now
            if now - task.route_missing_since >= MISSING_ROUTE_SECONDS:
                self._give_up(task, "no route")

    def _give_up(self, task: ItemTask, reason: str) -> None:
        self._withdraw(task)
        self._finish(task, given_up(task, reason))

    def _move_runs(self) -> None:
        now = steady_seconds()
        if now - self._checked_at >= IDLE_CHECK_SECONDS:
            self._checked_at = now
            self._mover.move_from_slow_engines(self._running)

    def _start(self, task: ItemTask, route: Route, engine: BackendState | None) -> None:
        self._queue.remove(task)
        task.engine = engine
        task.begun = False
        if engine is not None:
            self._placement.take(engine)
            self._placement.note_group(task.state.job, task.item, engine)
        self._running.add(task)
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
            self._running.remove(task)
            self.wake()

    def _score(self, task: ItemTask, route: Route) -> None:
        """Have a whole text scored, later once more if nobody has scored it in time."""
        result = self._runner.score(task, route)
        if result is not None:
            self._finish(task, result)
            return
        task.engine = None
        if not task.state.ended:
            self._queue.put(task)

    def _generate(self, task: ItemTask, route: Route) -> RunOutcome:
        engine = task.engine
        try:
            outcome = self._runner.generate(task, route)
        finally:
            self._placement.release(engine)
        if outcome is RunOutcome.COMPLETE:
            self._lengths.observe(task.item.guessed_tokens, len(task.partial.pieces))
        return outcome

    def _after_break(self, task: ItemTask, route: Route, outcome: RunOutcome) -> None:
        job = task.state.job
        better, task.better_text = task.better_text, None
        if better is not None and better.precedence > task.partial.precedence:
            task.partial = better
        if outcome is RunOutcome.FAILED:
            task.failures += 1
        if outcome is RunOutcome.IMPOSSIBLE or task.failures >= route.maximum_attempts:
            self._finish(task, given_up(task, outcome.value))
            return
        if outcome is RunOutcome.OLD_VERSION:
            self._placement.versions.pop((task.engine.incarnation, job.model), None)
        if not task.partial.fits(job.minimum_version, route.single_version):
            task.partial.clear()
        if outcome is not RunOutcome.MOVED:
            task.not_before = steady_seconds() + REQUEUE_SECONDS
            self._release_reserved(task)
        task.engine = None
        if not task.state.ended:
            self._queue.put(task)

    def _finish(self, task: ItemTask, result: ItemResult) -> None:
        if result.state is ResultState.COMPLETED:
            self._kept.keep(task.item.item_id, task.partial)
            self._finished.add(task)
        task.state.add_unlisted(result)


def _is_worth_going_back_to(task: ItemTask, precedence: tuple[int, int]) -> bool:
    """Return whether a text of this precedence is far enough ahead of a running item's."""
    version, events = task.partial.precedence
    if task.run is None or task.better_text is not None or task.next_engine is not None:
        return False
    if task.partial.versions and precedence[0] < version:
        return False
    return precedence[1] >= events + LEAST_EVENTS_AHEAD
