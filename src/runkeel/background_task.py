"""A background greenlet that runs until it is stopped."""

from __future__ import annotations

from collections.abc import Callable

import gevent


class BackgroundTask:
    """Runs a function in its own greenlet; can be restarted after a stop.

    Args:
        run: the function, usually an endless loop.
    """

    def __init__(self, run: Callable[[], None]) -> None:
        self._run = run
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the task, and kill the previous run if there is one."""
        self.stop()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Kill the task without waiting for its end."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._greenlet = None
