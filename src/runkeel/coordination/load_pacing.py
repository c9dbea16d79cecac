"""Adaptive limit on concurrent weight loads, by additive increase and multiplicative decrease.

All engines load weights from one store of limited throughput. Once it is exhausted, additional
concurrent loads only slow the others down. The throughput is not known, so the limit is adapted as
in congestion control: slow loads decrease it by a factor, loads at full speed increase it in small
steps.
"""

from __future__ import annotations

MIN_CONCURRENT_LOADS = 2
"""Lower bound of the limit, per service."""

MAX_CONCURRENT_SHARE = 0.4
"""Initial value and upper bound of the limit, as a share of a service's engines."""

SLOW_LOAD_RATIO = 1.6
"""A load counts as slow if it takes more than this many times the shortest one.

Allows for the interval of report queries, by which the end of a load may be noticed late.
"""

CONSECUTIVE_SLOW_LOADS = 3
"""Consecutive slow loads that decrease the limit; a single one may be due to its engine."""

DECREASE_FACTOR = 0.6
"""Factor by which slow loads decrease the limit."""

INCREASE_PER_LOAD = 0.25
"""Increase of the limit, in engines, per load at full speed."""


class LoadPacing:
    """The limit on concurrent loads of one service.

    Args:
        expected_seconds: expected duration of a load at full speed; shorter loads replace it.
    """

    def __init__(self, expected_seconds: float) -> None:
        self._shortest_seconds = expected_seconds
        self._limit: float | None = None
        self._engines = 0
        self._decreased_at = 0.0
        self._consecutive_slow = 0

    def available_loads(self, engines: int, loading: int) -> int:
        """Return how many more engines may begin to load; not positive if none may.

        Args:
            engines: number of engines of the service that accept new requests.
            loading: number of engines that are loading.
        """
        self._engines = engines
        return max(MIN_CONCURRENT_LOADS, int(self._current_limit())) - loading

    def observe(self, started: float, ended: float) -> None:
        """Adapt the limit to a finished load; times are of the steady clock, in seconds."""
        seconds = ended - started
        self._shortest_seconds = min(self._shortest_seconds, seconds)
        if seconds <= SLOW_LOAD_RATIO * self._shortest_seconds:
            self._consecutive_slow = 0
            self._limit = min(self._max_limit(), self._current_limit() + INCREASE_PER_LOAD)
            return
        # Loads that began before the last decrease say nothing about the current limit.
        self._consecutive_slow += started >= self._decreased_at
        if self._consecutive_slow >= CONSECUTIVE_SLOW_LOADS:
            self._consecutive_slow = 0
            self._decreased_at = ended
            self._limit = max(float(MIN_CONCURRENT_LOADS), DECREASE_FACTOR * self._current_limit())

    def _current_limit(self) -> float:
        return self._max_limit() if self._limit is None else min(self._limit, self._max_limit())

    def _max_limit(self) -> float:
        return max(float(MIN_CONCURRENT_LOADS), MAX_CONCURRENT_SHARE * self._engines)
