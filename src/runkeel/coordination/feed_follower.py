"""Follows the coordinator's feed, so that the store need not be asked by every node.

While the coordinator answers and its own copy is fresh, this node's watchers rest. When it falls
silent, or says that the store has not confirmed its copy lately, they ask the store themselves,
from the revision that they reflect.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import Document, DocumentKind, DocumentPage
from runkeel.clock import steady_seconds
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.coordination.copy_comparison import CopyComparison
from runkeel.errors import RunkeelError
from runkeel.metrics import FEED_READS
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    FeedDocument,
    FeedPage,
    FeedRead,
    FeedReadReply,
    FeedState,
    NodeAddress,
)
from runkeel.wire.network import PeerNetwork

WAIT_SECONDS = 1.0
WAIT_SHARE = 0.5
"""A reply may be held for so long; the share is of the time in which news must be known."""

ANSWER_SECONDS = 0.4
"""A reply that is so much later shows that the coordinator is not reached."""

FIRST_ANSWER_SECONDS = 0.1
"""The same for the first answer that a node wants after its start: it knows nothing yet."""

RETRY_SECONDS = 0.3
"""Pause before a feed is asked for again that was lost a while ago.

Chosen: twice the pause after a fresh loss.
"""

IDLE_SECONDS = 0.1
"""Pause while no coordinator is known. Chosen, not measured."""

GRACE_SHARE = 0.65
"""A node that has lost the feed asks the store itself only when news would come too late without.

