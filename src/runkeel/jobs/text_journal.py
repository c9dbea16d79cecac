"""Texts of running generations on a machine's own disk.

All machines may lose power at once; then no copy in memory is left, and every generation would
begin anew. A node that has a disk therefore writes what it has of the running texts there as well,
and offers it to the next coordinator after its restart. A journal that is lost costs time, never a
result: nothing that was promised depends on it.

A file holds records, each with its length, a checksum and the writer's time of day. The first ones
of a file have all texts whole, the others what was added. A damaged end is left out.
"""

from __future__ import annotations

import os
import struct
import time
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent.lock import Semaphore
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.jobs.ttypes import TextReplication

MAXIMUM_FILE_BYTES = 8 * 1024 * 1024
"""Size from which a new file is begun; the one before is then removed."""

LEAST_GROWTH = 3
"""A file grows at least to so many times what it began with, which is all texts: where these are
large, a smaller file would be begun anew, with all of them, at each message.
"""

KEPT_FILES = 2
"""Files of earlier processes that are read at a start, the newest ones."""

RETRY_SECONDS = 5.0
"""Pause after the disk has failed."""

_PREFIX = "texts-"
_SUFFIX = ".log"
_RECORD = struct.Struct(">IIQ")
_COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class JournalRecord:
    """A message as it was written; ``age_seconds`` goes by the time of day."""

    message: TextReplication
    age_seconds: float


class TextJournal:
    """The journal in one folder; one process writes it.

    Disk calls run in gevent's thread pool, so that a slow disk does not hold up the node.
    """

    def __init__(self, folder: Path, maximum_file_bytes: int = MAXIMUM_FILE_BYTES) -> None:
        self._folder = folder
        self._maximum_file_bytes = maximum_file_bytes
        self._file: int | None = None
        self._bytes = 0
        self._first_bytes = 0
        """Size of what the file in use began with."""
        self._failed_at = -RETRY_SECONDS
        self._earlier: list[Path] = []
        self._lock = Semaphore()

    def load(self) -> list[JournalRecord]:
        """Return what earlier processes wrote, the oldest first; called once, at the start."""
        records: list[JournalRecord] = []
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._earlier = sorted(self._folder.glob(f"{_PREFIX}*{_SUFFIX}"))
            for path in self._earlier[-KEPT_FILES:]:
                records.extend(_read(path))
        except OSError as error:
            self._failed(error)
        logger.info("texts read", code="texts_read", records=len(records))
        return records

    def append(self, messages: Callable[[bool], list[TextReplication]]) -> None:
        """Write messages; returns when they last, or when the disk has failed.

        Args:
            messages: called when it is their turn, with whether they begin a file, so that they
                must have all texts whole. Each becomes a record, so they should be of a bounded
                size; other tasks have their turn between two of them.
        """
        with self._lock:
            if steady_seconds() - self._failed_at < RETRY_SECONDS:
                return
            begins = self._begins_file()
            records = []
            for message in messages(begins):
                records.append(_encode(message))
                gevent.sleep(0)
            if not records:
                return
            data = b"".join(records)
            error = gevent.get_hub().threadpool.apply(self._write, (data, begins))
        if error is not None:
            self._failed(error)

    def _begins_file(self) -> bool:
        largest = max(self._maximum_file_bytes, LEAST_GROWTH * self._first_bytes)
        return self._file is None or self._bytes >= largest

    def close(self) -> None:
        """Stop to write."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _write(self, records: bytes, begins: bool) -> OSError | None:
        """Write records so that they last; returns the error if that failed."""
        try:
            if begins:
                self._begin_file()
            _write_all(self._file, records)
            os.fdatasync(self._file)
            self._bytes += len(records)
            if begins:
                self._first_bytes = len(records)
                self._remove_earlier()
        except OSError as error:
            return error
        return None

    def _begin_file(self) -> None:
        last = self._earlier[-1].name[len(_PREFIX) : -len(_SUFFIX)] if self._earlier else "0"
        path = self._folder / f"{_PREFIX}{int(last) + 1:08d}{_SUFFIX}"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        self.close()
        self._file = descriptor
        self._bytes = 0
        self._earlier.append(path)

    def _remove_earlier(self) -> None:
        """Keep the file in use and one before it: that one is needed if this one is cut short."""
        while len(self._earlier) > KEPT_FILES:
            self._earlier.pop(0).unlink(missing_ok=True)
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _failed(self, error: OSError) -> None:
        self._failed_at = steady_seconds()
        self.close()
        logger.warning("texts not kept on disk", code="text_journal_failed", error=str(error))


def _write_all(file: int, data: bytes) -> None:
    """Write everything; one call may write a part only."""
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def _encode(message: TextReplication) -> bytes:
    body = zlib.compress(encode(message), _COMPRESSION_LEVEL)
    clock = int(time.time() * 1000)
    return _RECORD.pack(len(body), _checksum(body, clock), clock) + body


def _checksum(body: bytes, clock: int) -> int:
    return zlib.crc32(body, clock & 0xFFFFFFFF)


def _read(path: Path) -> list[JournalRecord]:
    now = int(time.time() * 1000)
    return [
        JournalRecord(message, max(0, now - clock) / 1000.0)
        for clock, message in _records(path.read_bytes())
    ]


def _records(data: bytes) -> Iterator[tuple[int, TextReplication]]:
    """Yield clock and message of each whole record, up to the first that is damaged."""
    offset = 0
    while offset + _RECORD.size <= len(data):
        length, checksum, clock = _RECORD.unpack_from(data, offset)
        offset += _RECORD.size
        body = data[offset : offset + length]
        offset += length
        if len(body) < length or _checksum(body, clock) != checksum:
            return
        try:
            yield clock, decode(TextReplication, zlib.decompress(body))
        except (RunkeelError, zlib.error):
            return
