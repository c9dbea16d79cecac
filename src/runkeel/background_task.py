"""A task that goes on until it is stopped."""

from __future__ import annotations

from collections.abc import Callable

import gevent


class BackgroundTask:
    """Runs a function in a task of its own; may be started anew after a stop.

    Args:
        run: the function; it commonly loops until it is ended.
    """

    def __init__(self, run: Callable[[], None]) -> None:
        self._run = run
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the task; one that runs already is ended first."""
        self.stop()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the task; does not wait for it."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._greenlet = None
