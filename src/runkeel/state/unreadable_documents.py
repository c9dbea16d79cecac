"""Tells the log which documents can't be read: once for each and its cause, however often it comes.

Servers write their entries every second or so, and an entry that can't be read may stay for days.
"""

from __future__ import annotations

from collections import OrderedDict

from loguru import logger

from runkeel.api.documents import DocumentKind
from runkeel.metrics import UNREADABLE_DOCUMENTS

MAXIMUM_REMEMBERED = 1_000
"""Documents whose cause is remembered; a writer may make new names without end. 0.2 MB."""


class UnreadableDocuments:
    """What was last wrong with each document that can't be read."""

    def __init__(self) -> None:
        self._reasons: OrderedDict[tuple[DocumentKind, str], str] = OrderedDict()

    def note(self, kind: DocumentKind, name: str, reason: str) -> bool:
        """Take note of a document that can't be read; returns whether that is news."""
        known = self._reasons.get((kind, name))
        if known == reason:
            return False
        self._reasons[kind, name] = reason
        self._reasons.move_to_end((kind, name))
        if len(self._reasons) > MAXIMUM_REMEMBERED:
            self._reasons.popitem(last=False)
        UNREADABLE_DOCUMENTS.labels(str(kind)).inc()
        logger.warning(
            "document can't be read",
            code="bad_document",
            kind=str(kind),
            document=name,
            reason=reason,
            before=known or "",
        )
        return True

    def note_readable(self, kind: DocumentKind, name: str) -> None:
        """Take note of a document that can be read, or is gone."""
        if self._reasons and self._reasons.pop((kind, name), None) is not None:
            logger.info(
                "document can be read again or is gone",
                code="document_readable",
                kind=str(kind),
                document=name,
            )
