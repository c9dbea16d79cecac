"""Monitors event loop lag, the first sign that this process is overloaded."""

from __future__ import annotations

import gevent
from loguru import logger

from runkeel.background_task import BackgroundTask
from runkeel.clock import steady_seconds
from runkeel.metrics import EVENT_LOOP_LAG_SECONDS

SAMPLE_INTERVAL_SECONDS = 0.1

WARNING_THRESHOLD_SECONDS = 0.3
"""Lag from which a warning is logged; peers wait 0.35 s for the response to a ping."""

WINDOW_SECONDS = 1.0
"""Time over which the maximum lag is reported, and minimum interval between warnings."""


class LoopLagMonitor:
    """Sleeps repeatedly for a short time and measures how late it wakes up."""

    def __init__(self) -> None:
        self._samples: list[tuple[float, float]] = []
        self._last_warning_at = 0.0
        self._task = BackgroundTask(self._run)

    def start(self) -> None:
        self._task.start()

    def stop(self) -> None:
        self._task.stop()

    def max_lag_seconds(self) -> float:
        """Return the maximum lag in seconds within the last :data:`WINDOW_SECONDS`."""
        oldest = steady_seconds() - WINDOW_SECONDS
        return max((lag for at, lag in self._samples if at >= oldest), default=0.0)

    def _warn_if_high(self, lag: float, now: float) -> None:
        if lag >= WARNING_THRESHOLD_SECONDS and now - self._last_warning_at >= WINDOW_SECONDS:
            self._last_warning_at = now
            logger.warning("event loop lag is high", code="process_late", ms=int(lag * 1000))

    def _run(self) -> None:
        while True:
            due = steady_seconds() + SAMPLE_INTERVAL_SECONDS
            gevent.sleep(SAMPLE_INTERVAL_SECONDS)
            now = steady_seconds()
            lag = max(0.0, now - due)
            EVENT_LOOP_LAG_SECONDS.observe(lag)
            self._warn_if_high(lag, now)
            self._samples = [
                sample for sample in self._samples if sample[0] >= now - WINDOW_SECONDS
            ]
            self._samples.append((now, lag))
