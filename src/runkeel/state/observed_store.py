"""A document store wrapper that tracks outages and recoveries of the store."""

from __future__ import annotations

import contextlib
import math
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
    DocumentRejectedError,
    DocumentStore,
    Freshness,
    HistoryDiscardedError,
)
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError

PROBE_INTERVAL_SECONDS = 0.4
"""Interval between calls to a failing store on a preferred node, or one not configured yet."""

NOT_PREFERRED_PROBE_INTERVAL_SECONDS = 1.5
"""Interval between calls to a failing store on a configured node that is not preferred.

Longer, since such nodes are many and learn from other nodes that the store has recovered.
"""

MIN_OUTAGE_SECONDS = 2.0
"""Minimum duration of an outage in which documents that need heartbeats may have expired.

It counts from the first failure, or from the last confirmation before it, to the next response.
Server entries expire after 3.6 s without a heartbeat, and the last one may have been sent 1.2 s
before the outage.
"""

MIN_FAILURE_SPAN_SECONDS = 0.5
"""Minimum time between the first and the last failure of an outage.

If a connection is lost, all calls that wait on it fail at once, which is not an outage. On a
configured node that is not preferred, two failed probes suffice: they start 1.5 s apart, and the
first one fails within 1 s.
"""

MAX_FAILURE_AGE_SECONDS = 3.0
"""Maximum time between the last failure and the next response of an outage.

After a longer time, the response does not show when the store recovered. Configured nodes that are
not preferred call a failing store every 1.5 s and wait 1 s for the response.
"""

MAX_UNNOTICED_OUTAGE_SECONDS = 3.0
"""Maximum time by which an outage may precede the first failure that this node noticed."""


class ObservedStore:
    """Forwards every call to a store and records whether the store responded.

    Args:
        probe_interval_seconds: returns the interval between calls while the store fails.
        confirmed_at: returns the steady time, in seconds, as of which another node's copies show
            that the store responded. A node that relies on them calls the store, and notices an
            outage, only once they are too old.

    Attributes:
        failing_since: steady time, in seconds, of the first failure after the last response; 0 if
            the last call got a response.
        recovered_at: steady time, in seconds, of the first response after the last outage that was
            long enough for documents to expire; 0 before the first one.
    """

    def __init__(
        self,
        store: DocumentStore,
        probe_interval_seconds: Callable[[], float] = lambda: PROBE_INTERVAL_SECONDS,
        confirmed_at: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self._confirmed_at = confirmed_at
        self._unnoticed_seconds = 0.0
        """Maximum time by which the outage began before this node noticed a failure."""
        self._store = store
        self._probe_interval_seconds = probe_interval_seconds
        self.failing_since = 0.0
        self.recovered_at = 0.0
        self._failed_at = 0.0
        self._next_probe_at = 0.0
        self._recovered = Event()

    @property
    def reachable(self) -> bool:
        """Whether the last call got a response."""
        return not self.failing_since

    def await_turn(self) -> None:
        """Wait until a failing store has recovered or the caller may probe it.

        Only one of the waiting tasks probes per interval, to limit the number of failing calls.
        """
        while self.failing_since:
            now = steady_seconds()
            if now >= self._next_probe_at:
                self._next_probe_at = now + self._probe_interval_seconds()
                return
            self._recovered.wait(self._next_probe_at - now)

    def list(
        self,
        kind: DocumentKind,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        freshness: Freshness = Freshness.CURRENT,
    ) -> DocumentList:
        """Return all documents of a kind."""
        with self._observe_call():
            return self._store.list(kind, timeout_seconds, freshness)

    def get(
        self,
        kind: DocumentKind,
        name: str,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        freshness: Freshness = Freshness.CURRENT,
    ) -> Document | None:
        """Return one document or None."""
        with self._observe_call():
            return self._store.get(kind, name, timeout_seconds, freshness)

    def create(
        self,
        kind: DocumentKind,
        name: str,
        content: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Document:
        """Create a document."""
        with self._observe_call():
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
        with self._observe_call():
            return self._store.replace(kind, name, content, expected_revision, timeout_seconds)

    def set_status(
        self,
        kind: DocumentKind,
        name: str,
        status: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Replace the status of a document that belongs to an operator."""
        with self._observe_call():
            self._store.set_status(kind, name, status, timeout_seconds)

    def delete(
        self, kind: DocumentKind, name: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        """Remove a document."""
        with self._observe_call():
            self._store.delete(kind, name, timeout_seconds)

    def watch(self, kind: DocumentKind, revision: int, wait_seconds: float) -> DocumentChanges:
        """Wait for changes of a kind after a revision."""
        with self._observe_call():
            return self._store.watch(kind, revision, wait_seconds)

    @contextlib.contextmanager
    def _observe_call(self) -> Iterator[None]:
        """Record a call's outcome; conflicts, rejections and lost history count as responses."""
        try:
            yield
        except (DocumentConflictError, DocumentRejectedError, HistoryDiscardedError):
            self._on_response()
            raise
        except RunkeelError:
            self._on_failure()
            raise
        self._on_response()

    def _on_failure(self) -> None:
        self._failed_at = steady_seconds()
        if self.failing_since:
            return
        self.failing_since = self._failed_at
        unnoticed_seconds = self.failing_since - self._confirmed_at()
        relies_on_copies = unnoticed_seconds <= MAX_UNNOTICED_OUTAGE_SECONDS
        self._unnoticed_seconds = unnoticed_seconds if relies_on_copies else 0.0

    def _on_response(self) -> None:
        if self.failing_since:
            self._record_recovery(steady_seconds())
            self.failing_since = 0.0
            self._recovered.set()
            self._recovered = Event()

    def _record_recovery(self, now: float) -> None:
        """Record a recovery if documents may have expired during the outage."""
        outage_since = self.failing_since - self._unnoticed_seconds
        long_enough = now - outage_since >= MIN_OUTAGE_SECONDS
        span_long_enough = self._failed_at - outage_since >= MIN_FAILURE_SPAN_SECONDS
        if long_enough and span_long_enough and now - self._failed_at <= MAX_FAILURE_AGE_SECONDS:
            self.recovered_at = now
