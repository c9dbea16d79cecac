"""Reads immutable documents."""

from __future__ import annotations

from runkeel.api.documents import (
    CALL_TIMEOUT_SECONDS,
    Document,
    DocumentKind,
    DocumentStore,
    Freshness,
)


def get_immutable(
    store: DocumentStore,
    kind: DocumentKind,
    name: str,
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> Document | None:
    """Return an immutable document, or None if it does not exist.

    Tries a read of any age first, since a stale copy of an immutable document is correct. If it
    finds none, the document may have been created since, so a current read follows.

    Raises:
        RunkeelError: the store did not respond.
    """
    document = store.get(kind, name, timeout_seconds, Freshness.STALE_ALLOWED)
    if document is not None:
        return document
    return store.get(kind, name, timeout_seconds)
