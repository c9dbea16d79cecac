"""A node's records of requests during which servers crashed, bounded in number and age."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.quarantine.crash_record import CrashRecord, merge

MAX_RECORDS = 1_024
"""Maximum number of records; above it the record with the lowest retention priority is evicted."""

SUSPECT_RETENTION_SECONDS = 600.0
"""Retention of a request that is not quarantined, counted from its last crash.

Longer than the retries of clients (seconds) and a long batch item (8 minutes).
"""

QUARANTINE_RETENTION_SECONDS = 6 * 3600.0
"""Retention of a quarantined request; servers may run other software by then."""

CLEARANCE_RETENTION_SECONDS = 60.0
"""Retention of a clearance, so that outdated updates still in transit do not undo it."""

ChangeListener = Callable[[CrashRecord, CrashRecord | None, str], None]
"""Called with a changed record, its previous version, and the node that sent the update (empty
for a change made by this node).
"""


class CrashLedger:
    """The crash records known to a node.

    Args:
        now: returns steady time in seconds.
        maximum: maximum number of records.

    Attributes:
        digest: equal for ledgers with equal records.
    """

    def __init__(
        self, now: Callable[[], float] = steady_seconds, maximum: int = MAX_RECORDS
    ) -> None:
        self._now = now
        self._maximum = maximum
        self._records: dict[str, CrashRecord] = {}
        self._listeners: list[ChangeListener] = []
        self.digest = 0

    def __len__(self) -> int:
        return len(self._records)

    def on_change(self, listener: ChangeListener) -> None:
        """Register a listener that is called with each changed record."""
        self._listeners.append(listener)

    def get(self, fingerprint: str) -> CrashRecord | None:
        """Return the record of a request, or None if there is none or it has expired."""
        record = self._records.get(fingerprint)
        if record is not None and self._expired(record):
            self._remove(fingerprint)
            return None
        return record

    def records(self) -> list[CrashRecord]:
        """Remove expired records and return the others."""
        for fingerprint in list(self._records):
            self.get(fingerprint)
        return list(self._records.values())

    def record_crash(self, fingerprint: str, service: str, incarnation: str) -> CrashRecord:
        """Record that a server crashed while it ran a request."""
        known = self.get(fingerprint) or CrashRecord(fingerprint, service)
        crash = CrashRecord(
            fingerprint, service, known.clearance, frozenset((incarnation,)), 0, 0, self._now()
        )
        return self._put(merge(known, crash), "")

    def clear(self, fingerprint: str) -> bool:
        """Clear the crashes of a request on all nodes; returns False if none are recorded."""
        known = self.get(fingerprint)
        if known is None or not known.crashed_servers:
            return False
        cleared = CrashRecord(fingerprint, known.service, known.clearance + 1)
        self._put(replace(cleared, changed_at=self._now()), "")
        return True

    def record_trial(self, fingerprint: str) -> None:
        """Record that a trial, a single send of a quarantined request, was granted."""
        known = self.get(fingerprint)
        if known is not None:
            self._put(replace(known, trials=known.trials + 1, changed_at=self._now()), "")

    def record_returned_trial(self, fingerprint: str) -> None:
        """Record that a granted trial reached no server."""
        known = self.get(fingerprint)
        if known is not None and known.trials_returned < known.trials:
            self._put(replace(known, trials_returned=known.trials_returned + 1), "")

    def merge_record(self, record: CrashRecord, source: str) -> bool:
        """Merge another node's record; returns whether it changed this ledger."""
        known = self.get(record.fingerprint)
        if known is None:
            if self._expired(record):
                return False
            self._put(record, source)
            return True
        combined = merge(known, record)
        if combined.same_content(known):
            return False
        self._put(combined, source)
        return True

    def _put(self, record: CrashRecord, source: str) -> CrashRecord:
        before = self._records.get(record.fingerprint)
        self._records[record.fingerprint] = record
        # Updated incrementally, because every reply to a ping carries the digest.
        self.digest ^= record.digest ^ (0 if before is None else before.digest)
        if len(self._records) > self._maximum:
            self._remove(min(self._records.values(), key=_retention_priority).fingerprint)
        for listener in self._listeners:
            listener(record, before, source)
        return record

    def _remove(self, fingerprint: str) -> None:
        record = self._records.pop(fingerprint)
        self.digest ^= record.digest
        if record.quarantined:
            logger.warning(
                "request released from quarantine: its record has expired or was evicted",
                code="request_forgotten",
                fingerprint=fingerprint,
                service=record.service,
                ended=sorted(record.crashed_servers),
                age_ms=int((self._now() - record.changed_at) * 1000),
            )

    def _expired(self, record: CrashRecord) -> bool:
        if not record.crashed_servers:
            retention_seconds = CLEARANCE_RETENTION_SECONDS
        else:
            retention_seconds = (
                QUARANTINE_RETENTION_SECONDS if record.quarantined else SUSPECT_RETENTION_SECONDS
            )
        return self._now() - record.changed_at >= retention_seconds


def _retention_priority(record: CrashRecord) -> tuple[bool, int, float]:
    """Return the sort key for eviction; the record with the lowest key is evicted first."""
    return record.quarantined, len(record.crashed_servers), record.changed_at
