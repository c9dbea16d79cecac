"""The items that wait for an engine, in the order in which they are to be placed.

Waiting items stand in lanes, one for each job and service. Where the first item of a lane finds no
engine, no other item of that lane would, so that looking for work costs as much as there are lanes
rather than as there are items.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from runkeel.api.fleet import Route
from runkeel.clock import steady_seconds
from runkeel.gateway.routing import choose_service
from runkeel.jobs.item_task import ItemTask

LAST_RANK = 9
"""Rank of items whose route is unknown, behind all others; ranks of routes run from 0 to 9."""

LaneKey = tuple[str, str]


class _Entry(NamedTuple):
    """An item's place in its lane: those with a text first, then the longest."""

    fresh: bool
    negative_length: float
    number: int
    task: ItemTask


@dataclass(slots=True)
class Lane:
    """Items of one job that go to one service.

    Attributes:
        rank: of the job's tenant or route; the smallest is placed first.
        service: empty while the items have no route.
        waiting_since: steady time since which items have waited for an engine; 0: none waits.
    """

    rank: int
    submitted_at: float
    service: str
    waiting_since: float = 0.0
    entries: list[_Entry] = field(default_factory=list)
    count: int = 0
    """Entries that are still valid."""


class ItemQueue:
    """Items that wait, by lane.

    Args:
        route_of: the route of an item; None: it has none.
        length_of: what an item has still to generate, as a multiple of a typical generation.
        rank_of: how urgent an item is, 0 the most, given its route.
    """

    def __init__(
        self,
        route_of: Callable[[ItemTask], Route | None],
        length_of: Callable[[ItemTask], float],
        rank_of: Callable[[ItemTask, Route], int] = lambda task, route: route.rank,
    ) -> None:
        self._rank_of = rank_of
        self._route_of = route_of
        self._length_of = length_of
        self._numbers = itertools.count(1)
        self._valid: dict[int, tuple[ItemTask, LaneKey | None]] = {}
        """By the number of an item's entry: the item and its lane, None while it rests."""
        self._entries: dict[tuple[str, str], int] = {}
        self._by_item: dict[str, ItemTask] = {}
        self._by_job: dict[str, dict[tuple[str, str], ItemTask]] = {}
        self._lanes: dict[LaneKey, Lane] = {}
        self._resting: list[tuple[float, int]] = []
        self._ready: dict[tuple[str, str], ItemTask] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, task: ItemTask) -> bool:
        known = self._by_job.get(task.key[0], {}).get(task.key)
        return known is task

    def tasks(self) -> list[ItemTask]:
        """Return all items that wait, in no particular order."""
        return [task for tasks in self._by_job.values() for task in tasks.values()]

    def of_item(self, item_id: str) -> ItemTask | None:
        """Return the task of an item that waits."""
        return self._by_item.get(item_id)

    def of_job(self, job_id: str) -> list[ItemTask]:
        """Return the items of a job that wait."""
        return list(self._by_job.get(job_id, {}).values())

    def put(self, task: ItemTask) -> None:
        """Take an item, or give one that is known the place that it has now."""
        self.remove(task)
        number = next(self._numbers)
        self._entries[task.key] = number
        self._by_item[task.key[1]] = task
        self._by_job.setdefault(task.key[0], {})[task.key] = task
        if task.partial.whole or task.reserved_engine is not None:
            self._valid[number] = task, None
            self._ready[task.key] = task
        elif task.not_before > steady_seconds():
            self._valid[number] = task, None
            heapq.heappush(self._resting, (task.not_before, number))
        else:
            self._enter_lane(task, number)

    def remove(self, task: ItemTask) -> None:
        """Forget an item; does nothing when it doesn't wait."""
        number = self._entries.pop(task.key, None)
        if number is None:
            return
        lane_key = self._valid.pop(number)[1]
        if lane_key is not None:
            lane = self._lanes[lane_key]
            lane.count -= 1
            if not lane.count:
                del self._lanes[lane_key]
        self._ready.pop(task.key, None)
        if self._by_item.get(task.key[1]) is task:
            del self._by_item[task.key[1]]
        of_job = self._by_job[task.key[0]]
        del of_job[task.key]
        if not of_job:
            del self._by_job[task.key[0]]

    def clear(self) -> None:
        """Forget all items."""
        for task in self.tasks():
            self.remove(task)
        self._resting.clear()

    def rebuild_lanes(self) -> None:
        """Put all items into the lanes of the configuration in force."""
        for task in self.tasks():
            self.put(task)

    def requeue_delayed(self, now: float) -> None:
        """Let items that had to rest take their place."""
        while self._resting and self._resting[0][0] <= now:
            _, number = heapq.heappop(self._resting)
            known = self._valid.get(number)
            if known is not None:
                self.put(known[0])

    def next_delay_end(self) -> float | None:
        """Return when the next item has rested; None: none rests."""
        while self._resting and self._resting[0][1] not in self._valid:
            heapq.heappop(self._resting)
        return self._resting[0][0] if self._resting else None

    def ready(self) -> list[ItemTask]:
        """Return items that need no free engine: one is kept for them, or their text is whole."""
        return list(self._ready.values())

    def lanes(self) -> list[Lane]:
        """Return the lanes in the order in which their items are placed."""
        return sorted(self._lanes.values(), key=lambda lane: (lane.rank, lane.submitted_at))

    def first(self, lane: Lane) -> ItemTask | None:
        """Return the first item of a lane; None when it is empty."""
        while lane.entries and lane.entries[0].number not in self._valid:
            heapq.heappop(lane.entries)
        return lane.entries[0].task if lane.entries else None

    def of_lane(self, lane: Lane) -> list[ItemTask]:
        """Return the items of a lane, in no particular order."""
        return [entry.task for entry in lane.entries if entry.number in self._valid]

    def _enter_lane(self, task: ItemTask, number: int) -> None:
        route = self._route_of(task)
        service = choose_service(route, task.item.item_id) if route is not None else ""
        key = task.state.job.job_id, service
        lane = self._lanes.get(key)
        if lane is None:
            rank = self._rank_of(task, route) if route is not None else LAST_RANK
            lane = Lane(rank, task.state.job.submitted_at, service)
            self._lanes[key] = lane
        lane.count += 1
        entry = _Entry(not task.resumed, -self._length_of(task), number, task)
        heapq.heappush(lane.entries, entry)
        self._valid[number] = task, key
