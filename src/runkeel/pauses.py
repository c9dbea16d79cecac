"""Notices that this process was paused: stopped, swapped out, suspended, or its loop starved.

After a pause, what the process believes may be old: leases, ownership, deadlines, queued work.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from loguru import logger
from prometheus_client import Counter

TURN_INTERVAL_SECONDS = 0.1
PAUSE_THRESHOLD_SECONDS = 1.0
"""A gap between two turns longer than this is a pause."""

PAUSES = Counter("runkeel_process_pauses_total", "Pauses of the process that were noticed")


class PauseDetector:
    """Counts the pauses of the process.

    A task of its own takes a turn each 0.1 s. Any other task may ask at any time: the question
    itself compares the clock with the last turn, so that a task which runs before the detector's
    own task after a pause notices the pause too.

    The clock is monotonic. CLOCK_MONOTONIC stands still while Linux suspends a machine, so
    CLOCK_BOOTTIME is used where the system has it.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self._clock = clock or _boot_time_clock()
        self._last_turn = self._clock()
        self._epoch = 0
        self._resumed_at = 0.0
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the detector's own task."""
        self._last_turn = self._clock()
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the detector's own task."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def epoch(self) -> int:
        """Return the number of pauses so far; equal before and after means not paused."""
        now = self._clock()
        if now - self._last_turn > PAUSE_THRESHOLD_SECONDS:
            self._epoch += 1
            self._resumed_at = now
            PAUSES.inc()
            logger.warning("paused for {:.1f} s", now - self._last_turn, code="process_paused")
        self._last_turn = now
        return self._epoch

    def settled(self, seconds: float) -> bool:
        """Return whether no pause lies within the last ``seconds``."""
        return self.epoch() == 0 or self._clock() - self._resumed_at >= seconds

    def _run(self) -> None:
        while True:
            gevent.sleep(TURN_INTERVAL_SECONDS)
            self.epoch()


def _boot_time_clock() -> Callable[[], float]:
    if hasattr(time, "CLOCK_BOOTTIME"):
        return lambda: time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic
