"""Bounds the calls of a service that can wait, so that callers who wait for an answer find room.

The load it answers: scorers' calls of whole texts, 50 to 60 a second beside 14 requests of callers
on servers of six places each; after a change of coordinator all texts that are whole are scored at
once, a hundred calls within a second. A trainer waits seconds for its step, a caller 0.15 s for an
answer; without a bound the calls took every place and callers' requests were refused or late.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent.event import Event

from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory

DEFERRABLE_SHARE = 0.5
"""Share of a service's places that calls which can wait may take from one node.

They need a fifth of the places where all servers are well, and somewhat less than half while a
third of them is five times slower. The other half is the callers', in any burst of calls.
"""

SHRINK = 0.7
"""A server that was full makes the limit so much smaller: other nodes' calls are there, too."""

SHRINK_PAUSE_SECONDS = 0.2
"""The limit shrinks once in so long, about the time of one call: its effect is to be seen first."""

GROWTH_A_SECOND = 0.25
"""So large a part of the ceiling the limit grows by each second, back to it within 4 s.

Bursts last about so long; grown faster, it would be at the refusals again before they are over.
"""

LEAST_CALLS = 1
"""So many calls may always be under way: the bound slows them down, it never stops them."""

RECHECK_SECONDS = 0.1
"""A call that waits looks at the limit so often, beside each end of another call."""


class DeferrableLimit:
    """The calls of one service that can wait, under way and waiting, at one node.

    Decides by numbers alone; no I/O.

    Args:
        places: requests that the servers of the service run at once, of those that are in use.
        now: steady time.
    """

    def __init__(
        self, places: Callable[[], int], now: Callable[[], float] = steady_seconds
    ) -> None:
        self._places = places
        self._now = now
        self._share = 1.0
        """The limit, as a part of the ceiling."""
        self._changed_at = now()
        self._shrunk_at = -SHRINK_PAUSE_SECONDS
        self.under_way = 0

    @property
    def limit(self) -> int:
        """Calls that may be under way now."""
        now = self._now()
        self._share = min(1.0, self._share + GROWTH_A_SECOND * (now - self._changed_at))
        self._changed_at = now
        return max(LEAST_CALLS, int(DEFERRABLE_SHARE * self._places() * self._share))

    @property
    def has_room(self) -> bool:
        """Whether one more call may begin."""
        return self.under_way < self.limit

    def note_refused(self) -> None:
        """Take note that a server was full."""
        now = self._now()
        if now - self._shrunk_at < SHRINK_PAUSE_SECONDS:
            return
        # What has grown since the last look counts first.
        limit = self.limit
        if limit > LEAST_CALLS:
            self._share *= SHRINK
        self._shrunk_at = now


class DeferrableCalls:
    """Lets calls that can wait begin in the order in which they came, a bounded number at once."""

    def __init__(self, directory: BackendDirectory) -> None:
        self._directory = directory
        self._limits: dict[str, DeferrableLimit] = {}
        self._waiting: dict[str, deque[Event]] = {}

    def limit_of(self, service: str) -> DeferrableLimit:
        """Return the limit of a service."""
        limit = self._limits.get(service)
        if limit is None:
            limit = self._limits[service] = DeferrableLimit(lambda: self._places(service))
            self._waiting[service] = deque()
        return limit

    def services(self) -> list[str]:
        """Return the services that have had such calls."""
        return list(self._limits)

    def waiting(self, service: str) -> int:
        """Return how many calls of a service wait."""
        return len(self._waiting.get(service, ()))

    @contextmanager
    def place(self, service: str, deadline: float) -> Iterator[bool]:
        """Hold a place for one call; False where none came free until the deadline."""
        limit = self.limit_of(service)
        if not self._await_turn(service, limit, deadline):
            yield False
            return
        limit.under_way += 1
        try:
            yield True
        finally:
            limit.under_way -= 1
            self._call_next(service, limit)

    def _await_turn(self, service: str, limit: DeferrableLimit, deadline: float) -> bool:
        waiting = self._waiting[service]
        if not waiting and limit.has_room:
            return True
        turn = Event()
        waiting.append(turn)
        try:
            while steady_seconds() < deadline:
                if waiting[0] is turn and limit.has_room:
                    return True
                # The limit grows by itself, so that a turn may come without a call's end.
                turn.wait(min(RECHECK_SECONDS, max(0.0, deadline - steady_seconds())))
                turn.clear()
            return False
        finally:
            waiting.remove(turn)
            self._call_next(service, limit)

    def _call_next(self, service: str, limit: DeferrableLimit) -> None:
        waiting = self._waiting[service]
        if waiting and limit.has_room:
            waiting[0].set()

    def _places(self, service: str) -> int:
        now = steady_seconds()
        servers = self._directory.of_service(service)
        return sum(max(1, one.backend.slots) for one in servers if not one.avoided(now))
