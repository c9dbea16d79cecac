"""Counts at a node which requests servers began to run, by tenant and window of time."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable

from gevent.event import Event

KEPT_SECONDS = 60.0
"""Counts are kept for so long after their window: whoever coordinates next asks for them anew.

Chosen: six times the ten seconds within which the platform wants a window's report.
"""


class UsageMeter:
    """Counts each request once, in the window in which a server first got it.

    Args:
        window_seconds: length of a window; 0: nothing is counted.
        clock: seconds since the epoch.

    Attributes:
        news: set when a count has changed.
    """

    def __init__(self, window_seconds: float, clock: Callable[[], float]) -> None:
        self.window_seconds = window_seconds
        self._clock = clock
        self._counts: dict[int, Counter[str]] = {}
        self._open: dict[int, float] = {}
        """Requests of which it isn't known yet whether they ran: when each came."""
        self._numbers = itertools.count(1)
        self.news = Event()

    def now(self) -> float:
        """Return the seconds since the epoch."""
        return self._clock()

    def window_of(self, at: float) -> int:
        """Return the number of the window that holds a time."""
        return int(at // self.window_seconds)

    def open(self, tenant: str) -> int:
        """Take note of a request that may come to run; returns its number."""
        if not tenant or not self.window_seconds:
            return 0
        number = next(self._numbers)
        self._open[number] = self._clock()
        return number

    def close(self, number: int, tenant: str, began_at: float | None) -> None:
        """Count a request.

        Args:
            number: as :meth:`open` returned it.
            began_at: when a server got it, in seconds since the epoch; None: none ran it.
        """
        if self._open.pop(number, None) is None or began_at is None:
            return
        self._counts.setdefault(self.window_of(began_at), Counter())[tenant] += 1
        self._forget_old()
        self.news.set()

    def windows(self) -> dict[int, dict[str, int]]:
        """Return the counts that are kept, by window and tenant."""
        return {window: dict(counts) for window, counts in self._counts.items()}

    @property
    def complete_before(self) -> float:
        """What began before this time, in seconds since the epoch, is counted."""
        return min(self._open.values(), default=self._clock())

    def _forget_old(self) -> None:
        oldest = self.window_of(self._clock() - KEPT_SECONDS)
        for window in [one for one in self._counts if one < oldest]:
            del self._counts[window]
