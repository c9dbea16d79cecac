"""How late this process's timers are: the first sign that it has more to do than it can."""

from __future__ import annotations

import gevent
from loguru import logger

from runkeel.background_task import BackgroundTask
from runkeel.clock import steady_seconds
from runkeel.metrics import LOOP_LATE_SECONDS

INTERVAL_SECONDS = 0.1
"""Length of each sleep that is measured. Chosen, not measured."""

TOLD_SECONDS = 0.3
"""A lateness from which it is logged: peers wait 0.35 s for the answer to a ping."""

MEMORY_SECONDS = 1.0
"""The lateness told is the largest one of so long."""


class Lateness:
    """Sleeps for a short time, again and again, and notes how much later it wakes up."""

    def __init__(self) -> None:
        self._recent: list[tuple[float, float]] = []
        self._told_at = 0.0
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        """Start to measure."""
        self._task.start()

    def stop(self) -> None:
        """Stop to measure."""
        self._task.stop()

    def seconds(self) -> float:
        """Return how late the latest timers were, the largest of the last second."""
        oldest = steady_seconds() - MEMORY_SECONDS
        return max((late for at, late in self._recent if at >= oldest), default=0.0)

    def _tell(self, late: float, now: float) -> None:
        """Log that the process was late, once a second at most."""
        if late >= TOLD_SECONDS and now - self._told_at >= MEMORY_SECONDS:
            self._told_at = now
            logger.warning("timers are late", code="process_late", ms=int(late * 1000))

    def _run(self) -> None:
        while True:
            due = steady_seconds() + INTERVAL_SECONDS
            gevent.sleep(INTERVAL_SECONDS)
            now = steady_seconds()
            late = max(0.0, now - due)
            LOOP_LATE_SECONDS.observe(late)
            self._tell(late, now)
            self._recent = [one for one in self._recent if one[0] >= now - MEMORY_SECONDS]
            self._recent.append((now, late))
