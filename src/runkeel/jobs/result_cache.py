"""Listed results that a node has read from a coordinator.

A listed result never changes its place or content, so what has been read once need not travel
again. The jobs that were read last are kept, within a bound on their texts.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from runkeel.api.jobs import ItemResult, JobReference

MAXIMUM_BYTES = 24 * 1024 * 1024
"""Texts that are kept, in bytes; the jobs read longest ago give way."""

_RESULT_BYTES = 200
"""A result's size beside its text, roughly."""


class ResultCache:
    """Results by job and position; a job is known to its own tenant only."""

    def __init__(self, maximum_bytes: int = MAXIMUM_BYTES) -> None:
        self._maximum_bytes = maximum_bytes
        self._bytes = 0
        self._jobs: OrderedDict[JobReference, dict[int, ItemResult]] = OrderedDict()
        self._totals: dict[JobReference, int] = {}

    def total(self, job: JobReference) -> int:
        """Return the number of items of a job of which results are known."""
        return self._totals.get(job, 0)

    def has_all(self, job: JobReference) -> bool:
        """Return whether every result of a job is known."""
        known = self._jobs.get(job)
        return known is not None and len(known) >= self._totals[job] > 0

    def from_position(self, job: JobReference, position: int) -> list[ItemResult]:
        """Return the results that are known from a position on, up to the first that is not."""
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
        """Keep results of a job of so many items that are listed at a position and after it."""
        known = self._jobs.setdefault(job, {})
        self._totals[job] = total
        self._jobs.move_to_end(job)
        for place, result in enumerate(results, position):
            if place not in known:
                known[place] = result
                self._bytes += _size(result)
        while self._bytes > self._maximum_bytes and len(self._jobs) > 1:
            dropped_job, dropped = self._jobs.popitem(last=False)
            del self._totals[dropped_job]
            self._bytes -= sum(_size(result) for result in dropped.values())


def _size(result: ItemResult) -> int:
    return len(result.text) + _RESULT_BYTES
