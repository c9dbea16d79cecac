"""Maintains a copy of all documents of a kind by listing and watching the store."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import (
    Document,
    DocumentChanges,
    DocumentKind,
    DocumentPage,
    DocumentStore,
    Freshness,
    HistoryDiscardedError,
    UnreadableDocumentError,
)
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.state.expired_documents import ExpiredDocuments
from runkeel.state.name_digest import NameDigest
from runkeel.state.unreadable_documents import UnreadableDocuments

WATCH_TIMEOUT_SECONDS = 29.0
"""Default timeout of a watch; below 30 s, after which idle connections are commonly closed."""

BASE_RETRY_DELAY_SECONDS = 0.1
"""Half of the first retry delay; the delay doubles with each further consecutive failure.

Delays are shortened at random by up to 30 %.
"""

MAX_RETRY_DELAY_SECONDS = 0.4
"""Upper bound of the retry delay."""

CONFIRMATION_SLACK_SHARE = 0.1
"""Share of the confirmation interval by which a confirmation may precede the time it is due."""

IDLE_PROBE_INTERVAL_SECONDS = 2.0
"""Default interval between probes of a failed store while the watcher needn't query the store."""

MAX_REMOVALS = 4_000
"""Maximum number of removals recorded for other nodes."""

MAX_REASON_LENGTH = 200
"""Maximum characters of an exception in a log line; it may quote the document."""

ChangeListener = Callable[[Document, bool], None]
"""Called with a document and whether it has been removed."""


