"""Schedules the items of batch jobs on engines and tracks each item until it has a result.

A result is *listed* once it is in a results segment in the store.
"""

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
from runkeel.jobs.generation_run import PartialOutput, RunOutcome
from runkeel.jobs.item_queue import ItemQueue, Lane
from runkeel.jobs.item_runner import ItemRunner, failed_result
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.job_state import JobState
from runkeel.jobs.length_estimates import LengthEstimates
from runkeel.jobs.loss_backoff import delay_after_losses
from runkeel.jobs.retained_outputs import RetainedOutputs
from runkeel.jobs.run_mover import RunMover
from runkeel.jobs.running_items import RunningItems
from runkeel.jobs.scorer import Scorer
from runkeel.quarantine.quarantine import Quarantine
from runkeel.runners.pool import RunnerPool

POLL_SECONDS = 0.25
"""Longest interval between two scheduling passes when nothing wakes the loop."""

REQUEUE_DELAY_SECONDS = 0.05
"""Delay before an item is retried; keeps it from spinning between engines that refuse it."""

STARTS_PER_YIELD = 64
"""Items started before the scheduling pass yields to other greenlets. Bounds the event loop lag."""

UNKNOWN_ITEM_GRACE_SECONDS = 3.0
"""How long partial outputs of unknown items are accepted, as the items' jobs may be loading."""

MISSING_ROUTE_TIMEOUT_SECONDS = 5.0
"""An item fails when its route has been missing from the stored configuration for this long."""

BACKLOG_WAIT_SECONDS = 1.0
"""A model is backlogged when one of its items has waited longer than this for an engine.

About the time that it takes to load a version.
"""

MIN_EVENTS_AHEAD = 8
"""A run is aborted in favour of another partial output that is at least this many events ahead.

Well above the cost of resuming at an engine.
"""

BACKLOG_HOLD_SECONDS = 20.0
"""A model stays backlogged for this long after an item has last waited for an engine."""


