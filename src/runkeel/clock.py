"""Steady clock for ages, leases and deadlines."""

from __future__ import annotations

import time


def steady_seconds() -> float:
    """Return monotonic time in seconds that includes the time for which the machine is suspended.

    ``time.monotonic`` stops during a suspension, so a lease that expired meanwhile would look valid
    afterwards and orders would be sent under it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
