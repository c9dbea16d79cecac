"""Unfinished samples, kept on a second node so that a long one outlives its step's owner."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

import gevent
from loguru import logger

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts import metrics
from runkeel.rollouts.generation import SampleGenerator
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample import Sample, StepKey
from runkeel.rollouts.step import Attempt, Step, Task


class CheckpointStore:
    """The longest unfinished sample of each task; the oldest are forgotten first."""

    def __init__(
        self, options: RolloutOptions, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._options = options
        self._clock = clock
        self._checkpoints: OrderedDict[tuple[StepKey, str], Sample] = OrderedDict()
        self._bytes = 0

    def put(self, checkpoint: Sample) -> None:
        """Hold a checkpoint unless a longer one of the same task is held."""
        key = (checkpoint.step, checkpoint.task_id)
        held = self._checkpoints.get(key)
        if held is not None and held.size >= checkpoint.size:
            return
        self.drop(*key)
        self._checkpoints[key] = checkpoint
        self._bytes += checkpoint.size
        while self._is_too_large():
            self.drop(*next(iter(self._checkpoints)))

    def of_step(self, step: StepKey) -> list[Sample]:
        """Return the checkpoints of a step, ordered by digest."""
        found = [checkpoint for (key, _), checkpoint in self._checkpoints.items() if key == step]
        return sorted(found, key=lambda checkpoint: checkpoint.digest)

    def drop(self, step: StepKey, task_id: str) -> None:
        """Forget a task's checkpoint."""
        checkpoint = self._checkpoints.pop((step, task_id), None)
        if checkpoint is not None:
            self._bytes -= checkpoint.size

    def expire(self, maximum_age_seconds: Callable[[str], float]) -> None:
        """Forget what is too old to become a sample that may be handed over."""
        now = self._clock()
        for (step, task_id), checkpoint in list(self._checkpoints.items()):
            if now - checkpoint.first_token_at > maximum_age_seconds(step.model):
                self.drop(step, task_id)

    def _is_too_large(self) -> bool:
        return (
            len(self._checkpoints) > self._options.maximum_checkpoints
            or self._bytes > self._options.maximum_checkpoint_bytes
        )


class Checkpointer:
    """Sends checkpoints of what runs here for some time to a second node.

    A checkpoint is sent when the sample has grown by a quarter since the last one, so that all
    checkpoints of a sample together are at most five times its size.
    """

    def __init__(
        self,
        generator: SampleGenerator,
        steps: Callable[[], Iterable[Step]],
        send: Callable[[StepKey, list[Sample]], None],
        options: RolloutOptions,
    ) -> None:
        self._generator = generator
        self._steps = steps
        self._send = send
        self._options = options
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start sending."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop sending."""
        if self._loop is not None:
            self._loop.kill()

    def run_once(self) -> None:
        """Send what has grown since the last time."""
        for step in list(self._steps()):
            checkpoints = [
                checkpoint
                for task in list(step.unfinished_tasks())
                for attempt in task.running
                if (checkpoint := self._grown(step, task, attempt)) is not None
            ]
            try:
                if checkpoints:
                    self._send(step.key, checkpoints)
            except RunkeelError as error:
                metrics.REPLICATION_FAILURES.labels(error.code).inc()

    def _grown(self, step: Step, task: Task, attempt: Attempt) -> Sample | None:
        tokens = attempt.token_count
        least = attempt.checkpointed * self._options.checkpoint_growth
        if not attempt.generating or tokens < self._options.checkpoint_minimum_tokens:
            return None
        if tokens <= least:
            return None
        attempt.checkpointed = tokens
        return self._generator.checkpoint(step, task, attempt)

    def _run(self) -> None:
        while True:
            gevent.sleep(self._options.checkpoint_interval_seconds)
            try:
                self.run_once()
            except Exception:  # the loop must outlive a fault in one turn
                logger.exception("checkpoints failed", code=ErrorCode.INTERNAL)
