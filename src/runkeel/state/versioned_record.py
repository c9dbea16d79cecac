"""One version of a configuration object or machine list entry, and its digest."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from runkeel.errors import ErrorCode, may_have_run
from runkeel.wire.generated.state.ttypes import StateRecord

MACHINE_KIND = "machine"
"""Kind of the records that carry machine list entries."""
BUCKET_COUNT = 64
_BUCKET_SHIFT = 57
_DIGEST_MASK = (1 << 63) - 1
_FIELD_SEPARATOR = b"\x00"


def canonical_json(value: Any) -> bytes:
    """Encode a JSON value so that equal values give equal bytes."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


def _hash63(parts: Iterable[bytes]) -> int:
    """Hash to 63 bits, so that a digest also fits a signed 64-bit field."""
    digest = hashlib.blake2b(_FIELD_SEPARATOR.join(parts), digest_size=8).digest()
    return int.from_bytes(digest, "big") & _DIGEST_MASK


@dataclass(frozen=True, slots=True)
class VersionedRecord:
    """A version of a record.

    Attributes:
        generation: grows with each accepted change; for machines the list's version.
        payload: canonical JSON of the spec or machine.
        command_ids: ids of the latest commands that changed the object, latest last.
        digest: 63-bit hash of everything above.
    """

    kind: str
    name: str
    generation: int
    payload: bytes
    deleted: bool = False
    command_ids: tuple[str, ...] = ()
    changed_by: str = ""
    digest: int = field(init=False, compare=False)

    def __post_init__(self) -> None:
        parts = [
            self.kind.encode(),
            self.name.encode(),
            str(self.generation).encode(),
            b"deleted" if self.deleted else b"",
            self.changed_by.encode(),
            ",".join(self.command_ids).encode(),
            self.payload,
        ]
        object.__setattr__(self, "digest", _hash63(parts))

    @property
    def key(self) -> tuple[str, str]:
        """Kind and name."""
        return (self.kind, self.name)

    def supersedes(self, other: VersionedRecord | None) -> bool:
        """Return whether this record is to be held in place of the other.

        The higher generation wins. The same generation with other content is possible only
        after a store was restored older; then the higher digest wins on every node alike.
        """
        if other is None:
            return True
        if self.generation != other.generation:
            return self.generation > other.generation
        return self.digest > other.digest

    def to_wire(self) -> StateRecord:
        """Convert to the thrift message."""
        return StateRecord(
            kind=self.kind,
            name=self.name,
            generation=self.generation,
            payload=self.payload,
            deleted=self.deleted,
            command_ids=list(self.command_ids),
            changed_by=self.changed_by,
        )


def record_from_wire(message: StateRecord) -> VersionedRecord:
    """Convert from the thrift message.

    Raises:
        RunkeelError: PROTOCOL_ERROR, a field is missing or out of range.
    """
    if not message.kind or not message.name or message.payload is None:
        raise may_have_run(ErrorCode.PROTOCOL_ERROR, "a state record lacks a field")
    if message.generation is None or message.generation < 0:
        raise may_have_run(ErrorCode.PROTOCOL_ERROR, "a state record has no generation")
    return VersionedRecord(
        kind=message.kind,
        name=message.name,
        generation=message.generation,
        payload=message.payload,
        deleted=bool(message.deleted),
        command_ids=tuple(message.command_ids or ()),
        changed_by=message.changed_by or "",
    )


def bucket_of(kind: str, name: str) -> int:
    """Return the digest bucket of a key, 0 to 63."""
    return _hash63((kind.encode(), name.encode())) >> _BUCKET_SHIFT
