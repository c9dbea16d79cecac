"""Logs unreadable documents once per document and reason.

Servers rewrite their entries about every second, and an unreadable entry may persist for days.
"""

from __future__ import annotations

from collections import OrderedDict

from loguru import logger

from runkeel.api.documents import DocumentKind
from runkeel.metrics import UNREADABLE_DOCUMENTS

MAX_REMEMBERED_DOCUMENTS = 1_000
"""Maximum number of documents whose reason is remembered; writers may create any number."""


class UnreadableDocuments:
    """The last reason why each unreadable document could not be read."""

    def __init__(self) -> None:
        self._reasons: OrderedDict[tuple[DocumentKind, str], str] = OrderedDict()

    def note(self, kind: DocumentKind, name: str, reason: str) -> bool:
        """Record an unreadable document; returns whether the reason is new for it."""
        previous = self._reasons.get((kind, name))
        if previous == reason:
            return False
        self._reasons[kind, name] = reason
        self._reasons.move_to_end((kind, name))
        if len(self._reasons) > MAX_REMEMBERED_DOCUMENTS:
            self._reasons.popitem(last=False)
        UNREADABLE_DOCUMENTS.labels(str(kind)).inc()
        logger.warning(
            "document is unreadable",
            code="bad_document",
            kind=str(kind),
            document=name,
            reason=reason,
            before=previous or "",
        )
        return True

    def note_readable(self, kind: DocumentKind, name: str) -> None:
        """Record that a document is readable or was removed."""
        if self._reasons and self._reasons.pop((kind, name), None) is not None:
            logger.info(
                "document is readable again or was removed",
                code="document_readable",
                kind=str(kind),
                document=name,
            )
