"""The replicated map of configuration objects and machines that every node holds in memory.

A record is taken only when it supersedes the held one, whatever its source: a late watch
event, an old answer of the store, a restored store, a restarted node or a healed cut can
therefore never revert what is in force. Merging is commutative, associative and idempotent
(a state-based CRDT, Shapiro et al. 2011), so nodes that hold the same records agree.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator, Sequence

from loguru import logger

from runkeel.state import metrics
from runkeel.state.listeners import notify
from runkeel.state.versioned_record import BUCKET_COUNT, MACHINE_KIND, VersionedRecord, bucket_of

MAX_MACHINE_TOMBSTONES = 2_048
"""Deleted machines remembered, newest first. A machine that a long cut off node brings back
after its tombstone was dropped is deleted again by the next reading of the machine list."""

ChangeListener = Callable[[Sequence[VersionedRecord]], None]


class RecordSource(enum.StrEnum):
    """Where a record came from."""

    STORE = "store"
    PUSH = "push"
    SYNC = "sync"
    WRITE = "write"


class ReplicatedState:
    """The map (kind, name) -> latest record, with incremental digests.

    All methods run without yielding to other tasks, except for what listeners do.
    """

    def __init__(self) -> None:
        self._records: dict[str, dict[str, VersionedRecord]] = {}
        self._buckets: list[dict[tuple[str, str], VersionedRecord]] = [
            {} for _ in range(BUCKET_COUNT)
        ]
        self._bucket_digests = [0] * BUCKET_COUNT
        self._digest = 0
        self._machine_tombstones: set[str] = set()
        self._listeners: list[ChangeListener] = []
        self.collisions = 0

    def __len__(self) -> int:
        return sum(len(records) for records in self._records.values())

    @property
    def digest(self) -> int:
        """XOR of the digests of all records."""
        return self._digest

    def bucket_digests(self) -> list[int]:
        """Return the XOR of the digests in each bucket."""
        return list(self._bucket_digests)

    def bucket(self, index: int) -> Iterator[VersionedRecord]:
        """Iterate over the records of a bucket."""
        return iter(tuple(self._buckets[index].values()))

    def get(self, kind: str, name: str) -> VersionedRecord | None:
        """Return the held record, deleted ones included."""
        return self._records.get(kind, {}).get(name)

    def records(self, kind: str) -> tuple[VersionedRecord, ...]:
        """Return the held records of a kind, deleted ones included."""
        return tuple(self._records.get(kind, {}).values())

    def kinds(self) -> tuple[str, ...]:
        """Return the kinds of which records are held."""
        return tuple(self._records)

    def on_change(self, listener: ChangeListener) -> None:
        """Call back with the records taken, after they are in force."""
        self._listeners.append(listener)

    def apply(
        self, records: Iterable[VersionedRecord], source: RecordSource
    ) -> list[VersionedRecord]:
        """Take the records that supersede the held ones; return those taken."""
        taken = [record for record in records if self._take(record)]
        refused_machines = self._drop_old_tombstones()
        if taken:
            metrics.RECORDS_TAKEN.labels(source).inc(len(taken))
            kept = [record for record in taken if record.key not in refused_machines]
            notify(self._listeners, kept)
        return taken

    def _take(self, record: VersionedRecord) -> bool:
        held = self.get(record.kind, record.name)
        if held is not None and held.generation == record.generation and held != record:
            self._count_collision(held, record)
        if not self._supersedes(record, held):
            return False
        self._put(record, held)
        return True

    def _supersedes(self, record: VersionedRecord, held: VersionedRecord | None) -> bool:
        return record.supersedes(held)

    def _count_collision(self, held: VersionedRecord, other: VersionedRecord) -> None:
        self.collisions += 1
        metrics.GENERATION_COLLISIONS.inc()
        if not self._supersedes(other, held):
            return
        logger.warning(
            "{}/{} generation {} replaced by another version of that generation",
            held.kind,
            held.name,
            held.generation,
            code="generation_collision",
            held_by=held.changed_by,
            other_by=other.changed_by,
        )

    def _put(self, record: VersionedRecord, held: VersionedRecord | None) -> None:
        index = bucket_of(record.kind, record.name)
        change = record.digest ^ (held.digest if held is not None else 0)
        self._digest ^= change
        self._bucket_digests[index] ^= change
        self._buckets[index][record.key] = record
        self._records.setdefault(record.kind, {})[record.name] = record
        if record.kind == MACHINE_KIND:
            self._note_tombstone(record)

    def _note_tombstone(self, record: VersionedRecord) -> None:
        if record.deleted:
            self._machine_tombstones.add(record.name)
        else:
            self._machine_tombstones.discard(record.name)

    def _drop_old_tombstones(self) -> set[tuple[str, str]]:
        """Keep only the newest tombstones; the same ones on every node that heard of them."""
        excess = len(self._machine_tombstones) - MAX_MACHINE_TOMBSTONES
        if excess <= 0:
            return set()
        machines = self._records[MACHINE_KIND]
        oldest = sorted(
            self._machine_tombstones, key=lambda name: (machines[name].generation, name)
        )[:excess]
        for name in oldest:
            self._remove(machines[name])
        return {(MACHINE_KIND, name) for name in oldest}

    def _remove(self, record: VersionedRecord) -> None:
        index = bucket_of(record.kind, record.name)
        self._digest ^= record.digest
        self._bucket_digests[index] ^= record.digest
        del self._buckets[index][record.key]
        del self._records[record.kind][record.name]
        self._machine_tombstones.discard(record.name)
