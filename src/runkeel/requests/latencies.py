"""Recent latencies of a service, for the delay of hedged requests."""

from __future__ import annotations

from collections import deque

WINDOW = 512
MINIMUM_SAMPLES = 50
RECOMPUTE_INTERVAL = 64


class LatencyQuantile:
    """A quantile over the last answers, recomputed now and then."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=WINDOW)
        self._since_computed = 0
        self._sorted: list[float] = []

    def add(self, seconds: float) -> None:
        """Note the latency of an answered attempt."""
        self._samples.append(seconds)
        self._since_computed += 1
        if self._since_computed >= RECOMPUTE_INTERVAL or len(self._samples) == MINIMUM_SAMPLES:
            self._sorted = sorted(self._samples)
            self._since_computed = 0

    def value(self, quantile: float) -> float | None:
        """Return the quantile in s, or None while there are too few samples."""
        if len(self._sorted) < MINIMUM_SAMPLES:
            return None
        return self._sorted[min(len(self._sorted) - 1, int(quantile * len(self._sorted)))]
