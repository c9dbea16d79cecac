"""Load reports that lag behind the engine."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass

MIN_INTERVAL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine at one moment; the field names are the wire form's."""

    running: int
    waiting: int
    max_running: int
    kv_used_blocks: int
    kv_total_blocks: int
    ready: bool
    model: str
    weight_version: int
    adapters: tuple[str, ...]
    role: str
    fence: int
    swap: str
    swap_order_id: str


class LaggingReports:
    """Remembers reports for the time of the lag."""

    def __init__(self, lag_seconds: float, first: EngineReport) -> None:
        self._lag_seconds = lag_seconds
        self._reports: deque[tuple[float, EngineReport]] = deque([(float("-inf"), first)])

    def due(self) -> bool:
        """Return whether the newest report is old enough for a next one."""
        return time.monotonic() - self._reports[-1][0] >= MIN_INTERVAL_SECONDS

    def record(self, report: EngineReport) -> None:
        """Remember the state as of now."""
        now = time.monotonic()
        self._reports.append((now, report))
        self._forget(now - self._lag_seconds)

    def lagging(self) -> tuple[EngineReport, float]:
        """Return the report in force a lag ago, and its age in seconds."""
        now = time.monotonic()
        shown_at = now - self._lag_seconds
        self._forget(shown_at)
        recorded_at, report = self._reports[0]
        return report, now - max(recorded_at, shown_at)

    def _forget(self, moment: float) -> None:
        """Drop the reports that were superseded before a moment."""
        while len(self._reports) > 1 and self._reports[1][0] <= moment:
            self._reports.popleft()
