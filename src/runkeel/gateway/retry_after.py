"""Estimates Retry-After for a request that was rejected because no server had a free slot.

The estimate follows the state of the servers: most callers retry once, so a retry that comes too
early fails again, and one that comes too late misses the caller's deadline.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from runkeel.gateway.backends import BackendState

MIN_RETRY_SECONDS = 0.05
"""Lower bound of the estimate, about the duration of a short request."""

MAX_RETRY_SECONDS = 1.0
"""Upper bound of the estimate, so that a retry can still meet the caller's deadline."""

DEFAULT_RESPONSE_SECONDS = 0.1
"""Assumed time until a full server frees a slot if its response time is unknown."""

RESTART_SECONDS = 0.5
"""Estimate for a server that has ended, or if no server is known: time of a restart."""

JITTER_FRACTION = 0.3
"""Maximum random increase of the estimate, as a fraction, to spread simultaneous retries."""


def estimate_retry_after(servers: Iterable[BackendState], now: float) -> float:
    """Return the time, in seconds, after which a retry may find a free slot.

    Args:
        servers: the servers of the service that take new work.
        now: steady clock time, in seconds.
    """
    waits = [_seconds_until_free_slot(one, now) for one in servers]
    soonest = min(waits, default=RESTART_SECONDS)
    jittered = soonest * random.uniform(1.0, 1.0 + JITTER_FRACTION)
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, jittered))


def _seconds_until_free_slot(state: BackendState, now: float) -> float:
    """Return the time, in seconds, after which a server may have a free slot."""
    if state.ended:
        return RESTART_SECONDS
    if state.failures:
        # After lost connections or responses the server is avoided until its ejection ends.
        return max(0.0, state.avoid_until - now)
    return state.average_response_seconds or DEFAULT_RESPONSE_SECONDS
