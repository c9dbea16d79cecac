"""Notices that this process was paused (stopped, swapped out, its machine suspended)."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from loguru import logger

from runkeel.requests.metrics import PAUSES

PAUSE_THRESHOLD_SECONDS = 1.0
TURN_INTERVAL_SECONDS = 0.1
SETTLING_SECONDS = 0.1


class PauseWatch:
    """Counts the pauses of the process.

    A task of its own takes a turn each 0.1 s. Any other task may ask for the epoch at any time: the
    question itself compares the clock with the last turn, so that a task which runs before the
    watch's own task after a pause notices the pause too.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._last_turn = clock()
        self._epoch = 0
        self._resumed_at = -SETTLING_SECONDS
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the watch's own task."""
        self._last_turn = self._clock()
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the watch's own task."""
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

    def settling(self) -> bool:
        """Return whether the process has only just resumed.

        What is read from sockets then may have waited there through the pause.
        """
        self.epoch()
        return self._clock() - self._resumed_at < SETTLING_SECONDS and self._epoch > 0

    def _run(self) -> None:
        while True:
            gevent.sleep(TURN_INTERVAL_SECONDS)
            self.epoch()
