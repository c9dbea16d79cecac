"""Passes steps and pulls on to the node that should own the step."""

from __future__ import annotations

import time
from collections.abc import Callable

from runkeel.api.interfaces import PeerClient
from runkeel.errors import ErrorCode, not_run
from runkeel.rollouts.hand_over import Batch, Pull
from runkeel.rollouts.ranking import StepRanking
from runkeel.rollouts.sample import StepKey, sample_from_wire, sample_to_wire
from runkeel.rollouts.step import Submission, SubmissionResult, TaskSpec
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.rollouts import ttypes

FORWARD_MARGIN_SECONDS = 10.0
"""Time for an owner's work on a call, beyond the wait that the trainer asked for, in s."""


class StepTransfer:
    """Calls to the owners of steps."""

    def __init__(
        self,
        ranking: StepRanking,
        peers: PeerClient,
        node_id: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ranking = ranking
        self._peers = peers
        self._node_id = node_id
        self._clock = clock

    def owner(self, step: StepKey, leaving: bool = False) -> str:
        """Return the node that should own a step; another one than this if it is leaving."""
        for member in self._ranking.ranked(step):
            if not (leaving and member.node_id == self._node_id):
                return member.node_id
        return self._node_id

    def submit(self, node_id: str, submission: Submission, moved: bool) -> SubmissionResult:
        """Submit a step to its owner. Raises RunkeelError."""
        reply = self._peers.call(
            node_id,
            MessageType.STEP_SUBMIT,
            submission_to_wire(submission, moved),
            ttypes.StepSubmitReply,
            FORWARD_MARGIN_SECONDS,
        )
        return SubmissionResult(reply.tasks, reply.delivered, reply.adopted)

    def pull(self, node_id: str, step: StepKey, pull: Pull, moved: bool) -> Batch | None:
        """Pull from a step's owner. Raises RunkeelError."""
        asked_at = self._clock()
        message = ttypes.StepPull(
            step.model,
            step.step_id,
            pull.cursor,
            pull.trainer_version,
            int(pull.wait_seconds * 1000),
            pull.maximum_samples,
            moved,
        )
        timeout = pull.wait_seconds + FORWARD_MARGIN_SECONDS
        reply = self._peers.call(
            node_id, MessageType.STEP_PULL, message, ttypes.StepPullReply, timeout
        )
        if not reply.ready:
            return None
        # The ages were taken no earlier than this. What the messages took, or a pause of the
        # owner after it had looked at its clock, is thereby counted.
        aged_at = asked_at + (reply.held_ms or 0) / 1000
        samples = tuple(sample_from_wire(record, aged_at) for record in reply.samples or [])
        return Batch(reply.cursor, samples, bool(reply.last))


def submission_to_wire(submission: Submission, moved: bool) -> ttypes.StepSubmit:
    """Return the wire form of a submission."""
    tasks = [
        ttypes.RolloutTask(
            task.task_id, task.group, task.prompt, task.max_tokens, task.expected_tokens
        )
        for task in submission.tasks
    ]
    key = submission.key
    return ttypes.StepSubmit(
        key.model,
        key.step_id,
        tasks,
        submission.trainer_version,
        moved,
        list(submission.running),
        int(submission.running_seconds * 1000),
    )


def submission_from_wire(message: ttypes.StepSubmit) -> Submission:
    """Return a submission from its wire form. Raises RunkeelError PROTOCOL_ERROR."""
    tasks = tuple(
        TaskSpec(task.task_id, task.group, task.prompt, task.max_tokens, task.expected_tokens)
        for task in message.tasks or []
    )
    if not tasks:
        raise not_run(ErrorCode.PROTOCOL_ERROR, "a step without tasks")
    return Submission(
        StepKey(message.model, message.step_id),
        tasks,
        message.trainer_version,
        tuple(message.running or ()),
        (message.running_ms or 0) / 1000,
    )


def pull_from_wire(message: ttypes.StepPull) -> tuple[StepKey, Pull]:
    """Return a pull and its step from the wire form."""
    pull = Pull(
        message.cursor, message.trainer_version, message.wait_ms / 1000, message.max_samples
    )
    return StepKey(message.model, message.step_id), pull


def batch_to_wire(
    batch: Batch | None, cursor: int, asked_at: float, now: float
) -> ttypes.StepPullReply:
    """Return the reply to a pull that arrived at ``asked_at``."""
    held_ms = int((now - asked_at) * 1000)
    if batch is None:
        return ttypes.StepPullReply(cursor, False, [], False, held_ms)
    records = [sample_to_wire(sample, now) for sample in batch.samples]
    return ttypes.StepPullReply(batch.cursor, True, records, batch.last, held_ms)