class Scheduler:
    """Runs the open items of all jobs on the engines, with one greenlet per running item.

    Args:
        placement: chooses an engine for each item.
        is_loading: returns whether an engine is loading a version of a model.
        quarantine: told of the engines that crash.
        runners: other nodes that run items; None: this node runs all items.
        configuration_confirmed_at: returns the steady time at which the routing configuration was
            last known to equal the stored one.
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
        configuration_confirmed_at: Callable[[], float] = steady_seconds,
    ) -> None:
        self._configuration_confirmed_at = configuration_confirmed_at
        self._placement = placement
        self._routing = routing
        self._runner = ItemRunner(protocol, scorer, routing, is_loading, quarantine, runners)
        self._running = RunningItems()
        self._retained = RetainedOutputs()
        self._finished = FinishedItems()
        self._lengths = LengthEstimates()
        self._mover = RunMover(placement, self._lengths, self._route)
        self._queue = ItemQueue(self._route, self._mover.relative_length, self._rank)
        self._queue_configuration: RoutingConfiguration | None = None
        """The routing configuration from which the queue's lanes were built."""
        self._backlogged_at: dict[str, float] = {}
        self._moves_checked_at = 0.0
        self._loading_since = steady_seconds()
        """Steady time since which the jobs of other terms may be loading."""
        self._wake = Event()
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start scheduling; does nothing if already started."""
        if self._loop is not None:
            return
        self._loop = gevent.spawn(self._run)

    def begin_loading(self) -> None:
        """Accept partial outputs of unknown items from now on, as jobs are being loaded."""
        self._loading_since = steady_seconds()

    def stop(self) -> None:
        """Stop scheduling and kill all runs."""
        if self._loop is not None:
            self._loop.kill(block=False)
        for task in self._running:
            if task.greenlet is not None:
                task.greenlet.kill(block=False)
        self._queue.clear()
        self._running.clear()

    def restore_outputs(self, outputs: dict[str, PartialOutput]) -> None:
        """Store partial outputs of an earlier coordinator's runs, for jobs that are added later."""
        for item_id, output in outputs.items():
            self._retained.keep(item_id, output)

    def needs_output(self, item_id: str, precedence: tuple[int, int]) -> bool:
        """Return whether an item should continue from a partial output of this precedence."""
        running = self._running.of_item(item_id)
        if running is not None:
            return _is_worth_switching_to(running, precedence)
        task = self._queue.of_item(item_id)
        if task is None and steady_seconds() - self._loading_since > UNKNOWN_ITEM_GRACE_SECONDS:
            return False
        known = task.partial if task is not None else self._retained.get(item_id)
        return known is None or known.precedence < precedence

    def adopt_output(self, item_id: str, output: PartialOutput) -> None:
        """Continue an item from a better partial output, if it needs this one.

        The output is used only if the item's job and route accept its versions. A running item is
        aborted to resume from it. A queued item is requeued as resumed whether or not the output
        is used. For an unknown item, the output is retained in case its job is added later.
        """
        if not self.needs_output(item_id, output.precedence):
            return
        running = self._running.of_item(item_id)
        if running is not None:
            self._switch_to_output(running, output)
            return
        task = self._queue.of_item(item_id)
        if task is None:
            self._retained.keep(item_id, output)
            return
        self._resume_from(task, output)
        self._queue.put(task)

    def _switch_to_output(self, task: ItemTask, output: PartialOutput) -> None:
        """Abort the item's run so that it resumes from a better partial output."""
        if not self._can_use(task, output) or not self._has_engine_for(task, output):
            return
        logger.info(
            "aborting run to resume item from a better partial output",
            code="item_text_late",
            request=task.item.item_id,
            job=task.state.job.job_id,
            events=len(task.partial.pieces),
            text=len(output.pieces),
        )
        task.better_output = output
        task.run.abort_for_move()

    def _can_use(self, task: ItemTask, output: PartialOutput) -> bool:
        route = self._route(task)
        return output.satisfies_versions(
            task.state.job.min_version, bool(route and route.single_version)
        )

    def _has_engine_for(self, task: ItemTask, output: PartialOutput) -> bool:
        """Return whether an engine may have the weight version that an output is bound to."""
        route = self._route(task)
        version = output.fixed_version(bool(route and route.single_version))
        if not version:
            return True
        service = choose_service(route, task.item.item_id)
        return self._placement.offers_version(service, task.state.job.model, version)

    def _resume_from(self, task: ItemTask, output: PartialOutput) -> None:
        task.resumed = True
        if self._can_use(task, output):
            task.partial = output

    def open_outputs(self) -> dict[str, PartialOutput]:
        """Return the partial outputs of all items whose results are not listed yet."""
        tasks = [*self._finished.unlisted(), *self._running, *self._queue.tasks()]
        return {task.item.item_id: task.partial for task in tasks if task.partial.pieces}

    def is_result_listed(self, item_id: str) -> bool:
        """Return whether an item's result is listed, so that its output is not needed.

        This is as of the last call of :meth:`open_outputs`. Only completed items count, and only
        the IDs of the most recent ones are kept.
        """
        return self._finished.is_listed(item_id)

    def backlogged(self, model: str) -> bool:
        """Return whether items of a model have recently waited long for an engine."""
        return (
            steady_seconds() - self._backlogged_at.get(model, -BACKLOG_HOLD_SECONDS)
            < BACKLOG_HOLD_SECONDS
        )

    def wake(self) -> None:
        """Trigger a scheduling pass."""
        self._wake.set()

    def add(self, state: JobState) -> None:
        self.add_items(state, state.open_items())

    def add_items(self, state: JobState, items: Iterable[JobItem]) -> None:
        """Enqueue items of a job that are neither queued nor running."""
        for item in items:
            self._finished.reopen(item.item_id)
            task = ItemTask(state, item)
            retained = self._retained.take(item.item_id)
            if retained is not None:
                self._resume_from(task, retained)
            self._queue.put(task)
        self.wake()

    def drop(self, state: JobState) -> None:
        """Kill the runs of a job and drop its items; their partial outputs are retained."""
        job_id = state.job.job_id
        for task in self._queue.of_job(job_id):
            self._retained.keep(task.item.item_id, task.partial)
            self._withdraw(task)
        for task in self._running.of_job(job_id):
            self._retained.keep(task.item.item_id, task.partial)
            if task.greenlet is not None:
                task.greenlet.kill(block=False)
            if not task.started:
                self._running.remove(task)
                if task.engine is not None:
                    self._placement.release_slot(task.engine)

    def move_items_before_load(self, incarnation: str) -> None:
        """Move long items away from an engine that is about to pause for loading a version."""
        self._mover.move_before_load(self._running.on_engine(incarnation))

    def _run(self) -> None:
        while True:
            self._wake.wait(self._wait_seconds())
            self._wake.clear()
            self._place_all()
            self._move_runs()

    def _wait_seconds(self) -> float:
        next_due = self._queue.next_delay_end()
        if next_due is None:
            return POLL_SECONDS
        return min(POLL_SECONDS, max(0.0, next_due - steady_seconds()))

    def _place_all(self) -> None:
        """Start every item that can run now; see :class:`ItemQueue` for the order."""
        now = steady_seconds()
        configuration = self._routing.configuration
        if configuration is not self._queue_configuration:
            self._queue_configuration = configuration
            self._queue.rebuild_lanes()
            self._note_routes_found()
        self._queue.requeue_delayed(now)
        self._runner.set_open_items(len(self._queue) + len(self._running))
        for task in self._queue.ready():
            self._place_ready(task)
        starts = 0
        for lane in self._queue.lanes():
            starts = self._place_lane(lane, now, starts)

    def _place_ready(self, task: ItemTask) -> None:
        """Start an item that has a reserved slot or whose output is complete.

        Such an item is *ready*: it needs no free engine, so it does not wait in a lane. Its
        reserved slot, if any, is released first; starting it on that engine acquires a slot again.
        """
        route = self._route(task)
        if self._is_done(task):
            self._withdraw(task)
        elif route is not None and time.time() > expires_at(task.state.job, route):
            self._fail(task, "maximum queue time exceeded")
        elif route is not None and task.partial.complete:
            self._release_reserved_slot(task)
            self._start(task, route, None)
        else:
            reserved = self._release_reserved_slot(task)
            if route is None or reserved is None:
                self._queue.put(task)
            elif self._placement.usable(task.state.job, reserved):
                self._start(task, route, reserved)
            else:
                self._queue.put(task)

    def _place_lane(self, lane: Lane, now: float, starts: int) -> int:
        """Start items of a lane until one finds no engine.

        Returns ``starts`` plus the number of items started.
        """
        while (task := self._queue.first(lane)) is not None:
            if self._is_done(task):
                self._withdraw(task)
                continue
            route = self._route(task)
            if route is None:
                self._fail_without_route(lane, now)
                return starts
            if time.time() > expires_at(task.state.job, route):
                self._fail(task, "maximum queue time exceeded")
                continue
            if self._runner.may_still_run(task.item.item_id):
                # Another node has yet to confirm the end of an earlier run, maybe of an ended job.
                task.not_before = now + REQUEUE_DELAY_SECONDS
                self._queue.put(task)
                continue
            if not self._runner.has_capacity:
                # Neither this node nor a sampled runner can read the output of another run in time.
                return starts
            service = choose_service(route, task.item.item_id)
            engine = self._choose_engine(task, route, service)
            if engine is None:
                self._record_waiting(lane, task.state.job.model, now)
                return starts
            self._start(task, route, engine)
            starts += 1
            if starts % STARTS_PER_YIELD == 0:
                gevent.sleep(0)
        return starts

    def _choose_engine(self, task: ItemTask, route: Route, service: str) -> BackendState | None:
        """Return an engine that can continue the item's output, else one to generate it anew."""
        length = self._mover.relative_length(task)
        job, item = task.state.job, task.item
        version = task.partial.fixed_version(route.single_version)
        if version:
            engine = self._placement.choose(job, item, service, length, only_version=version)
            if engine is not None:
                return engine
        return self._placement.choose(job, item, service, length)

    def _record_waiting(self, lane: Lane, model: str, now: float) -> None:
        lane.waiting_since = lane.waiting_since or now
        if now - lane.waiting_since > BACKLOG_WAIT_SECONDS:
            self._backlogged_at[model] = now

    def _is_done(self, task: ItemTask) -> bool:
        return task.state.ended or task.state.is_listed(task.item.item_id)

    def _withdraw(self, task: ItemTask) -> None:
        """Remove an item from the queue and release its reserved slot."""
        self._queue.remove(task)
        self._release_reserved_slot(task)

    def _route(self, task: ItemTask) -> Route | None:
        return self._routing.match(task.state.job.host, task.item.path.partition("?")[0])

    def _rank(self, task: ItemTask, route: Route) -> int:
        return self._routing.rank(route, task.state.job.tenant)

    def _release_reserved_slot(self, task: ItemTask) -> BackendState | None:
        """Release the slot reserved for an item, if any; returns its engine."""
        reserved, task.reserved_engine = task.reserved_engine, None
        if reserved is not None:
            self._placement.release_slot(reserved)
        return reserved

    def _fail_without_route(self, lane: Lane, now: float) -> None:
        """Fail items whose route has been missing for MISSING_ROUTE_TIMEOUT_SECONDS.

        Only time up to the last confirmation by the store counts: the job may have been accepted
        under a configuration that this node has not received yet.
        """
        if self._routing.configuration is None:
            return
        confirmed_at = self._configuration_confirmed_at()
        for task in self._queue.of_lane(lane):
            task.route_missing_since = task.route_missing_since or now
            if confirmed_at - task.route_missing_since >= MISSING_ROUTE_TIMEOUT_SECONDS:
                self._fail(task, "route missing from the configuration")

    def _note_routes_found(self) -> None:
        """Reset the time without a route of the queued items that have one now."""
        for task in self._queue.tasks():
            if task.route_missing_since and self._route(task) is not None:
                task.route_missing_since = 0.0

    def _fail(self, task: ItemTask, reason: str) -> None:
        self._withdraw(task)
        self._finish(task, failed_result(task, reason))

    def _move_runs(self) -> None:
        now = steady_seconds()
        if now - self._moves_checked_at >= POLL_SECONDS:
            self._moves_checked_at = now
            self._mover.move_from_slow_engines(self._running)

    def _start(self, task: ItemTask, route: Route, engine: BackendState | None) -> None:
        self._queue.remove(task)
        task.route_missing_since = 0.0
        task.engine = engine
        task.started = False
        if engine is not None:
            self._discard_output_of_other_version(task, route, engine)
            self._placement.acquire_slot(engine)
            self._placement.record_group(task.state.job, task.item, engine)
        self._running.add(task)
        task.greenlet = gevent.spawn(self._run_item, task, route)

    def _discard_output_of_other_version(
        self, task: ItemTask, route: Route, engine: BackendState
    ) -> None:
        """Discard an output that an engine's weight version must not continue."""
        version = task.partial.fixed_version(route.single_version)
        if self._placement.may_have_version(engine, task.state.job.model, version):
            return
        self._discard_output(task, f"engine {engine.incarnation} has another weight version")

    def _discard_output(self, task: ItemTask, reason: str) -> None:
        logger.info(
            "discarding partial output",
            code="item_text_discarded",
            request=task.item.item_id,
            job=task.state.job.job_id,
            events=len(task.partial.pieces),
            versions=list(task.partial.versions),
            reason=reason,
        )
        task.partial.clear()

    def _run_item(self, task: ItemTask, route: Route) -> None:
        task.started = True
        try:
            if task.engine is not None:
                resumed_events = len(task.partial.pieces)
                outcome = self._generate(task, route)
                if outcome is not RunOutcome.COMPLETE:
                    progressed = len(task.partial.pieces) > resumed_events
                    self._handle_incomplete_run(task, route, outcome, progressed)
                    return
            self._score(task, route)
        except Exception as error:
            logger.opt(exception=error).error(
                "unexpected error while running an item; running it again",
                code="internal",
                request=task.item.item_id,
                job=task.state.job.job_id,
            )
            self._requeue_after_error(task)
        finally:
            if task not in self._queue:
                self._release_reserved_slot(task)
            self._running.remove(task)
            self.wake()

    def _score(self, task: ItemTask, route: Route) -> None:
        """Score a complete output; requeues the item if no scorer answers in time."""
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
            self._placement.release_slot(engine)
        if outcome is RunOutcome.COMPLETE:
            self._lengths.observe(task.item.estimated_tokens, len(task.partial.pieces))
        return outcome

    def _handle_incomplete_run(
        self, task: ItemTask, route: Route, outcome: RunOutcome, progressed: bool = True
    ) -> None:
        """Give up or requeue an item; ``progressed`` tells whether the run received events."""
        job = task.state.job
        better_output, task.better_output = task.better_output, None
        if better_output is not None and better_output.precedence > task.partial.precedence:
            task.partial = better_output
        if outcome is RunOutcome.FAILED:
            task.failures += 1
        if outcome is RunOutcome.IMPOSSIBLE or task.failures >= route.max_attempts:
            self._finish(task, failed_result(task, outcome.value))
            return
        if outcome is RunOutcome.OLD_VERSION:
            self._placement.versions.pop((task.engine.incarnation, job.model), None)
            if task.partial.fixed_version(route.single_version) and not progressed:
                self._discard_output(task, "engine has another weight version than known")
        if not task.partial.satisfies_versions(job.min_version, route.single_version):
            task.partial.clear()
        lost = outcome is RunOutcome.BROKEN and not progressed
        task.lost_runs = task.lost_runs + 1 if lost else 0
        if outcome is not RunOutcome.MOVED:
            delay = max(REQUEUE_DELAY_SECONDS, delay_after_losses(task.lost_runs))
            task.not_before = steady_seconds() + delay
            self._release_reserved_slot(task)
        task.engine = None
        if not task.state.ended:
            self._queue.put(task)

    def _requeue_after_error(self, task: ItemTask) -> None:
        """Queue an item again whose run raised an unforeseen error."""
        task.lost_runs += 1
        delay = max(REQUEUE_DELAY_SECONDS, delay_after_losses(task.lost_runs))
        task.not_before = steady_seconds() + delay
        task.engine = None
        if not self._is_done(task):
            self._queue.put(task)

    def _finish(self, task: ItemTask, result: ItemResult) -> None:
        if result.state is ResultState.COMPLETED:
            self._retained.keep(task.item.item_id, task.partial)
            self._finished.add(task)
        task.state.add_unlisted(result)


def _is_worth_switching_to(task: ItemTask, precedence: tuple[int, int]) -> bool:
    """Return whether a partial output is far enough ahead of a running item's own."""
    version, events = task.partial.precedence
    if task.run is None or task.better_output is not None or task.reserved_engine is not None:
        return False
    if task.partial.versions and precedence[0] < version:
        return False
    return precedence[1] >= events + MIN_EVENTS_AHEAD
