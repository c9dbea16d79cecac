"""What the coordinator holds of one batch job."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import gevent
from gevent.event import Event

from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultPage

_ITEM_BYTES = 1_000
"""What an item and its result take beside their texts, roughly, in bytes."""


class JobState:
    """A job, its listed results and what is still to be listed.

    Attributes:
        results: listed results in order; they stand in the store.
        listing_known: whether the store has been asked what is listed; a job that was handed over,
            or copied, may have results there that this coordinator doesn't know of.
        segments: number of results segments in the store.
        unlisted: results that are ready but not in the store yet.
        ended: the trainer has ended the job.
        parts: names of the documents that hold the job's items, where its own does not.
        size: of its items and results in memory, in bytes, roughly.
        unloaded: they have been dropped; who asks for them is answered from the store.
    """

    def __init__(self, job: BatchJob, parts: tuple[str, ...] = ()) -> None:
        self.job = job
        self.parts = parts
        self.size = sum(len(item.body) + _ITEM_BYTES for item in job.items)
        self.unloaded = False
        self.items = {item.item_id: item for item in job.items}
        self.results: list[ItemResult] = []
        self.listing_known = True
        self.segments = 0
        self.unlisted: list[ItemResult] = []
        self.ended = False
        self.ready = Event()
        """Set while there are results to be listed."""
        self.awaited = Event()
        """Set once as many whole groups as the trainer waits for are listed or to be listed."""
        self._open_in_group = Counter(item.group for item in job.items)
        self._ready_items: set[str] = set()
        """Items with a result that is listed or to be listed."""
        self._whole_groups = 0
        self._listed: set[str] = set()
        self._reported_listed: frozenset[str] = frozenset()
        """Items that another node said to be listed, until that is read from the store."""
        self._changed = Event()

    @property
    def complete(self) -> bool:
        """Whether every item is listed."""
        return len(self._listed) >= len(self.items)

    @property
    def awaited_share(self) -> float:
        """Whole groups as a part of those that the trainer waits for; 1 where it waits for none."""
        wanted = self.job.wanted_groups
        return self._whole_groups / wanted if wanted > 0 else 1.0

    def is_listed(self, item_id: str) -> bool:
        """Return whether an item's result is listed."""
        return item_id in self._listed or item_id in self._reported_listed

    def open_items(self) -> list[JobItem]:
        """Return the items without a listed result."""
        return [item for item in self.job.items if not self.is_listed(item.item_id)]

    def set_reported_listed(self, item_ids: frozenset[str]) -> None:
        """Take from a node that knew it that items are listed, until that is read for certain."""
        self._reported_listed = item_ids

    def clear_reported_listed(self) -> list[JobItem]:
        """Go by what has been read; returns the items that are not listed after all."""
        said, self._reported_listed = self._reported_listed, frozenset()
        return [item for item in self.open_items() if item.item_id in said]

    def add_unlisted(self, result: ItemResult) -> None:
        """Take a result that is to be listed; the first one of an item counts."""
        if self.unloaded or result.item_id in self._ready_items:
            return
        self.unlisted.append(result)
        self._note_ready(result.item_id)
        self.ready.set()

    def take_segment(self, results: Iterable[ItemResult]) -> None:
        """Append the results of the next segment, which stands in the store."""
        for result in results:
            self.results.append(result)
            self.size += len(result.text)
            self._listed.add(result.item_id)
            self._note_ready(result.item_id)
        self.segments += 1
        self.unlisted = [one for one in self.unlisted if one.item_id not in self._listed]
        if not self.unlisted:
            self.ready.clear()
        self._wake_readers()

    def end(self) -> None:
        """Note that the trainer has ended the job."""
        self.ended = True
        self._wake_readers()

    def unload(self) -> None:
        """Drop the items and results of a job that has ended; nothing more of it is listed."""
        self.unloaded = True
        self.size = 0
        self.job = replace(self.job, items=())
        self.items = {}
        self.results = []
        self.unlisted = []
        self._open_in_group.clear()
        self.ready.set()

    def page(self, position: int, maximum_bytes: int) -> ResultPage:
        """Return results from a position on; at least one if there is one."""
        return page_of(self.results, len(self.items), position, maximum_bytes)

    def wait_beyond(self, position: int, wait_seconds: float) -> None:
        """Wait until there is a result at a position, the job has ended, or time runs out."""
        with gevent.Timeout(wait_seconds, False):
            while len(self.results) <= position and not self.ended and not self.complete:
                self._changed.wait()

    def _note_ready(self, item_id: str) -> None:
        if item_id in self._ready_items:
            return
        self._ready_items.add(item_id)
        item = self.items.get(item_id)
        if item is None:
            return
        self._open_in_group[item.group] -= 1
        if not self._open_in_group[item.group]:
            self._whole_groups += 1
        if self._whole_groups >= self.job.wanted_groups > 0:
            self.awaited.set()

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = Event()


def page_of(results: list[ItemResult], total: int, position: int, maximum_bytes: int) -> ResultPage:
    """Return the results from a position on, within a size."""
    page: list[ItemResult] = []
    size = 0
    for result in results[position:]:
        size += len(result.text) + len(result.score) + 200
        if page and size > maximum_bytes:
            break
        page.append(result)
    return ResultPage(total, position, tuple(page))
