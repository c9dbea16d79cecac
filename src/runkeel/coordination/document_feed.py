"""The coordinator's side of the feed: serves changes of the followed documents to other nodes.

Only the coordinator watches the store; every other node requests the changes since the revision of
its own copy. Revisions are those of the store, so that any coordinator can continue the feed of
another one.
"""

from __future__ import annotations

import json
import math
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

MAX_COPY_AGE_SECONDS = 1.3
MAX_COPY_AGE_SHARE = 0.65
"""Maximum time since the store last confirmed the coordinator's copy; an older copy is stale.

The limit is the smaller of the two; the share is a fraction of the propagation time.
"""

COORDINATOR_WATCH_SECONDS = 0.7
COORDINATOR_WATCH_SHARE = 0.35
"""Maximum duration of a store watch by the coordinator.

The limit is the smaller of the two; the share is a fraction of the propagation time. The watches
are short because each one confirms the copy that all nodes rely on.
"""

MAX_HOLD_SECONDS = 2.0
"""Maximum time for which a reply is held until there are changes; followers may ask for less."""

MIN_CONFIRMATION_STEP_SECONDS = 0.1
"""Minimum time by which a confirmation of all copies must be newer to end the hold of replies."""


def max_copy_age_seconds(propagation_seconds: float) -> float:
    """Return the maximum age of the coordinator's copy, in seconds."""
    return min(MAX_COPY_AGE_SECONDS, MAX_COPY_AGE_SHARE * propagation_seconds)


def coordinator_watch_seconds(propagation_seconds: float) -> float:
    """Return the maximum duration of a store watch by the coordinator, in seconds."""
    return min(COORDINATOR_WATCH_SECONDS, COORDINATOR_WATCH_SHARE * propagation_seconds)


class _KindFeed:
    """The changes of one kind of documents that are significant to other nodes."""

    def __init__(self, watcher: DocumentWatcher) -> None:
        self.watcher = watcher
        self._changed_revisions: dict[str, int] = {}

    def record_change(self, document: Document, removed: bool) -> None:
        """Record a change that the watcher has just applied."""
        if removed:
            self._changed_revisions.pop(document.name, None)
        else:
            self._changed_revisions[document.name] = document.revision

    def page_after(self, revision: int, even_if_empty: bool) -> FeedPage | None:
        """Return the changes that a copy at a revision lacks, None if there are none.

        Args:
            even_if_empty: whether to return a page if only the revision is newer.
        """
        watcher = self.watcher
        if revision >= watcher.revision:
            return None
        # Removals before contiguous_since may be unknown, so an older copy needs a full snapshot.
        whole = revision < watcher.contiguous_since
        names = watcher.documents if whole else self._changed_since(revision)
        removed = [] if whole else [name for at, name in watcher.removals if at > revision]
        if not whole and not names and not removed and not even_if_empty:
            return None
        documents = [_to_wire(watcher.documents[name]) for name in names]
        return FeedPage(str(watcher.kind), watcher.revision, whole, documents, removed)

    def _changed_since(self, revision: int) -> list[str]:
        return [name for name, at in self._changed_revisions.items() if at > revision]


