"""The delivery record of a step: a log whose entries are decided by majority.

An entry has a cursor. Its first revision names the tasks of the entry; a later revision names
the same tasks with other samples, for those that were lost or have become too old. A task
therefore stands in one entry only, whatever the number of owners that propose at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from loguru import logger

from runkeel.api.interfaces import Records
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts import metrics
from runkeel.rollouts.sample import (
    Sample,
    StepKey,
    VersionRange,
    versions_from_wire,
    versions_to_wire,
)
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.rollouts import ttypes

MAXIMUM_REVISIONS = 1_000


@dataclass(frozen=True, slots=True)
class ManifestItem:
    """Names one sample of an entry.

    Attributes:
        holders: nodes that had a copy when the entry was proposed.
    """

    task_id: str
    attempt: int
    versions: tuple[VersionRange, ...]
    digest: bytes
    holders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DeliveryEntry:
    """A decided entry.

    Attributes:
        entered_before: bitmap of the tasks in earlier entries, in the step's order. It makes
            the latest entry enough to go on from, since records expire.
    """

    cursor: int
    revision: int
    proposer: str
    items: tuple[ManifestItem, ...]
    entered_before: bytes = b""


def manifest_item(sample: Sample, holders: Iterable[str]) -> ManifestItem:
    """Return the item that names a sample."""
    return ManifestItem(
        sample.task_id, sample.attempt, sample.versions, sample.digest, tuple(holders)
    )


class DeliveryLog:
    """What one owner knows of a step's decided entries.

    Not safe for concurrent use: the step's lock is held around every call.
    """

    def __init__(
        self,
        records: Records,
        step: StepKey,
        step_digest: bytes,
        task_ids: Iterable[str],
        node_id: str,
        timeout_seconds: float,
    ) -> None:
        self._records = records
        self._step = step
        self._step_digest = step_digest
        self._task_ids = {task_id: place for place, task_id in enumerate(task_ids)}
        self._node_id = node_id
        self._timeout_seconds = timeout_seconds
        self._entered: set[str] = set()
        self._entered_bits = 0
        self._entries: list[DeliveryEntry | None] = []

    @property
    def next_cursor(self) -> int:
        """Cursor of the first entry that is not known to be decided."""
        return len(self._entries)

    @property
    def is_complete(self) -> bool:
        """Whether every task stands in an entry."""
        return len(self._entered) == len(self._task_ids)

    def entry(self, cursor: int) -> DeliveryEntry | None:
        """Return the latest known revision, or None once it was compacted."""
        return self._entries[cursor]

    def learn(self) -> list[DeliveryEntry]:
        """Read the entries that follow the known ones; return them.

        Raises:
            RunkeelError: RECORDS_UNAVAILABLE, or STEP_CONFLICT when the record belongs to a
                step of the same id with other tasks.
        """
        learnt = []
        while not self.is_complete:
            value = self._records.read(self._key(self.next_cursor, 0), self._timeout_seconds)
            if value is None:
                break
            learnt.append(self._append(self._decode(value)))
        return learnt

    def skip_to(self, cursor: int) -> list[str]:
        """Learn from the entry before a cursor what stands in all entries before it.

        For a step whose first entries have expired. Returns the tasks that were not known to
        be entered; none if that entry can't be read either. Raises like :meth:`learn`.
        """
        value = self._records.read(self._key(cursor - 1, 0), self._timeout_seconds)
        if value is None:
            return []
        entry = self._decode(value)
        entered = _bitmap_members(entry.entered_before, self._task_ids)
        entered += [item.task_id for item in entry.items]
        new = [task_id for task_id in entered if task_id not in self._entered]
        self._note_entered(new)
        self._entries += [None] * (cursor - 1 - self.next_cursor) + [entry]
        return new

    def learn_revisions(self, cursor: int) -> None:
        """Read the revisions of an entry that follow the known one. Raises like learn."""
        entry = self._entries[cursor]
        while entry is not None and entry.revision < MAXIMUM_REVISIONS:
            key = self._key(cursor, entry.revision + 1)
            value = self._records.read(key, self._timeout_seconds)
            if value is None:
                return
            entry = self._replace(cursor, self._decode(value))

    def decide_next(self, items: Sequence[ManifestItem]) -> DeliveryEntry:
        """Propose the entry that follows the known ones; return the one that was decided.

        Raises:
            RunkeelError: RECORDS_UNAVAILABLE: the entry may still be decided. The caller
                proposes for the same cursor again and takes what it is then given.
        """
        cursor = self.next_cursor
        proposal = DeliveryEntry(cursor, 0, self._node_id, tuple(items), self._bitmap())
        return self._append(self._decide(proposal))

    def decide_revision(self, cursor: int, items: Sequence[ManifestItem]) -> DeliveryEntry:
        """Propose other samples for the tasks of a decided entry; return what was decided.

        Raises:
            RunkeelError: like :meth:`decide_next`.
        """
        known = self._entries[cursor]
        if known is None or known.revision >= MAXIMUM_REVISIONS:
            raise RunkeelError(ErrorCode.BAD_CURSOR, "the entry can't be revised")
        proposal = DeliveryEntry(
            cursor, known.revision + 1, self._node_id, tuple(items), known.entered_before
        )
        metrics.ENTRIES_REVISED.labels(self._step.model).inc()
        return self._replace(cursor, self._decide(proposal))

    def compact(self, cursor: int) -> DeliveryEntry | None:
        """Forget a confirmed entry's samples, not its task ids; return the entry."""
        entry = self._entries[cursor]
        self._entries[cursor] = None
        return entry

    def _decide(self, proposal: DeliveryEntry) -> DeliveryEntry:
        value = encode(self._to_wire(proposal))
        key = self._key(proposal.cursor, proposal.revision)
        decided = self._decode(self._records.decide(key, value, self._timeout_seconds))
        proposer = "self" if decided.proposer == self._node_id else "other"
        metrics.ENTRIES_DECIDED.labels(self._step.model, proposer).inc()
        return decided

    def _append(self, entry: DeliveryEntry) -> DeliveryEntry:
        if entry.cursor != self.next_cursor or entry.revision != 0:
            raise self._broken("an entry stands under another entry's key")
        if entry.entered_before != self._bitmap():
            raise self._broken("an entry was proposed without knowing all earlier ones")
        for item in entry.items:
            if item.task_id not in self._task_ids or item.task_id in self._entered:
                raise self._broken(f"task {item.task_id} is unknown or entered twice")
        self._note_entered(item.task_id for item in entry.items)
        self._entries.append(entry)
        return entry

    def _replace(self, cursor: int, entry: DeliveryEntry) -> DeliveryEntry:
        known = self._entries[cursor]
        if known is None or {item.task_id for item in known.items} != {
            item.task_id for item in entry.items
        }:
            raise self._broken("a revision names other tasks")
        self._entries[cursor] = entry
        return entry

    def _note_entered(self, task_ids: Iterable[str]) -> None:
        for task_id in task_ids:
            self._entered.add(task_id)
            self._entered_bits |= 1 << self._task_ids[task_id]

    def _bitmap(self) -> bytes:
        return self._entered_bits.to_bytes((len(self._task_ids) + 7) // 8, "little")

    def _broken(self, detail: str) -> RunkeelError:
        logger.error(
            "delivery record of step {} is broken: {}",
            self._step.step_id,
            detail,
            code=ErrorCode.INTERNAL,
        )
        return RunkeelError(ErrorCode.INTERNAL, detail)

    def _key(self, cursor: int, revision: int) -> str:
        key = f"step/{self._step.model}/{self._step.step_id}/{cursor}"
        return f"{key}/{revision}" if revision else key

    def _to_wire(self, entry: DeliveryEntry) -> ttypes.DeliveryEntry:
        items = [
            ttypes.ManifestItem(
                item.task_id,
                item.attempt,
                versions_to_wire(item.versions),
                item.digest,
                list(item.holders),
            )
            for item in entry.items
        ]
        return ttypes.DeliveryEntry(
            self._step_digest,
            entry.cursor,
            entry.revision,
            entry.proposer,
            items,
            entry.entered_before,
        )

    def _decode(self, value: bytes) -> DeliveryEntry:
        record = decode(ttypes.DeliveryEntry, value)
        if record.step_digest != self._step_digest:
            raise RunkeelError(
                ErrorCode.STEP_CONFLICT, f"step {self._step.step_id} was begun with other tasks"
            )
        items = tuple(
            ManifestItem(
                item.task_id,
                item.attempt,
                versions_from_wire(item.versions),
                item.digest,
                tuple(item.holders),
            )
            for item in record.items
        )
        return DeliveryEntry(
            record.cursor, record.revision, record.proposer, items, record.entered_before
        )


def _bitmap_members(bitmap: bytes, places: Mapping[str, int]) -> list[str]:
    bits = int.from_bytes(bitmap, "little")
    return [task_id for task_id, place in places.items() if bits >> place & 1]
