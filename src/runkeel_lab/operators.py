"""Operators' commands and queries, sent to any node over HTTP."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import gevent

from runkeel_lab.http_client import HttpClient, TransportError
from runkeel_lab.load.caller import NodeTarget

_COMMAND_TIMEOUT_SECONDS = 10.0
_RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class CommandRecord:
    """A command and what the operator was told; times are monotonic, in s.

    Attributes:
        status: HTTP status of the last answer; 0 for none.
        accepted: whether the command is known to be in force.
    """

    command_id: str
    command: str
    node: str
    sent: float
    ended: float
    status: int
    content: dict[str, Any]

    @property
    def accepted(self) -> bool:
        """Whether the answer says that the command took effect."""
        return 200 <= self.status < 300


class OperatorClient:
    """Sends commands; a retry carries the same command id.

    Attributes:
        records: all commands, in order of their ends.
    """

    def __init__(self, targets: Sequence[NodeTarget], name: str = "lab") -> None:
        self.records: list[CommandRecord] = []
        self._targets = targets
        self._name = name
        self._count = 0

    def command(self, text: str, node_number: int = 0, retry_seconds: float = 0.0) -> CommandRecord:
        """Send a command; without a clear answer try further nodes for ``retry_seconds``."""
        self._count += 1
        command_id = f"{self._name}-{self._count}"
        sent = time.monotonic()
        while True:
            target = self._targets[node_number % len(self._targets)]
            status, content = self._post(target.client, text, command_id)
            now = time.monotonic()
            settled = 200 <= status < 500 and status not in (409, 429)
            if settled or now - sent >= retry_seconds:
                break
            node_number += 1
            gevent.sleep(_RETRY_SECONDS)
        record = CommandRecord(command_id, text, target.node_id, sent, now, status, content)
        self.records.append(record)
        return record

    def race(self, commands: Sequence[str]) -> list[CommandRecord]:
        """Send commands at the same time, each through another node."""
        tasks = [gevent.spawn(self.command, text, n) for n, text in enumerate(commands)]
        gevent.joinall(tasks, raise_error=True)
        return [task.value for task in tasks]

    def query(self, node_number: int, text: str) -> dict[str, Any]:
        """Ask one node. Raises TransportError."""
        client = self._targets[node_number % len(self._targets)].client
        content = client.json("POST", "/v1/queries", {"query": text})
        return content if isinstance(content, dict) else {}

    def _post(self, client: HttpClient, text: str, command_id: str) -> tuple[int, dict[str, Any]]:
        body = json.dumps({"command": text, "command_id": command_id}).encode()
        headers = {"Content-Type": "application/json"}
        try:
            answer = client.request("POST", "/v1/commands", body, headers, _COMMAND_TIMEOUT_SECONDS)
        except TransportError as error:
            return 0, {"detail": str(error)}
        content = answer.json()
        return answer.status, content if isinstance(content, dict) else {}
