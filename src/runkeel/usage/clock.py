"""Wall-clock time without the jumps of the machine's clock."""

from __future__ import annotations

import statistics
import time
from collections import deque

from runkeel.clock import steady_seconds

SAMPLE_COUNT = 61
"""Number of samples of the offset between wall clock and steady clock; their median is used.

A jump of the wall clock that is corrected within half of these samples has no effect.
"""

SAMPLE_INTERVAL_SECONDS = 1.0
"""Time between two samples."""


class SteadyWallClock:
    """Seconds since the Unix epoch, derived from the machine's steady clock."""

    def __init__(self) -> None:
        self._offsets: deque[float] = deque(maxlen=SAMPLE_COUNT)
        self._sampled_at = -SAMPLE_INTERVAL_SECONDS
        self._offset = 0.0

    def time(self) -> float:
        """Return the seconds since the Unix epoch."""
        now = steady_seconds()
        if not self._offsets or now - self._sampled_at >= SAMPLE_INTERVAL_SECONDS:
            self._sampled_at = now
            self._offsets.append(time.time() - now)
            self._offset = statistics.median(self._offsets)
        return now + self._offset
