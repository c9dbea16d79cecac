"""Journal of partial outputs on a node's own disk.

If all machines lose power at once, no copy in memory remains and every generation would restart.
Nodes with a disk therefore also write partial outputs to a journal, and offer them to the next
coordinator after a restart. A lost journal costs time, never a result.

A file is a sequence of records, each with its length, a checksum and the writer's wall-clock time.
The first records of a file have all outputs in full, later ones only additions. Reading stops at
the first damaged record.
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
from gevent.event import AsyncResult
from gevent.lock import Semaphore
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.jobs.ttypes import TextReplication

MAX_FILE_BYTES = 8 * 1024 * 1024
"""Size in bytes from which a new file is started."""

MIN_GROWTH_FACTOR = 3
"""A file may grow to this multiple of its first write, even if that exceeds the size limit.

The first write has all outputs in full. If they exceed the limit, each message would otherwise
start a new file, with all outputs in full again.
"""

MAX_FILES = 2
"""Number of newest files that are kept, and that are read at startup."""

RETRY_DELAY_SECONDS = 5.0
"""Time after a disk error for which nothing is written."""

_PREFIX = "texts-"
"""Part of the file format; another prefix would hide the files of earlier processes."""
_SUFFIX = ".log"
_RECORD = struct.Struct(">IIQ")
_COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class JournalRecord:
    """A message from the journal; ``age_seconds`` is computed from wall-clock times."""

    message: TextReplication
    age_seconds: float


class PartialOutputJournal:
    """The journal in one folder, written by a single process.

    Writes run in gevent's thread pool, so that a slow disk does not block the event loop.
    """

    def __init__(self, folder: Path, max_file_bytes: int = MAX_FILE_BYTES) -> None:
        self._folder = folder
        self._max_file_bytes = max_file_bytes
        self._descriptor: int | None = None
        self._file_bytes = 0
        self._initial_bytes = 0
        """Size of the first write to the current file."""
        self._failed_at = -RETRY_DELAY_SECONDS
        self._paths: list[Path] = []
        self._lock = Semaphore()
        self._write_in_flight: AsyncResult | None = None
        """The latest write until it is handled; it runs on if its greenlet is killed."""
        self._closed = False

    def load(self) -> list[JournalRecord]:
        """Return the records of earlier processes, oldest first; called once, at startup."""
        records: list[JournalRecord] = []
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._paths = sorted(self._folder.glob(f"{_PREFIX}*{_SUFFIX}"))
            for path in self._paths[-MAX_FILES:]:
                records.extend(_read(path))
        except OSError as error:
            self._note_failure(error)
        logger.info("journal of partial outputs read", code="texts_read", records=len(records))
        return records

    def append(self, messages: Callable[[bool], list[TextReplication]]) -> None:
        """Write messages; returns once they are synced to disk or the write has failed.

        Args:
            messages: returns the messages to write. Its argument tells whether a new file starts;
                if so, it must return all outputs in full. Called under the journal's lock. The size
                of each message should be bounded, as other greenlets run only between the encoding
                of two messages.
        """
        with self._lock:
            self._finish_write()
            if self._closed or steady_seconds() - self._failed_at < RETRY_DELAY_SECONDS:
                return
            starts_file = self._needs_new_file()
            records = []
            for message in messages(starts_file):
                records.append(_encode(message))
                gevent.sleep(0)
            if self._closed or not records:
                return
            data = b"".join(records)
            self._write_in_flight = gevent.get_hub().threadpool.spawn(
                self._write, data, starts_file
            )
            self._finish_write()

    def _finish_write(self) -> None:
        """Wait for the latest write, which may be of a killed greenlet, and handle its error."""
        write = self._write_in_flight
        if write is None:
            return
        write.wait()
        self._write_in_flight = None
        error = write.get()
        if error is not None:
            self._note_failure(error)

    def _needs_new_file(self) -> bool:
        largest = max(self._max_file_bytes, MIN_GROWTH_FACTOR * self._initial_bytes)
        return self._descriptor is None or self._file_bytes >= largest

    def close(self) -> None:
        """Close the journal, once no write is in flight; later messages are not written."""
        self._closed = True
        write = self._write_in_flight
        if write is None or write.ready():
            self._close_file()
        else:
            write.rawlink(lambda _: self._close_file())

    def _close_file(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _write(self, records: bytes, starts_file: bool) -> OSError | None:
        """Write and sync records; returns the error if that failed."""
        try:
            if starts_file:
                self._open_new_file()
            _write_all(self._descriptor, records)
            os.fdatasync(self._descriptor)
            self._file_bytes += len(records)
            if starts_file:
                self._initial_bytes = len(records)
                self._remove_old_files()
        except OSError as error:
            return error
        return None

    def _open_new_file(self) -> None:
        last = self._paths[-1].name[len(_PREFIX) : -len(_SUFFIX)] if self._paths else "0"
        path = self._folder / f"{_PREFIX}{int(last) + 1:08d}{_SUFFIX}"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        self._close_file()
        self._descriptor = descriptor
        self._file_bytes = 0
        self._paths.append(path)

    def _remove_old_files(self) -> None:
        """Keep the current file and the one before, which is needed if this one is damaged.

        Also syncs the folder, which makes the entry of the current file durable.
        """
        while len(self._paths) > MAX_FILES:
            self._paths.pop(0).unlink(missing_ok=True)
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _note_failure(self, error: OSError) -> None:
        self._failed_at = steady_seconds()
        self._close_file()
        logger.warning(
            "disk error in journal of partial outputs; writing is suspended",
            code="text_journal_failed",
            error=str(error),
        )


def _write_all(file_descriptor: int, data: bytes) -> None:
    """Write all data; a single call of :func:`os.write` may write only a part."""
    view = memoryview(data)
    while view:
        view = view[os.write(file_descriptor, view) :]


def _encode(message: TextReplication) -> bytes:
    body = zlib.compress(encode(message), _COMPRESSION_LEVEL)
    written_at_ms = int(time.time() * 1000)
    return _RECORD.pack(len(body), _checksum(body, written_at_ms), written_at_ms) + body


def _checksum(body: bytes, written_at_ms: int) -> int:
    return zlib.crc32(body, written_at_ms & 0xFFFFFFFF)


def _read(path: Path) -> list[JournalRecord]:
    now = int(time.time() * 1000)
    return [
        JournalRecord(message, max(0, now - written_at_ms) / 1000.0)
        for written_at_ms, message in _records(path.read_bytes())
    ]


def _records(data: bytes) -> Iterator[tuple[int, TextReplication]]:
    """Yield time in ms and message of each record, up to the first damaged one."""
    offset = 0
    while offset + _RECORD.size <= len(data):
        length, checksum, written_at_ms = _RECORD.unpack_from(data, offset)
        offset += _RECORD.size
        body = data[offset : offset + length]
        offset += length
        if len(body) < length or _checksum(body, written_at_ms) != checksum:
            return
        try:
            yield written_at_ms, decode(TextReplication, zlib.decompress(body))
        except (RunkeelError, zlib.error):
            return
