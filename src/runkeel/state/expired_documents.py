"""Retains documents that expired during a store outage until their owners can rewrite them."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from loguru import logger

from runkeel.api.documents import DocumentKind
from runkeel.clock import steady_seconds

MAX_LOGGED_NAMES = 20
"""Maximum number of document names in a log line."""


class ExpiredDocuments:
    """Tracks documents of one kind that are missing from the store since an outage.

    A document that needs heartbeats expires during an outage although its owner is alive. Live
    owners write it again soon after the store recovers; documents still missing after the grace
    period are removed.

    Args:
        grace_seconds: how long documents are retained after the end of an outage; 0 disables
            retention.
        recovered_at: returns the steady time, in seconds, at which the store recovered from the
            last outage long enough for documents to expire; 0 before the first one. It is
            determined per node, not per watcher, because all tasks of a node take turns probing a
            failed store.
        remove: removes a document from the copy.
    """

    def __init__(
        self,
        kind: DocumentKind,
        grace_seconds: float,
        recovered_at: Callable[[], float],
        remove: Callable[[str], None],
    ) -> None:
        self._kind = kind
        self._grace_seconds = grace_seconds
        self._recovered_at = recovered_at
        self._remove = remove
        self._retained: set[str] = set()
        self._ends_at = 0.0
        self._expired: list[str] = []

    def retain(self, name: str) -> bool:
        """Retain a document missing from the store; returns False if it must be removed."""
        recovered_at = self._recovered_at()
        grace_ends_at = recovered_at + self._grace_seconds
        now = steady_seconds()
        if not recovered_at or now >= grace_ends_at:
            return False
        if grace_ends_at > self._ends_at:
            self._ends_at = grace_ends_at
            gevent.spawn_later(grace_ends_at - now, self._expire, grace_ends_at)
        self._retained.add(name)
        return True

    def discard(self, name: str) -> bool:
        """Stop tracking an updated document; returns whether it was being retained."""
        retained = name in self._retained
        self._retained.discard(name)
        return retained

    def take_expired(self) -> list[str]:
        """Return the names of documents removed since the last call."""
        expired, self._expired = self._expired, []
        return expired

    def _expire(self, grace_ends_at: float) -> None:
        """Remove documents still missing, unless a later outage has extended the grace period."""
        if grace_ends_at < self._ends_at or not self._retained:
            return
        names, self._retained = sorted(self._retained), set()
        logger.info(
            "expired documents removed after the grace period",
            code="lapsed_given_up",
            kind=str(self._kind),
            documents=names[:MAX_LOGGED_NAMES],
            count=len(names),
            kept_ms=int(self._grace_seconds * 1000),
        )
        for name in names:
            self._remove(name)
        self._expired += names
