"""Follows the coordinator's feed, so that not every node has to watch the store.

While the coordinator answers and the coordinator's copy is fresh, this node's watchers are
suspended. When the coordinator stops answering, or reports that the store has not confirmed its
copy recently, they watch the store themselves, continuing from their revision.
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
from runkeel.state.document_watcher import MAX_REASON_LENGTH, DocumentWatcher
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

MAX_HOLD_SECONDS = 1.0
"""Maximum time for which the coordinator may hold a reply until there is a change."""

MAX_HOLD_SHARE = 0.5
"""Share of the propagation time for which a reply may be held, up to MAX_HOLD_SECONDS."""

ANSWER_TIMEOUT_SECONDS = 0.4
"""Timeout of a reply, in addition to the time for which it may be held."""

FIRST_ANSWER_TIMEOUT_SECONDS = 0.1
"""Timeout of the first reply after a start, which is not held.

It is shorter, since a node has no documents until this reply and reads the store if it fails.
"""

RETRY_SECONDS = 0.3
"""Pause before the feed is read again while the watchers use the store."""

NO_COORDINATOR_POLL_SECONDS = 0.1
"""Polling interval while there is no other coordinator."""

GRACE_SHARE = 0.65
"""Share of the propagation time after which a node that has lost the feed reads the store.

