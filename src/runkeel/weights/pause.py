"""Detection of pauses of this process (suspended machine, stopped process, starved loop)."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

TICK_SECONDS = 0.2
PAUSE_SECONDS = 1.5
"""A gap between two ticks longer than this is a pause."""
SETTLE_SECONDS = 2.0
"""After a pause, how long membership and configuration need to catch up."""


class PauseDetector:
    """Says when what this process believes may be old because it did not run for a while.

    The clock is monotonic. CLOCK_MONOTONIC stands still while Linux suspends a machine, so
    CLOCK_BOOTTIME is used where the system has it.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self._clock = clock or _boot_time_clock()
        self._last_tick = self._clock()
        self._settled_at = 0.0
        self._task: gevent.Greenlet | None = None
        self.pauses = 0

    def start(self) -> None:
        """Start ticking."""
        self._last_tick = self._clock()
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop ticking."""
        if self._task is not None:
            self._task.kill()

    def tick(self) -> None:
        """Note that the process runs; finds the pause if there was one."""
        now = self._clock()
        if now - self._last_tick > PAUSE_SECONDS:
            self.pauses += 1
            self._settled_at = now + SETTLE_SECONDS
        self._last_tick = now

    def settled(self) -> bool:
        """Return whether no pause lies within the last SETTLE_SECONDS.

        Ticks first: after a pause the caller may run before the ticking task does.
        """
        self.tick()
        return self._clock() >= self._settled_at

    def _run(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            self.tick()


def _boot_time_clock() -> Callable[[], float]:
    if hasattr(time, "CLOCK_BOOTTIME"):
        return lambda: time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic
