"""Makes samples: one task per attempt, generating, scoring and replicating in turn."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import gevent
from gevent.pool import Group

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts import metrics
from runkeel.rollouts.generation import SampleGenerator, UnprovedOriginError
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.planner import LengthHistory
from runkeel.rollouts.replication import SampleReplicator
from runkeel.rollouts.sample import TOKEN_BYTES, Sample
from runkeel.rollouts.scoring import SampleScorer
from runkeel.rollouts.staleness_manager import StalenessManager
from runkeel.rollouts.step import Attempt, Step, Task, cancel_attempts

_MAXIMUM_DURATIONS = 512
_BACKOFF_EXPONENT_LIMIT = 10


class SamplePipeline:
    """Runs the attempts of one node."""

    def __init__(
        self,
        generator: SampleGenerator,
        scorer: SampleScorer,
        replicator: SampleReplicator,
        staleness: StalenessManager,
        lengths: LengthHistory,
        options: RolloutOptions,
        wake_planner: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._generator = generator
        self._scorer = scorer
        self._replicator = replicator
        self._staleness = staleness
        self._lengths = lengths
        self._options = options
        self._wake_planner = wake_planner
        self._clock = clock
        self._group = Group()
        self._generating: dict[str, int] = {}
        self._gauge = metrics.GENERATIONS_IN_FLIGHT.labels(replicator.node_id)

    def generating(self, model: str) -> int:
        """Return how many generations of a model run."""
        return self._generating.get(model, 0)

    def running(self) -> int:
        """Return how many attempts run, in whatever phase."""
        return len(self._group)

    def start(self, step: Step, task: Task) -> None:
        """Start an attempt to make the task's sample."""
        task.attempts += 1
        attempt = Attempt(number=task.attempts, started_at=self._clock())
        task.running.append(attempt)
        self._count_generating(step.key.model, 1)
        greenlet = self._group.spawn(self._run, step, task, attempt)
        attempt.greenlet = greenlet
        greenlet.link(lambda _ended: self._ended(step, task, attempt))

    def adopt(self, step: Step, task: Task, sample: Sample) -> None:
        """Take over a sample that an earlier owner finished; copies are made where they lack."""
        task.attempts = max(task.attempts, sample.attempt)
        attempt = Attempt(
            number=sample.attempt,
            started_at=self._clock(),
            generating=False,
            oldest_version=sample.oldest_version,
            first_token_at=sample.first_token_at,
        )
        task.running.append(attempt)
        greenlet = self._group.spawn(self._replicate, step, task, attempt, sample)
        attempt.greenlet = greenlet
        greenlet.link(lambda _ended: self._ended(step, task, attempt))

    def stop(self) -> None:
        """Cancel all attempts."""
        self._group.kill()

    def _run(self, step: Step, task: Task, attempt: Attempt) -> None:
        sample: Sample | None = None
        try:
            minimum_version = self._staleness.minimum_version(step)
            sample = self._generator.generate(step, task, attempt, minimum_version)
        except (RunkeelError, UnprovedOriginError) as error:
            self._fail(step, task, attempt, error)
        finally:
            self._end_generating(step, attempt)
        if sample is None:
            return
        metrics.SAMPLES_GENERATED.labels(step.key.model).inc()
        self._note_generated(step, attempt, sample)
        scored = self._score(step, task, attempt, sample)
        if scored is not None:
            self._replicate(step, task, attempt, scored)

    def _score(self, step: Step, task: Task, attempt: Attempt, sample: Sample) -> Sample | None:
        """Score a sample however long the scorers are down; None once nobody waits for it.

        The generation is worth more than the wait. The attempt is cancelled from outside when the
        sample has become too stale.
        """
        failures = 0
        while attempt in task.running and not step.closed:
            try:
                return self._scorer.score(sample, task.spec.prompt)
            except RunkeelError as error:
                failures += 1
                metrics.ATTEMPTS_FAILED.labels(step.key.model, error.code).inc()
                gevent.sleep(self._backoff(failures, error))
        return None

    def _replicate(self, step: Step, task: Task, attempt: Attempt, sample: Sample) -> None:
        try:
            if step.successor is not None:
                self._send_to_successor(step, task, attempt, sample)
                return
            holders = self._replicator.replicate(sample)
        except RunkeelError as error:
            self._fail(step, task, attempt, error)
            return
        if attempt not in task.running or step.closed:
            # Cancelled while the copy was on its way.
            digests = {node_id: [sample.digest] for node_id in holders}
            self._replicator.release(step.key, digests)
            return
        task.running.remove(attempt)
        cancel_attempts(task)
        step.set_sample(task, sample, holders)
        step.notify()
        self._wake_planner()

    def _send_to_successor(self, step: Step, task: Task, attempt: Attempt, sample: Sample) -> None:
        self._replicator.send(step.successor, sample)
        if attempt in task.running:
            task.running.remove(attempt)
            step.set_sample(task, sample, (step.successor,))

    def _fail(self, step: Step, task: Task, attempt: Attempt, error: Exception) -> None:
        model = step.key.model
        if isinstance(error, UnprovedOriginError):
            metrics.SAMPLES_DROPPED.labels(model, error.reason).inc()
        else:
            metrics.ATTEMPTS_FAILED.labels(model, error.code).inc()
            self._keep_progress(step, task, attempt)
        if attempt in task.running:
            task.running.remove(attempt)
        task.failures += 1
        task.not_before = self._clock() + self._backoff(task.failures, error)
        self._wake_planner()

    def _keep_progress(self, step: Step, task: Task, attempt: Attempt) -> None:
        """Let the next attempt go on where this one failed."""
        checkpoint = self._generator.checkpoint(step, task, attempt)
        if checkpoint is not None and attempt.token_count < task.spec.max_tokens:
            task.checkpoint = checkpoint

    def _backoff(self, failures: int, error: Exception) -> float:
        exponent = min(failures - 1, _BACKOFF_EXPONENT_LIMIT)
        longest = min(
            self._options.retry_limit_seconds, self._options.retry_base_seconds * 2**exponent
        )
        asked = getattr(error, "retry_after_seconds", None) or 0.0
        return max(
            min(asked, self._options.retry_limit_seconds), longest * random.uniform(0.5, 1.0)
        )

    def _ended(self, step: Step, task: Task, attempt: Attempt) -> None:
        """Settle an attempt that was killed, perhaps before it began, or failed unforeseen."""
        self._end_generating(step, attempt)
        if attempt in task.running:
            self._fail(step, task, attempt, RunkeelError(ErrorCode.INTERNAL))

    def _end_generating(self, step: Step, attempt: Attempt) -> None:
        if attempt.generating:
            attempt.generating = False
            self._count_generating(step.key.model, -1)
            self._wake_planner()

    def _note_generated(self, step: Step, attempt: Attempt, sample: Sample) -> None:
        if len(step.durations) < _MAXIMUM_DURATIONS:
            step.durations.append(self._clock() - attempt.started_at)
        self._lengths.note(sample, sample.size // TOKEN_BYTES)

    def _count_generating(self, model: str, change: int) -> None:
        self._generating[model] = self._generating.get(model, 0) + change
        if not self._generating[model]:
            del self._generating[model]
        self._gauge.inc(change)


def cancel_attempt(task: Task, attempt: Attempt) -> None:
    """Cancel one attempt, so that another may start."""
    task.running.remove(attempt)
    if attempt.greenlet is not None and attempt.greenlet is not gevent.getcurrent():
        attempt.greenlet.kill(block=False)
