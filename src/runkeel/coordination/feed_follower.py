"""Follows the coordinator's feed, so that not every node has to watch the store.

While the coordinator answers and the coordinator's copy is fresh, this node's watchers are
suspended. When the coordinator stops answering, or reports that the store has not confirmed its
copy recently, they watch the store themselves, continuing from their revision.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import Document, DocumentKind, DocumentPage
from runkeel.clock import steady_seconds
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.coordination.copy_comparison import CopyComparison
from runkeel.coordination.copy_deadline import CopyDeadline
from runkeel.coordination.document_feed import MAX_COPY_AGE_SECONDS
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

MAX_FOLLOWER_COPY_AGE_SHARE = 0.65
"""Share of the propagation time for which a node relies on copies that the store has confirmed.

The rest is left for a read of the store. The share covers the maximum age of the coordinator's copy
and the grace period; see :func:`grace_seconds`. A node that has lost the feed waits for it until
its copies are that old, since most feeds recover before, from the same coordinator or its
successor. Otherwise, many nodes would read the store at once. The grace period is 0 for a
propagation time of up to 2 s; such nodes read the store at the first failure.
"""

START_GRACE_SECONDS = 1.0
"""How long a node waits for a coordinator after its start before it reads the store."""

GRACE_RETRY_SECONDS = 0.15
"""Pause before a lost feed is read again while the copies may still be relied on."""

MIN_HOLD_SECONDS = 0.1
"""Minimum time for which a reply is held while the feed is followed.

