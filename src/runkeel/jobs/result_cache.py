"""Caches listed results that a node has read from a coordinator.

Listed results never change their position or content. The least recently read jobs are evicted.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from runkeel.api.jobs import ItemResult, JobReference

MAX_BYTES = 24 * 1024 * 1024
"""Default bound on the size of the cache."""

_RESULT_BYTES = 200
"""Approximate size of a result, apart from its text."""


class ResultCache:
    """Results by job and position; the job's reference includes its tenant."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._jobs: OrderedDict[JobReference, dict[int, ItemResult]] = OrderedDict()
        self._totals: dict[JobReference, int] = {}

    def total(self, job: JobReference) -> int:
        """Return a job's number of items; 0 if the job is not cached."""
        return self._totals.get(job, 0)

    def is_complete(self, job: JobReference) -> bool:
        """Return whether every result of a job is cached."""
        known = self._jobs.get(job)
        return known is not None and len(known) >= self._totals[job] > 0

    def from_position(self, job: JobReference, position: int) -> list[ItemResult]:
        """Return the cached results from a position on, up to the first gap."""
        known = self._jobs.get(job)
        if known is None:
            return []
        self._jobs.move_to_end(job)
        results = []
        while (result := known.get(position + len(results))) is not None:
            results.append(result)
        return results

    def add(
        self, job: JobReference, total: int, position: int, results: Iterable[ItemResult]
    ) -> None:
        """Add consecutive results, listed from a position on, of a job with ``total`` items."""
        known = self._jobs.setdefault(job, {})
        self._totals[job] = total
        self._jobs.move_to_end(job)
        for index, result in enumerate(results, position):
            if index not in known:
                known[index] = result
                self._bytes += _size(result)
        while self._bytes > self._max_bytes and len(self._jobs) > 1:
            dropped_job, dropped = self._jobs.popitem(last=False)
            del self._totals[dropped_job]
            self._bytes -= sum(_size(result) for result in dropped.values())


def _size(result: ItemResult) -> int:
    return len(result.text) + _RESULT_BYTES
