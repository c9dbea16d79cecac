"""When a caller whose request found no room may come back, told from what the servers are like.

A caller that comes back too early finds the same, and has mostly one retry; one that is told to
come too late misses its time though there is room.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from runkeel.gateway.backends import BackendState

SHORTEST_SECONDS = 0.05
"""Sooner nothing has changed: a request takes some hundredths of a second."""

LONGEST_SECONDS = 1.0
"""Later a caller's time is over: aims are 0.15 to 0.5 s, deadlines 0.8 s and more."""

UNKNOWN_ANSWER_SECONDS = 0.1
"""A full server has a place again after about one request; so long where none was timed yet."""

NO_SERVER_SECONDS = 0.5
"""Where no server is known, or all have ended: so long takes a restart at the least."""

JITTER = 0.3
"""Callers that were refused at one moment come back spread over so large a part of the time."""


def estimate_retry_after(servers: Iterable[BackendState], now: float) -> float:
    """Return after how long a request may find room.

    Args:
        servers: those of the service that take new work.
        now: steady time.
    """
    waits = [_wait(one, now) for one in servers]
    soonest = min(waits, default=NO_SERVER_SECONDS)
    spread = soonest * random.uniform(1.0, 1.0 + JITTER)
    return min(LONGEST_SECONDS, max(SHORTEST_SECONDS, spread))


def _wait(state: BackendState, now: float) -> float:
    """Return after how long one server may have room."""
    if state.ended:
        return NO_SERVER_SECONDS
    if state.failures:
        # Connections or answers were lost: it is left until its pause is over.
        return max(0.0, state.avoid_until - now)
    return state.average_response_seconds or UNKNOWN_ANSWER_SECONDS
