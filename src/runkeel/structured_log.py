"""Structured log on standard output, one JSON object per line.

Each line has ``time``, ``node``, ``zone``, ``level``, ``code``, ``message`` and the fields of its
event. Writing never blocks. Lines that exceed a limit in bytes per second, and lines written while
the output accepts no more data, are dropped and counted. Part of the burst is reserved for warnings
and errors.
"""

from __future__ import annotations

import contextlib
import json
import os
import sys
from typing import Any

from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.metrics import LOG_LINES_DROPPED

MAX_BYTES_PER_SECOND = 60_000.0
"""Sustained limit of the output."""

BURST_BYTES = 240_000.0
"""Maximum number of bytes written at once after a quiet period."""

WARNING_RESERVE_BYTES = 60_000.0
"""Part of the burst that only warnings and errors may use."""

TYPICAL_LINE_BYTES = 300
"""Assumed size of a line that has not been serialized yet."""

_WARNING_LEVEL_NUMBER = 30


class ByteTokenBucket:
    """Token bucket that limits the bytes written.

    Args:
        rate: bytes per second.
        burst: maximum number of bytes available at once.
        reserve: bytes of the burst that only important lines may use.
    """

    def __init__(self, rate: float, burst: float, reserve: float) -> None:
        self._rate = rate
        self._burst = burst
        self._reserve = reserve
        self._available = burst
        self._updated = steady_seconds()

    def has_capacity(self, important: bool) -> bool:
        """Return whether a line of typical size fits.

        Checked first, so that a line that would be dropped need not be serialized.
        """
        self._refill()
        return self._available - TYPICAL_LINE_BYTES >= (0.0 if important else self._reserve)

    def try_consume(self, size: int, important: bool) -> bool:
        """Consume the bytes of a line; return False if the line must be dropped."""
        self._refill()
        floor = 0.0 if important else self._reserve
        if self._available - size < floor:
            return False
        self._available -= size
        return True

    def _refill(self) -> None:
        now = steady_seconds()
        self._available += (now - self._updated) * self._rate
        self._available = min(self._burst, self._available)
        self._updated = now


class LineWriter:
    """Writes lines to a file descriptor without blocking on its reader."""

    def __init__(self, descriptor: int, bucket: ByteTokenBucket) -> None:
        self._descriptor = descriptor
        self._bucket = bucket
        self._unwritten = b""
        self._dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, line: dict[str, Any], important: bool) -> None:
        """Write a line, or drop and count it."""
        if not self._flush_unwritten() or not self._bucket.has_capacity(important):
            self._count_dropped_line()
            return
        if self._dropped:
            line["dropped_before"] = self._dropped
        data = json.dumps(line, default=str).encode() + b"\n"
        if not self._bucket.try_consume(len(data), important):
            self._count_dropped_line()
            return
        self._dropped = 0
        self._unwritten = data
        self._flush_unwritten()

    def _count_dropped_line(self) -> None:
        self._dropped += 1
        LOG_LINES_DROPPED.inc()

    def _flush_unwritten(self) -> bool:
        """Write the rest of the last line, or discard it if the descriptor is broken.

        Returns False while the descriptor is not writable.
        """
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True


def configure_structured_log(node_id: str, zone: str, descriptor: int | None = None) -> None:
    """Write all log lines as JSON to a file descriptor, standard output by default."""
    bucket = ByteTokenBucket(MAX_BYTES_PER_SECOND, BURST_BYTES, WARNING_RESERVE_BYTES)
    writer = LineWriter(sys.stdout.fileno() if descriptor is None else descriptor, bucket)

    def sink(message: Any) -> None:
        record = message.record
        line: dict[str, Any] = {
            "time": round(record["time"].timestamp(), 4),
            "node": node_id,
            "zone": zone,
            "level": record["level"].name.lower(),
            "code": record["extra"].get("code", ""),
            "message": record["message"],
        }
        line.update(record["extra"])
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
            line["trace"] = _last_frames(record["exception"].traceback)
        writer.write(line, record["level"].no >= _WARNING_LEVEL_NUMBER)

    logger.remove()
    logger.add(sink, level="INFO", format="{message}")


def _last_frames(traceback: Any) -> list[str]:
    """Return the file names and line numbers of a traceback's innermost frames."""
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        frames.append(f"{os.path.basename(code.co_filename)}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return frames[-5:]
