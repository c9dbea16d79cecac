"""The time of day, without the jumps that a machine's clock may make."""

from __future__ import annotations

import statistics
import time
from collections import deque

from runkeel.clock import steady_seconds

SAMPLES = 61
"""The clock goes by the median of so many comparisons with the steady clock, one a second.

A clock that jumps and is set right within half a minute moves nothing.
"""

SAMPLE_SECONDS = 1.0
"""Time between two comparisons."""


class SteadyWallClock:
    """Seconds since the epoch, carried on by the machine's steady clock."""

    def __init__(self) -> None:
        self._offsets: deque[float] = deque(maxlen=SAMPLES)
        self._sampled_at = -SAMPLE_SECONDS
        self._offset = 0.0

    def time(self) -> float:
        """Return the seconds since the epoch."""
        now = steady_seconds()
        if not self._offsets or now - self._sampled_at >= SAMPLE_SECONDS:
            self._sampled_at = now
            self._offsets.append(time.time() - now)
            self._offset = statistics.median(self._offsets)
        return now + self._offset
