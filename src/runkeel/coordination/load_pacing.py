"""How many engines may load a version at once, learnt from how long loads take.

Weights come from one store. While more engines load than it feeds at full speed, each load takes
longer, and no engine is ready any sooner. How many that is nobody tells, so it is found as a sender
finds the rate of a link: a slow load lowers the bound by a part, loads at full speed raise it by
small steps.
"""

from __future__ import annotations

CONCURRENT_LOADS = 2
"""So many engines of a service may load at once in any case."""

CONCURRENT_SHARE = 0.4
"""The bound begins at so large a part of a service's engines, and never exceeds it."""

SLOW_LOAD_RATIO = 1.6
"""A load counts as slow from so many times the shortest one; reports show its end 0.15 s late."""

SLOW_IN_A_ROW = 3
"""So many loads in a row have to be slow: one alone may be that of a slow engine."""

DECREASE = 0.6
"""Part of the limit that is left after a slow load. Chosen, not measured."""

INCREASE_PER_LOAD = 0.25
"""A quarter of an engine per load at full speed: one more for four that have loaded."""


class LoadPacing:
    """The bound on concurrent loads of one service.

    Args:
        expected_seconds: of a load at full speed; shorter ones are learnt.
    """

    def __init__(self, expected_seconds: float) -> None:
        self._shortest = expected_seconds
        self._limit: float | None = None
        self._engines = 0
        self._lowered_at = 0.0
        self._slow_in_a_row = 0

    def room(self, engines: int, loading: int) -> int:
        """Return how many more engines may begin to load.

        Args:
            engines: of the service, all that take new work.
            loading: those that load now.
        """
        self._engines = engines
        return max(CONCURRENT_LOADS, int(self._bound())) - loading

    def observe(self, started: float, ended: float) -> None:
        """Take a load that has ended; times are those of the steady clock."""
        seconds = ended - started
        self._shortest = min(self._shortest, seconds)
        if seconds <= SLOW_LOAD_RATIO * self._shortest:
            self._slow_in_a_row = 0
            self._limit = min(self._highest(), self._bound() + INCREASE_PER_LOAD)
            return
        # Loads that began before the bound was lowered say nothing of the new one.
        self._slow_in_a_row += started >= self._lowered_at
        if self._slow_in_a_row >= SLOW_IN_A_ROW:
            self._slow_in_a_row = 0
            self._lowered_at = ended
            self._limit = max(float(CONCURRENT_LOADS), DECREASE * self._bound())

    def _bound(self) -> float:
        return self._highest() if self._limit is None else min(self._limit, self._highest())

    def _highest(self) -> float:
        return max(float(CONCURRENT_LOADS), CONCURRENT_SHARE * self._engines)
