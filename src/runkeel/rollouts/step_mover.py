"""Passes a step on to its next owner without losing what runs for it."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent.pool import Group
from loguru import logger

from runkeel.errors import RunkeelError
from runkeel.rollouts import metrics
from runkeel.rollouts.replication import SampleReplicator
from runkeel.rollouts.step import Step, Submission
from runkeel.rollouts.step_transfer import StepTransfer

_POLL_SECONDS = 0.25


class StepMover:
    """Moves the steps of one node.

    Args:
        remove: takes a moved step out of the table of open steps.
    """

    def __init__(
        self,
        transfer: StepTransfer,
        replicator: SampleReplicator,
        remove: Callable[[Step], None],
    ) -> None:
        self._transfer = transfer
        self._replicator = replicator
        self._remove = remove
        self._moves = Group()

    @property
    def active(self) -> bool:
        """Whether a move has not ended yet."""
        return len(self._moves) > 0

    def start(self, step: Step, successor: str, running_seconds: float) -> None:
        """Begin to pass a step on.

        Args:
            step: the step; it may be tried again when ``step.moving`` is false once more.
            successor: node id of the next owner.
            running_seconds: for how long attempts may go on here; their samples are sent.
        """
        step.moving = True
        self._moves.spawn(self._move, step, successor, running_seconds)

    def stop(self) -> None:
        """Give up all moves."""
        self._moves.kill()

    def _move(self, step: Step, successor: str, running_seconds: float) -> None:
        submission = step.submission(running_seconds)
        try:
            self._transfer.submit(successor, submission, moved=True)
        except RunkeelError as error:
            metrics.STEPS_MOVED.labels("failed").inc()
            logger.debug("step {} not passed on: {}", step.key.step_id, error)
            step.moving = False
            step.foreign_since = None
            return
        metrics.STEPS_MOVED.labels("moved").inc()
        step.successor = successor
        self._remove(step)
        step.notify()
        try:
            self._finish(step, submission)
        except RunkeelError as error:
            # The new owner makes the rest itself, when the time that we had is over.
            metrics.ATTEMPTS_FAILED.labels(step.key.model, error.code).inc()
        step.close()

    def _finish(self, step: Step, submission: Submission) -> None:
        """Let what runs for a moved step come to its end. Raises RunkeelError."""
        deadline = time.monotonic() + submission.running_seconds
        left = set(submission.running)
        for task_id in submission.running:
            sample = step.tasks[task_id].sample
            if sample is not None:
                # Finished while the step was being passed on.
                self._replicator.send(step.successor, sample)
        while left:
            left = {task_id for task_id in left if step.tasks[task_id].sample is None}
            failed = {task_id for task_id in left if not step.tasks[task_id].running}
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return
            if failed:
                # Named no longer, so that the new owner starts them at once.
                left -= failed
                self._transfer.submit(step.successor, step.submission(remaining), moved=True)
            if left:
                gevent.sleep(_POLL_SECONDS)
