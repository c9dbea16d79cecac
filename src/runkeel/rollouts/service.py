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
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.platform.scorers import ScorerClient
from runkeel.rollouts.checkpoints import Checkpointer, CheckpointStore
from runkeel.rollouts.generation import SampleGenerator
from runkeel.rollouts.hand_over import Batch, Pull
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.pipeline import SamplePipeline
from runkeel.rollouts.planner import LengthHistory, Planner
from runkeel.rollouts.ranking import StepRanking
from runkeel.rollouts.replication import SampleReplicator
from runkeel.rollouts.sample import StepKey
from runkeel.rollouts.sample_log import SampleLog
from runkeel.rollouts.sample_store import SampleStore
from runkeel.rollouts.scoring import SampleScorer, ScorerCaller
from runkeel.rollouts.staleness_manager import StalenessManager
from runkeel.rollouts.step import Step, Submission, SubmissionResult
from runkeel.rollouts.step_owner import StepOwner
from runkeel.rollouts.step_transfer import (
    StepTransfer,
    batch_to_wire,
    pull_from_wire,
    submission_from_wire,
)
from runkeel.rollouts.trainer_api import TrainerApi
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.rollouts import ttypes

DEFAULT_DRAIN_SECONDS = 30.0


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
        checkpoints = CheckpointStore(options, clock)
        self.store = SampleStore(membership.node_id, options, self._log, clock)
        self._replicator = SampleReplicator(
            membership, peers, self._ranking, self.store, checkpoints, options, clock
        )
        self._staleness = StalenessManager(configuration, membership, options, clock, wall_clock)
        lengths = LengthHistory()
        planner = Planner(self._staleness, lengths, options, clock)
        self._transfer = StepTransfer(self._ranking, peers, membership.node_id, clock)
        self._owner = StepOwner(
            records,
            self._replicator,
            self.store,
            checkpoints,
            self._staleness,
            planner,
            self._transfer,
            options,
            clock,
        )
        generator = SampleGenerator(dispatcher, membership.node_id, options, clock, wall_clock)
        self.checkpointer = Checkpointer(
            generator, self._owner.steps, self._replicator.send_checkpoints, options
        )
        self._pipeline = SamplePipeline(
            generator,
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
        self.checkpointer.start()

    def drain(self, timeout_seconds: float = DEFAULT_DRAIN_SECONDS) -> bool:
        """Begin a planned stop: finish running samples, then pass the steps on.

        Pulls are answered meanwhile, here or by the new owners; new steps go to other nodes.

        Returns:
            Whether all running samples have finished in time.
        """
        return self._owner.drain(timeout_seconds)

    def stop(self) -> None:
        """Cancel everything that runs."""
        self.checkpointer.stop()
        self._owner.stop()
        self._replicator.stop()
        if self._log is not None:
            self._log.close()

    def steps(self) -> tuple[Step, ...]:
        """Return the steps that this node owns, for queries."""
        return self._owner.steps()

    def submit(self, submission: Submission) -> SubmissionResult:
        """Pass a step to its owner. Raises RunkeelError."""
        if not self._passes_on(submission.key):
            return self._owner.submit(submission)
        owner = self._transfer.owner(submission.key, self._owner.draining)
        return self._transfer.submit(owner, submission, self._owner.draining)

    def pull(self, step: StepKey, pull: Pull) -> Batch | None:
        """Ask a step's owner for a batch.

        Raises:
            RunkeelError: BATCH_NOT_READY when the answer took so long that a sample has grown
                too old on its way; else see StepOwner.pull.
        """
        if not self._passes_on(step):
            return self._owner.pull(step, pull)
        owner = self._transfer.owner(step, self._owner.draining)
        batch = self._transfer.pull(owner, step, pull, self._owner.draining)
        samples = () if batch is None else batch.samples
        if not all(self._staleness.is_fresh(sample, pull.trainer_version) for sample in samples):
            raise RunkeelError(ErrorCode.BATCH_NOT_READY, "a sample became too old on its way")
        return batch

    def _passes_on(self, step: StepKey) -> bool:
        """Return whether another node is to answer for the step."""
        if self._owner.draining and self._owner.is_open(step):
            return False
        return self._transfer.owner(step, self._owner.draining) != self._membership.node_id

    def _register_peers(self, handlers: PeerHandlers) -> None:
        self._replicator.register(handlers)
        handlers.on_call(MessageType.STEP_SUBMIT, ttypes.StepSubmit, self._on_submit)
        handlers.on_call(MessageType.STEP_PULL, ttypes.StepPull, self._on_pull)

    def _on_submit(self, _peer: str, request: ttypes.StepSubmit) -> tuple[int, object]:
        submission = submission_from_wire(request)
        if self._answers_itself(submission.key, request.moved):
            result = self._owner.submit(submission)
        else:
            result = self.submit(submission)
        reply = ttypes.StepSubmitReply(result.tasks, result.delivered, result.adopted)
        return MessageType.STEP_SUBMIT_REPLY, reply

    def _on_pull(self, _peer: str, request: ttypes.StepPull) -> tuple[int, object]:
        asked_at = self._clock()
        step, pull = pull_from_wire(request)
        if self._answers_itself(step, request.moved):
            batch = self._owner.pull(step, pull)
        else:
            batch = self.pull(step, pull)
        reply = batch_to_wire(batch, pull.cursor, asked_at, self._clock())
        return MessageType.STEP_PULL_REPLY, reply

    def _answers_itself(self, step: StepKey, moved: bool) -> bool:
        """Return whether a peer's message is answered here.

        Only a node that is leaving passes on what peers sent it, and only what was not passed
        on before, so that two nodes never send a message to and fro.
        """
        return moved or not self._owner.draining or self._owner.is_open(step)
