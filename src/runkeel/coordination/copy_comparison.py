"""Detects that this node's copy of the documents differs from the coordinator's.

Two copies at the same revision may differ, since each node decides on its own which documents
expired during a store outage. The coordinator's feed sends only changes after a revision and may
never resolve such a difference, so a full copy has to be requested.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from runkeel.api.documents import DocumentKind
from runkeel.clock import steady_seconds
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.wire.generated.jobs.ttypes import FeedCopy

MAX_DIFFERENCE_SECONDS = 1.0
"""How long copies may differ before a full copy is requested, and the interval of such requests.

A difference due to a delayed update is resolved within this time by a page, which is much smaller
than a full copy.
"""


class CopyComparison:
    """Tracks which kinds of a node's copies differ from the coordinator's, and since when.

    Args:
        now: returns the steady time in seconds.
    """

    def __init__(self, now: Callable[[], float] = steady_seconds) -> None:
        self._now = now
        self._differs_since: dict[DocumentKind, float] = {}

    def compare(self, watcher: DocumentWatcher, theirs: FeedCopy) -> None:
        """Compare a copy with the coordinator's if both are at the same revision."""
        if watcher.revision != theirs.revision:
            return
        if watcher.digest == theirs.digest:
            self._differs_since.pop(watcher.kind, None)
        else:
            self._differs_since.setdefault(watcher.kind, self._now())

    def revision_to_read_from(self, watcher: DocumentWatcher) -> int:
        """Return the revision after which to request changes; 0 requests a full copy."""
        since = self._differs_since.get(watcher.kind)
        now = self._now()
        if since is None or now - since < MAX_DIFFERENCE_SECONDS:
            return watcher.revision
        logger.warning(
            "copy differs from the coordinator's; requesting a full copy",
            code="copy_differs",
            kind=str(watcher.kind),
            revision=watcher.revision,
            documents=len(watcher.documents),
            age_ms=int((now - since) * 1000),
        )
        self._differs_since[watcher.kind] = now
        return 0

    def reset(self) -> None:
        """Discard all differences."""
        self._differs_since.clear()
