"""The coordinator's side of the feed: tells other nodes how the followed documents change.

The coordinator alone watches the store; every other node asks it for what its own copy lacks. A
node's copy is described by the store's revision that it reflects, so that any coordinator can
continue where another has ended.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence

from gevent.event import Event

from runkeel.api.documents import Document
from runkeel.clock import steady_seconds
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    FeedCopy,
    FeedDocument,
    FeedPage,
    FeedRead,
    FeedReadReply,
    FeedState,
    NodeAddress,
)
from runkeel.wire.network import PeerNetwork

FRESH_SECONDS = 1.3
FRESH_SHARE = 0.65
"""Nodes rely on the coordinator's copy while the store has confirmed it within so long.

The share is of the time in which news must be known; the shorter one counts.
"""

COORDINATOR_WATCH_SECONDS = 0.7
COORDINATOR_WATCH_SHARE = 0.35
"""The coordinator's watches are short: they confirm its copy, which all nodes rely on."""

LONGEST_WAIT_SECONDS = 2.0
"""Longest time that a reply is held.

Chosen: above what followers ask for (feed_follower.WAIT_SECONDS).
"""


def fresh_seconds(news_seconds: float) -> float:
    """Return for how long a confirmation by the store counts."""
    return min(FRESH_SECONDS, FRESH_SHARE * news_seconds)


def coordinator_watch_seconds(news_seconds: float) -> float:
    """Return how long one of the coordinator's watches waits."""
    return min(COORDINATOR_WATCH_SECONDS, COORDINATOR_WATCH_SHARE * news_seconds)


class _KindFeed:
    """What has changed of one kind, as far as it matters to other nodes."""

    def __init__(self, watcher: DocumentWatcher) -> None:
        self.watcher = watcher
        self._changed_at: dict[str, int] = {}

    def note(self, document: Document, removed: bool) -> None:
        """Take note of a change that the watcher has just taken."""
        if removed:
            self._changed_at.pop(document.name, None)
        else:
            self._changed_at[document.name] = document.revision

    def page_after(self, revision: int, even_if_empty: bool) -> FeedPage | None:
        """Return what a copy at a revision lacks.

        Args:
            even_if_empty: whether a page is wanted that brings a newer revision only.
        """
        watcher = self.watcher
        if revision >= watcher.revision:
            return None
        whole = revision < watcher.unbroken_since
        names = watcher.documents if whole else self._changed_since(revision)
        removed = [] if whole else [name for at, name in watcher.removals if at > revision]
        if not whole and not names and not removed and not even_if_empty:
            return None
        documents = [_to_wire(watcher.documents[name]) for name in names]
        return FeedPage(str(watcher.kind), watcher.revision, whole, documents, removed)

    def _changed_since(self, revision: int) -> list[str]:
        return [name for name, at in self._changed_at.items() if at > revision]


class DocumentFeed:
    """Answers the nodes that follow this coordinator.

    Args:
        watchers: of the kinds that are told.
        coordinating_since: steady time since which this node coordinates; None: it does not.
        fresh_for: a confirmation by the store counts for so long, in seconds.
        successor: the coordinator that replaced this node, as far as it was told.
    """

    def __init__(
        self,
        network: PeerNetwork,
        watchers: Sequence[DocumentWatcher],
        coordinating_since: Callable[[], float | None],
        fresh_for: float = FRESH_SECONDS,
        successor: Callable[[], Coordinator | None] = lambda: None,
    ) -> None:
        self._successor = successor
        self._kinds = {watcher.kind: _KindFeed(watcher) for watcher in watchers}
        # A document that lapsed in an outage and came back may be no change here, where it was kept
        # meanwhile; a node that had asked the store itself may have dropped it, or be about to.
        for watcher in watchers:
            watcher.on_return(lambda document: self.note(document, removed=False))
        self._coordinating_since = coordinating_since
        self._fresh_for = fresh_for
        self._changed = Event()
        network.on_call(MessageType.FEED_READ, FeedRead, self._serve)

    def note(self, document: Document, removed: bool) -> None:
        """Take note of a change that matters to other nodes; called by the watchers' listeners."""
        self._kinds[document.kind].note(document, removed)
        self.wake()

    def wake(self) -> None:
        """Have held replies looked at again, as when this node stops to coordinate."""
        self._changed.set()
        self._changed = Event()

    def read(self, revisions: dict[str, int], wait_seconds: float) -> FeedReadReply:
        """Return what a node lacks, waiting for a change if it lacks nothing."""
        deadline = steady_seconds() + min(LONGEST_WAIT_SECONDS, wait_seconds)
        while True:
            state = self._state()
            if state != FeedState.CURRENT:
                return self._without_news(state)
            now = steady_seconds()
            ends = now >= deadline
            pages = self._pages_after(revisions, even_if_empty=ends)
            if pages or ends:
                return FeedReadReply(state, pages, None, 0, self._copies())
            stale_at = self._confirmed_at() + self._fresh_for
            self._changed.wait(max(0.0, min(deadline, stale_at) - now))

    def _copies(self) -> dict[str, FeedCopy]:
        """Return what this node's copies hold, for a node to compare its own with."""
        watchers = [feed.watcher for feed in self._kinds.values()]
        return {str(one.kind): FeedCopy(one.revision, one.digest) for one in watchers}

    def _without_news(self, state: int) -> FeedReadReply:
        after = self._successor() if state == FeedState.NOT_COORDINATOR else None
        if after is None:
            return FeedReadReply(state, [], None, 0)
        address = NodeAddress(after.node_id, str(after.address), after.zone)
        return FeedReadReply(state, [], address, after.epoch)

    def _pages_after(self, revisions: dict[str, int], even_if_empty: bool) -> list[FeedPage]:
        pages = []
        for kind, feed in self._kinds.items():
            page = feed.page_after(revisions.get(str(kind), 0), even_if_empty)
            if page is not None:
                pages.append(page)
        return pages

    def _state(self) -> int:
        since = self._coordinating_since()
        if since is None:
            return FeedState.NOT_COORDINATOR
        confirmed_at = self._confirmed_at()
        if confirmed_at < since or steady_seconds() - confirmed_at >= self._fresh_for:
            return FeedState.STALE
        return FeedState.CURRENT

    def _confirmed_at(self) -> float:
        return min(feed.watcher.fresh_at for feed in self._kinds.values())

    def _serve(self, peer: str, message: FeedRead) -> tuple[int, FeedReadReply]:
        reply = self.read(message.revisions, message.wait_ms / 1000.0)
        return MessageType.FEED_READ_REPLY, reply


def _to_wire(document: Document) -> FeedDocument:
    return FeedDocument(document.name, document.revision, json.dumps(document.content))
