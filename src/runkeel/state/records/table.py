"""Bounded in-memory table of one replica's records."""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from runkeel.state.records.ballots import NO_BALLOT, BallotNumber

BUCKETS = 256
RECORD_OVERHEAD_BYTES = 64
"""Counted for each record besides its key and value."""


@dataclass(slots=True)
class Record:
    """One key's acceptor state (Paxos Made Simple, section 2.2)."""

    key: str
    promised: BallotNumber
    accepted: BallotNumber | None
    value: bytes | None
    decided: bool
    expires_at: float

    @property
    def size(self) -> int:
        """Bytes that count against the table's limit."""
        return RECORD_OVERHEAD_BYTES + len(self.key) + len(self.value or b"")


def bucket_of(key: str) -> int:
    """Return the bucket of a key; pages of a state transfer go bucket by bucket."""
    return (zlib.crc32(key.encode()) >> 8) % BUCKETS


class RecordTable:
    """Records by key, bounded in number and bytes, each kept until it expires."""

    def __init__(self, max_records: int, max_bytes: int, clock: Callable[[], float]) -> None:
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._clock = clock
        self.clear()

    def clear(self) -> None:
        """Forget every record."""
        self._buckets: list[dict[str, Record]] = [{} for _ in range(BUCKETS)]
        self._expiry: list[tuple[float, str]] = []
        self.count = 0
        self.bytes = 0

    def get(self, key: str) -> Record | None:
        """Return a live record, or None."""
        self.expire()
        return self._buckets[bucket_of(key)].get(key)

    def create(self, key: str, expires_at: float) -> Record | None:
        """Add an empty record; None when the table is full."""
        record = Record(key, NO_BALLOT, None, None, False, expires_at)
        if self.count >= self._max_records or self.bytes + record.size > self._max_bytes:
            return None
        self._buckets[bucket_of(key)][key] = record
        self.count += 1
        self.bytes += record.size
        heapq.heappush(self._expiry, (expires_at, key))
        return record

    def set_value(self, record: Record, value: bytes) -> bool:
        """Set a record's value; False, and no change, when there is no room for it."""
        growth = len(value) - len(record.value or b"")
        if growth > 0 and self.bytes + growth > self._max_bytes:
            return False
        record.value = value
        self.bytes += growth
        return True

    def expire(self) -> None:
        """Drop the records whose time has come."""
        now = self._clock()
        while self._expiry and self._expiry[0][0] <= now:
            _, key = heapq.heappop(self._expiry)
            record = self._buckets[bucket_of(key)].get(key)
            if record is None:
                continue
            if record.expires_at > now:
                heapq.heappush(self._expiry, (record.expires_at, key))
                continue
            del self._buckets[bucket_of(key)][key]
            self.count -= 1
            self.bytes -= record.size

    def page(self, bucket: int, after_key: str) -> Iterator[Record]:
        """Yield the records of a bucket whose keys follow ``after_key``, in order of key."""
        records = self._buckets[bucket]
        for key in sorted(key for key in records if key > after_key):
            yield records[key]
