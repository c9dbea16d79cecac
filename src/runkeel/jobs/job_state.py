"""The coordinator's in-memory state of a batch job."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import gevent
from gevent.event import Event

from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultPage
from runkeel.jobs.job_documents import encoded_result_bytes

_ITEM_BYTES = 1_000
"""Approximate size of an item and its result, apart from their texts."""

_PAGE_ENTRY_MARGIN_BYTES = 100
"""By how much a result may be larger in a response than in a segment, as JSON in bytes."""


class JobState:
    """A job with its listed results, which are in the store, and its unlisted ones.

    Attributes:
        results: listed results in order.
        fenced: whether the job's segments have been read and no earlier coordinator can list more.
        write_pending: whether a segment may be in the store that ``results`` lacks.
        segments: number of results segments read or written.
        short_listing_reported: whether a read beyond the listed results has been logged.
        unlisted: results that are ready but not in the store yet.
        ended: whether the trainer has ended the job.
        parts: names of the job's part documents; empty if its own document has the items.
        size: approximate size of its items and results in memory, in bytes.
        unloaded: whether its items and results have been dropped; reads go to the store.
    """

    def __init__(self, job: BatchJob, parts: tuple[str, ...] = ()) -> None:
        self.job = job
        self.parts = parts
        self.size = sum(len(item.body) + _ITEM_BYTES for item in job.items)
        self.unloaded = False
        self.items = {item.item_id: item for item in job.items}
        self.results: list[ItemResult] = []
        self.fenced = False
        self.write_pending = False
        self.segments = 0
        self.short_listing_reported = False
        self.unlisted: list[ItemResult] = []
        self.ended = False
        self.ready = Event()
        """Set while there are unlisted results, and once the job is unloaded."""
        self.required_groups_complete = Event()
        """Set once as many groups as the trainer waits for have results for all their items."""
        self._unfinished_in_group = Counter(item.group for item in job.items)
        self._items_with_result: set[str] = set()
        """Items with a result, listed or unlisted."""
        self._complete_groups = 0
        self._listed: set[str] = set()
        self._reported_listed: frozenset[str] = frozenset()
        """Items that another node reported as listed, until the segments have been read."""
        self._changed = Event()

    @property
    def listing_known(self) -> bool:
        """Whether ``results`` includes all results that are listed in the store."""
        return self.fenced and not self.write_pending

    @property
    def complete(self) -> bool:
        """Whether every item has a listed result."""
        return len(self._listed) >= len(self.items)

    @property
    def required_groups_share(self) -> float:
        """Ratio of complete groups to those that the trainer waits for; 1 if it waits for none."""
        required = self.job.required_groups
        return self._complete_groups / required if required > 0 else 1.0

    def is_listed(self, item_id: str) -> bool:
        """Return whether an item's result is listed, or reported as listed."""
        return item_id in self._listed or item_id in self._reported_listed

    def is_beyond_listing(self, position: int) -> bool:
        """Return whether a read starts after the last result listed here."""
        return len(self.results) < position <= len(self.items)

    def open_items(self) -> list[JobItem]:
        """Return the items without a result that is listed or reported as listed."""
        return [item for item in self.job.items if not self.is_listed(item.item_id)]

    def set_reported_listed(self, item_ids: frozenset[str]) -> None:
        """Treat items as listed that another node has reported as such."""
        self._reported_listed = item_ids

    def clear_reported_listed(self) -> list[JobItem]:
        """Drop reports of listed items; returns those items that are not listed after all."""
        reported, self._reported_listed = self._reported_listed, frozenset()
        return [item for item in self.open_items() if item.item_id in reported]

    def add_unlisted(self, result: ItemResult) -> None:
        """Add a result to be listed; further results of the same item are ignored."""
        if self.unloaded or result.item_id in self._items_with_result:
            return
        self.unlisted.append(result)
        self._record_result(result.item_id)
        self.ready.set()

    def append_segment(self, results: Iterable[ItemResult]) -> None:
        """Append the results of the next segment in the store."""
        for result in results:
            self.results.append(result)
            self.size += len(result.text)
            self._listed.add(result.item_id)
            self._record_result(result.item_id)
        self.segments += 1
        self.write_pending = False
        self.unlisted = [one for one in self.unlisted if one.item_id not in self._listed]
        if not self.unlisted:
            self.ready.clear()
        self._notify_readers()

    def end(self) -> None:
        """Mark the job as ended by the trainer."""
        self.ended = True
        self._notify_readers()

    def unload(self) -> None:
        """Drop the items and results of an ended job; no more results of it are listed."""
        self.unloaded = True
        self.size = 0
        self.job = replace(self.job, items=())
        self.items = {}
        self.results = []
        self.unlisted = []
        self._unfinished_in_group.clear()
        self.ready.set()

    def page(self, position: int, max_bytes: int) -> ResultPage:
        """Return results from a position on, at least one, as many as fit ``max_bytes`` as JSON."""
        return make_page(self.results, len(self.items), position, max_bytes)

    def wait_for_position(self, position: int, wait_seconds: float) -> None:
        """Wait until there is a result at a position, the job has ended, or time runs out."""
        with gevent.Timeout(wait_seconds, False):
            while len(self.results) <= position and not self.ended and not self.complete:
                self._changed.wait()

    def _record_result(self, item_id: str) -> None:
        if item_id in self._items_with_result:
            return
        self._items_with_result.add(item_id)
        item = self.items.get(item_id)
        if item is None:
            return
        self._unfinished_in_group[item.group] -= 1
        if not self._unfinished_in_group[item.group]:
            self._complete_groups += 1
        if self._complete_groups >= self.job.required_groups > 0:
            self.required_groups_complete.set()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = Event()


def make_page(results: list[ItemResult], total: int, position: int, max_bytes: int) -> ResultPage:
    """Return results from a position on, at least one, as many as fit ``max_bytes`` as JSON."""
    page: list[ItemResult] = []
    size = 0
    for result in results[position:]:
        size += encoded_result_bytes(result) + _PAGE_ENTRY_MARGIN_BYTES
        if page and size > max_bytes:
            break
        page.append(result)
    return ResultPage(total, position, tuple(page))
