"""Compares a node's copies with the coordinator's, so that none stays different unnoticed.

A page brings what has changed since a revision, which is right for a copy that holds what that
revision says. One that decided something by itself, as what lapsed in an outage, may not.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from runkeel.api.documents import DocumentKind
from runkeel.clock import steady_seconds
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.wire.generated.jobs.ttypes import FeedCopy

DIFFERENCE_SECONDS = 1.0
"""Two copies may differ so long before the whole is asked for, and so long between two such times.

What is only late comes meanwhile, as a small page: the store's next change mostly takes less than
a second. The whole is 300 bytes a server.
"""


class CopyComparison:
    """Which kinds of one node's copies differ from the coordinator's, and since when.

    Args:
        now: steady time.
    """

    def __init__(self, now: Callable[[], float] = steady_seconds) -> None:
        self._now = now
        self._differs_since: dict[DocumentKind, float] = {}

    def note(self, watcher: DocumentWatcher, theirs: FeedCopy) -> None:
        """Compare one copy, if both reflect the same revision."""
        if watcher.revision != theirs.revision:
            return
        if watcher.digest == theirs.digest:
            self._differs_since.pop(watcher.kind, None)
        else:
            self._differs_since.setdefault(watcher.kind, self._now())

    def revision_to_ask_from(self, watcher: DocumentWatcher) -> int:
        """Return the revision after which news is wanted; 0 to be told the whole."""
        since = self._differs_since.get(watcher.kind)
        now = self._now()
        if since is None or now - since < DIFFERENCE_SECONDS:
            return watcher.revision
        logger.warning(
            "copy differs from the coordinator's",
            code="copy_differs",
            kind=str(watcher.kind),
            revision=watcher.revision,
            documents=len(watcher.documents),
            age_ms=int((now - since) * 1000),
        )
        self._differs_since[watcher.kind] = now
        return 0

    def forget(self) -> None:
        """Forget all differences, as when the feed isn't followed any more."""
        self._differs_since.clear()
