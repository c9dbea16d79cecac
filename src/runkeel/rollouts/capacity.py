"""How many engine slots the work of other nodes and of callers leaves free."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from runkeel.api.machines import PoolSummary

SUMMARY_LAG_SECONDS = 3.0
"""A pool summary shows a moment at most this long ago, in s."""


class RecentMaximum:
    """The largest value noted within a window of time."""

    def __init__(self, window_seconds: float = SUMMARY_LAG_SECONDS) -> None:
        self._window_seconds = window_seconds
        self._values: deque[tuple[float, int]] = deque()

    def note(self, now: float, value: int) -> int:
        """Note a value and return the largest one of the window."""
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now, value))
        while self._values[0][0] < now - self._window_seconds:
            self._values.popleft()
        return self._values[0][1]


def total_slots(summaries: Iterable[PoolSummary]) -> int:
    """Return how many requests the pool's back ends can run at once."""
    return sum(summary.slots for summary in summaries)


def total_busy(summaries: Iterable[PoolSummary]) -> int:
    """Return how many requests run or wait in the pool."""
    return sum(summary.in_flight + summary.queued for summary in summaries)
