"""Structured lines to standard output: one for each decision and each change of belief.

Lines are JSON objects with ``time``, ``node``, ``zone``, ``level``, ``code``, ``message`` and the
fields of the decision. They are bounded by a budget of bytes a second, never block, and what is
left out is counted; warnings and errors may use a reserve that other lines may not.
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

BYTES_PER_SECOND = 60_000.0
BURST_BYTES = 240_000.0
WARNING_RESERVE_BYTES = 60_000.0
COMMON_LINE_BYTES = 300
_WARNING_LEVEL = 30


class LineBudget:
    """A token bucket of bytes."""

    def __init__(self, rate: float, burst: float, reserve: float) -> None:
        self._rate = rate
        self._burst = burst
        self._reserve = reserve
        self._available = burst
        self._updated = steady_seconds()

    def has_room(self, important: bool) -> bool:
        """Return whether a line of common size would be taken; asked before it is built."""
        self._refill()
        return self._available - COMMON_LINE_BYTES >= (0.0 if important else self._reserve)

    def take(self, size: int, important: bool) -> bool:
        """Take bytes for a line; False when the line has to be left out."""
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
    """Writes lines to a descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int, budget: LineBudget) -> None:
        self._descriptor = descriptor
        self._budget = budget
        self._rest = b""
        self._dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, line: dict[str, Any], important: bool) -> None:
        """Write a line, or count it as left out."""
        if not self._flush_rest() or not self._budget.has_room(important):
            self._drop()
            return
        if self._dropped:
            line["dropped_before"] = self._dropped
        data = json.dumps(line, default=str).encode() + b"\n"
        if not self._budget.take(len(data), important):
            self._drop()
            return
        self._dropped = 0
        self._rest = data
        self._flush_rest()

    def _drop(self) -> None:
        self._dropped += 1
        LOG_LINES_DROPPED.inc()

    def _flush_rest(self) -> bool:
        """Write what is left of the last line; False while the reader does not take it."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                self._rest = b""
                return True
            self._rest = self._rest[written:]
        return True


def configure_decision_log(node_id: str, zone: str, descriptor: int | None = None) -> None:
    """Send all log lines as JSON to a descriptor, by default standard output."""
    budget = LineBudget(BYTES_PER_SECOND, BURST_BYTES, WARNING_RESERVE_BYTES)
    writer = LineWriter(sys.stdout.fileno() if descriptor is None else descriptor, budget)

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
            line["trace"] = _trace(record["exception"].traceback)
        writer.write(line, record["level"].no >= _WARNING_LEVEL)

    logger.remove()
    logger.add(sink, level="INFO", format="{message}")


def _trace(traceback: Any) -> list[str]:
    """Return the last frames of a traceback."""
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        frames.append(f"{os.path.basename(code.co_filename)}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return frames[-5:]