The grace period starts at the first failed read. It is shorter than this share by the maximum age
of the coordinator's copy, since the copy may already be that old; see :func:`grace_seconds`. Most
feeds recover within it, from the same coordinator or its successor. Without it, many nodes would
read the store at once. It is 0 for a propagation time of up to 2 s.
"""

START_GRACE_SECONDS = 1.0
"""How long a node waits for a coordinator after its start before it reads the store."""

GRACE_RETRY_SECONDS = 0.15
"""Pause before the feed is read again during the grace period."""

STALE = "stale"
_STATE_NAMES = {FeedState.STALE: STALE, FeedState.NOT_COORDINATOR: "not_coordinator"}


def max_hold_seconds(propagation_seconds: float) -> float:
    """Return how long a reply may be held, in seconds.

    Args:
        propagation_seconds: maximum time in which a change must reach all nodes.
    """
    return min(MAX_HOLD_SECONDS, MAX_HOLD_SHARE * propagation_seconds)


def grace_seconds(propagation_seconds: float, max_copy_age: float) -> float:
    """Return how long a node that lost the feed waits before it reads the store, in seconds.

    Args:
        propagation_seconds: maximum time in which a change must reach all nodes.
        max_copy_age: maximum age of the coordinator's copy, in seconds.
    """
    return max(0.0, GRACE_SHARE * propagation_seconds - max_copy_age)


class FeedFollower:
    """Keeps this node's copies up to date from the coordinator's feed, in one background task.

    Args:
        coordinator: returns the coordinator known to this node; None if none is known
            or it is this node.
        hold_seconds: how long the coordinator may hold a reply.
        grace_seconds: how long to wait for a lost feed before the store is read.
        on_successor: called with the address and epoch of the successor that a replaced
            coordinator has reported.

    Attributes:
        store_needed: set while the watchers have to watch the store themselves.
        store_needed_for_coordinator: the same for the watcher of the coordinator's document, which
            watches the store from the start.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        coordinator: Callable[[], Coordinator | None],
        hold_seconds: float = MAX_HOLD_SECONDS,
        grace_seconds: float = 0.0,
        on_successor: Callable[[NodeAddress, int], None] = lambda address, epoch: None,
    ) -> None:
        self._grace_seconds = grace_seconds
        self._on_successor = on_successor
        self._lost_at = 0.0
        """Steady time at which the current grace period began; 0: there is none."""
        self._network = network
        self._shard = shard
        self._coordinator = coordinator
        self._hold_seconds = hold_seconds
        self._watchers: dict[DocumentKind, DocumentWatcher] = {}
        self._comparison = CopyComparison()
        self._task: gevent.Greenlet | None = None
        self._started_at = 0.0
        self._watchers_suspended = False
        self.store_needed = Event()
        self.store_needed_for_coordinator = Event()
        self.store_needed_for_coordinator.set()

    @property
    def following(self) -> bool:
        """Whether the feed is followed and the watchers are suspended."""
        return self._watchers_suspended

    def start(self, watchers: Sequence[DocumentWatcher], delay_seconds: float = 0.0) -> None:
        """Start following the feed.

        Args:
            watchers: watchers that were created with the events of this follower.
            delay_seconds: additional wait for the first coordinator.
        """
        self._watchers = {watcher.kind: watcher for watcher in watchers}
        self._started_at = steady_seconds() + delay_seconds
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop following the feed."""
        if self._task is not None:
            self._task.kill(block=False)

    def use_store(self, reason: str) -> None:
        """Have the watchers watch the store themselves."""
        if self._watchers_suspended or not self.store_needed.is_set():
            logger.info("watching the store directly", code="feed_lost", reason=reason)
        self._watchers_suspended = False
        self._lost_at = 0.0
        self._comparison.reset()
        self.store_needed.set()
        self.store_needed_for_coordinator.set()

    def _run(self) -> None:
        while True:
            coordinator = self._coordinator()
            if coordinator is None:
                if steady_seconds() - self._started_at >= START_GRACE_SECONDS:
                    self.use_store("no other coordinator")
                gevent.sleep(NO_COORDINATOR_POLL_SECONDS)
                continue
            problem = self._read(coordinator)
            FEED_READS.labels(problem or "current").inc()
            if problem:
                self._on_feed_failure(problem)
                gevent.sleep(RETRY_SECONDS if not self._watchers_suspended else GRACE_RETRY_SECONDS)
            elif not self._watchers_suspended:
                self._suspend_watchers(coordinator)
            else:
                self._lost_at = 0.0
                self.store_needed_for_coordinator.clear()

    def _on_feed_failure(self, problem: str) -> None:
        """Have the watchers use the store, unless the grace period for the feed still runs."""
        now = steady_seconds()
        self._lost_at = self._lost_at or now
        if not self._watchers_suspended or now - self._lost_at >= self._grace_seconds:
            self.use_store(problem)
        elif problem != STALE:
            # A new coordinator that its predecessor did not report is found in the store.
            self.store_needed_for_coordinator.set()

    def _suspend_watchers(self, coordinator: Coordinator) -> None:
        """Suspend the watchers, unless the coordinator has changed meanwhile."""
        if not self._is_current(coordinator):
            return
        logger.info(
            "following the coordinator's feed",
            code="feed_followed",
            coordinator=coordinator.node_id,
            epoch=coordinator.epoch,
            revisions=self._revisions(),
        )
        self._watchers_suspended = True
        self.store_needed.clear()
        self.store_needed_for_coordinator.clear()

    def _is_current(self, coordinator: Coordinator) -> bool:
        known = self._coordinator()
        return known is not None and known.node_id == coordinator.node_id

    def _read(self, coordinator: Coordinator) -> str:
        """Read the feed once; returns the problem, or an empty string if there was none."""
        held = self._requested_hold_seconds()
        answer_timeout_seconds = self._answer_timeout_seconds()
        revisions = {
            str(kind): self._comparison.revision_to_read_from(watcher)
            for kind, watcher in self._watchers.items()
        }
        message = FeedRead(self._shard, revisions, int(held * 1000))
        try:
            reply = self._network.call(
                coordinator.node_id,
                MessageType.FEED_READ,
                message,
                FeedReadReply,
                held + answer_timeout_seconds,
            )
            if reply.successor is not None:
                self._on_successor(reply.successor, reply.successor_epoch)
            if reply.state != FeedState.CURRENT:
                return _STATE_NAMES.get(reply.state, "unknown")
            if not self._is_current(coordinator):
                return "replaced"
            for page in reply.pages:
                self._apply_page(page)
            for kind, theirs in (reply.copies or {}).items():
                self._comparison.compare(self._watchers[DocumentKind(kind)], theirs)
        except RunkeelError as error:
            return str(error.code)
        except (KeyError, ValueError) as error:
            logger.warning("malformed reply of the feed", code="bad_feed", error=repr(error))
            return "not_understood"
        except Exception as error:
            # An unexpected error must not end the task, or the copies would silently stay out of
            # date.
            logger.error(
                "unexpected error while reading the feed",
                code="feed_read_failed",
                error=repr(error)[:MAX_REASON_LENGTH],
            )
            return "unexpected_error"
        return ""

    def _requested_hold_seconds(self) -> float:
        """Return how long the coordinator may hold the next reply.

        The first reply after a start or a failure must not be held: until it arrives, this node has
        no source of changes, or reads the store.
        """
        follows_without_failure = self._watchers_suspended and not self._lost_at
        return self._hold_seconds if follows_without_failure else 0.0

    def _answer_timeout_seconds(self) -> float:
        """Return the timeout of the next reply, in addition to the time for which it is held.

        It does not exceed what is left of a grace period.
        """
        if not self._watchers_suspended:
            has_documents = self.store_needed.is_set()
            return ANSWER_TIMEOUT_SECONDS if has_documents else FIRST_ANSWER_TIMEOUT_SECONDS
        if not self._lost_at:
            return ANSWER_TIMEOUT_SECONDS
        remaining_grace_seconds = self._lost_at + self._grace_seconds - steady_seconds()
        return min(ANSWER_TIMEOUT_SECONDS, max(0.0, remaining_grace_seconds))

    def _apply_page(self, page: FeedPage) -> None:
        kind = DocumentKind(page.kind)
        documents = tuple(
            Document(kind, one.name, one.revision, _content(one)) for one in page.documents
        )
        applied = DocumentPage(kind, page.revision, page.whole, documents, tuple(page.removed))
        self._watchers[kind].merge_page(applied)

    def _revisions(self) -> dict[str, int]:
        return {str(kind): watcher.revision for kind, watcher in self._watchers.items()}


def _content(document: FeedDocument) -> Any:
    """Return a document's content; None if malformed, so that the other documents still count."""
    try:
        return json.loads(document.content)
    except (ValueError, RecursionError):
        return None
