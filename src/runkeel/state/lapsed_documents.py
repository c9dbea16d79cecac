"""Documents that lapsed while the store was away, kept until their owners must be back."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from loguru import logger

from runkeel.api.documents import DocumentKind
from runkeel.clock import steady_seconds

NAMES = 20
"""So many documents are named in a line; the others are counted."""


class LapsedDocuments:
    """Remembers which documents of one kind the store no longer has since an outage.

    A document that needs heartbeats lapses while the store is away, though its owner lives. Those
    that live write it again soon after the store's return; what is still missing then is given up.

    Args:
        keep_seconds: documents are kept for so long after the end of an outage; 0: never.
        returned_at: steady time at which the store was back after the last outage that may have
            let documents lapse, 0 before the first one. The node's word counts, not that of one
            watcher: all of a node's tasks take turns to try a store that is away.
        give_up: removes a document from the copy.
    """

    def __init__(
        self,
        kind: DocumentKind,
        keep_seconds: float,
        returned_at: Callable[[], float],
        give_up: Callable[[str], None],
    ) -> None:
        self._kind = kind
        self._keep_seconds = keep_seconds
        self._returned_at = returned_at
        self._give_up = give_up
        self._kept: set[str] = set()
        self._ends_at = 0.0
        self._expired: list[str] = []

    def keep(self, name: str) -> bool:
        """Keep a document that the store no longer has; False when it is to be removed."""
        returned_at = self._returned_at()
        ends_at = returned_at + self._keep_seconds
        now = steady_seconds()
        if not returned_at or now >= ends_at:
            return False
        if ends_at > self._ends_at:
            self._ends_at = ends_at
            gevent.spawn_later(ends_at - now, self._expire, ends_at)
        self._kept.add(name)
        return True

    def discard(self, name: str) -> bool:
        """Forget a document of which there is news; returns whether it was being kept."""
        kept = name in self._kept
        self._kept.discard(name)
        return kept

    def take_expired(self) -> list[str]:
        """Return what was given up since the last call."""
        expired, self._expired = self._expired, []
        return expired

    def _expire(self, ends_at: float) -> None:
        """Give up what has not come back, unless a later outage has prolonged the time."""
        if ends_at < self._ends_at or not self._kept:
            return
        names, self._kept = sorted(self._kept), set()
        logger.info(
            "lapsed documents given up",
            code="lapsed_given_up",
            kind=str(self._kind),
            documents=names[:NAMES],
            count=len(names),
            kept_ms=int(self._keep_seconds * 1000),
        )
        for name in names:
            self._give_up(name)
        self._expired += names
