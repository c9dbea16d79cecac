"""Moves running items from engines that are slow or about to load a version to other engines.

Resuming an item on another engine is cheap: the engine only has to process the prompt and the
partial output again.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable

from loguru import logger

from runkeel.api.fleet import Route
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendState
from runkeel.gateway.routing import choose_service
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.engine_speeds import MAX_SLOWDOWN, RunSample
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.length_estimates import LengthEstimates

MIN_SECONDS_BEFORE_MOVE = 0.6
"""Shortest time on an engine, since the first event, before an item is moved from a slow engine."""

MIN_GAIN_SECONDS = 0.5
"""Least expected time saved for which an item is moved from a slower engine."""

MIN_GAIN_FROM_STALLED_SECONDS = 0.15
"""Least expected time saved for which an item is moved from an engine at MAX_SLOWDOWN.

Lower, because the actual slowdown of such an engine may be far greater.
"""

MAX_ITEMS_PER_CHECK = 32
"""Maximum number of items considered for a move in each check; the longest come first."""

LOAD_STALL_SECONDS = 1.0
"""Expected pause of an engine's runs while it loads a version."""

MIN_REMAINING_BEFORE_LOAD_SECONDS = 1.5
"""Least expected remaining time for which an item is moved before a load."""

MIN_GAIN_BEFORE_LOAD_SECONDS = 0.3
"""Least expected time saved for which an item is moved before a load."""


class RunMover:
    """Moves running items, reserving a slot on the new engine before the current run is aborted.

    Args:
        route_of: returns the route of an item, None if the configuration has none.
    """

    def __init__(
        self,
        placement: EnginePlacement,
        lengths: LengthEstimates,
        route_of: Callable[[ItemTask], Route | None],
    ) -> None:
        self._placement = placement
        self._lengths = lengths
        self._route_of = route_of

    def remaining_events(self, task: ItemTask) -> float:
        """Return the expected number of events still to be generated for an item."""
        return self._lengths.remaining_events(task.item.estimated_tokens, len(task.partial.pieces))

    def relative_length(self, task: ItemTask) -> float:
        """Return the expected remaining length as a multiple of a typical length."""
        return self._lengths.relative_length(task.item.estimated_tokens, len(task.partial.pieces))

    def move_from_slow_engines(self, tasks: Iterable[ItemTask]) -> None:
        """Move items from slower engines, the longest first, while faster ones have free slots."""
        now = steady_seconds()
        generating = [task for task in tasks if _is_generating(task)]
        self._placement.observe(
            RunSample(task.engine.incarnation, id(task.run), task.run.events) for task in generating
        )
        candidates = [
            task
            for task in generating
            if now - task.run.first_event_at >= MIN_SECONDS_BEFORE_MOVE
            and task.reserved_engine is None
            and self._max_seconds_gained(task) >= self._min_gain_seconds(task)
        ]
        longest = heapq.nlargest(MAX_ITEMS_PER_CHECK, candidates, key=self.remaining_events)
        for task in longest:
            other = self._other_engine(task)
            if other is None:
                continue
            gain = self._placement.seconds_gained(task.engine, other, self.remaining_events(task))
            if gain >= self._min_gain_seconds(task):
                self._move(task, other, "slow engine", gain)

    def move_before_load(self, tasks: Iterable[ItemTask]) -> None:
        """Move the long items among the tasks of an engine that is about to load a version."""
        movable = [
            task
            for task in tasks
            if task.run is not None and task.run.events and task.reserved_engine is None
        ]
        for task in sorted(movable, key=self.remaining_events, reverse=True):
            events_left = self.remaining_events(task)
            seconds_left = events_left * self._placement.seconds_per_event(task.engine)
            if seconds_left < MIN_REMAINING_BEFORE_LOAD_SECONDS:
                return
            other = self._other_engine(task)
            if other is None:
                return
            gain = LOAD_STALL_SECONDS
            gain += self._placement.seconds_gained(task.engine, other, events_left)
            if gain >= MIN_GAIN_BEFORE_LOAD_SECONDS:
                self._move(task, other, "engine loads a version", gain)

    def _min_gain_seconds(self, task: ItemTask) -> float:
        stalled = self._placement.slowdown(task.engine) >= MAX_SLOWDOWN
        return MIN_GAIN_FROM_STALLED_SECONDS if stalled else MIN_GAIN_SECONDS

    def _max_seconds_gained(self, task: ItemTask) -> float:
        """Return the seconds saved if the item were moved to the fastest engine."""
        events_left = self.remaining_events(task)
        return self._placement.max_seconds_gained(task.engine, events_left)

    def _other_engine(self, task: ItemTask) -> BackendState | None:
        route = self._route_of(task)
        if route is None:
            return None
        service = choose_service(route, task.item.item_id)
        job = task.state.job
        length = self.relative_length(task)
        return self._placement.choose(
            job,
            task.item,
            service,
            length,
            exclude=task.engine,
            only_version=task.partial.fixed_version(route.single_version),
        )

    def _move(self, task: ItemTask, other: BackendState, reason: str, gain: float) -> None:
        logger.info(
            "moving item to another engine",
            code="item_moved",
            request=task.item.item_id,
            backend=task.engine.incarnation,
            to=other.incarnation,
            reason=reason,
            gain_ms=int(gain * 1000),
            remaining=int(self.remaining_events(task)),
            events=task.run.events,
        )
        # Reserve the slot now so that other items do not choose it.
        self._placement.acquire_slot(other)
        task.reserved_engine = other
        task.run.abort_for_move()


def _is_generating(task: ItemTask) -> bool:
    return task.run is not None and bool(task.run.events) and not task.run.loading()
