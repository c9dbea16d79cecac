"""Simulates a suspension of the machine by shifting the clocks that a process reads."""

import contextlib
import time
from unittest import mock


@contextlib.contextmanager
def suspended_for(seconds):
    """Run the block as if the machine had just resumed from a suspension of some seconds."""
    clock_gettime, wall = time.clock_gettime, time.time

    def shifted_clock_gettime(clock_id):
        offset = seconds if clock_id in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME) else 0.0
        return clock_gettime(clock_id) + offset

    with (
        mock.patch("time.clock_gettime", shifted_clock_gettime),
        mock.patch("time.time", lambda: wall() + seconds),
    ):
        yield
