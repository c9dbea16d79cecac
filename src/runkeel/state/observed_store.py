"""A document store that remembers whether its calls have been answered lately."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from gevent.event import Event

from runkeel.api.documents import DocumentConflictError, DocumentStore, HistoryLostError
from runkeel.errors import RunkeelError

PROBE_SECONDS = 0.4
"""While the store fails, a node tries it so often."""

_CALLS = ("list", "get", "create", "replace", "set_status", "delete", "watch")


class ObservedStore:
    """Passes every call on to a store and notes how it ended.

    Attributes:
        failing_since: monotonic time of the first failure after the last answer, 0 when the last
            call was answered.
    """

    def __init__(self, store: DocumentStore) -> None:
        self.failing_since = 0.0
        self._next_probe_at = 0.0
        self._regained = Event()
        for name in _CALLS:
            setattr(self, name, self._observed(getattr(store, name)))

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return not self.failing_since

    def await_turn(self) -> None:
        """Wait, while the store fails, until it is back or this caller may try it again.

        Of all tasks that wait only one at a time tries, since refused calls have their price.
        """
        while self.failing_since:
            now = time.monotonic()
            if now >= self._next_probe_at:
                self._next_probe_at = now + PROBE_SECONDS
                return
            self._regained.wait(self._next_probe_at - now)

    def _answered(self) -> None:
        if self.failing_since:
            self.failing_since = 0.0
            self._regained.set()
            self._regained = Event()

    def _observed(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def observed(*arguments: Any, **named: Any) -> Any:
            try:
                result = call(*arguments, **named)
            except (DocumentConflictError, HistoryLostError):
                self._answered()
                raise
            except RunkeelError:
                self.failing_since = self.failing_since or time.monotonic()
                raise
            self._answered()
            return result

        return observed
