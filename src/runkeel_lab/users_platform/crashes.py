"""Requests that crash the servers running them, and a record of these crashes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from runkeel.clock import steady_seconds


@dataclass(frozen=True, slots=True)
class CrashEvent:
    """A server started to run a crashing request, or crashed; ``at`` is steady time in seconds."""

    at: float
    path: str
    server_id: str


class CrashPlan:
    """Defines which requests crash servers; shared by all servers of a deployment.

    Args:
        on_crash: called with each crashed server, to start its replacement.

    Attributes:
        paths: a request to one of these paths crashes the server that runs it.
        crash_delay_seconds: time from the start of the run to the crash.
        restart_seconds: time from the crash to the start of the replacement.
        reuse_id: whether the replacement is started under the same id.
        reached: one event for each time that a server started to run a crashing request.
        ended: one event for each crash by a request.
    """

    def __init__(self, on_crash: Callable[[Any], None]) -> None:
        self._on_crash = on_crash
        self.paths: set[str] = set()
        self.crash_delay_seconds = 0.02
        self.restart_seconds = 0.4
        self.reuse_id = False
        self.reached: list[CrashEvent] = []
        self.ended: list[CrashEvent] = []

    def crashes(self, path: str) -> bool:
        """Return whether a request to this path crashes the server that runs it."""
        return path in self.paths

    def record_reached(self, path: str, server_id: str) -> None:
        """Record that a server starts to run a crashing request."""
        self.reached.append(CrashEvent(steady_seconds(), path, server_id))

    def record_crash(self, path: str, server: Any) -> None:
        """Record that a server has crashed, and start its replacement."""
        self.ended.append(CrashEvent(steady_seconds(), path, server.server_id))
        self._on_crash(server)

    def count_late_runs(self, path: str, seconds: float, crash_count: int = 3) -> int:
        """Count the runs of a path that started over ``seconds`` after crash ``crash_count``."""
        of_path = [event.at for event in self.ended if event.path == path]
        if len(of_path) < crash_count:
            return 0
        limit = of_path[crash_count - 1] + seconds
        return sum(1 for event in self.reached if event.path == path and event.at > limit)
