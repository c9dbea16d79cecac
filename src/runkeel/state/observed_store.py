"""A document store that remembers whether its calls have been answered lately."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from gevent.event import Event

from runkeel.api.documents import (
    CALL_TIMEOUT_SECONDS,
    Document,
    DocumentChanges,
    DocumentConflictError,
    DocumentKind,
    DocumentList,
    DocumentStore,
    Freshness,
    HistoryLostError,
)
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError

PROBE_SECONDS = 0.4
"""While the store fails, a node tries it so often that may have to coordinate."""

FOLLOWER_PROBE_SECONDS = 1.5
"""The same for a node that would rather follow: it learns from others that the store is back.

There are many of them, and each call to a store that is away has its price.
"""

OUTAGE_SECONDS = 2.0
"""After an outage of this length, from the first failure to the next answer, documents that need
heartbeats may have lapsed: servers do after 3.6 s without one, the last of which may have been
1.2 s before the outage (three heartbeats, and one, of the users' deployments).
"""

CERTAIN_OUTAGE_SECONDS = 0.5
"""The failures of an outage span so long at the least: one lost connection fails all calls that
wait on it at once. Below the shortest pause between two tries of an outage of 2 s, 0.8 s.
"""

RECENT_FAILURE_SECONDS = 3.0
"""An answer shows when the store came back only if a call has failed so shortly before. Nodes that
follow others try a store that is away each 1.5 s, and wait 1 s for its answer.
"""


class ObservedStore:
    """Passes every call on to a store and notes how it ended.

    Args:
        probe_seconds: while the store fails, it is tried so often.

    Attributes:
        failing_since: steady time of the first failure after the last answer, 0 when the last
            call was answered.
        returned_at: steady time of the first answer after the last outage that was long enough
            for documents to lapse, 0 before the first one.
    """

    def __init__(
        self, store: DocumentStore, probe_seconds: Callable[[], float] = lambda: PROBE_SECONDS
    ) -> None:
        self._store = store
        self._probe_seconds = probe_seconds
        self.failing_since = 0.0
        self.returned_at = 0.0
        self._failed_at = 0.0
        self._next_probe_at = 0.0
        self._regained = Event()

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return not self.failing_since

    def await_turn(self) -> None:
        """Wait, while the store fails, until it is back or this caller may try it again.

        Of all tasks that wait only one at a time tries, since refused calls have their price.
        """
        while self.failing_since:
            now = steady_seconds()
            if now >= self._next_probe_at:
                self._next_probe_at = now + self._probe_seconds()
                return
            self._regained.wait(self._next_probe_at - now)

    def list(
        self,
        kind: DocumentKind,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        freshness: Freshness = Freshness.CURRENT,
    ) -> DocumentList:
        """Return all documents of a kind."""
        with self._observed():
            return self._store.list(kind, timeout_seconds, freshness)

    def get(
        self,
        kind: DocumentKind,
        name: str,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        freshness: Freshness = Freshness.CURRENT,
    ) -> Document | None:
        """Return one document or None."""
        with self._observed():
            return self._store.get(kind, name, timeout_seconds, freshness)

    def create(
        self,
        kind: DocumentKind,
        name: str,
        content: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Document:
        """Create a document."""
        with self._observed():
            return self._store.create(kind, name, content, timeout_seconds)

    def replace(
        self,
        kind: DocumentKind,
        name: str,
        content: Any,
        expected_revision: int,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Document:
        """Replace the content if the revision is the expected one."""
        with self._observed():
            return self._store.replace(kind, name, content, expected_revision, timeout_seconds)

    def set_status(
        self,
        kind: DocumentKind,
        name: str,
        status: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Replace the status of a document that belongs to an operator."""
        with self._observed():
            self._store.set_status(kind, name, status, timeout_seconds)

    def delete(
        self, kind: DocumentKind, name: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        """Remove a document."""
        with self._observed():
            self._store.delete(kind, name, timeout_seconds)

    def watch(self, kind: DocumentKind, revision: int, wait_seconds: float) -> DocumentChanges:
        """Wait for changes of a kind after a revision."""
        with self._observed():
            return self._store.watch(kind, revision, wait_seconds)

    @contextlib.contextmanager
    def _observed(self) -> Iterator[None]:
        """Note how a call ends."""
        try:
            yield
        except (DocumentConflictError, HistoryLostError):
            self._answered()
            raise
        except RunkeelError:
            self._failed_at = steady_seconds()
            self.failing_since = self.failing_since or self._failed_at
            raise
        self._answered()

    def _answered(self) -> None:
        if self.failing_since:
            self._note_return(steady_seconds())
            self.failing_since = 0.0
            self._regained.set()
            self._regained = Event()

    def _note_return(self, now: float) -> None:
        """Take note of the end of an outage, if documents may have lapsed in it."""
        long = now - self.failing_since >= OUTAGE_SECONDS
        certain = self._failed_at - self.failing_since >= CERTAIN_OUTAGE_SECONDS
        if long and certain and now - self._failed_at <= RECENT_FAILURE_SECONDS:
            self.returned_at = now
