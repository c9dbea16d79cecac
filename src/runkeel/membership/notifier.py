"""Runs the callbacks of membership outside of the tasks that receive and probe."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

PAUSE_RATIO = 4.0
"""The callbacks of changes are followed by a pause of so many times what they took."""

LONGEST_PAUSE_SECONDS = 0.5


def pause_seconds(elapsed: float) -> float:
    """Return the pause after callbacks that have taken ``elapsed`` seconds."""
    return min(LONGEST_PAUSE_SECONDS, PAUSE_RATIO * elapsed)


class Notifier:
    """Calls back about changes, coalesced, and about one state mismatch at a time."""

    def __init__(self) -> None:
        self._change_callbacks: list[Callable[[], None]] = []
        self._mismatch_callbacks: list[Callable[[str], None]] = []
        self._changed = Event()
        self._tasks: list[gevent.Greenlet] = []
        self._mismatch_task: gevent.Greenlet | None = None

    @property
    def mismatch_running(self) -> bool:
        """Whether the callbacks of the last mismatch still run."""
        return self._mismatch_task is not None and not self._mismatch_task.dead

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes."""
        self._change_callbacks.append(callback)

    def on_mismatch(self, callback: Callable[[str], None]) -> None:
        """Register a callback for state mismatches."""
        self._mismatch_callbacks.append(callback)

    def report_change(self) -> None:
        """Have the change callbacks run soon."""
        self._changed.set()

    def report_mismatch(self, node_id: str) -> None:
        """Run the mismatch callbacks in a task of their own."""
        self._mismatch_task = gevent.spawn(self._call, self._mismatch_callbacks, node_id)

    def start(self) -> None:
        """Start to call back."""
        self._tasks = [gevent.spawn(self._run)]

    def stop(self) -> None:
        """Stop to call back."""
        tasks = [*self._tasks, self._mismatch_task]
        current = gevent.getcurrent()
        gevent.killall([task for task in tasks if task and task is not current], timeout=1.0)

    def _run(self) -> None:
        while True:
            self._changed.wait()
            self._changed.clear()
            started_at = time.monotonic()
            self._call(self._change_callbacks)
            # In a storm of changes, as when a large zone starts, the callbacks must leave the
            # time to answer probes: else this node is suspected, which is one change more.
            gevent.sleep(pause_seconds(time.monotonic() - started_at))

    def _call(self, callbacks: list[Callable[..., None]], *arguments: str) -> None:
        for callback in callbacks:
            try:
                callback(*arguments)
            except Exception as error:
                logger.opt(exception=error).error("membership callback failed", code="internal")
