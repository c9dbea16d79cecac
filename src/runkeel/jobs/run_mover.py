"""Decides which running items go on at another engine.

Going on elsewhere costs little: the prompt and the text so far are read again, which takes a few
hundredths of a second. So an item leaves an engine that is slower than another by enough to matter
for what it still has to generate, and one that is about to stand still while it loads a version.
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
from runkeel.jobs.engine_speeds import LARGEST_SLOWNESS, RunSample
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.length_estimates import LengthEstimates

LEAST_SECONDS_BEFORE_MOVE = 0.6
"""An item stays for so long after its first event at an engine."""

LEAST_GAIN_SECONDS = 0.5
"""An item leaves a slower engine if it is expected to end so much sooner elsewhere."""

LEAST_GAIN_FROM_STUCK_SECONDS = 0.15
"""The same for an engine that is as slow as an estimate can say: it may be slower by any factor."""

MOVES_PER_CHECK = 32
"""So many items are looked at in each check, the longest: checks come four times a second."""

LOAD_STALL_SECONDS = 1.0
"""What runs at an engine stands still for so long while the engine loads a version."""

LEAST_SECONDS_LEFT_BEFORE_LOAD = 1.5
"""Items that are expected to generate for longer than this are moved away before a load."""

LEAST_GAIN_BEFORE_LOAD_SECONDS = 0.3
"""Least gain for which an item leaves an engine that is about to load.

Chosen: below LEAST_GAIN_SECONDS, as it would stand still.
"""


class RunMover:
    """Moves running items; each takes a slot at its next engine before it leaves the one it has.

    Args:
        route_of: the route of an item, None when it has left the configuration.
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
        """Return how many events an item is expected to make yet."""
        return self._lengths.remaining_events(task.item.guessed_tokens, len(task.partial.pieces))

    def relative_length(self, task: ItemTask) -> float:
        """Return the same as a multiple of a typical generation."""
        return self._lengths.relative_length(task.item.guessed_tokens, len(task.partial.pieces))

    def move_from_slow_engines(self, tasks: Iterable[ItemTask]) -> None:
        """Move items of slower engines, the longest first, as far as faster ones have room."""
        now = steady_seconds()
        generating = [task for task in tasks if _generates(task)]
        self._placement.observe(
            RunSample(task.engine.incarnation, id(task.run), task.run.events) for task in generating
        )
        settled = [
            task
            for task in generating
            if now - task.run.first_event_at >= LEAST_SECONDS_BEFORE_MOVE
            and task.reserved_engine is None
            and self._most_gained(task) >= self._least_gain(task)
        ]
        longest = heapq.nlargest(MOVES_PER_CHECK, settled, key=self.remaining_events)
        for task in longest:
            other = self._other_engine(task)
            if other is None:
                continue
            gain = self._placement.seconds_gained(task.engine, other, self.remaining_events(task))
            if gain >= self._least_gain(task):
                self._move(task, other, "slow engine", gain)

    def move_before_load(self, tasks: Iterable[ItemTask]) -> None:
        """Move the long items of one engine, whose tasks are given: it is about to load."""
        there = [
            task
            for task in tasks
            if task.run is not None and task.run.events and task.reserved_engine is None
        ]
        for task in sorted(there, key=self.remaining_events, reverse=True):
            remaining = self.remaining_events(task)
            left = remaining * self._placement.seconds_per_event(task.engine)
            if left < LEAST_SECONDS_LEFT_BEFORE_LOAD:
                return
            other = self._other_engine(task)
            if other is None:
                return
            gain = LOAD_STALL_SECONDS
            gain += self._placement.seconds_gained(task.engine, other, remaining)
            if gain >= LEAST_GAIN_BEFORE_LOAD_SECONDS:
                self._move(task, other, "engine loads a version", gain)

    def _least_gain(self, task: ItemTask) -> float:
        stuck = self._placement.slowness(task.engine) >= LARGEST_SLOWNESS
        return LEAST_GAIN_FROM_STUCK_SECONDS if stuck else LEAST_GAIN_SECONDS

    def _most_gained(self, task: ItemTask) -> float:
        """Return how much sooner an item would end at the fastest engine."""
        remaining = self.remaining_events(task)
        return self._placement.most_seconds_gained(task.engine, remaining)

    def _other_engine(self, task: ItemTask) -> BackendState | None:
        route = self._route_of(task)
        if route is None:
            return None
        service = choose_service(route, task.item.item_id)
        job = task.state.job
        length = self.relative_length(task)
        return self._placement.choose(job, task.item, service, length, besides=task.engine)

    def _move(self, task: ItemTask, other: BackendState, reason: str, gain: float) -> None:
        logger.info(
            "item goes on at another engine",
            code="item_moved",
            request=task.item.item_id,
            backend=task.engine.incarnation,
            to=other.incarnation,
            reason=reason,
            gain_ms=int(gain * 1000),
            remaining=int(self.remaining_events(task)),
            events=task.run.events,
        )
        # Taken at once, so that not all items choose the same free slot.
        self._placement.take(other)
        task.reserved_engine = other
        task.run.move_away()


def _generates(task: ItemTask) -> bool:
    return task.run is not None and bool(task.run.events) and not task.run.loading()
