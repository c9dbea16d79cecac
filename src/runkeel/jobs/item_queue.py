"""Queue of the items that wait for an engine, in scheduling order.

Items are queued in lanes, one per job and service. If no engine is found for the first item of a
lane, none would be found for the others, so a scheduling pass scales with the number of lanes
rather than items.
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

UNROUTED_RANK = 9
"""Rank of items without a route, which go last; ranks of routes range from 0, first, to 9."""

LaneKey = tuple[str, str]


class _LaneEntry(NamedTuple):
    """Sort key in a lane's heap: resumed items first, then the longest, then the oldest entry."""

    not_resumed: bool
    negative_length: float
    entry_id: int
    task: ItemTask


@dataclass(slots=True)
class Lane:
    """Items of one job that go to one service.

    Attributes:
        rank: rank of the job's tenant or route; lower ranks are scheduled first.
        submitted_at: Unix time of the job's submission, in seconds.
        service: empty while the items have no route.
        waiting_since: steady clock time, in seconds, of the first scheduling pass that found no
            engine for the lane; 0 if none has.
    """

    rank: int
    submitted_at: float
    service: str
    waiting_since: float = 0.0
    entries: list[_LaneEntry] = field(default_factory=list)
    count: int = 0
    """Number of valid entries."""


class ItemQueue:
    """Queued items, by lane.

    Args:
        route_of: returns the route of an item, None if it has none.
        length_of: returns an item's remaining length as a multiple of a typical generation.
        rank_of: returns the rank of an item with a route; 0 is the most urgent.
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
        self._entry_ids = itertools.count(1)
        self._valid_entries: dict[int, tuple[ItemTask, LaneKey | None]] = {}
        """Item and lane by entry ID; the lane is None while the item is delayed or ready."""
        self._entry_by_key: dict[tuple[str, str], int] = {}
        self._by_item: dict[str, ItemTask] = {}
        self._by_job: dict[str, dict[tuple[str, str], ItemTask]] = {}
        self._lanes: dict[LaneKey, Lane] = {}
        self._delayed: list[tuple[float, int]] = []
        self._ready: dict[tuple[str, str], ItemTask] = {}

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def __contains__(self, task: ItemTask) -> bool:
        known = self._by_job.get(task.key[0], {}).get(task.key)
        return known is task

    def tasks(self) -> list[ItemTask]:
        """Return all queued items, in no particular order."""
        return [task for tasks in self._by_job.values() for task in tasks.values()]

    def of_item(self, item_id: str) -> ItemTask | None:
        """Return the task of a queued item."""
        return self._by_item.get(item_id)

    def of_job(self, job_id: str) -> list[ItemTask]:
        """Return the queued items of a job."""
        return list(self._by_job.get(job_id, {}).values())

    def put(self, task: ItemTask) -> None:
        """Enqueue an item, or reposition it if it is queued already."""
        self.remove(task)
        entry_id = next(self._entry_ids)
        self._entry_by_key[task.key] = entry_id
        self._by_item[task.key[1]] = task
        self._by_job.setdefault(task.key[0], {})[task.key] = task
        if task.partial.complete or task.reserved_engine is not None:
            self._valid_entries[entry_id] = task, None
            self._ready[task.key] = task
        elif task.not_before > steady_seconds():
            self._valid_entries[entry_id] = task, None
            heapq.heappush(self._delayed, (task.not_before, entry_id))
        else:
            self._enter_lane(task, entry_id)

    def remove(self, task: ItemTask) -> None:
        """Remove an item; does nothing if it is not queued."""
        entry_id = self._entry_by_key.pop(task.key, None)
        if entry_id is None:
            return
        lane_key = self._valid_entries.pop(entry_id)[1]
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
        for task in self.tasks():
            self.remove(task)
        self._delayed.clear()

    def rebuild_lanes(self) -> None:
        """Enqueue all items again according to the current routing configuration."""
        for task in self.tasks():
            self.put(task)

    def requeue_delayed(self, now: float) -> None:
        """Enqueue the items whose delay has passed."""
        while self._delayed and self._delayed[0][0] <= now:
            _, entry_id = heapq.heappop(self._delayed)
            known = self._valid_entries.get(entry_id)
            if known is not None:
                self.put(known[0])

    def next_delay_end(self) -> float | None:
        """Return the steady clock time, in seconds, of the end of the next delay; None if none."""
        while self._delayed and self._delayed[0][1] not in self._valid_entries:
            heapq.heappop(self._delayed)
        return self._delayed[0][0] if self._delayed else None

    def ready(self) -> list[ItemTask]:
        """Return items with a reserved slot or a complete output, which need no free engine."""
        return list(self._ready.values())

    def lanes(self) -> list[Lane]:
        """Return the lanes in scheduling order."""
        return sorted(self._lanes.values(), key=lambda lane: (lane.rank, lane.submitted_at))

    def first(self, lane: Lane) -> ItemTask | None:
        """Return the first item of a lane, None if it is empty."""
        while lane.entries and lane.entries[0].entry_id not in self._valid_entries:
            heapq.heappop(lane.entries)
        return lane.entries[0].task if lane.entries else None

    def of_lane(self, lane: Lane) -> list[ItemTask]:
        """Return the items of a lane, in no particular order."""
        return [entry.task for entry in lane.entries if entry.entry_id in self._valid_entries]

    def _enter_lane(self, task: ItemTask, entry_id: int) -> None:
        route = self._route_of(task)
        service = choose_service(route, task.item.item_id) if route is not None else ""
        key = task.state.job.job_id, service
        lane = self._lanes.get(key)
        if lane is None:
            rank = self._rank_of(task, route) if route is not None else UNROUTED_RANK
            lane = Lane(rank, task.state.job.submitted_at, service)
            self._lanes[key] = lane
        lane.count += 1
        entry = _LaneEntry(not task.resumed, -self._length_of(task), entry_id, task)
        heapq.heappush(lane.entries, entry)
        self._valid_entries[entry_id] = task, key
