"""In-memory document store with conditional writes, watches, compaction and injected faults."""

from __future__ import annotations

import copy
import enum
import json
from typing import Any

import gevent
from gevent.event import Event

from runkeel.api.documents import (
    CALL_TIMEOUT_SECONDS,
    Document,
    DocumentChange,
    DocumentChanges,
    DocumentConflictError,
    DocumentKind,
    DocumentList,
    DocumentRejectedError,
    Freshness,
    HistoryDiscardedError,
)
from runkeel.errors import ErrorCode, RunkeelError, may_have_run, not_run

MAX_DOCUMENT_BYTES = 1_048_576
"""Size of a document's content, as JSON in bytes, above which writes are rejected."""


class StoreFault(enum.Enum):
    """Fault injected into the next write."""

    DOWN = "down"
    """The write is not executed; the caller gets an error saying so."""
    RESPONSE_LOST = "answer_lost"
    """The write is executed, but the caller gets an unknown-outcome error."""


class MemoryDocumentStore:
    """Implements :class:`runkeel.api.documents.DocumentStore` in memory.

    Attributes:
        down: every call fails without being executed.
        call_seconds: added latency of every call, in seconds.
        calls: number of calls by method name; reads with ``Freshness.STALE_ALLOWED`` are counted
            under the name with the suffix ``_any_age``.
    """

    def __init__(self) -> None:
        self.down = False
        self.call_seconds = 0.0
        self.calls: dict[str, int] = {}
        self._documents: dict[tuple[DocumentKind, str], Document] = {}
        self._stale_snapshot: tuple[int, dict[tuple[DocumentKind, str], Document]] | None = None
        self._history: list[tuple[int, DocumentChange]] = []
        self._compacted = 0
        self._revision = 0
        self._changed = Event()
        self._faults: list[StoreFault] = []

    @property
    def revision(self) -> int:
        """Revision of the latest change."""
        return self._revision

    def fail_next_write(self, fault: StoreFault, times: int = 1) -> None:
        """Inject a fault into the next ``times`` writes."""
        self._faults.extend([fault] * times)

    def snapshot_for_stale_reads(self) -> None:
        """Serve later ``Freshness.STALE_ALLOWED`` reads from a snapshot of the current state."""
        self._stale_snapshot = self._revision, dict(self._documents)

    def compact(self) -> None:
        """Drop the change history, so that watches from older revisions fail."""
        self._compacted = self._revision
        self._history.clear()
        self._notify_watches()

    def names(self, kind: DocumentKind) -> list[str]:
        """Return the sorted names of all documents of a kind."""
        return sorted(name for of_kind, name in self._documents if of_kind == kind)

    def everything(self) -> list[Document]:
        """Return all documents of all kinds."""
        return list(self._documents.values())

    def put(self, kind: DocumentKind, name: str, content: Any) -> Document:
        """Write a document unconditionally, as an operator would."""
        return self._store(kind, name, content)

    def remove(self, kind: DocumentKind, name: str) -> None:
        """Remove a document unconditionally, as the platform would."""
        document = self._documents.pop((kind, name), None)
        if document is not None:
            self._record(document, removed=True)

    def list(
        self,
        kind: DocumentKind,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        freshness: Freshness = Freshness.CURRENT,
    ) -> DocumentList:
        revision, documents = self._read("list", freshness)
        found = sorted(key for key in documents if key[0] == kind)
        return DocumentList(tuple(documents[key] for key in found), revision)

    def get(
        self,
        kind: DocumentKind,
        name: str,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        freshness: Freshness = Freshness.CURRENT,
    ) -> Document | None:
        return self._read("get", freshness)[1].get((kind, name))

    def create(
        self,
        kind: DocumentKind,
        name: str,
        content: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Document:
        fault = self._call("create", writes=True)
        _check_size(kind, name, content)
        current = self._documents.get((kind, name))
        if current is not None:
            self._raise_if_response_lost(fault)
            raise DocumentConflictError(kind, name, current)
        stored = self._store(kind, name, content)
        self._raise_if_response_lost(fault)
        return stored

    def replace(
        self,
        kind: DocumentKind,
        name: str,
        content: Any,
        expected_revision: int,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Document:
        """Replace the content if the document is at the expected revision."""
        fault = self._call("replace", writes=True)
        _check_size(kind, name, content)
        current = self._documents.get((kind, name))
        if current is None or current.revision != expected_revision:
            self._raise_if_response_lost(fault)
            raise DocumentConflictError(kind, name, current)
        stored = self._store(kind, name, content)
        self._raise_if_response_lost(fault)
        return stored

    def set_status(
        self,
        kind: DocumentKind,
        name: str,
        status: Any,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        fault = self._call("set_status", writes=True)
        current = self._documents.get((kind, name))
        if current is not None:
            self._store(kind, name, current.content, status)
        self._raise_if_response_lost(fault)

    def delete(
        self, kind: DocumentKind, name: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        fault = self._call("delete", writes=True)
        self.remove(kind, name)
        self._raise_if_response_lost(fault)

    def watch(self, kind: DocumentKind, revision: int, wait_seconds: float) -> DocumentChanges:
        """Return the changes of a kind after a revision, waiting up to ``wait_seconds`` for one."""
        self._call("watch")
        with gevent.Timeout(wait_seconds or None, False):
            while not self._changes(kind, revision) and wait_seconds:
                self._changed.wait()
                if self.down:
                    raise _unavailable("watch")
        return DocumentChanges(tuple(self._changes(kind, revision)), self._revision)

    def _changes(self, kind: DocumentKind, revision: int) -> list[DocumentChange]:
        if revision < self._compacted:
            raise HistoryDiscardedError(kind, revision)
        return [
            change for at, change in self._history if at > revision and change.document.kind == kind
        ]

    def _read(
        self, method: str, freshness: Freshness
    ) -> tuple[int, dict[tuple[DocumentKind, str], Document]]:
        """Return the revision and the documents that a read of the given freshness sees."""
        if freshness is Freshness.CURRENT:
            self._call(method)
            return self._revision, self._documents
        self._call(f"{method}_any_age")
        return self._stale_snapshot or (self._revision, self._documents)

    def _call(self, method: str, writes: bool = False) -> StoreFault | None:
        self.calls[method] = self.calls.get(method, 0) + 1
        if self.call_seconds:
            gevent.sleep(self.call_seconds)
        if self.down:
            raise _unavailable(method)
        if not writes or not self._faults:
            return None
        fault = self._faults.pop(0)
        if fault is StoreFault.DOWN:
            raise _unavailable(method)
        return fault

    def _raise_if_response_lost(self, fault: StoreFault | None) -> None:
        if fault is StoreFault.RESPONSE_LOST:
            raise may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, "the response was lost")

    def _store(self, kind: DocumentKind, name: str, content: Any, status: Any = None) -> Document:
        document = Document(kind, name, self._revision + 1, copy.deepcopy(content), status)
        self._documents[kind, name] = document
        self._record(document, removed=False)
        return document

    def _record(self, document: Document, removed: bool) -> None:
        self._revision += 1
        self._history.append((self._revision, DocumentChange(document, removed)))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = Event()


def _check_size(kind: DocumentKind, name: str, content: Any) -> None:
    if len(json.dumps(content, default=str)) > MAX_DOCUMENT_BYTES:
        raise DocumentRejectedError(kind, name, too_large=True)


def _unavailable(method: str) -> RunkeelError:
    return not_run(ErrorCode.STORE_UNAVAILABLE, f"{method}: the store is down")
