"""A document store that remembers whether its calls have been answered lately."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from runkeel.api.documents import DocumentConflictError, DocumentStore, HistoryLostError
from runkeel.errors import RunkeelError

_CALLS = ("list", "get", "create", "replace", "set_status", "delete", "watch")


class ObservedStore:
    """Passes every call on to a store and notes how it ended.

    Attributes:
        failing_since: monotonic time of the first failure after the last answer, 0 when the last
            call was answered.
    """

    def __init__(self, store: DocumentStore) -> None:
        self.failing_since = 0.0
        for name in _CALLS:
            setattr(self, name, self._observed(getattr(store, name)))

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return not self.failing_since

    def _observed(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def observed(*arguments: Any, **named: Any) -> Any:
            try:
                result = call(*arguments, **named)
            except (DocumentConflictError, HistoryLostError):
                self.failing_since = 0.0
                raise
            except RunkeelError:
                self.failing_since = self.failing_since or time.monotonic()
                raise
            self.failing_since = 0.0
            return result

        return observed
