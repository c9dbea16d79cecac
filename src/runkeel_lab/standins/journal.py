"""Append-only journals of what reached a stand-in and what it ran."""

from __future__ import annotations

import json
import os
import time


class Journal:
    """Writes one JSON object a line, each with a single ``write`` to an ``O_APPEND`` file.

    A line is handed to the kernel before the call returns, so that a killed process
    loses nothing that it has already recorded. Times are ``time.monotonic()`` seconds,
    comparable between processes of one Linux machine.
    """

    def __init__(self, path: str | None, standin_id: str) -> None:
        """Open the journal.

        Args:
            path: file to append to; ``None`` keeps no journal.
            standin_id: written into each line.

        Raises:
            OSError: the file can't be opened.
        """
        self._standin_id = standin_id
        self._descriptor: int | None = None
        if path is not None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._descriptor = os.open(path, flags, 0o644)

    def write(self, event: str, **fields: object) -> None:
        """Append one event. Fields must be JSON values."""
        if self._descriptor is None:
            return
        record = {"t": time.monotonic(), "standin": self._standin_id, "event": event, **fields}
        line = json.dumps(record, separators=(",", ":")) + "\n"
        os.write(self._descriptor, line.encode())

    def close(self) -> None:
        """Close the file; later events are dropped."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
