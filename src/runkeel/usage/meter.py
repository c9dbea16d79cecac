"""Counts a node's requests that servers started, by tenant and time window."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable

from gevent.event import Event

RETENTION_SECONDS = 60.0
"""Retention of counts after the end of their window; a new coordinator receives them again.

Several times the 10 s within which the platform expects the report of a window.
"""


class UsageMeter:
    """Counts each request once, in the window in which a server first received it.

    Args:
        window_seconds: length of a window in seconds; 0 disables counting.
        clock: returns the seconds since the Unix epoch.

    Attributes:
        changed: set when a count has changed.
    """

    def __init__(self, window_seconds: float, clock: Callable[[], float]) -> None:
        self.window_seconds = window_seconds
        self._clock = clock
        self._counts: dict[int, Counter[str]] = {}
        self._started_at: dict[int, float] = {}
        """Start times of requests in flight that may still be counted, by number."""
        self._numbers = itertools.count(1)
        self.changed = Event()

    def now(self) -> float:
        """Return the seconds since the Unix epoch."""
        return self._clock()

    def window_of(self, at: float) -> int:
        """Return the number of the window that contains a time."""
        return int(at // self.window_seconds)

    def start_request(self, tenant: str) -> int:
        """Register a request that may run; returns its number, 0 if it will not be counted."""
        if not tenant or not self.window_seconds:
            return 0
        number = next(self._numbers)
        self._started_at[number] = self._clock()
        return number

    def finish_request(self, number: int, tenant: str, began_at: float | None) -> None:
        """Count a request if a server received it.

        Args:
            number: returned by :meth:`start_request`.
            began_at: when a server received it, in seconds since the Unix epoch; None if none did.
        """
        if self._started_at.pop(number, None) is None or began_at is None:
            return
        self._counts.setdefault(self.window_of(began_at), Counter())[tenant] += 1
        self._remove_expired()
        self.changed.set()

    def windows(self) -> dict[int, dict[str, int]]:
        """Return the retained counts by window and tenant."""
        return {window: dict(counts) for window, counts in self._counts.items()}

    @property
    def complete_before(self) -> float:
        """Time, in seconds since the Unix epoch, before which the counts are complete."""
        return min(self._started_at.values(), default=self._clock())

    def _remove_expired(self) -> None:
        oldest = self.window_of(self._clock() - RETENTION_SECONDS)
        for window in [one for one in self._counts if one < oldest]:
            del self._counts[window]
