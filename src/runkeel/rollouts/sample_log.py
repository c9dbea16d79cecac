"""Append-only log of samples on a node with a data folder.

The log is a row of segment files. A segment begins with a magic number; each record is a header
(body length, CRC-32 of kind and body, kind) and a body. A record is written by one ``write``
before the sample is acknowledged, so it survives the death of the process. It is not synced to
the device: after a loss of power the second copy in another zone is what is left.

Reading stops at the first broken record of a segment. Only the last one written can be torn,
since an append that fails is cut off again before the next.
"""

from __future__ import annotations

import fcntl
import os
import struct
import time
import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from loguru import logger

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts import metrics
from runkeel.rollouts.options import MEBIBYTE, RolloutOptions
from runkeel.rollouts.sample import DIGEST_BYTES, Sample, sample_from_wire, sample_to_wire
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.rollouts.ttypes import SampleRecord

_MAGIC = b"RKSAMP01"
_HEADER = struct.Struct("<IIB")
_KIND_SAMPLE = 1
_KIND_RELEASE = 2
_MAXIMUM_BODY_BYTES = 16 * MEBIBYTE
_PATTERN = "samples-*.log"


@dataclass(slots=True)
class _Segment:
    path: Path
    size: int = 0
    live: set[bytes] = field(default_factory=set)


