"""Limits the concurrency of deferrable calls, to keep slots free for interactive requests.

Deferrable calls, such as scoring, tolerate seconds of delay and come in bursts, for example after
a change of coordinator. Without a limit they would occupy all slots of a service.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent.event import Event

from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory

MAX_DEFERRABLE_FRACTION = 0.5
"""Maximum fraction of a service's slots that one node uses for deferrable calls.

The remaining slots are left to interactive requests, whatever the size of a burst.
"""

DECREASE_FACTOR = 0.7
"""Factor applied to the limit when a server is full, as other nodes use the servers, too."""

MIN_DECREASE_INTERVAL_SECONDS = 0.2
"""Minimum time between two decreases, so that the first one can take effect."""

GROWTH_PER_SECOND = 0.25
"""Increase of the limit per second, as a fraction of its maximum.

Slow enough that the limit doesn't recover fully within a burst and cause further refusals.
"""

MIN_CALLS = 1
"""Lower bound of the limit, so that deferrable calls always make progress."""

RECHECK_INTERVAL_SECONDS = 0.1
"""Interval at which a waiting call checks the limit, besides whenever another call ends."""


class DeferrableLimit:
    """Concurrency limit of the deferrable calls of one service at one node.

    The limit shrinks multiplicatively when a server is full and grows linearly with time.

    Args:
        total_slots: returns the total number of slots of the service's usable servers.
        now: steady clock, in seconds.

    Attributes:
        calls_in_flight: deferrable calls in flight.
    """

    def __init__(
        self, total_slots: Callable[[], int], now: Callable[[], float] = steady_seconds
    ) -> None:
        self._total_slots = total_slots
        self._now = now
        self._fraction = 1.0
        """The limit as a fraction of its maximum."""
        self._grown_at = now()
        self._decreased_at = -MIN_DECREASE_INTERVAL_SECONDS
        self.calls_in_flight = 0

    @property
    def limit(self) -> int:
        """Maximum number of calls in flight at present."""
        now = self._now()
        self._fraction = min(1.0, self._fraction + GROWTH_PER_SECOND * (now - self._grown_at))
        self._grown_at = now
        return max(MIN_CALLS, int(MAX_DEFERRABLE_FRACTION * self._total_slots() * self._fraction))

    @property
    def has_free_slot(self) -> bool:
        """Whether another call may start."""
        return self.calls_in_flight < self.limit

    def record_refusal(self) -> None:
        """Decrease the limit after a server was full."""
        now = self._now()
        if now - self._decreased_at < MIN_DECREASE_INTERVAL_SECONDS:
            return
        # Reading the limit applies the growth since the last read.
        limit = self.limit
        if limit > MIN_CALLS:
            self._fraction *= DECREASE_FACTOR
        self._decreased_at = now


class DeferrableCalls:
    """Starts deferrable calls in order of arrival, within the limit of their service."""

    def __init__(self, directory: BackendDirectory) -> None:
        self._directory = directory
        self._limits: dict[str, DeferrableLimit] = {}
        self._waiting: dict[str, deque[Event]] = {}

    def limit_of(self, service: str) -> DeferrableLimit:
        """Return the limit of a service, creating it on first use."""
        limit = self._limits.get(service)
        if limit is None:
            limit = self._limits[service] = DeferrableLimit(lambda: self._total_slots(service))
            self._waiting[service] = deque()
        return limit

    def services(self) -> list[str]:
        """Return the services that have had deferrable calls."""
        return list(self._limits)

    def waiting(self, service: str) -> int:
        """Return the number of calls of a service that are waiting."""
        return len(self._waiting.get(service, ()))

    @contextmanager
    def slot(self, service: str, deadline: float) -> Iterator[bool]:
        """Hold a slot for one call; yields False if none became free before the deadline.

        Args:
            deadline: steady clock time, in seconds.
        """
        limit = self.limit_of(service)
        if not self._wait_for_slot(service, limit, deadline):
            yield False
            return
        limit.calls_in_flight += 1
        try:
            yield True
        finally:
            limit.calls_in_flight -= 1
            self._wake_next(service, limit)

    def _wait_for_slot(self, service: str, limit: DeferrableLimit, deadline: float) -> bool:
        waiting = self._waiting[service]
        if not waiting and limit.has_free_slot:
            return True
        turn = Event()
        waiting.append(turn)
        try:
            while steady_seconds() < deadline:
                if waiting[0] is turn and limit.has_free_slot:
                    return True
                # The limit grows with time, so a slot may become free without a call ending.
                turn.wait(min(RECHECK_INTERVAL_SECONDS, max(0.0, deadline - steady_seconds())))
                turn.clear()
            return False
        finally:
            waiting.remove(turn)
            self._wake_next(service, limit)

    def _wake_next(self, service: str, limit: DeferrableLimit) -> None:
        waiting = self._waiting[service]
        if waiting and limit.has_free_slot:
            waiting[0].set()

    def _total_slots(self, service: str) -> int:
        now = steady_seconds()
        servers = self._directory.of_service(service)
        return sum(max(1, one.backend.slots) for one in servers if not one.avoided(now))