class DocumentFeed:
    """Serves the feed to the nodes that follow this coordinator.

    Args:
        watchers: watchers of the kinds to serve.
        coordinating_since: returns the steady time at which this node became coordinator, or None
            if it is not the coordinator.
        max_copy_age: maximum time since the store has confirmed the copy, in seconds.
        successor: returns the coordinator that replaced this node, or None if none is known.
    """

    def __init__(
        self,
        network: PeerNetwork,
        watchers: Sequence[DocumentWatcher],
        coordinating_since: Callable[[], float | None],
        max_copy_age: float = MAX_COPY_AGE_SECONDS,
        successor: Callable[[], Coordinator | None] = lambda: None,
    ) -> None:
        self._successor = successor
        self._kinds = {watcher.kind: _KindFeed(watcher) for watcher in watchers}
        # The watcher keeps documents that expire during a store outage, so their reappearance does
        # not trigger a change, yet other nodes may have dropped them.
        for watcher in watchers:
            watcher.on_reappearance(lambda document: self.record_change(document, removed=False))
            watcher.on_confirmation(self._on_confirmation)
        self._coordinating_since = coordinating_since
        self._max_copy_age = max_copy_age
        self._changed = Event()
        self._announced_confirmation = 0.0
        """The confirmation of all copies, as a steady time, that last ended the hold of replies."""
        network.on_call(MessageType.FEED_READ, FeedRead, self._on_read)

    def record_change(self, document: Document, removed: bool) -> None:
        """Record a change that is significant to other nodes; called by the watchers' listeners."""
        self._kinds[document.kind].record_change(document, removed)
        self.wake()

    def wake(self) -> None:
        """Re-evaluate held replies, for example when this node stops coordinating."""
        self._changed.set()
        self._changed = Event()

    def read(self, revisions: dict[str, int], wait_seconds: float) -> FeedReadReply:
        """Return the changes after these revisions, waiting for some if there are none.

        The wait also ends when the store has confirmed all copies again, so that a follower knows
        of a recent confirmation if this node falls silent afterwards.
        """
        arrived_at = steady_seconds()
        confirmed_before = self._confirmed_at()
        deadline = arrived_at + min(MAX_HOLD_SECONDS, wait_seconds)
        while True:
            state = self._state()
            if state != FeedState.CURRENT:
                return self._reply_without_pages(state)
            now = steady_seconds()
            confirmed = self._confirmed_at() - confirmed_before >= MIN_CONFIRMATION_STEP_SECONDS
            hold_ended = now >= deadline or confirmed
            pages = self._pages_after(revisions, even_if_empty=hold_ended)
            if pages or hold_ended:
                # Rounded down, since a follower must not take the copy for newer than it is.
                confirmed_after_ms = math.floor((self._confirmed_at() - arrived_at) * 1000)
                return FeedReadReply(state, pages, None, 0, self._copies(), confirmed_after_ms)
            stale_at = self._confirmed_at() + self._max_copy_age
            self._changed.wait(max(0.0, min(deadline, stale_at) - now))

    def _on_confirmation(self) -> None:
        """Wake held replies once per confirmation of all copies, not once per kind."""
        confirmed_at = self._confirmed_at()
        if confirmed_at - self._announced_confirmation >= MIN_CONFIRMATION_STEP_SECONDS:
            self._announced_confirmation = confirmed_at
            self.wake()

    def _copies(self) -> dict[str, FeedCopy]:
        """Return the revisions and digests of this node's copies, for comparison by a follower."""
        watchers = [feed.watcher for feed in self._kinds.values()]
        return {str(one.kind): FeedCopy(one.revision, one.digest) for one in watchers}

    def _reply_without_pages(self, state: int) -> FeedReadReply:
        known = self._successor() if state == FeedState.NOT_COORDINATOR else None
        if known is None:
            return FeedReadReply(state, [], None, 0)
        address = NodeAddress(known.node_id, str(known.address), known.zone)
        return FeedReadReply(state, [], address, known.epoch)

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
        if confirmed_at < since or steady_seconds() - confirmed_at >= self._max_copy_age:
            return FeedState.STALE
        return FeedState.CURRENT

    def _confirmed_at(self) -> float:
        return min(feed.watcher.current_as_of for feed in self._kinds.values())

    def _on_read(self, peer: str, message: FeedRead) -> tuple[int, FeedReadReply]:
        reply = self.read(message.revisions, message.wait_ms / 1000.0)
        return MessageType.FEED_READ_REPLY, reply


def _to_wire(document: Document) -> FeedDocument:
    return FeedDocument(document.name, document.revision, json.dumps(document.content))
