"""How many loads the weight store bears now."""

from __future__ import annotations

import time
from collections.abc import Callable

from runkeel.errors import RunkeelError
from runkeel.platform.weight_store import StoreLimits
from runkeel.weights import metrics

LIMITS_MAXIMUM_AGE_SECONDS = 10.0
PROBE_SPACING_SECONDS = 2.0
"""While the store can't be read, one engine at a time tries, this long after the last."""

ReadLimits = Callable[[], StoreLimits]


class StoreGate:
    """The store's load limit, read rarely and by the permit coordinator only.

    While the store can't be read, only one engine at a time is let through as a probe: the
    store may be reachable from engines though not from here, and after an outage nobody
    rushes at it.
    """

    def __init__(
        self, read_limits: ReadLimits, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._read_limits = read_limits
        self._clock = clock
        self._limits: StoreLimits | None = None
        self._read_at = float("-inf")
        self._probe_at = float("-inf")

    def refresh(self) -> None:
        """Read the limits again if they are old; blocks for the store's time-out at most."""
        maximum_age = LIMITS_MAXIMUM_AGE_SECONDS if self._limits else PROBE_SPACING_SECONDS
        if self._clock() - self._read_at < maximum_age:
            return
        self._read_at = self._clock()
        try:
            self._limits = self._read_limits()
            metrics.STORE_PROBES.labels("ok").inc()
        except RunkeelError:
            self._limits = None
            metrics.STORE_PROBES.labels("unavailable").inc()

    def suspect(self) -> None:
        """Note that a load failed: read the limits again before trusting them."""
        if self._limits is not None:
            self._read_at = float("-inf")

    def limit(self) -> int:
        """Return how many loads may run at once."""
        if self._limits is not None:
            return self._limits.concurrent_loads
        return 1 if self._clock() - self._probe_at >= PROBE_SPACING_SECONDS else 0

    def note_granted(self) -> None:
        """Note that engines were let through."""
        self._probe_at = self._clock()