class DocumentWatcher:
    """Maintains a copy of all documents of one kind.

    A document never reverts to an older revision. The copy is retained while the store is
    unreachable. Pages of another node's copy can update it, too; see :meth:`merge_page`.

    Args:
        pause_seconds: returns the pause after a watch with changes, which batches them to limit
            the number of calls.
        watch_seconds: returns the timeout of a watch in seconds. A watch whose response was lost
            hangs until then.
        store_needed: set while the store must be queried; None if it always must.
        idle_probe_interval_seconds: interval at which a failed store is probed while it need not be
            queried.
        expiry_grace_seconds: how long documents that expired during an outage are retained after
            it, as live owners write them again.
        recovered_at: returns the steady time, in seconds, at which the store recovered from the
            last such outage.
        first_list_freshness: required freshness of the first list. Any age is sufficient if the
            caller waits for the watch that follows, which returns all later changes at once.
        confirmation_interval_seconds: returns the interval at which the copy is to be confirmed.
            Confirmations are due at multiples of it, so that those of all kinds coincide; watches
            and the pauses between them are shortened accordingly.

    Attributes:
        documents: the copy, by name.
        revision: the store's revision that the copy reflects, 0 before the first list.
        contiguous_since: revision since which this watcher has observed every change. Documents
            created and removed before, between two lists, may have been missed.
        removals: names removed since then, each with the revision at which it was noticed.
        first_list_applied: set once the first list or page has been applied.
        current_as_of: steady time, in seconds, as of which the copy is known to equal the store. It
            is never too late, however long a response was delayed.
    """

    def __init__(
        self,
        store: DocumentStore,
        kind: DocumentKind,
        on_change: ChangeListener,
        pause_seconds: Callable[[], float] = lambda: 0.0,
        watch_seconds: Callable[[], float] = lambda: WATCH_TIMEOUT_SECONDS,
        store_needed: Event | None = None,
        expiry_grace_seconds: float = 0.0,
        recovered_at: Callable[[], float] = lambda: 0.0,
        idle_probe_interval_seconds: float = IDLE_PROBE_INTERVAL_SECONDS,
        first_list_freshness: Freshness = Freshness.CURRENT,
        confirmation_interval_seconds: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._confirmation_interval_seconds = confirmation_interval_seconds
        self._next_list_freshness = first_list_freshness
        self._idle_probe_interval_seconds = idle_probe_interval_seconds
        self._store = store
        self._kind = kind
        self._expired_documents = ExpiredDocuments(
            kind, expiry_grace_seconds, recovered_at, self._remove
        )
        self._store_needed = store_needed
        self._listeners = [on_change]
        self._reappearance_listeners: list[Callable[[Document], None]] = []
        self._confirmation_listeners: list[Callable[[], None]] = []
        self._unreadable_listeners: list[Callable[[Document, str], None]] = []
        self._unreadable = UnreadableDocuments()
        self._pause_seconds = pause_seconds
        self._watch_seconds = watch_seconds
        self._list_due = True
        self._failures = 0
        self._task: gevent.Greenlet | None = None
        self.revision = 0
        self.contiguous_since = 0
        self.removals: deque[tuple[int, str]] = deque()
        self.documents: dict[str, Document] = {}
        self._names = NameDigest()
        self.first_list_applied = Event()
        self.current_as_of = 0.0

    @property
    def reachable(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._failures == 0

    def start(self) -> None:
        self._task = gevent.spawn(self._run)

    @property
    def digest(self) -> int:
        """Digest of the documents' names."""
        return self._names.value

    @property
    def kind(self) -> DocumentKind:
        return self._kind

    def on_change(self, listener: ChangeListener) -> None:
        """Register a further listener; listeners are called in order of registration."""
        self._listeners.append(listener)

    def on_reappearance(self, listener: Callable[[Document], None]) -> None:
        """Register a listener for documents that expired, were retained, and were written again.

        Change listeners may see no change in them, because the copy never removed them.
        """
        self._reappearance_listeners.append(listener)

    def on_confirmation(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when ``current_as_of`` has advanced."""
        self._confirmation_listeners.append(listener)

    def on_unreadable(self, listener: Callable[[Document, str], None]) -> None:
        """Register a listener for unreadable documents, called once per document and reason."""
        self._unreadable_listeners.append(listener)

    def refresh(self, reason: str) -> None:
        """Cancel the pending watch, which may be hanging, and list again."""
        if self._task is None or not self.first_list_applied.is_set():
            return
        logger.info(
            "watch cancelled for a new list",
            code="watch_refreshed",
            kind=str(self._kind),
            reason=reason,
            revision=self.revision,
        )
        self.stop()
        self._list_due = True
        self.start()

    def restart_watch(self) -> None:
        """Restart the pending watch with the current timeout."""
        if self._task is not None and self.first_list_applied.is_set():
            self.stop()
            self.start()

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill(block=False)

    def merge_page(self, page: DocumentPage) -> None:
        """Apply a page of another node's copy, unless this copy is newer."""
        self._take_page(page, self._remove)

    def _take_page(self, page: DocumentPage, remove: Callable[[str], None]) -> None:
        if page.revision < self.revision:
            return
        before, self.revision = self.revision, page.revision
        self.contiguous_since = page.revision
        self.removals.clear()
        self._expired_documents.take_expired()
        if page.whole:
            self._list_due = False
        present = {document.name for document in page.documents}
        missing = [name for name in self.documents if name not in present] if page.whole else ()
        for name in {*missing, *page.removed} - present:
            remove(name)
        for document in page.documents:
            if document.revision > before or page.whole:
                self._apply(document, removed=False)
        self.first_list_applied.set()

    def _run(self) -> None:
        while True:
            if self._store_needed is not None:
                self._store_needed.wait(
                    self._idle_probe_interval_seconds if self._failures else None
                )
            try:
                self._step()
            except HistoryDiscardedError:
                self._list_due = True
            except RunkeelError as error:
                self._on_failure(error)
                gevent.sleep(self._retry_delay())
                self._await_turn()
            except Exception as error:
                # An unexpected response must not end the task, or the copy would silently stay
                # out of date.
                logger.error(
                    "unexpected error while listing or watching",
                    code="watch_step_failed",
                    kind=str(self._kind),
                    error=repr(error)[:MAX_REASON_LENGTH],
                )
                self._list_due = True
                self._failures += 1
                gevent.sleep(self._retry_delay())

    def _step(self) -> None:
        started = steady_seconds()
        if self._list_due:
            freshness, self._next_list_freshness = self._next_list_freshness, Freshness.CURRENT
            self._list(freshness)
            self._on_success(started if freshness is Freshness.CURRENT else None)
            return
        wait_seconds = self._wait_seconds()
        changes = self._store.watch(self._kind, self.revision, wait_seconds)
        self._take_changes(changes)
        self._on_success(_confirmed_by_watch(started, wait_seconds, changes))
        if changes.changes:
            gevent.sleep(min(self._pause_seconds(), self._seconds_until_confirmation_due()))

    def _wait_seconds(self) -> float:
        """Return how long the store is asked to wait for a change, in whole milliseconds."""
        if self._failures:
            # Any response shows that the store recovered.
            return 0.0
        wait_seconds = min(self._watch_seconds(), self._seconds_until_confirmation_due())
        return math.floor(wait_seconds * 1000) / 1000

    def _seconds_until_confirmation_due(self) -> float:
        interval = self._confirmation_interval_seconds()
        if math.isinf(interval):
            return interval
        past_periods = math.floor(self.current_as_of / interval + CONFIRMATION_SLACK_SHARE)
        return max(0.0, (past_periods + 1) * interval - steady_seconds())

    def _take_changes(self, changes: DocumentChanges) -> None:
        """Apply changes that the copy lacks; a page of another node may have included some."""
        before = self.revision
        self.revision = max(before, changes.revision)
        if self.revision > before:
            self._record_expired_removals()
        for change in changes.changes:
            if change.removed and self._retain_expired(change.document.name):
                continue
            if change.removed:
                self._record_removal(change.document.name)
            if change.removed or change.document.revision > before:
                self._apply(change.document, change.removed)

    def _retain_expired(self, name: str) -> bool:
        """Retain a document missing from the store; returns False if it must be removed."""
        return name in self.documents and self._expired_documents.retain(name)

    def _record_expired_removals(self) -> None:
        """Record removals of documents whose grace period has ended, at the new revision.

        Nodes that have the previous revision receive them with the changes since then.
        """
        for name in self._expired_documents.take_expired():
            if name not in self.documents:
                self._record_removal(name)

    def _remove(self, name: str) -> None:
        if name in self.documents:
            self._apply(self.documents[name], removed=True)

    def _remove_listed(self, name: str) -> None:
        if not self._retain_expired(name):
            self._remove(name)

    def _record_removal(self, name: str) -> None:
        """Record a removal, even of a document unknown here, since other nodes may have it."""
        self.removals.append((self.revision, name))
        if len(self.removals) > MAX_REMOVALS:
            self.contiguous_since = self.removals.popleft()[0]

    def _list(self, freshness: Freshness) -> None:
        listing = self._store.list(self._kind, freshness=freshness)
        if listing.revision < self.revision:
            return
        self._list_due = False
        page = DocumentPage(self._kind, listing.revision, True, listing.documents)
        self._take_page(page, self._remove_listed)

    def _apply(self, document: Document, removed: bool) -> None:
        returned = self._expired_documents.discard(document.name) and not removed
        known = self.documents.get(document.name)
        if removed:
            if known is None or document.revision < known.revision:
                return
            del self.documents[document.name]
            self._names.toggle(document.name)
        else:
            if known is not None and known.revision >= document.revision:
                return
            if known is None:
                self._names.toggle(document.name)
            self.documents[document.name] = document
        self._notify_listeners(document, removed)
        if returned:
            for listener in self._reappearance_listeners:
                listener(document)

    def _notify_listeners(self, document: Document, removed: bool) -> None:
        """Call the listeners; one that cannot read the document does not end the watch.

        Malformed content may raise any exception in a parser, so the document is then reported as
        unreadable. Only assertion errors, which indicate a bug, are raised: while watching, they
        are logged and the documents are listed again.
        """
        try:
            for listener in self._listeners:
                listener(document, removed)
        except AssertionError:
            raise
        except UnreadableDocumentError as error:
            self._report_unreadable(document, str(error))
        except Exception as error:
            self._report_unreadable(document, repr(error)[:MAX_REASON_LENGTH])
        else:
            self._unreadable.note_readable(document.kind, document.name)

    def _report_unreadable(self, document: Document, reason: str) -> None:
        if self._unreadable.note(document.kind, document.name, reason):
            for listener in self._unreadable_listeners:
                listener(document, reason)

    def _on_success(self, confirmed_at: float | None) -> None:
        """Handle a successful call.

        Args:
            confirmed_at: steady time, in seconds, as of which the call shows that the copy equals
                the store; None if it does not show any.
        """
        if self._failures:
            logger.info("store reachable again", code="store_regained", kind=str(self._kind))
        self._failures = 0
        if confirmed_at is None or confirmed_at <= self.current_as_of:
            return
        self.current_as_of = confirmed_at
        for listener in self._confirmation_listeners:
            listener()

    def _on_failure(self, error: RunkeelError) -> None:
        if not self._failures:
            logger.warning(
                "store unreachable",
                code="store_lost",
                kind=str(self._kind),
                error=error.detail,
                revision=self.revision,
            )
        self._failures += 1

    def _await_turn(self) -> None:
        """Wait for this watcher's turn, so that the node's watchers do not all probe the store."""
        await_turn = getattr(self._store, "await_turn", None)
        if await_turn is not None:
            await_turn()

    def _retry_delay(self) -> float:
        delay = min(MAX_RETRY_DELAY_SECONDS, BASE_RETRY_DELAY_SECONDS * 2 ** min(self._failures, 5))
        return delay * random.uniform(0.7, 1.0)


def _confirmed_by_watch(started: float, wait_seconds: float, changes: DocumentChanges) -> float:
    """Return the earliest steady time, in seconds, at which the store may have answered a watch.

    A response may be delayed on its way, so its arrival does not count. Without changes, the store
    answers after the wait; with changes, it may answer immediately.
    """
    waited = not changes.changes and steady_seconds() - started >= wait_seconds
    return started + wait_seconds if waited else started
