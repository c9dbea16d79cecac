"""Reads documents that are never changed once they are made."""

from __future__ import annotations

from runkeel.api.documents import (
    CALL_TIMEOUT_SECONDS,
    Document,
    DocumentKind,
    DocumentStore,
    Freshness,
)


def get_unchanging(
    store: DocumentStore,
    kind: DocumentKind,
    name: str,
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> Document | None:
    """Return a document that is never changed; None when it is certain that there is none.

    An old answer that has it is as good as any. One that lacks it decides nothing: the document
    may have been made since, so the current state is asked for.

    Raises:
        RunkeelError: the store gave no answer.
    """
    known = store.get(kind, name, timeout_seconds, Freshness.ANY_AGE)
    if known is not None:
        return known
    return store.get(kind, name, timeout_seconds)
