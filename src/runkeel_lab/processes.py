"""Child processes of the lab: each is ended by its own process id, at the latest at exit."""

from __future__ import annotations

import atexit
import json
import os
import random
import signal
import socket
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import gevent
from gevent import subprocess

READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0
_POLL_SECONDS = 0.02
_LOWEST_PORT = 12_000
_HIGHEST_PORT = 32_000
_TRIES_PER_PORT = 100


class LabError(Exception):
    """The lab itself could not do its work; says nothing about runkeel."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free for both TCP and UDP on 127.0.0.1.

    They lie below the kernel's usual range for outgoing connections, so that none of those
    takes the port of a process that is started later, or started again.

    Raises:
        LabError: too few are free.
    """
    source = random.SystemRandom()
    ports: set[int] = set()
    for _ in range(count * _TRIES_PER_PORT):
        if len(ports) == count:
            return sorted(ports)
        port = source.randrange(_LOWEST_PORT, _HIGHEST_PORT)
        if port not in ports and _is_free(port):
            ports.add(port)
    raise LabError(f"found {len(ports)} free ports of {count}")


def _is_free(port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


class ChildProcess:
    """One child process, its log file and its life.

    Attributes:
        name: for messages and for the log file's name.
        started: how often it was started.
        ready: what it printed when it was last ready.
    """

    def __init__(self, name: str, arguments: Sequence[str], folder: Path) -> None:
        self.name = name
        self.started = 0
        self.ready: dict[str, Any] = {}
        self._arguments = [sys.executable, *arguments]
        self._output_path = folder / f"{name}.out"
        self._log_path = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._ready_offset = 0

    @property
    def pid(self) -> int:
        """Process id; 0 when it does not run."""
        return self._process.pid if self._process is not None else 0

    @property
    def running(self) -> bool:
        """Whether the process runs (a paused one does)."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process, or start it again after its end."""
        if self.running:
            raise LabError(f"{self.name} runs already")
        self._ready_offset = self._output_path.stat().st_size if self._output_path.exists() else 0
        with self._output_path.open("ab") as output, self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
                start_new_session=True,
            )
        self.started += 1
        _running.add(self)

    def wait_ready(self, timeout_seconds: float = READY_TIMEOUT_SECONDS) -> dict[str, Any]:
        """Return the JSON object that the process prints when it is ready.

        Raises:
            LabError: it ended, or printed none in time.
        """
        with gevent.Timeout(timeout_seconds, LabError(f"{self.name}: not ready in time")):
            while True:
                found = self._ready_object()
                if found is not None:
                    self.ready = found
                    return found
                if not self.running:
                    raise LabError(f"{self.name}: ended at start:\n{self._log_tail()}")
                gevent.sleep(_POLL_SECONDS)

    def kill(self) -> None:
        """End the process at once (SIGKILL)."""
        if self._process is not None and self.running:
            self._process.kill()
            self._process.wait()
        _running.discard(self)

    def pause(self) -> None:
        """Stop the process's execution (SIGSTOP)."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on (SIGCONT)."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop as planned (SIGTERM); returns at once."""
        self._signal(signal.SIGTERM)

    def wait_end(self, timeout_seconds: float = STOP_TIMEOUT_SECONDS) -> bool:
        """Wait for the process's end; return whether it ended in time."""
        if self._process is None:
            return True
        try:
            self._process.wait(timeout=timeout_seconds)
        except subprocess.TimeoutExpired:
            return False
        _running.discard(self)
        return True

    def _signal(self, number: int) -> None:
        if self._process is not None and self.running:
            os.kill(self._process.pid, number)

    def _ready_object(self) -> dict[str, Any] | None:
        with self._output_path.open("rb") as output:
            output.seek(self._ready_offset)
            for line in output.read().split(b"\n")[:-1]:
                try:
                    value = json.loads(line)
                except ValueError:
                    continue
                if isinstance(value, dict):
                    return value
        return None

    def _log_tail(self) -> str:
        return self._log_path.read_text(errors="replace")[-2000:]


_running: set[ChildProcess] = set()


def _kill_all() -> None:
    for process in list(_running):
        process.kill()


atexit.register(_kill_all)
