"""Emulated trainers: they submit steps, pull samples by cursor, train and publish weights."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import gevent

from runkeel_lab.experiment import TrainerSpec
from runkeel_lab.http_client import TransportError
from runkeel_lab.load.caller import NodeTarget
from runkeel_lab.load.plans import make_prompt
from runkeel_lab.tokens import VersionRange

_RETRY_SECONDS = 0.2
_PULL_GRACE_SECONDS = 5.0
_SHARED_PREFIXES = 16


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


@dataclass(slots=True)
class StepRecord:
    """One step: its tasks and when it was whole."""

    step_id: str
    tasks: tuple[Task, ...]
    submitted: float = 0.0
    whole: float = 0.0
    samples: list[SampleRecord] = field(default_factory=list)


class Trainer:
    """One emulated trainer.

    Attributes:
        version: weights that it trains on; the next published is one higher.
        waited_seconds: time without samples to train on, after the first step.
        trained_seconds: time spent training, after the first step.
    """

    def __init__(
        self,
        spec: TrainerSpec,
        targets: Sequence[NodeTarget],
        publish: Callable[[str, int], None],
        seed: int,
        version: int = 1,
    ) -> None:
        self.spec = spec
        self.version = version
        self.steps: list[StepRecord] = []
        self.waited_seconds = 0.0
        self.trained_seconds = 0.0
        self.errors: dict[str, int] = {}
        self.unfinished: StepRecord | None = None
        self._targets = targets
        self._publish = publish
        self._random = random.Random(f"{seed}/{spec.name}")
        self._run_name = f"{spec.name}-{seed}"
        self._target_number = self._random.randrange(len(targets))
        self._submitted: list[StepRecord] = []

    def run(self, until: float, grace_seconds: float) -> None:
        """Train until the monotonic time ``until``, then finish the step within the grace."""
        number = 0
        while time.monotonic() < until and not self._enough(number):
            self._submit_through(number + self.spec.steps_ahead)
            step = self._submitted[number]
            self.unfinished = step
            if not self._train_step(step, until + grace_seconds, count=number > 0):
                return
            self.unfinished = None
            self.steps.append(step)
            number += 1
            if self.spec.steps_per_version and number % self.spec.steps_per_version == 0:
                self.version += 1
                self._publish(self.spec.model, self.version)

    def _enough(self, number: int) -> bool:
        return bool(self.spec.maximum_steps) and number >= self.spec.maximum_steps

    def _submit_through(self, number: int) -> None:
        while len(self._submitted) <= number:
            step = self._make_step(len(self._submitted))
            self._submit(step)
            self._submitted.append(step)

    def _make_step(self, number: int) -> StepRecord:
        step_id = f"{self._run_name}-step-{number}"
        return StepRecord(
            step_id, tuple(self._make_task(step_id, i) for i in range(self.spec.tasks_per_step))
        )

    def _make_task(self, step_id: str, index: int) -> Task:
        spec = self.spec
        task_id = f"{step_id}-task-{index}"
        group = index // spec.group_size
        prompt = make_prompt(
            self._random,
            task_id,
            group % _SHARED_PREFIXES,
            spec.prompt_words.draw_count(self._random, 500),
            spec.tokens.draw_count(self._random, spec.max_tokens),
        )
        return Task(task_id, f"{step_id}-group-{group}", prompt, spec.max_tokens)

    def _submit(self, step: StepRecord) -> None:
        content = {
            "step_id": step.step_id,
            "version": self.version,
            "tasks": [
                {
                    "task_id": task.task_id,
                    "group": task.group,
                    "prompt": task.prompt,
                    "max_tokens": task.max_tokens,
                }
                for task in step.tasks
            ],
        }
        body = json.dumps(content).encode()
        target = f"/v1/models/{self.spec.model}/steps"
        step.submitted = step.submitted or time.monotonic()
        while self._call("POST", target, body, _PULL_GRACE_SECONDS)[0] != 200:
            gevent.sleep(_RETRY_SECONDS)

    def _train_step(self, step: StepRecord, deadline: float, count: bool) -> bool:
        """Pull and train on one step; return whether it was whole before the deadline."""
        cursor, last, waiting_since, untrained = 0, False, time.monotonic(), 0
        while not last:
            batch = self._pull(step, cursor)
            if batch is None:
                if time.monotonic() > deadline:
                    return False
                continue
            untrained += self._take(step, cursor, batch)
            last = bool(batch.get("last"))
            cursor += 1
            if last or (self.spec.minibatch and untrained >= self.spec.minibatch):
                if last:
                    step.whole = time.monotonic()
                self._train(untrained, time.monotonic() - waiting_since, count)
                waiting_since, untrained = time.monotonic(), 0
        self._pull(step, cursor, wait_ms=0)
        return True

    def _train(self, samples: int, waited: float, count: bool) -> None:
        seconds = self.spec.train_ms / 1000.0 * samples / self.spec.tasks_per_step
        began = time.monotonic()
        gevent.sleep(seconds)
        if count:
            self.waited_seconds += waited
            self.trained_seconds += time.monotonic() - began

    def _pull(
        self, step: StepRecord, cursor: int, wait_ms: int | None = None
    ) -> dict[str, Any] | None:
        """Ask for a batch, which confirms the one before; None when there is none yet."""
        spec = self.spec
        wait_ms = spec.pull_wait_ms if wait_ms is None else wait_ms
        target = (
            f"/v1/models/{spec.model}/steps/{step.step_id}/batches/{cursor}"
            f"?version={self.version}&wait_ms={wait_ms}&max={spec.pull_maximum}"
        )
        timeout = wait_ms / 1000.0 + _PULL_GRACE_SECONDS
        status, content = self._call("GET", target, None, timeout)
        if status == 200:
            return content
        if status == 404 and content.get("code") == "unknown_step":
            self._submit(step)
        elif status != 202:
            gevent.sleep(_RETRY_SECONDS)
        return None

    def _take(self, step: StepRecord, cursor: int, batch: dict[str, Any]) -> int:
        now = time.monotonic()
        for sample in batch["samples"]:
            step.samples.append(
                SampleRecord(
                    step.step_id,
                    cursor,
                    sample["task_id"],
                    tuple(sample["token_ids"]),
                    VersionRange.parse_all(sample["versions"]),
                    sample.get("score"),
                    self.version,
                    now,
                )
            )
        return len(batch["samples"])

    def _call(
        self, method: str, target: str, body: bytes | None, timeout: float
    ) -> tuple[int, dict[str, Any]]:
        """Call the present node; after an error the next one is used."""
        client = self._targets[self._target_number % len(self._targets)].client
        headers = {"Content-Type": "application/json"}
        try:
            with gevent.Timeout(timeout, TransportError("no answer in time", True)):
                answer = client.request(method, target, body, headers, timeout)
        except TransportError as error:
            self._note_error(type(error).__name__)
            return 0, {}
        content = answer.json()
        if answer.status >= 400:
            code = content.get("code", "") if isinstance(content, dict) else ""
            self._note_error(code or str(answer.status))
        return answer.status, content if isinstance(content, dict) else {}

    def _note_error(self, code: str) -> None:
        self.errors[code] = self.errors.get(code, 0) + 1
        self._target_number += 1
