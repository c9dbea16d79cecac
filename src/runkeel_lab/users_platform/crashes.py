"""Requests under which the servers that run them end, and what became of each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from runkeel.clock import steady_seconds


@dataclass(frozen=True, slots=True)
class CrashEvent:
    """A request at a server: it began to run it, or ended under it; ``at`` is steady time."""

    at: float
    path: str
    server_id: str


class CrashPlan:
    """Which requests end their servers; shared by all servers of a deployment.

    Args:
        on_ended: called with each server that has ended, to start another one in its place.

    Attributes:
        paths: requests to these end the server that runs them.
        seconds: from the beginning of the run to the server's end.
        restart_seconds: from its end to the start of the next server in its place.
        keeps_id: the next server bears the same id.
    """

    def __init__(self, on_ended: Callable[[Any], None]) -> None:
        self._on_ended = on_ended
        self.paths: set[str] = set()
        self.seconds = 0.02
        self.restart_seconds = 0.4
        self.keeps_id = False
        self.reached: list[CrashEvent] = []
        self.ended: list[CrashEvent] = []

    def crashes(self, path: str) -> bool:
        """Return whether a request ends the server that runs it."""
        return path in self.paths

    def note_reached(self, path: str, server_id: str) -> None:
        """Take note that a server begins to run such a request."""
        self.reached.append(CrashEvent(steady_seconds(), path, server_id))

    def note_ended(self, path: str, server: Any) -> None:
        """Take note that a server has ended under such a request."""
        self.ended.append(CrashEvent(steady_seconds(), path, server.server_id))
        self._on_ended(server)

    def reached_late(self, path: str, seconds: float, ends: int = 3) -> int:
        """Return how often servers were reached so long after the last of the first ends."""
        of_path = [event.at for event in self.ended if event.path == path]
        if len(of_path) < ends:
            return 0
        limit = of_path[ends - 1] + seconds
        return sum(1 for event in self.reached if event.path == path and event.at > limit)