It bounds the rate of reads if the coordinator's copy is so old that it has to be confirmed again.
"""

STALE = "stale"
OUTDATED = "outdated"
"""The coordinator is current by its own account, but its reply was delayed for too long."""

_STATE_NAMES = {FeedState.STALE: STALE, FeedState.NOT_COORDINATOR: "not_coordinator"}


def max_hold_seconds(propagation_seconds: float) -> float:
    """Return how long a reply may be held, in seconds.

    Args:
        propagation_seconds: maximum time in which a change must reach all nodes.
    """
    return min(MAX_HOLD_SECONDS, MAX_HOLD_SHARE * propagation_seconds)


def grace_seconds(propagation_seconds: float, max_copy_age: float) -> float:
    """Return by how much copies may exceed the maximum age while the feed is lost, in seconds.

    Args:
        propagation_seconds: maximum time in which a change must reach all nodes.
        max_copy_age: maximum age of the coordinator's copy, in seconds.
    """
    return max(0.0, MAX_FOLLOWER_COPY_AGE_SHARE * propagation_seconds - max_copy_age)


class FeedFollower:
    """Keeps this node's copies up to date from the coordinator's feed, in one background task.

    Args:
        coordinator: returns the coordinator known to this node; None if none is known
            or it is this node.
        hold_seconds: how long the coordinator may hold a reply.
        grace_seconds: by how much copies may exceed their maximum age while the feed is lost; if
            it is 0, the store is read at the first failure.
        on_successor: called with the address and epoch of the successor that a replaced
            coordinator has reported.
        max_copy_age: maximum time since the store has confirmed the coordinator's copy, in seconds.

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
        max_copy_age: float = MAX_COPY_AGE_SECONDS,
    ) -> None:
        self._waits_for_lost_feed = grace_seconds > 0
        self._on_successor = on_successor
        self._feed_lost = False
        """Whether the last read failed while the feed was followed."""
        self._deadline = CopyDeadline(max_copy_age + grace_seconds)
        self._network = network
        self._shard = shard
        self._coordinator = coordinator
        self._hold_seconds = hold_seconds
        self._watchers: dict[DocumentKind, DocumentWatcher] = {}
        self._comparison = CopyComparison()
        self._task: gevent.Greenlet | None = None
        self._awaited_node_id = ""
        """Coordinator whose reply is awaited; empty if none is."""
        self._started_at = 0.0
        self._watchers_suspended = False
        self.store_needed = Event()
        self.store_needed_for_coordinator = Event()
        self.store_needed_for_coordinator.set()

    @property
    def following(self) -> bool:
        """Whether the feed is followed and the watchers are suspended."""
        return self._watchers_suspended

    @property
    def confirmed_at(self) -> float:
        """Steady time as of which the store has confirmed the copies; -inf if it never has."""
        return self._deadline.confirmed_at

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

    def on_coordinator_changed(self) -> None:
        """Read from the new coordinator at once if a reply of the previous one is awaited."""
        coordinator = self._coordinator()
        if not self._awaited_node_id or coordinator is None:
            return
        if coordinator.node_id == self._awaited_node_id:
            return
        self.stop()
        self._feed_lost = self._watchers_suspended
        self._task = gevent.spawn(self._run)

    def use_store(self, reason: str) -> None:
        """Have the watchers watch the store themselves."""
        if self._watchers_suspended or not self.store_needed.is_set():
            age_seconds = self._deadline.age_seconds
            logger.info(
                "watching the store directly",
                code="feed_lost",
                reason=reason,
                copy_age_ms=int(age_seconds * 1000) if math.isfinite(age_seconds) else None,
                max_copy_age_ms=int(self._deadline.max_age_seconds * 1000),
            )
        self._watchers_suspended = False
        self._feed_lost = False
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
                gevent.sleep(self._retry_pause_seconds())
            elif not self._watchers_suspended:
                self._suspend_watchers(coordinator)
            else:
                self._feed_lost = False
                self.store_needed_for_coordinator.clear()

    def _on_feed_failure(self, problem: str) -> None:
        """Have the watchers use the store, unless the copies may still be relied on."""
        self._feed_lost = True
        waits = self._watchers_suspended and self._waits_for_lost_feed
        if not waits or not self._deadline.remaining_seconds:
            self.use_store(problem)
        elif problem != STALE:
            # A new coordinator that its predecessor did not report is found in the store.
            self.store_needed_for_coordinator.set()

    def _retry_pause_seconds(self) -> float:
        if not self._watchers_suspended:
            return RETRY_SECONDS
        return min(GRACE_RETRY_SECONDS, self._deadline.remaining_seconds)

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
        hold_seconds = self._requested_hold_seconds()
        timeout_seconds = self._timeout_seconds(hold_seconds)
        revisions = {
            str(kind): self._comparison.revision_to_read_from(watcher)
            for kind, watcher in self._watchers.items()
        }
        message = FeedRead(self._shard, revisions, int(hold_seconds * 1000))
        sent_at = steady_seconds()
        try:
            reply = self._call(coordinator.node_id, message, timeout_seconds)
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
            self._deadline.confirm(reply, sent_at, hold_seconds)
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
        return "" if self._copies_are_recent() else OUTDATED

    def _call(self, node_id: str, message: FeedRead, timeout_seconds: float) -> FeedReadReply:
        self._awaited_node_id = node_id
        try:
            return self._network.call(
                node_id, MessageType.FEED_READ, message, FeedReadReply, timeout_seconds
            )
        finally:
            self._awaited_node_id = ""

    def _copies_are_recent(self) -> bool:
        """Return whether the copies may be relied on at least until the next reply."""
        if self._watchers_suspended:
            return self._deadline.remaining_seconds > 0
        return self._deadline.remaining_seconds >= ANSWER_TIMEOUT_SECONDS

    def _requested_hold_seconds(self) -> float:
        """Return how long the coordinator may hold the next reply.

        The first reply after a start or a failure must not be held: until it arrives, this node has
        no source of changes, or reads the store. Others must arrive before the deadline of the
        copies.
        """
        if not self._watchers_suspended or self._feed_lost:
            return 0.0
        remaining = self._deadline.remaining_seconds
        min_hold_seconds = min(MIN_HOLD_SECONDS, remaining / 2)
        hold_seconds = max(min_hold_seconds, remaining - ANSWER_TIMEOUT_SECONDS)
        return min(self._hold_seconds, hold_seconds)

    def _timeout_seconds(self, hold_seconds: float) -> float:
        """Return the timeout of the next reply, which ends by the deadline of the copies."""
        if self._watchers_suspended:
            timeout_seconds = hold_seconds + ANSWER_TIMEOUT_SECONDS
            return min(timeout_seconds, self._deadline.remaining_seconds)
        has_documents = self.store_needed.is_set()
        return ANSWER_TIMEOUT_SECONDS if has_documents else FIRST_ANSWER_TIMEOUT_SECONDS

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
