"""Jobs on a machine's own disk until the store has them, a file each."""

from __future__ import annotations

import hashlib
import json
import os
import struct
import zlib
from pathlib import Path

import gevent
from loguru import logger

_SUFFIX = ".job"
_MARK = "remembers"
"""Lies in a folder that holds all that was given to the machine: a new disk has none."""

_HEADER = struct.Struct(">II")
"""Length of the body and its checksum."""


class HintLog:
    """The hints in one folder; one process writes it.

    A file that was cut short was never acknowledged, and is left out. Disk calls run in gevent's
    thread pool, so that a slow disk does not hold up the node.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def load(self) -> dict[str, str]:
        """Return the kept texts by job, as earlier processes left them; called once."""
        hints: dict[str, str] = {}
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            for path in sorted(self._folder.glob(f"*{_SUFFIX}")):
                found = _read(path)
                if found is None:
                    logger.info("hint cut short", code="hint_damaged", file=path.name)
                    path.unlink()
                else:
                    hints[found[0]] = found[1]
        except OSError as error:
            logger.warning("hints not read", code="hint_log_failed", error=str(error))
        return hints

    @property
    def marked(self) -> bool:
        """Whether this folder holds all that may have been given to the machine."""
        return (self._folder / _MARK).exists()

    def mark(self) -> None:
        """Take note that it does, from now on."""
        self._off_loop(_write, self._folder, self._folder / _MARK, b"")

    def put(self, job_id: str, text: str) -> bool:
        """Keep a job; True once it lasts."""
        return self._off_loop(_write, self._folder, self._path(job_id), _encode(job_id, text))

    def remove(self, job_id: str) -> None:
        """Forget a job; one that comes back after a loss of power is in the store already."""
        self._off_loop(_remove, self._path(job_id))

    def _off_loop(self, function, *arguments) -> bool:
        error = gevent.get_hub().threadpool.apply(function, arguments)
        if error is not None:
            logger.warning("disk failed", code="hint_log_failed", error=str(error))
        return error is None

    def _path(self, job_id: str) -> Path:
        # A job's id is its caller's choice, and no name for a file.
        return self._folder / (
            hashlib.blake2b(job_id.encode(), digest_size=16).hexdigest() + _SUFFIX
        )


def _encode(job_id: str, text: str) -> bytes:
    body = zlib.compress(json.dumps([job_id, text]).encode(), 1)
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


def _read(path: Path) -> tuple[str, str] | None:
    data = path.read_bytes()
    if len(data) < _HEADER.size:
        return None
    length, checksum = _HEADER.unpack_from(data)
    body = data[_HEADER.size :]
    if len(body) != length or zlib.crc32(body) != checksum:
        return None
    job_id, text = json.loads(zlib.decompress(body))
    return job_id, text


def _write(folder: Path, path: Path, data: bytes) -> OSError | None:
    """Write a file under its name so that both last; returns the error if that failed."""
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        names = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(names)
        finally:
            os.close(names)
    except OSError as error:
        return error
    return None


def _remove(path: Path) -> OSError | None:
    try:
        path.unlink(missing_ok=True)
    except OSError as error:
        return error
    return None
