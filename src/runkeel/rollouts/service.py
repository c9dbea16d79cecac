"""The rollout service of a node: takes trainers' requests to the owner of their step."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from runkeel.api.http import HttpRoutes
from runkeel.api.interfaces import (
    Configuration,
    Dispatcher,
    MachineView,
    Membership,
    PeerClient,
    PeerHandlers,
    Records,
)
from runkeel.errors import ErrorCode, not_run
from runkeel.platform.scorers import ScorerClient
from runkeel.rollouts.generation import SampleGenerator
from runkeel.rollouts.hand_over import Batch, Pull
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.pipeline import SamplePipeline
from runkeel.rollouts.planner import LengthHistory, Planner
from runkeel.rollouts.ranking import StepRanking
from runkeel.rollouts.replication import SampleReplicator
from runkeel.rollouts.sample import StepKey, sample_from_wire, sample_to_wire
from runkeel.rollouts.sample_log import SampleLog
from runkeel.rollouts.sample_store import SampleStore
from runkeel.rollouts.scoring import SampleScorer, ScorerCaller
from runkeel.rollouts.staleness_manager import StalenessManager
from runkeel.rollouts.step import Step, TaskSpec
from runkeel.rollouts.step_owner import StepOwner, Submission, SubmissionResult
from runkeel.rollouts.trainer_api import TrainerApi
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.rollouts import ttypes

DEFAULT_DRAIN_SECONDS = 30.0
_FORWARD_MARGIN_SECONDS = 10.0


class RolloutService:
    """Joins the filters of the sample's path on one node.

    Args:
        data_folder: where samples are written down; None for a node without a disk.
        scorer_caller: how scorers are called.
        clock: monotonic clock by which samples age, in s.
        wall_clock: wall clock by which samples age on their way between nodes, in s.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerClient,
        handlers: PeerHandlers,
        configuration: Configuration,
        machines: MachineView,
        records: Records,
        dispatcher: Dispatcher,
        options: RolloutOptions | None = None,
        data_folder: Path | None = None,
        scorer_caller: ScorerCaller | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        options = options or RolloutOptions()
        self._membership = membership
        self._peers = peers
        self._options = options
        self._clock = clock
        self._ranking = StepRanking(membership, configuration)
        self._log = (
            SampleLog(data_folder / "samples", membership.node_id, options, clock, wall_clock)
            if data_folder is not None
            else None
        )
        self.store = SampleStore(membership.node_id, options, self._log, clock)
        self._replicator = SampleReplicator(
            membership, peers, self._ranking, self.store, options, clock
        )
        self._staleness = StalenessManager(configuration, membership, options, clock, wall_clock)
        lengths = LengthHistory()
        planner = Planner(self._staleness, lengths, options, clock)
        self._owner = StepOwner(
            records, self._replicator, self.store, self._staleness, planner, options, clock
        )
        self._pipeline = SamplePipeline(
            SampleGenerator(dispatcher, membership.node_id, options, clock, wall_clock),
            SampleScorer(machines, scorer_caller or ScorerClient(), options),
            self._replicator,
            self._staleness,
            lengths,
            options,
            self._owner.wake,
            clock,
        )
        self._owner.use_pipeline(self._pipeline)
        self._api = TrainerApi(configuration, options, self.submit, self.pull)
        self._register_peers(handlers)

    def register(self, routes: HttpRoutes) -> None:
        """Add the routes for trainers."""
        self._api.register(routes)

    def start(self) -> None:
        """Take back the samples on disk and start planning."""
        if self._log is not None:
            samples = self._log.recover()
            self.store.restore(samples)
            logger.info("recovered {} samples", len(samples), code="samples_recovered")
        self._owner.start()

    def drain(self, timeout_seconds: float = DEFAULT_DRAIN_SECONDS) -> bool:
        """Begin a planned stop: refuse new steps, finish running samples, still answer pulls.

        Returns:
            Whether all running samples have finished in time.
        """
        return self._owner.drain(timeout_seconds)

    def stop(self) -> None:
        """Cancel everything that runs."""
        self._owner.stop()
        self._replicator.stop()
        if self._log is not None:
            self._log.close()

    def steps(self) -> tuple[Step, ...]:
        """Return the steps that this node owns, for queries."""
        return self._owner.steps()

    def submit(self, submission: Submission) -> SubmissionResult:
        """Pass a step to its owner. Raises RunkeelError."""
        owner = self._ranking.owner(submission.key)
        if owner == self._membership.node_id:
            return self._owner.submit(submission)
        reply = self._peers.call(
            owner,
            MessageType.STEP_SUBMIT,
            _submission_to_wire(submission),
            ttypes.StepSubmitReply,
            _FORWARD_MARGIN_SECONDS,
        )
        return SubmissionResult(reply.tasks, reply.delivered, reply.adopted)

    def pull(self, step: StepKey, pull: Pull) -> Batch | None:
        """Ask a step's owner for a batch. Raises RunkeelError."""
        owner = self._ranking.owner(step)
        if owner == self._membership.node_id:
            return self._owner.pull(step, pull)
        # Ages in the reply count from here, which makes samples look older, never younger.
        asked_at = self._clock()
        reply = self._peers.call(
            owner,
            MessageType.STEP_PULL,
            ttypes.StepPull(
                step.model,
                step.step_id,
                pull.cursor,
                pull.trainer_version,
                int(pull.wait_seconds * 1000),
                pull.maximum_samples,
            ),
            ttypes.StepPullReply,
            pull.wait_seconds + _FORWARD_MARGIN_SECONDS,
        )
        if not reply.ready:
            return None
        samples = tuple(sample_from_wire(record, asked_at) for record in reply.samples or [])
        return Batch(reply.cursor, samples, bool(reply.last))

    def _register_peers(self, handlers: PeerHandlers) -> None:
        self._replicator.register(handlers)
        handlers.on_call(MessageType.STEP_SUBMIT, ttypes.StepSubmit, self._on_submit)
        handlers.on_call(MessageType.STEP_PULL, ttypes.StepPull, self._on_pull)

    def _on_submit(self, _peer: str, request: ttypes.StepSubmit) -> tuple[int, object]:
        result = self._owner.submit(_submission_from_wire(request))
        reply = ttypes.StepSubmitReply(result.tasks, result.delivered, result.adopted)
        return MessageType.STEP_SUBMIT_REPLY, reply

    def _on_pull(self, _peer: str, request: ttypes.StepPull) -> tuple[int, object]:
        pull = Pull(
            request.cursor,
            request.trainer_version,
            request.wait_ms / 1000,
            request.max_samples,
        )
        batch = self._owner.pull(StepKey(request.model, request.step_id), pull)
        if batch is None:
            reply = ttypes.StepPullReply(pull.cursor, False, [], False)
        else:
            now = self._clock()
            records = [sample_to_wire(sample, now) for sample in batch.samples]
            reply = ttypes.StepPullReply(batch.cursor, True, records, batch.last)
        return MessageType.STEP_PULL_REPLY, reply


def _submission_to_wire(submission: Submission) -> ttypes.StepSubmit:
    tasks = [
        ttypes.RolloutTask(
            task.task_id, task.group, task.prompt, task.max_tokens, task.expected_tokens
        )
        for task in submission.tasks
    ]
    key = submission.key
    return ttypes.StepSubmit(key.model, key.step_id, tasks, submission.trainer_version)


def _submission_from_wire(request: ttypes.StepSubmit) -> Submission:
    tasks = tuple(
        TaskSpec(task.task_id, task.group, task.prompt, task.max_tokens, task.expected_tokens)
        for task in request.tasks or []
    )
    if not tasks:
        raise not_run(ErrorCode.PROTOCOL_ERROR, "a step without tasks")
    return Submission(StepKey(request.model, request.step_id), tasks, request.trainer_version)
