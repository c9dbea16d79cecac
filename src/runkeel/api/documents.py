"""Interface to the document store that holds persistent state.

A store keeps documents by kind and name. Every change increments a single revision counter, and
each document carries the revision of its last change. Acknowledged writes are durable, and reads
with :attr:`Freshness.CURRENT` see all of them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any, Protocol

from runkeel.api.fleet import Backend, RoutingConfiguration
from runkeel.errors import ErrorCode, RunkeelError, Verdict

CALL_TIMEOUT_SECONDS = 1.0
"""Default timeout of a call to the store."""

MAX_CONTENT_BYTES = 800_000
"""Largest content of a document as JSON, below the 1 MB limit of the platform's store."""


class Freshness(enum.Enum):
    """Consistency that a read requires."""

    CURRENT = "current"
    """Reflects every write acknowledged before the read.

    Needed where a decision depends on the read alone.
    """
    STALE_ALLOWED = "any_age"
    """May be some seconds stale. Costs a tenth of a current read and is not rate-limited."""


class DocumentKind(enum.StrEnum):
    """Kinds of documents. Operators and the platform own the first four."""

    ROUTING = "routing"
    BACKEND = "backend"
    MODEL_VERSION = "model_version"
    RETIREMENT = "retirement"
    COORDINATOR = "coordinator"
    """Holder of the coordinator role; changed by compare-and-swap."""
    ORDER_LEASE = "order_lease"
    """Lease of the node that may send orders to engines; changed by compare-and-swap."""
    JOB = "job"
    """An accepted batch job; immutable."""
    JOB_PART = "job_part"
    """Items of a batch job that does not fit into one document; immutable."""
    JOB_END = "job_end"
    """Marks a batch job as ended."""
    JOB_RESULTS = "job_results"
    """A segment of a batch job's results; immutable."""
    USAGE_LEDGER = "usage_ledger"
    """Progress of usage reporting; changed by compare-and-swap."""
    QUARANTINE = "quarantine"
    """Requests suspected of crashing servers; changed by compare-and-swap."""


@dataclass(frozen=True, slots=True)
class Document:
    """A stored document; ``revision`` is that of its last change."""

    kind: DocumentKind
    name: str
    revision: int
    content: Any
    status: Any = None


@dataclass(frozen=True, slots=True)
class DocumentList:
    """All documents of a kind as of a revision."""

    documents: tuple[Document, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """A change of one document; ``removed`` marks a deletion."""

    document: Document
    removed: bool


@dataclass(frozen=True, slots=True)
class DocumentChanges:
    """Changes to documents of a kind up to a revision, in order."""

    changes: tuple[DocumentChange, ...] = field(default_factory=tuple)
    revision: int = 0


@dataclass(frozen=True, slots=True)
class DocumentPage:
    """Documents that another node's copy of a kind has and this node's copy lacks.

    Attributes:
        revision: store revision of the copy after this page is applied.
        whole: the page is a full listing; documents not in it were deleted.
        removed: names of deleted documents.
    """

    kind: DocumentKind
    revision: int
    whole: bool
    documents: tuple[Document, ...]
    removed: tuple[str, ...] = ()


class DocumentConflictError(RunkeelError):
    """A conditional write failed; ``current`` is the stored document, if known."""

    def __init__(self, kind: DocumentKind, name: str, current: Document | None) -> None:
        super().__init__(
            ErrorCode.CONFLICT, f"{kind}/{name} already exists or has changed", Verdict.NOT_RUN
        )
        self.current = current


class DocumentRejectedError(RunkeelError):
    """The store rejects a document for its content or size; sending it again can't succeed."""

    def __init__(self, kind: DocumentKind, name: str, too_large: bool) -> None:
        code = ErrorCode.BODY_TOO_LARGE if too_large else ErrorCode.BAD_REQUEST
        reason = "is too large for the store" if too_large else "is not valid for the store"
        super().__init__(code, f"{kind}/{name} {reason}", Verdict.NOT_RUN)


class HistoryDiscardedError(RunkeelError):
    """The store has discarded changes after the requested revision; list again."""

    def __init__(self, kind: DocumentKind, revision: int) -> None:
        super().__init__(
            ErrorCode.CONFLICT,
            f"the store no longer has the {kind} changes after revision {revision}",
            Verdict.NOT_RUN,
        )


class UnreadableDocumentError(ValueError):
    """A document is invalid; the message names the invalid part and the reason.

    The message contains no values of the document, which may be long or secret.
    """


class DocumentStore(Protocol):
    """The document store. Every method raises RunkeelError when it gets no response.

    ``STORE_UNAVAILABLE`` with ``NOT_RUN`` means that nothing was changed;
    ``STORE_OUTCOME_UNKNOWN`` means that a write may have been or may still be applied. Writes raise
    DocumentRejectedError when the store rejects the document itself.
    """

    def list(
        self,
        kind: DocumentKind,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        freshness: Freshness = Freshness.CURRENT,
    ) -> DocumentList:
        """Return all documents of a kind as of the list's revision."""

    def get(
        self,
        kind: DocumentKind,
        name: str,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        freshness: Freshness = Freshness.CURRENT,
    ) -> Document | None:
        """Return a document, or None; only a CURRENT read proves that it does not exist."""

    def create(
        self,
        kind: DocumentKind,
        name: str,
        content: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Document:
        """Create a document. Raises DocumentConflictError when it already exists."""

    def replace(
        self,
        kind: DocumentKind,
        name: str,
        content: Any,
        expected_revision: int,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Document:
        """Replace the content. Raises DocumentConflictError when the revision differs."""

    def set_status(
        self,
        kind: DocumentKind,
        name: str,
        status: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Replace the status of a document owned by the operators."""

    def delete(
        self, kind: DocumentKind, name: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        """Delete a document; does nothing when it does not exist."""

    def watch(self, kind: DocumentKind, revision: int, wait_seconds: float) -> DocumentChanges:
        """Wait for changes of a kind after a revision.

        Raises:
            HistoryDiscardedError: the store has discarded those changes.
        """


class DocumentParser(Protocol):
    """Parses documents owned by the operators and the platform.

    Every method raises an exception for an invalid document, UnreadableDocumentError where the
    invalid part is known. Callers treat any exception as an unreadable document.
    """

    def routing_configuration(self, document: Document) -> RoutingConfiguration:
        """Parse the routing document."""

    def backend(self, document: Document) -> Backend:
        """Parse a backend's document."""

    def model_version(self, document: Document) -> tuple[str, int]:
        """Parse a version document into the model's name and weight version."""

    def check_retirement(self, document: Document) -> None:
        """Raise unless the document is a valid request to drain a machine."""

    def retirement_status(self, completed: bool) -> Any:
        """Build the status of a retirement."""