The share is of the time in which news must be known; it counts from the store's last confirmation
of the coordinator's copy. Most feeds are back sooner, from the same coordinator or the next one,
and each node that asks the store itself asks it several times a second.
"""

START_SECONDS = 1.0
"""A node that starts waits so long for a coordinator, before it asks the store for everything."""

GRACE_RETRY_SECONDS = 0.15
"""So often a feed is asked for that was lost just now."""

STALE = "stale"
_STATE_NAMES = {FeedState.STALE: STALE, FeedState.NOT_COORDINATOR: "not_coordinator"}


def wait_seconds(news_seconds: float) -> float:
    """Return how long a reply may be held."""
    return min(WAIT_SECONDS, WAIT_SHARE * news_seconds)


def grace_seconds(news_seconds: float, fresh_for: float) -> float:
    """Return how long a node whose feed was lost waits before it asks the store.

    Args:
        news_seconds: changes must be known everywhere in this time.
        fresh_for: age that a coordinator's copy may have, in seconds.
    """
    return max(0.0, GRACE_SHARE * news_seconds - fresh_for)


class FeedFollower:
    """One task that keeps this node's copies in step with the coordinator's.

    Args:
        coordinator: the coordinator as this node knows it; None when that is this node.
        hold_seconds: a reply may be held for so long.
        grace_seconds: a feed that was lost is waited for so long.
        on_successor: called with what a replaced coordinator told of its successor.

    Attributes:
        store_needed: set while the watchers have to ask the store themselves.
        coordinator_needed: the same for the watcher of the coordinator's document, which asks the
            store from the start.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        coordinator: Callable[[], Coordinator | None],
        hold_seconds: float = WAIT_SECONDS,
        grace_seconds: float = 0.0,
        on_successor: Callable[[NodeAddress, int], None] = lambda address, epoch: None,
    ) -> None:
        self._grace_seconds = grace_seconds
        self._on_successor = on_successor
        self._lost_at = 0.0
        """Steady time at which the feed was lost that is waited for; 0: none is."""
        self._network = network
        self._shard = shard
        self._coordinator = coordinator
        self._hold_seconds = hold_seconds
        self._watchers: dict[DocumentKind, DocumentWatcher] = {}
        self._comparison = CopyComparison()
        self._task: gevent.Greenlet | None = None
        self._started_at = 0.0
        self._resting = False
        self.store_needed = Event()
        self.coordinator_needed = Event()
        self.coordinator_needed.set()

    @property
    def following(self) -> bool:
        """Whether the watchers rest."""
        return self._resting

    def start(self, watchers: Sequence[DocumentWatcher], delay_seconds: float = 0.0) -> None:
        """Start to follow; the watchers must have been made with the events of this follower.

        Args:
            delay_seconds: the first coordinator is waited for so much longer.
        """
        self._watchers = {watcher.kind: watcher for watcher in watchers}
        self._started_at = steady_seconds() + delay_seconds
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to follow; the watchers ask the store."""
        if self._task is not None:
            self._task.kill(block=False)

    def ask_store(self, reason: str) -> None:
        """Have the watchers ask the store themselves."""
        if self._resting or not self.store_needed.is_set():
            logger.info("feed not followed", code="feed_lost", reason=reason)
        self._resting = False
        self._lost_at = 0.0
        self._comparison.forget()
        self.store_needed.set()
        self.coordinator_needed.set()

    def _run(self) -> None:
        while True:
            coordinator = self._coordinator()
            if coordinator is None:
                if steady_seconds() - self._started_at >= START_SECONDS:
                    self.ask_store("no other coordinator")
                gevent.sleep(IDLE_SECONDS)
                continue
            problem = self._read(coordinator)
            FEED_READS.labels(problem or "current").inc()
            if problem:
                self._lost(problem)
                gevent.sleep(RETRY_SECONDS if not self._resting else GRACE_RETRY_SECONDS)
            elif not self._resting:
                self._rest(coordinator)
            else:
                self._lost_at = 0.0
                self.coordinator_needed.clear()

    def _lost(self, problem: str) -> None:
        """Have the store asked, unless the feed may be back before that is necessary."""
        now = steady_seconds()
        self._lost_at = self._lost_at or now
        if not self._resting or now - self._lost_at >= self._grace_seconds:
            self.ask_store(problem)
        elif problem != STALE:
            # The store alone knows who coordinates now, unless the one before told.
            self.coordinator_needed.set()

    def _rest(self, coordinator: Coordinator) -> None:
        """Let the watchers rest, unless this node has become coordinator meanwhile."""
        if not self._still(coordinator):
            return
        logger.info(
            "feed followed",
            code="feed_followed",
            coordinator=coordinator.node_id,
            epoch=coordinator.epoch,
            revisions=self._revisions(),
        )
        self._resting = True
        self.store_needed.clear()
        self.coordinator_needed.clear()

    def _still(self, coordinator: Coordinator) -> bool:
        known = self._coordinator()
        return known is not None and known.node_id == coordinator.node_id

    def _read(self, coordinator: Coordinator) -> str:
        """Take what the coordinator has; returns what went wrong, empty for nothing."""
        # The first answer is wanted at once: until it is there, the store is asked.
        held = self._hold_seconds if self._resting else 0.0
        known = self._resting or self.store_needed.is_set()
        answer_seconds = ANSWER_SECONDS if known else FIRST_ANSWER_SECONDS
        asked_from = {
            str(kind): self._comparison.revision_to_ask_from(watcher)
            for kind, watcher in self._watchers.items()
        }
        message = FeedRead(self._shard, asked_from, int(held * 1000))
        try:
            reply = self._network.call(
                coordinator.node_id,
                MessageType.FEED_READ,
                message,
                FeedReadReply,
                held + answer_seconds,
            )
            if reply.successor is not None:
                self._on_successor(reply.successor, reply.successor_epoch)
            if reply.state != FeedState.CURRENT:
                return _STATE_NAMES.get(reply.state, "unknown")
            if not self._still(coordinator):
                return "replaced"
            for page in reply.pages:
                self._take(page)
            for kind, theirs in (reply.copies or {}).items():
                self._comparison.note(self._watchers[DocumentKind(kind)], theirs)
        except RunkeelError as error:
            return str(error.code)
        except (KeyError, ValueError) as error:
            logger.warning("feed not understood", code="bad_feed", error=repr(error))
            return "not_understood"
        return ""

    def _take(self, page: FeedPage) -> None:
        kind = DocumentKind(page.kind)
        documents = tuple(
            Document(kind, one.name, one.revision, _content(one)) for one in page.documents
        )
        taken = DocumentPage(kind, page.revision, page.whole, documents, tuple(page.removed))
        self._watchers[kind].take(taken)

    def _revisions(self) -> dict[str, int]:
        return {str(kind): watcher.revision for kind, watcher in self._watchers.items()}


def _content(told: FeedDocument) -> Any:
    """Return a document's content; one that can't be read costs only itself, and is told so."""
    try:
        return json.loads(told.content)
    except (ValueError, RecursionError):
        return None
