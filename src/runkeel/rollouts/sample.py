"""Samples and their wire form."""

from __future__ import annotations

import array
import hashlib
import struct
import sys
from collections.abc import Iterable
from dataclasses import dataclass

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.wire.generated.rollouts import ttypes

DIGEST_BYTES = 16
TOKEN_BYTES = 4


@dataclass(frozen=True, slots=True)
class VersionRange:
    """Consecutive tokens made by one weight version."""

    version: int
    first: int
    count: int


@dataclass(frozen=True, slots=True)
class StepKey:
    """Identifies a step."""

    model: str
    step_id: str


def pack_tokens(token_ids: Iterable[int]) -> bytes:
    """Return token ids as little-endian 32-bit integers."""
    packed = array.array("i", token_ids)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed.tobytes()


def unpack_tokens(packed: bytes) -> list[int]:
    """Return the token ids of :func:`pack_tokens`."""
    token_ids = array.array("i")
    token_ids.frombytes(packed)
    if sys.byteorder == "big":
        token_ids.byteswap()
    return token_ids.tolist()


@dataclass(frozen=True, slots=True)
class Sample:
    """A finished and scored generation of one task.

    Attributes:
        attempt: tells apart the samples that were made for the same task.
        packed_tokens: see :func:`pack_tokens`.
        versions: without gaps, in order of position.
        first_token_at: this node's monotonic clock at the first token, in s.
        first_token_unix: the generating node's wall clock at the first token, in s.
    """

    step: StepKey
    step_digest: bytes
    task_id: str
    group: str
    attempt: int
    packed_tokens: bytes
    versions: tuple[VersionRange, ...]
    finish_reason: str
    score: float
    first_token_at: float
    first_token_unix: float
    digest: bytes = b""

    def __post_init__(self) -> None:
        object.__setattr__(self, "digest", self._compute_digest())

    @property
    def token_ids(self) -> list[int]:
        """The token ids, unpacked."""
        return unpack_tokens(self.packed_tokens)

    @property
    def oldest_version(self) -> int:
        """Lowest version among the token ranges."""
        return min(part.version for part in self.versions)

    @property
    def size(self) -> int:
        """Bytes of token ids."""
        return len(self.packed_tokens)

    def age_seconds(self, now: float, unix_now: float) -> float:
        """Return the age of the first token.

        The monotonic age of a copy leaves out the time that it spent on its way, and a wall
        clock may be wrong. The larger of both errs towards too old.
        """
        return max(now - self.first_token_at, unix_now - self.first_token_unix)

    def _compute_digest(self) -> bytes:
        content = hashlib.blake2b(digest_size=DIGEST_BYTES)
        texts = (
            self.step.model,
            self.step.step_id,
            self.task_id,
            self.group,
            self.finish_reason,
        )
        for text in texts:
            encoded = text.encode()
            content.update(struct.pack("<I", len(encoded)) + encoded)
        content.update(self.step_digest)
        content.update(struct.pack("<idI", self.attempt, self.score, len(self.versions)))
        for part in self.versions:
            content.update(struct.pack("<qii", part.version, part.first, part.count))
        content.update(self.packed_tokens)
        return content.digest()


def versions_to_wire(versions: Iterable[VersionRange]) -> list[ttypes.VersionRange]:
    """Return the wire form of version ranges."""
    return [ttypes.VersionRange(part.version, part.first, part.count) for part in versions]


def versions_from_wire(records: Iterable[ttypes.VersionRange]) -> tuple[VersionRange, ...]:
    """Return version ranges from their wire form."""
    return tuple(VersionRange(part.version, part.first, part.count) for part in records)


def sample_to_wire(sample: Sample, now: float) -> ttypes.SampleRecord:
    """Return the wire form; ``now`` is this node's monotonic clock."""
    return ttypes.SampleRecord(
        model=sample.step.model,
        step_id=sample.step.step_id,
        step_digest=sample.step_digest,
        task_id=sample.task_id,
        group=sample.group,
        attempt=sample.attempt,
        token_ids=sample.packed_tokens,
        versions=versions_to_wire(sample.versions),
        finish_reason=sample.finish_reason,
        score=sample.score,
        age_ms=int((now - sample.first_token_at) * 1000),
        first_token_unix_ms=int(sample.first_token_unix * 1000),
    )


def sample_from_wire(record: ttypes.SampleRecord, now: float) -> Sample:
    """Return a sample from its wire form.

    Raises:
        RunkeelError: PROTOCOL_ERROR when the record is incomplete or contradicts itself.
    """
    try:
        sample = Sample(
            step=StepKey(record.model, record.step_id),
            step_digest=record.step_digest,
            task_id=record.task_id,
            group=record.group,
            attempt=record.attempt,
            packed_tokens=record.token_ids,
            versions=versions_from_wire(record.versions),
            finish_reason=record.finish_reason,
            score=record.score,
            first_token_at=now - record.age_ms / 1000,
            first_token_unix=record.first_token_unix_ms / 1000,
        )
        complete = covers_all_tokens(sample.versions, sample.size // TOKEN_BYTES)
    except (TypeError, AttributeError, struct.error) as error:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"broken sample: {error}") from error
    if not complete or sample.size % TOKEN_BYTES:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "a sample's versions don't cover its tokens")
    return sample


def covers_all_tokens(versions: tuple[VersionRange, ...], token_count: int) -> bool:
    """Return whether the ranges cover every token exactly once, in order."""
    position = 0
    for part in versions:
        if part.first != position or part.count <= 0:
            return False
        position += part.count
    return position == token_count and token_count > 0