class SampleLog:
    """The log of one node.

    Raises:
        RunkeelError: STORAGE_CORRUPT when another process uses the folder.
        OSError: the folder can't be made or read.
    """

    def __init__(
        self,
        folder: Path,
        node_id: str,
        options: RolloutOptions,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._folder = folder
        self._options = options
        self._clock = clock
        self._wall_clock = wall_clock
        self._segments: list[_Segment] = []
        self._segment_of: dict[bytes, _Segment] = {}
        self._file: int | None = None
        self._failing = False
        self._gauge = metrics.LOG_BYTES.labels(node_id)
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = _lock_folder(folder)

    def recover(self) -> list[Sample]:
        """Return the samples that were written and not released; called once, before appends."""
        samples: dict[bytes, Sample] = {}
        for path in sorted(self._folder.glob(_PATTERN)):
            segment = _Segment(path)
            self._segments.append(segment)
            for kind, body in _read_segment(segment):
                if kind == _KIND_SAMPLE:
                    self._restore(segment, body, samples)
                elif kind == _KIND_RELEASE:
                    for digest in _split_digests(body):
                        samples.pop(digest, None)
                        self._forget(digest)
        self._delete_dead_segments()
        self._update_size()
        return list(samples.values())

    def append(self, sample: Sample) -> None:
        """Write a sample down. A failing disk is counted and logged, not raised."""
        body = encode(sample_to_wire(sample, self._clock()))
        segment = self._write(_KIND_SAMPLE, body)
        if segment is not None:
            segment.live.add(sample.digest)
            self._segment_of[sample.digest] = segment

    def release(self, digests: Iterable[bytes]) -> None:
        """Note that samples are no longer needed; segments without needed ones are deleted."""
        known = [digest for digest in digests if digest in self._segment_of]
        if not known:
            return
        self._write(_KIND_RELEASE, b"".join(known))
        for digest in known:
            self._forget(digest)
        self._delete_dead_segments()
        self._update_size()

    def close(self) -> None:
        """Close the files; the log may then be opened again."""
        self._close_segment()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _restore(self, segment: _Segment, body: bytes, samples: dict[bytes, Sample]) -> None:
        try:
            record = decode(SampleRecord, body)
            # The clock that the age was taken by may have been reset since: trust the wall
            # clock if it says that more time has passed.
            age = max(record.age_ms / 1000, self._wall_clock() - record.first_token_unix_ms / 1000)
            record.age_ms = int(age * 1000)
            sample = sample_from_wire(record, self._clock())
        except (RunkeelError, TypeError):
            metrics.LOG_RECORDS_DISCARDED.labels("unreadable_sample").inc()
            return
        samples[sample.digest] = sample
        segment.live.add(sample.digest)
        self._segment_of[sample.digest] = segment

    def _write(self, kind: int, body: bytes) -> _Segment | None:
        record = _HEADER.pack(len(body), _checksum(kind, body), kind) + body
        try:
            segment = self._open_segment(len(record))
            _write_whole(self._file, record, segment.size)
        except OSError as error:
            self._note_failure(error)
            return None
        segment.size += len(record)
        self._failing = False
        self._update_size()
        return segment

    def _open_segment(self, record_bytes: int) -> _Segment:
        """Return a segment with room for the record, after making room within the bound."""
        current = self._segments[-1] if self._file is not None else None
        if current is not None and current.size + record_bytes <= self._options.log_segment_bytes:
            return current
        self._close_segment()
        self._delete_dead_segments()
        self._enforce_bound(record_bytes)
        number = _segment_number(self._segments[-1].path) + 1 if self._segments else 1
        path = self._folder / f"samples-{number:010d}.log"
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        file = os.open(path, flags, 0o600)
        try:
            _write_whole(file, _MAGIC, 0)
        except OSError:
            os.close(file)
            path.unlink(missing_ok=True)
            raise
        self._file = file
        segment = _Segment(path, len(_MAGIC))
        self._segments.append(segment)
        return segment

    def _enforce_bound(self, record_bytes: int) -> None:
        """Delete the oldest segments, needed or not: the memory copies remain."""
        limit = self._options.log_maximum_bytes - max(
            record_bytes + len(_MAGIC), self._options.log_segment_bytes
        )
        while self._segments and sum(segment.size for segment in self._segments) > limit:
            metrics.LOG_RECORDS_DISCARDED.labels("size_bound").inc(len(self._segments[0].live))
            self._delete_oldest()

    def _delete_dead_segments(self) -> None:
        # From the oldest on only: a release record must outlive the sample that it names.
        while self._segments and not self._segments[0].live:
            is_current = self._file is not None and len(self._segments) == 1
            if is_current:
                return
            self._delete_oldest()

    def _delete_oldest(self) -> None:
        segment = self._segments.pop(0)
        for digest in segment.live:
            self._segment_of.pop(digest, None)
        segment.path.unlink(missing_ok=True)

    def _forget(self, digest: bytes) -> None:
        segment = self._segment_of.pop(digest, None)
        if segment is not None:
            segment.live.discard(digest)

    def _close_segment(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _note_failure(self, error: OSError) -> None:
        metrics.LOG_RECORDS_DISCARDED.labels("write_failed").inc()
        # What follows goes into a new segment, whatever state this one is left in.
        self._close_segment()
        if not self._failing:
            self._failing = True
            logger.error("sample log can't be written: {}", error, code=ErrorCode.STORAGE_FULL)

    def _update_size(self) -> None:
        self._gauge.set(sum(segment.size for segment in self._segments))


def _lock_folder(folder: Path) -> int:
    lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock)
        raise RunkeelError(
            ErrorCode.STORAGE_CORRUPT, f"{folder} is used by another process"
        ) from error
    return lock


def _checksum(kind: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(bytes([kind])))


def _write_whole(file: int, data: bytes, offset: int) -> None:
    """Write all of the data at the end, or leave the file as it was."""
    try:
        written = os.write(file, data)
        if written != len(data):
            raise OSError(f"only {written} of {len(data)} bytes were written")
    except OSError:
        os.ftruncate(file, offset)
        raise


def _segment_number(path: Path) -> int:
    return int(path.stem.rpartition("-")[2])


def _split_digests(body: bytes) -> Iterator[bytes]:
    for start in range(0, len(body), DIGEST_BYTES):
        yield body[start : start + DIGEST_BYTES]


def _read_segment(segment: _Segment) -> Iterator[tuple[int, bytes]]:
    """Yield the whole records of a segment and cut off what follows them."""
    data = segment.path.read_bytes()
    position = len(_MAGIC) if data.startswith(_MAGIC) else 0
    while position and position < len(data):
        record = _parse_record(data, position)
        if record is None:
            break
        kind, body = record
        position += _HEADER.size + len(body)
        yield kind, body
    if position < len(data):
        metrics.LOG_RECORDS_DISCARDED.labels("torn").inc()
        logger.warning(
            "{} bytes cut off {}",
            len(data) - position,
            segment.path.name,
            code=ErrorCode.STORAGE_CORRUPT,
        )
        os.truncate(segment.path, position)
    segment.size = position


def _parse_record(data: bytes, position: int) -> tuple[int, bytes] | None:
    if position + _HEADER.size > len(data):
        return None
    length, checksum, kind = _HEADER.unpack_from(data, position)
    start = position + _HEADER.size
    if length > _MAXIMUM_BODY_BYTES or start + length > len(data):
        return None
    body = data[start : start + length]
    return (kind, body) if _checksum(kind, body) == checksum else None
