"""Hints on a node's local disk, one file each, until their jobs are in the store."""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import secrets
import struct
import zlib
from dataclasses import dataclass
from pathlib import Path

import gevent
from loguru import logger

_SUFFIX = ".job"
_TEMPORARY_SUFFIX = ".tmp"
"""Suffix of files that are being written, and are renamed once they are durable."""

_HISTORY_MARKER = "remembers"
"""File that marks a folder as holding every unexpired hint of the node; a new disk lacks it."""

_HEADER = struct.Struct(">II")
"""Length and CRC-32 of the body."""


@dataclass(frozen=True, slots=True)
class StoredHints:
    """Hints as read from disk.

    Attributes:
        jobs: the serialized jobs by id.
        all_files_read: False if the disk failed while the files were read.
    """

    jobs: dict[str, str]
    all_files_read: bool


class HintLog:
    """The hints in a folder, which a single process writes to.

    Files that are truncated or fail their checksum are deleted on load. A hint whose write was
    interrupted was never acknowledged, and leaves the previous file of its job whole. Writes and
    removals run in gevent's thread pool, so that a slow disk does not block the event loop.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def load(self) -> StoredHints:
        """Return the hints that earlier processes left; called once."""
        jobs: dict[str, str] = {}
        try:
            paths = self._hint_paths()
        except OSError as error:
            _log_read_failure(self._folder, error)
            return StoredHints(jobs, all_files_read=False)
        all_files_read = True
        for path in paths:
            try:
                hint = _read_or_delete(path)
            except OSError as error:
                _log_read_failure(path, error)
                all_files_read = False
                continue
            if hint is not None:
                job_id, serialized_job = hint
                jobs[job_id] = serialized_job
        return StoredHints(jobs, all_files_read)

    def _hint_paths(self) -> list[Path]:
        """Return the files of all hints, and delete those of interrupted writes."""
        self._folder.mkdir(parents=True, exist_ok=True)
        # Unlike Path.glob, this raises an error if the folder can't be read.
        with os.scandir(self._folder) as entries:
            paths = sorted(Path(entry.path) for entry in entries)
        for path in paths:
            if path.suffix == _TEMPORARY_SUFFIX:
                with contextlib.suppress(OSError):
                    path.unlink()
        return [path for path in paths if path.suffix == _SUFFIX]

    @property
    def history_complete(self) -> bool:
        """Whether this folder is known to hold every unexpired hint that the node has accepted."""
        try:
            return (self._folder / _HISTORY_MARKER).exists()
        except OSError as error:
            _log_read_failure(self._folder / _HISTORY_MARKER, error)
            return False

    def mark_history_complete(self) -> None:
        """Record on disk that the history is complete from now on."""
        self._write(self._folder / _HISTORY_MARKER, b"")

    def put(self, job_id: str, serialized_job: str) -> bool:
        """Write a hint; returns whether it is durable."""
        return self._write(self._path(job_id), _encode(job_id, serialized_job))

    def remove(self, job_id: str) -> None:
        """Delete a hint; not synced, since the job of a hint that reappears is in the store."""
        self._run_in_threadpool(_remove, self._path(job_id))

    def _write(self, path: Path, data: bytes) -> bool:
        # Unique, as several hints of a job may be written at once.
        temporary_path = path.with_suffix(f".{secrets.token_hex(4)}{_TEMPORARY_SUFFIX}")
        return self._run_in_threadpool(_write, path, temporary_path, data)

    def _run_in_threadpool(self, function, *arguments) -> bool:
        error = gevent.get_hub().threadpool.apply(function, arguments)
        if error is not None:
            logger.warning("hint disk operation failed", code="hint_log_failed", error=str(error))
        return error is None

    def _path(self, job_id: str) -> Path:
        # Job ids are chosen by clients and may not be valid file names.
        return self._folder / (
            hashlib.blake2b(job_id.encode(), digest_size=16).hexdigest() + _SUFFIX
        )


def _encode(job_id: str, serialized_job: str) -> bytes:
    body = zlib.compress(json.dumps([job_id, serialized_job]).encode(), 1)
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


def _log_read_failure(path: Path, error: OSError) -> None:
    logger.warning("reading hints failed", code="hint_log_failed", file=path.name, error=str(error))


def _read_or_delete(path: Path) -> tuple[str, str] | None:
    """Return the job id and serialized job of a file.

    Deletes the file and returns None if it is damaged.
    """
    hint = _read(path)
    if hint is None:
        logger.info("deleting truncated or corrupt hint", code="hint_damaged", file=path.name)
        path.unlink()
    return hint


def _read(path: Path) -> tuple[str, str] | None:
    data = path.read_bytes()
    if len(data) < _HEADER.size:
        return None
    length, checksum = _HEADER.unpack_from(data)
    body = data[_HEADER.size :]
    if len(body) != length or zlib.crc32(body) != checksum:
        return None
    job_id, serialized_job = json.loads(zlib.decompress(body))
    return job_id, serialized_job


def _write(path: Path, temporary_path: Path, data: bytes) -> OSError | None:
    """Replace a file at once and durably; returns the error if that failed."""
    try:
        try:
            _write_and_sync(temporary_path, data)
            os.replace(temporary_path, path)
        except OSError:
            temporary_path.unlink(missing_ok=True)
            raise
        _sync_folder(path.parent)
    except OSError as error:
        return error
    return None


def _write_and_sync(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _remove(path: Path) -> OSError | None:
    try:
        path.unlink(missing_ok=True)
    except OSError as error:
        return error
    return None
