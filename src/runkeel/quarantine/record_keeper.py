"""Keeps records in the store, so that they outlast a restart of all nodes.

The coordinator alone writes: one document of all records that count. Nodes read it when they start.
"""

from __future__ import annotations

import time
from typing import Any

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.documents import (
    CALL_TIMEOUT_SECONDS,
    Document,
    DocumentConflictError,
    DocumentKind,
    DocumentStore,
)
from runkeel.background_task import BackgroundTask
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.quarantine.crash_ledger import CrashLedger
from runkeel.quarantine.crash_record import CrashRecord

KEPT_FROM_ENDS = 2
"""Records are kept from so many ends on. A single end is forgotten with a restart of all nodes, so
that a burst of crashes by chance, with each request at those servers a suspect, costs no writes.
"""

KEPT_RECORDS = 256
"""Most records in the document, 40 KB; those with the most ends."""

GATHER_SECONDS = 0.05
WRITE_PAUSE_SECONDS = 0.5
"""News are gathered for a moment; two writes are so far apart at least."""

RETRY_SECONDS = 0.5
"""Pause before a write that failed is tried again."""


def read_records(
    store: DocumentStore,
    shard: str,
    ledger: CrashLedger,
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> Document | None:
    """Take the records that the store keeps. Raises RunkeelError when it gives no answer."""
    document = store.get(DocumentKind.QUARANTINE, shard, timeout_seconds)
    if document is not None:
        _take(document, ledger)
    return document


class RecordKeeper:
    """One task of a coordinator's term that keeps the store's document up to date."""

    def __init__(self, store: DocumentStore, shard: str, ledger: CrashLedger) -> None:
        self._store = store
        self._shard = shard
        self._ledger = ledger
        self._changed = Event()
        self._written: set[int] = set()
        """Digests of the records in the document."""
        self._task = BackgroundTask(self._run)
        ledger.on_change(self._note)

    def start(self) -> None:
        """Start to keep records; those that the store has are taken first."""
        self._changed.set()
        self._task.start()

    def stop(self) -> None:
        """Keep no more."""
        self._task.stop()

    def _note(self, record: CrashRecord, before: CrashRecord | None, source: str) -> None:
        self._changed.set()

    def _run(self) -> None:
        document = None
        known = False
        while True:
            self._changed.wait()
            gevent.sleep(GATHER_SECONDS)
            self._changed.clear()
            try:
                if not known:
                    document = self._read()
                    known = True
                document = self._write(document)
                gevent.sleep(WRITE_PAUSE_SECONDS)
            except RunkeelError as error:
                known = False
                self._changed.set()
                logger.info(
                    "records of requests under which servers ended not written yet",
                    code="quarantine_unwritten",
                    error=str(error.code),
                )
                gevent.sleep(RETRY_SECONDS)

    def _read(self) -> Document | None:
        document = read_records(self._store, self._shard, self._ledger)
        content = document.content if document is not None else {}
        self._written = {one.digest for one in _records(content)}
        return document

    def _write(self, document: Document | None) -> Document | None:
        """Write what has changed; returns the document as it is now."""
        records = self._kept()
        digests = {one.digest for one in records}
        if digests == self._written:
            return document
        content = {"records": [_encode(one) for one in records]}
        try:
            if document is None:
                document = self._store.create(DocumentKind.QUARANTINE, self._shard, content)
            else:
                document = self._store.replace(
                    DocumentKind.QUARANTINE, self._shard, content, document.revision
                )
        except DocumentConflictError as conflict:
            # A coordinator before, or an unanswered write of this one, came first.
            if conflict.current is not None:
                _take(conflict.current, self._ledger)
            raise
        self._written = digests
        logger.info(
            "records of requests under which servers ended written",
            code="quarantine_written",
            records=len(records),
            revision=document.revision,
        )
        return document

    def _kept(self) -> list[CrashRecord]:
        kept = [one for one in self._ledger.records() if len(one.ended) >= KEPT_FROM_ENDS]
        kept.sort(key=lambda one: (len(one.ended), one.changed_at), reverse=True)
        return kept[:KEPT_RECORDS]


def _take(document: Document, ledger: CrashLedger) -> None:
    for record in _records(document.content):
        ledger.take(record, "")


def _records(content: Any) -> list[CrashRecord]:
    """Return a document's records; one that can't be read is left out."""
    records = []
    for one in content.get("records", ()):
        try:
            records.append(_decode(one))
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("record not understood", code="bad_record", error=repr(error))
    return records


def _encode(record: CrashRecord) -> dict[str, Any]:
    age = max(0.0, steady_seconds() - record.changed_at)
    return {
        "fingerprint": record.fingerprint,
        "service": record.service,
        "clearance": record.clearance,
        "ended": sorted(record.ended),
        "trials": record.trials,
        "trials_returned": record.trials_returned,
        "changed_at": time.time() - age,
    }


def _decode(stored: dict[str, Any]) -> CrashRecord:
    age = max(0.0, time.time() - float(stored["changed_at"]))
    return CrashRecord(
        str(stored["fingerprint"]),
        str(stored["service"]),
        int(stored["clearance"]),
        frozenset(str(one) for one in stored["ended"]),
        int(stored["trials"]),
        int(stored["trials_returned"]),
        steady_seconds() - age,
    )
