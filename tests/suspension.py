"""Suspends the machine, as far as a process can tell: all clocks but the steady one jump."""

import contextlib
import time
from unittest import mock


@contextlib.contextmanager
def suspended_for(seconds):
    """Let the code inside run on a machine that has just woken from a suspension."""
    clock_gettime, wall = time.clock_gettime, time.time

    def jumped(clock_id):
        late = seconds if clock_id in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME) else 0.0
        return clock_gettime(clock_id) + late

    with (
        mock.patch("time.clock_gettime", jumped),
        mock.patch("time.time", lambda: wall() + seconds),
    ):
        yield
