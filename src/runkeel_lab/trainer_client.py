"""The trainers' protocol (docs/trainers.md) as an emulated trainer speaks it."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import gevent

from runkeel_lab.http_client import TransportError
from runkeel_lab.load.caller import NodeTarget
from runkeel_lab.tokens import VersionRange

_RETRY_SECONDS = 0.2
_GRACE_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Task:
    """One task of a step."""

    task_id: str
    group: str
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class SampleRecord:
    """One sample as a trainer consumed it.

    Attributes:
        trainer_version: version stated in the pull that delivered it.
        received: monotonic time, in s.
    """

    step_id: str
    cursor: int
    task_id: str
    token_ids: tuple[int, ...]
    versions: tuple[VersionRange, ...]
    score: float | None
    trainer_version: int
    received: float

    @property
    def oldest_version(self) -> int:
        """Lowest version among the token ranges."""
        return min((part.version for part in self.versions), default=0)


@dataclass(slots=True)
class StepRecord:
    """One step: its tasks and when it was whole."""

    step_id: str
    tasks: tuple[Task, ...]
    submitted: float = 0.0
    whole: float = 0.0
    samples: list[SampleRecord] = field(default_factory=list)


class TrainerClient:
    """Submits steps and pulls batches, at one node until it fails, then at the next.

    Attributes:
        errors: failed calls by code.
    """

    def __init__(self, model: str, targets: Sequence[NodeTarget], first_target: int) -> None:
        self.errors: dict[str, int] = {}
        self._model = model
        self._targets = targets
        self._target_number = first_target

    def submit(self, step: StepRecord, version: int) -> None:
        """Submit a step, again and again until a node has taken it."""
        tasks = [
            {
                "task_id": task.task_id,
                "group": task.group,
                "prompt": task.prompt,
                "max_tokens": task.max_tokens,
            }
            for task in step.tasks
        ]
        content = {"step_id": step.step_id, "version": version, "tasks": tasks}
        body = json.dumps(content).encode()
        target = f"/v1/models/{self._model}/steps"
        while self._call("POST", target, body, _GRACE_SECONDS)[0] != 200:
            gevent.sleep(_RETRY_SECONDS)

    def pull(
        self, step: StepRecord, cursor: int, version: int, wait_ms: int, maximum: int
    ) -> dict[str, Any] | None:
        """Ask for a batch, which confirms the one before; None when there is none yet."""
        target = (
            f"/v1/models/{self._model}/steps/{step.step_id}/batches/{cursor}"
            f"?version={version}&wait_ms={wait_ms}&max={maximum}"
        )
        status, content = self._call("GET", target, None, wait_ms / 1000.0 + _GRACE_SECONDS)
        if status == 200:
            return content
        if status == 404 and content.get("code") == "unknown_step":
            self.submit(step, version)
        elif status != 202:
            gevent.sleep(_RETRY_SECONDS)
        return None

    def _call(
        self, method: str, target: str, body: bytes | None, timeout: float
    ) -> tuple[int, dict[str, Any]]:
        """Call the present node; after an error the next one is used."""
        number = self._target_number
        client = self._targets[number % len(self._targets)].client
        headers = {"Content-Type": "application/json"}
        try:
            with gevent.Timeout(timeout, TransportError("no answer in time", True)):
                answer = client.request(method, target, body, headers, timeout)
        except TransportError as error:
            self._note_error(type(error).__name__, number)
            return 0, {}
        content = answer.json()
        if answer.status >= 400:
            code = content.get("code", "") if isinstance(content, dict) else ""
            self._note_error(code or str(answer.status), number)
        return answer.status, content if isinstance(content, dict) else {}

    def _note_error(self, code: str, number: int) -> None:
        self.errors[code] = self.errors.get(code, 0) + 1
        # Of several calls that fail at one node only the first moves on.
        if self._target_number == number:
            self._target_number += 1
