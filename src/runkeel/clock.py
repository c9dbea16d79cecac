"""The steady clock by which ages, leases and deadlines are told."""

from __future__ import annotations

import time


def steady_seconds() -> float:
    """Return seconds that never go back and go on while the machine is suspended.

    ``time.monotonic`` stands still meanwhile: a lease that lapsed then would look valid after the
    machine wakes, and orders would be sent under it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
