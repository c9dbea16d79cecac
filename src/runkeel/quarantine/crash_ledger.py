"""A node's table of the requests under which servers have ended; bounded in size and time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.quarantine.crash_record import CrashRecord, merged

MAXIMUM_RECORDS = 1_024
"""Most requests that are remembered, 620 bytes each (measured); what matters least goes first."""

SUSPECT_SECONDS = 600.0
"""A request that is not held back is forgotten so long after the last server ended under it.

Clients come again within seconds; a long item of a batch job runs for 8 minutes.
"""

HELD_SECONDS = 6 * 3600.0
"""One that is held back is forgotten after so long: servers may run other software by then."""

CLEARED_SECONDS = 60.0
"""A clearance is remembered for so long, against older news that is still on its way."""

ChangeListener = Callable[[CrashRecord, CrashRecord | None, str], None]
"""Called with a record that has changed, what it was before, and the node from which the news came;
empty: this one.
"""


class CrashLedger:
    """The records of a node.

    Args:
        now: the steady clock.
        maximum: records that are kept.

    Attributes:
        digest: number that is the same for ledgers that say the same.
    """

    def __init__(
        self, now: Callable[[], float] = steady_seconds, maximum: int = MAXIMUM_RECORDS
    ) -> None:
        self._now = now
        self._maximum = maximum
        self._records: dict[str, CrashRecord] = {}
        self._listeners: list[ChangeListener] = []
        self.digest = 0

    def __len__(self) -> int:
        return len(self._records)

    def on_change(self, listener: ChangeListener) -> None:
        """Have a listener called with each record that changes."""
        self._listeners.append(listener)

    def get(self, fingerprint: str) -> CrashRecord | None:
        """Return what is known of a request, None for nothing."""
        record = self._records.get(fingerprint)
        if record is not None and self._expired(record):
            self._forget(fingerprint)
            return None
        return record

    def records(self) -> list[CrashRecord]:
        """Return all records; what is too old is forgotten."""
        for fingerprint in list(self._records):
            self.get(fingerprint)
        return list(self._records.values())

    def note_ended(self, fingerprint: str, service: str, incarnation: str) -> CrashRecord:
        """Take note that a server ended under a request."""
        known = self.get(fingerprint) or CrashRecord(fingerprint, service)
        ended = CrashRecord(
            fingerprint, service, known.clearance, frozenset((incarnation,)), 0, 0, self._now()
        )
        return self._put(merged(known, ended), "")

    def clear(self, fingerprint: str) -> bool:
        """Forget the ends under a request, here and elsewhere; False where none are known."""
        known = self.get(fingerprint)
        if known is None or not known.ended:
            return False
        cleared = CrashRecord(fingerprint, known.service, known.clearance + 1)
        self._put(replace(cleared, changed_at=self._now()), "")
        return True

    def note_trial(self, fingerprint: str) -> None:
        """Take note of a trial that was granted."""
        known = self.get(fingerprint)
        if known is not None:
            self._put(replace(known, trials=known.trials + 1, changed_at=self._now()), "")

    def note_trial_returned(self, fingerprint: str) -> None:
        """Take note that no server was reached by a trial."""
        known = self.get(fingerprint)
        if known is not None and known.trials_returned < known.trials:
            self._put(replace(known, trials_returned=known.trials_returned + 1), "")

    def take(self, record: CrashRecord, source: str) -> bool:
        """Take another node's record; returns whether anything of it was new."""
        known = self.get(record.fingerprint)
        if known is None:
            if self._expired(record):
                return False
            self._put(record, source)
            return True
        together = merged(known, record)
        if together.same_as(known):
            return False
        self._put(together, source)
        return True

    def _put(self, record: CrashRecord, source: str) -> CrashRecord:
        before = self._records.get(record.fingerprint)
        self._records[record.fingerprint] = record
        # Carried on with each change: made anew it takes 21 ms at 1,024 records, at each pong.
        self.digest ^= record.digest ^ (0 if before is None else before.digest)
        if len(self._records) > self._maximum:
            self._forget(min(self._records.values(), key=_worth).fingerprint)
        for listener in self._listeners:
            listener(record, before, source)
        return record

    def _forget(self, fingerprint: str) -> None:
        record = self._records.pop(fingerprint)
        self.digest ^= record.digest
        if record.held:
            logger.warning(
                "request held back no more: it is forgotten",
                code="request_forgotten",
                fingerprint=fingerprint,
                service=record.service,
                ended=sorted(record.ended),
                age_ms=int((self._now() - record.changed_at) * 1000),
            )

    def _expired(self, record: CrashRecord) -> bool:
        if not record.ended:
            kept_for = CLEARED_SECONDS
        else:
            kept_for = HELD_SECONDS if record.held else SUSPECT_SECONDS
        return self._now() - record.changed_at >= kept_for


def _worth(record: CrashRecord) -> tuple[bool, int, float]:
    """Return the order in which records are given up where there are too many."""
    return record.held, len(record.ended), record.changed_at
