"""Persists crash records in the document store, so that they survive a restart of all nodes.

Only the coordinator writes, and it writes one document. Nodes read it when they start.
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

MIN_STORED_CRASHES = 2
"""Minimum number of crashes for a record to be stored.

Records with a single crash are not stored, because a crash of a server adds one for every request
in flight there.
"""

MAX_STORED_RECORDS = 256
"""Maximum number of records in the document; those with the most crashes are stored."""

COALESCE_SECONDS = 0.05
"""Delay before a write, to combine changes that happen together."""

MIN_WRITE_INTERVAL_SECONDS = 0.5
"""Minimum pause between two writes."""

RETRY_DELAY_SECONDS = 0.5
"""Delay before a failed write is retried."""


def read_records(
    store: DocumentStore,
    shard: str,
    ledger: CrashLedger,
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> Document | None:
    """Merge the stored records into a ledger. Raises RunkeelError if the store does not respond."""
    document = store.get(DocumentKind.QUARANTINE, shard, timeout_seconds)
    if document is not None:
        _merge_document(document, ledger)
    return document


class CrashRecordWriter:
    """Task that keeps the stored document up to date during a coordinator's term."""

    def __init__(self, store: DocumentStore, shard: str, ledger: CrashLedger) -> None:
        self._store = store
        self._shard = shard
        self._ledger = ledger
        self._change_pending = Event()
        self._stored_digests: set[int] = set()
        """Digests of the records in the stored document."""
        self._task = BackgroundTask(self._run)
        ledger.on_change(self._on_record_changed)

    def start(self) -> None:
        """Start the task; it first merges the stored records into the ledger."""
        self._change_pending.set()
        self._task.start()

    def stop(self) -> None:
        self._task.stop()

    def _on_record_changed(
        self, record: CrashRecord, before: CrashRecord | None, source: str
    ) -> None:
        self._change_pending.set()

    def _run(self) -> None:
        document = None
        loaded = False
        while True:
            self._change_pending.wait()
            gevent.sleep(COALESCE_SECONDS)
            self._change_pending.clear()
            try:
                if not loaded:
                    document = self._read()
                    loaded = True
                document = self._write(document)
                gevent.sleep(MIN_WRITE_INTERVAL_SECONDS)
            except RunkeelError as error:
                loaded = False
                self._change_pending.set()
                logger.info(
                    "crash records not written yet",
                    code="quarantine_unwritten",
                    error=str(error.code),
                )
                gevent.sleep(RETRY_DELAY_SECONDS)

    def _read(self) -> Document | None:
        document = read_records(self._store, self._shard, self._ledger)
        content = document.content if document is not None else {}
        self._stored_digests = {one.digest for one in _decode_records(content)}
        return document

    def _write(self, document: Document | None) -> Document | None:
        """Write the records if they have changed; returns the current document."""
        records = self._records_to_store()
        digests = {one.digest for one in records}
        if digests == self._stored_digests:
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
            # A previous coordinator's write, or an unacknowledged one of this node, came first.
            if conflict.current is not None:
                _merge_document(conflict.current, self._ledger)
            raise
        self._stored_digests = digests
        logger.info(
            "crash records written",
            code="quarantine_written",
            records=len(records),
            revision=document.revision,
        )
        return document

    def _records_to_store(self) -> list[CrashRecord]:
        selected = [
            one for one in self._ledger.records() if len(one.crashed_servers) >= MIN_STORED_CRASHES
        ]
        selected.sort(key=lambda one: (len(one.crashed_servers), one.changed_at), reverse=True)
        return selected[:MAX_STORED_RECORDS]


def _merge_document(document: Document, ledger: CrashLedger) -> None:
    for record in _decode_records(document.content):
        ledger.merge_record(record, "")


def _decode_records(content: Any) -> list[CrashRecord]:
    """Return the records of a document, skipping malformed ones."""
    records = []
    for one in content.get("records", ()):
        try:
            records.append(_decode(one))
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("malformed crash record skipped", code="bad_record", error=repr(error))
    return records


def _encode(record: CrashRecord) -> dict[str, Any]:
    age = max(0.0, steady_seconds() - record.changed_at)
    return {
        "fingerprint": record.fingerprint,
        "service": record.service,
        "clearance": record.clearance,
        "ended": sorted(record.crashed_servers),
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
