"""The steps that this node owns, and the loop that keeps their work going."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.interfaces import Records
from runkeel.errors import ErrorCode, not_run
from runkeel.rollouts import metrics
from runkeel.rollouts.checkpoints import CheckpointStore
from runkeel.rollouts.delivery import DeliveryLog
from runkeel.rollouts.hand_over import Batch, Pull, StepDelivery, drop_sample
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.pipeline import SamplePipeline, cancel_attempt
from runkeel.rollouts.planner import Planner
from runkeel.rollouts.replication import SampleReplicator
from runkeel.rollouts.sample import Sample, StepKey
from runkeel.rollouts.sample_store import SampleStore
from runkeel.rollouts.staleness_manager import StalenessManager
from runkeel.rollouts.step import Step, Submission, SubmissionResult, Task
from runkeel.rollouts.step_mover import StepMover
from runkeel.rollouts.step_transfer import StepTransfer

_RETRY_AFTER_SECONDS = 1.0
_DRAIN_POLL_SECONDS = 0.02
_MOVE_RETRY_SECONDS = 0.5
_MINIMUM_TURN_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class _OpenStep:
    step: Step
    delivery: StepDelivery


class StepOwner:
    """Opens steps, plans their work and answers pulls."""

    def __init__(
        self,
        records: Records,
        replicator: SampleReplicator,
        store: SampleStore,
        checkpoints: CheckpointStore,
        staleness: StalenessManager,
        planner: Planner,
        transfer: StepTransfer,
        options: RolloutOptions,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._records = records
        self._replicator = replicator
        self._store = store
        self._checkpoints = checkpoints
        self._staleness = staleness
        self._planner = planner
        self._transfer = transfer
        self._mover = StepMover(transfer, replicator, self._remove)
        self._options = options
        self._clock = clock
        self._steps: dict[StepKey, _OpenStep] = {}
        self._wake = Event()
        self._draining = False
        self._loop: gevent.Greenlet | None = None
        self._pipeline: SamplePipeline | None = None
        self._next_sweep = 0.0
        self._gauge = metrics.STEPS_OPEN.labels(replicator.node_id)

    def use_pipeline(self, pipeline: SamplePipeline) -> None:
        """Set the pipeline that makes the samples; called once, before anything else."""
        self._pipeline = pipeline
        self._replicator.on_sample = self._take_sample

    def start(self) -> None:
        """Start planning."""
        self._loop = gevent.spawn(self._run)

    def drain(self, timeout_seconds: float) -> bool:
        """Start nothing new, pass the steps on, let what runs finish.

        Returns:
            Whether all that ran has finished in time.
        """
        self._draining = True
        deadline = time.monotonic() + timeout_seconds
        next_moves = 0.0
        while self._steps or self._mover.active or self._pipeline.running():
            now = time.monotonic()
            if now >= deadline:
                return False
            if now >= next_moves:
                next_moves = now + _MOVE_RETRY_SECONDS
                self._move_all(deadline - now)
            gevent.sleep(_DRAIN_POLL_SECONDS)
        return True

    def _move_all(self, running_seconds: float) -> None:
        for opened in list(self._steps.values()):
            successor = self._transfer.owner(opened.step.key, leaving=True)
            if successor == self._replicator.node_id or opened.step.finished:
                # Nobody to pass it on to, or nothing left of it.
                self._forget(opened.step)
            elif not opened.step.moving:
                self._mover.start(opened.step, successor, running_seconds)

    @property
    def draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._draining

    def is_open(self, key: StepKey) -> bool:
        """Return whether this node has the step open."""
        return key in self._steps

    def stop(self) -> None:
        """Cancel everything and forget the steps."""
        self._draining = True
        if self._loop is not None:
            self._loop.kill()
        self._mover.stop()
        for opened in list(self._steps.values()):
            opened.step.close()
        self._steps.clear()
        self._gauge.set(0)
        if self._pipeline is not None:
            self._pipeline.stop()

    def wake(self) -> None:
        """Let the planner look again."""
        self._wake.set()

    def steps(self) -> tuple[Step, ...]:
        """Return the open steps."""
        return tuple(opened.step for opened in self._steps.values())

    def submit(self, submission: Submission) -> SubmissionResult:
        """Open a step, or find it open; what earlier owners did for it is taken over.

        Raises:
            RunkeelError: STEP_CONFLICT, SERVICE_LIMIT, NODE_LEAVING or RECORDS_UNAVAILABLE.
        """
        step = Step(submission.key, submission.tasks, submission.trainer_version, self._clock())
        opened = self._steps.get(submission.key)
        adopted = 0
        if opened is None:
            self._check_room(step)
            opened = self._open(step)
            adopted = self._adopt_samples(opened.step)
        if opened.step.digest != step.digest:
            raise not_run(ErrorCode.STEP_CONFLICT, f"step {step.key.step_id} has other tasks")
        self._leave_to_earlier_owner(opened.step, submission)
        opened.step.last_used_at = self._clock()
        opened.step.trainer_version = submission.trainer_version
        self.wake()
        tasks = opened.step.tasks.values()
        delivered = sum(task.entry is not None for task in tasks)
        return SubmissionResult(len(tasks), delivered, adopted)

    def _leave_to_earlier_owner(self, step: Step, submission: Submission) -> None:
        """Let the earlier owner finish what it has begun, within the time that it has.

        It submits again when an attempt of its own has failed; what it no longer names is ours.
        """
        now = self._clock()
        running = set(submission.running)
        for task_id, task in step.tasks.items():
            if task_id in running and task.needs_attempt:
                task.left_to_other = True
                task.not_before = now + submission.running_seconds
            elif task.left_to_other:
                task.left_to_other = False
                task.not_before = now

    def _take_sample(self, sample: Sample) -> None:
        """Take a sample that another node has sent for a step that is open here."""
        opened = self._steps.get(sample.step)
        if opened is None or opened.step.digest != sample.step_digest:
            return
        task = opened.step.tasks.get(sample.task_id)
        if task is not None and task.sample is None and (task.entry is None or task.remake):
            self._pipeline.adopt(opened.step, task, sample)

    def pull(self, key: StepKey, pull: Pull) -> Batch | None:
        """Return a batch, or None when nothing is ready in time.

        Raises:
            RunkeelError: UNKNOWN_STEP: to be submitted again; else see StepDelivery.pull.
        """
        opened = self._steps.get(key)
        if opened is None:
            raise not_run(ErrorCode.UNKNOWN_STEP, f"step {key.step_id} is not open here")
        return opened.delivery.pull(pull)

    def _check_room(self, new: Step) -> None:
        if self._draining:
            raise not_run(ErrorCode.NODE_LEAVING, "no new steps", _RETRY_AFTER_SECONDS)
        size = new.size + sum(opened.step.size for opened in self._steps.values())
        too_many = len(self._steps) >= self._options.maximum_steps
        if too_many or size > self._options.maximum_steps_bytes:
            finished = [opened.step for opened in self._steps.values() if opened.step.finished]
            if not finished:
                raise not_run(ErrorCode.SERVICE_LIMIT, "too many open steps", _RETRY_AFTER_SECONDS)
            self._close(min(finished, key=lambda step: step.last_used_at))

    def _open(self, step: Step) -> _OpenStep:
        log = DeliveryLog(
            self._records,
            step.key,
            step.digest,
            step.tasks,
            self._replicator.node_id,
            self._options.records_timeout_seconds,
        )
        delivery = StepDelivery(
            step, log, self._replicator, self._staleness, self._options, self.wake, self._clock
        )
        delivery.recover()
        # A second submission of the same step may have been quicker.
        opened = self._steps.setdefault(step.key, _OpenStep(step, delivery))
        self._gauge.set(len(self._steps))
        return opened

    def _adopt_samples(self, step: Step) -> int:
        adopted = 0
        newest = self._staleness.newest_version(step)
        for task_id, checkpoint in self._replicator.collect_checkpoints(step.key).items():
            task = step.tasks.get(task_id)
            if task is not None and self._can_go_on(step, task, checkpoint, newest):
                task.checkpoint = checkpoint
        for sample, holders in self._replicator.collect_step(step.key):
            task = step.tasks.get(sample.task_id)
            if task is None or sample.step_digest != step.digest or not task.needs_attempt:
                continue
            if not self._staleness.is_fresh(sample, newest):
                continue
            adopted += 1
            if self._replicator.node_id in holders and len(holders) > 1:
                task.attempts = max(task.attempts, sample.attempt)
                step.set_sample(task, sample, holders)
            elif self._pipeline is not None:
                self._pipeline.adopt(step, task, sample)
        step.notify()
        return adopted

    def _can_go_on(self, step: Step, task: Task, checkpoint: Sample, newest: int) -> bool:
        """Return whether a checkpoint of an earlier owner is of use."""
        return (
            checkpoint.step_digest == step.digest
            and len(checkpoint.token_ids) < task.spec.max_tokens
            and self._staleness.is_fresh(checkpoint, newest)
        )

    def _run(self) -> None:
        while True:
            self._wake.wait(self._options.planner_interval_seconds)
            self._wake.clear()
            try:
                self.turn()
            except Exception:  # the loop must outlive a fault in one turn
                logger.exception("planning failed", code=ErrorCode.INTERNAL)
            # Many samples that finish together cost one turn.
            gevent.sleep(_MINIMUM_TURN_SECONDS)

    def turn(self) -> None:
        """Look once through the steps: drop what is too old, start what there is room for."""
        now = time.monotonic()
        if now >= self._next_sweep:
            self._next_sweep = now + self._options.planner_interval_seconds
            self.sweep()
        if self._draining or self._pipeline is None or self._store.is_full:
            return
        by_model: dict[str, list[Step]] = {}
        for opened in self._steps.values():
            by_model.setdefault(opened.step.key.model, []).append(opened.step)
        for model, steps in by_model.items():
            room = self._options.maximum_open_samples - self._open_samples()
            in_flight = self._pipeline.generating(model)
            for planned in self._planner.plan(model, steps, in_flight, room):
                if planned.hedge:
                    metrics.HEDGES.labels(model).inc()
                self._pipeline.start(planned.step, planned.task)

    def _open_samples(self) -> int:
        waiting = sum(opened.step.sample_count() for opened in self._steps.values())
        return waiting + self._pipeline.running()

    def sweep(self) -> None:
        """Cancel and drop what is too old, close steps that nobody uses."""
        now = self._clock()
        for opened in list(self._steps.values()):
            step = opened.step
            for task, attempt in self._planner.hopeless_attempts(step):
                cancel_attempt(task, attempt)
                metrics.SAMPLES_DROPPED.labels(step.key.model, "cancelled_too_stale").inc()
            for task in self._planner.hopeless_samples(step):
                drop_sample(step, task, self._replicator, "too_stale")
            self._check_ownership(step, now)
            unused = now - step.last_used_at
            if unused > self._longest_unused(step):
                self._close(step)
        self._store.expire(self._staleness.longest_age)
        self._checkpoints.expire(self._staleness.longest_age)

    def _check_ownership(self, step: Step, now: float) -> None:
        """Pass a step on when another node has been its owner for a while."""
        owner = self._transfer.owner(step.key)
        if owner == self._replicator.node_id or self._draining or step.finished:
            step.foreign_since = None
        elif step.foreign_since is None:
            step.foreign_since = now
        elif now - step.foreign_since >= self._options.move_after_seconds and not step.moving:
            self._mover.start(step, owner, self._options.move_grace_seconds)

    def _longest_unused(self, step: Step) -> float:
        """Return for how long a step is kept that nobody asks for, in s."""
        if step.undelivered_count() == 0:
            # Most likely consumed, by a trainer that did not ask for the end.
            return self._options.finished_step_seconds
        return self._options.step_idle_seconds

    def _forget(self, step: Step) -> None:
        """Close a step; its samples stay in the store, for whoever owns it now."""
        self._remove(step)
        step.close()

    def _remove(self, step: Step) -> None:
        opened = self._steps.get(step.key)
        if opened is not None and opened.step is step:
            del self._steps[step.key]
        self._gauge.set(len(self._steps))

    def _close(self, step: Step) -> None:
        self._forget(step)
        if not step.finished:
            logger.warning(
                "step {} of {} forgotten: nobody asked for it",
                step.key.step_id,
                step.key.model,
                code="step_forgotten",
            )
        self._store.release_step(step.key)
