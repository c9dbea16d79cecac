"""Emulated trainers: they submit steps, pull samples by cursor, train and publish weights."""

from __future__ import annotations

import random
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from runkeel_lab.experiment import TrainerSpec
from runkeel_lab.load.caller import NodeTarget
from runkeel_lab.load.plans import make_prompt
from runkeel_lab.tokens import VersionRange
from runkeel_lab.trainer_client import SampleRecord, StepRecord, Task, TrainerClient

_SHARED_PREFIXES = 16
_POLL_SECONDS = 0.5


@dataclass(slots=True)
class TrainingTime:
    """What the trainer did with its time, in whole steps' worth of samples.

    Attributes:
        began, ended: monotonic times of the counted span, in s; 0 while nothing is counted.
        waited_seconds: time without samples to train on.
        trained_seconds: time spent training.
        steps: steps' worth of samples that were trained on.
        tokens: tokens of those samples.
        staleness: number of samples by versions behind the trainer when it trained on them.
    """

    began: float = 0.0
    ended: float = 0.0
    waited_seconds: float = 0.0
    trained_seconds: float = 0.0
    steps: int = 0
    tokens: int = 0
    staleness: Counter[int] = field(default_factory=Counter)

    @property
    def idle_fraction(self) -> float | None:
        """Share of the time that the trainer waited, or None when nothing was counted."""
        total = self.waited_seconds + self.trained_seconds
        return self.waited_seconds / total if total else None

    def add(self, other: TrainingTime) -> None:
        """Add a later span."""
        self.began = self.began or other.began
        self.ended = other.ended
        self.waited_seconds += other.waited_seconds
        self.trained_seconds += other.trained_seconds
        self.steps += other.steps
        self.tokens += other.tokens
        self.staleness += other.staleness


class Trainer:
    """One emulated trainer.

    One task an open step pulls batches into a short queue; the trainer itself takes minibatches
    from it. It counts ``tasks_per_step`` samples as a step, whichever steps they are of, so that
    with several steps pulled at once the stragglers of one are trained on with the next.

    Attributes:
        version: weights that it trains on; the next published is one higher.
        steps: steps that came whole, in that order.
        unfinished: steps that it began to pull and did not get whole.
        time: the counted time: without the first steps, and without the end of the run, when
            no new step is begun.
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
        self.unfinished: list[StepRecord] = []
        self.time = TrainingTime()
        self._publish = publish
        self._random = random.Random(f"{seed}/{spec.name}")
        self._run_name = f"{spec.name}-{seed}"
        self._client = TrainerClient(spec.model, targets, self._random.randrange(len(targets)))
        self._submitted: list[StepRecord] = []
        self._begun = 0
        self._trained_steps = 0
        self._arrived: deque[SampleRecord] = deque()
        self._changed = Event()
        self._stopping = False
        self._deadline = 0.0
        self._pullers: dict[str, gevent.Greenlet] = {}

    @property
    def errors(self) -> dict[str, int]:
        """Failed calls by code."""
        return self._client.errors

    def run(self, until: float, grace_seconds: float) -> None:
        """Train until the monotonic time ``until``, then finish what is begun within the grace."""
        self._deadline = until + grace_seconds
        opener = gevent.spawn(self._open_steps)
        try:
            while self._train_step():
                self._stopping = self._stopping or time.monotonic() >= until
                self._publish_if_due(self._trained_steps + 1)
                self._trained_steps += 1
                self._notify()
        finally:
            gevent.killall([opener, *self._pullers.values()])

    def _publish_if_due(self, steps: int) -> None:
        if self.spec.steps_per_version and steps % self.spec.steps_per_version == 0:
            self.version += 1
            self._publish(self.spec.model, self.version)

    # Opening steps

    def _open_steps(self) -> None:
        """Keep as many steps submitted and pulled as the specification says."""
        while not self._stopping:
            wanted = self._begun + self.spec.steps_ahead + self._wants_step()
            if self._wants_step() and self._begun < len(self._submitted):
                self._begin_next()
            elif len(self._submitted) < wanted and not self._enough(len(self._submitted)):
                self._submit_next()
            else:
                self._changed.wait(_POLL_SECONDS)

    def _wants_step(self) -> bool:
        """Return whether the next step is to be pulled now."""
        if self.spec.steps_pulled == 1:
            # One step at a time: the next is begun with the weights that this one gives.
            return not self._pullers and self._begun == self._trained_steps
        if len(self._pullers) >= self.spec.steps_pulled:
            return False
        # Steps begun together would all come down to their stragglers together.
        missing = sum(len(step.tasks) - len(step.samples) for step in self.unfinished)
        return not self.spec.begin_below or missing < self.spec.begin_below

    def _begin_next(self) -> None:
        step = self._submitted[self._begun]
        self._begun += 1
        self.unfinished.append(step)
        self._pullers[step.step_id] = gevent.spawn(self._pull_step, step)

    def _enough(self, number: int) -> bool:
        return bool(self.spec.maximum_steps) and number >= self.spec.maximum_steps

    def _submit_next(self) -> None:
        step = self._make_step(len(self._submitted))
        step.submitted = time.monotonic()
        self._client.submit(step, self.version)
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
        # A group is several samples of one prompt; only the id and the emulated length differ.
        group_random = random.Random(f"{step_id}/{group}")
        prompt = make_prompt(
            group_random,
            task_id,
            group % _SHARED_PREFIXES,
            spec.prompt_words.draw_count(group_random, 500),
            spec.tokens.draw_count(self._random, spec.max_tokens),
        )
        return Task(task_id, f"{step_id}-group-{group}", prompt, spec.max_tokens)

    # Pulling

    def _pull_step(self, step: StepRecord) -> None:
        try:
            if self._pull_batches(step):
                step.whole = time.monotonic()
                self.unfinished.remove(step)
                self.steps.append(step)
        finally:
            del self._pullers[step.step_id]
            self._notify()

    def _pull_batches(self, step: StepRecord) -> bool:
        """Pull one step; return whether it came whole before the deadline."""
        cursor, last = 0, False
        while not last:
            version = self.version
            batch = self._client.pull(
                step, cursor, version, self.spec.pull_wait_ms, self.spec.pull_maximum
            )
            if batch is None:
                if time.monotonic() > self._deadline:
                    self._stopping = True
                    return False
                continue
            self._take(step, cursor, version, batch["samples"])
            last = bool(batch.get("last"))
            cursor += 1
            if not last:
                self._wait_for_room()
        self._client.pull(step, cursor, self.version, 0, self.spec.pull_maximum)
        return True

    def _wait_for_room(self) -> None:
        """Don't pull ahead of the training: samples would grow stale in the queue."""
        while len(self._arrived) >= self._minibatch_samples():
            self._changed.wait(_POLL_SECONDS)

    def _take(
        self, step: StepRecord, cursor: int, version: int, samples: list[dict[str, object]]
    ) -> None:
        now = time.monotonic()
        for sample in samples:
            record = SampleRecord(
                step.step_id,
                cursor,
                sample["task_id"],
                tuple(sample["token_ids"]),
                VersionRange.parse_all(sample["versions"]),
                sample.get("score"),
                version,
                now,
            )
            step.samples.append(record)
            self._arrived.append(record)
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    # Training

    def _minibatch_samples(self) -> int:
        return self.spec.minibatch or self.spec.tasks_per_step

    def _train_step(self) -> bool:
        """Train on a step's worth of samples; return whether there were so many."""
        span = TrainingTime(began=time.monotonic())
        left = self.spec.tasks_per_step
        while left:
            waiting_since = time.monotonic()
            samples = self._next_minibatch(min(left, self._minibatch_samples()))
            if not samples:
                return False
            span.waited_seconds += time.monotonic() - waiting_since
            self._train(samples, span)
            left -= len(samples)
        span.ended = time.monotonic()
        span.steps = 1
        # While no step is begun any more, the trainer waits for the last stragglers alone.
        if self._trained_steps >= self.spec.warm_up_steps and not self._stopping:
            self.time.add(span)
        return True

    def _next_minibatch(self, size: int) -> list[SampleRecord]:
        """Wait for so many samples; return fewer when no more will come."""
        while len(self._arrived) < size and not self._is_exhausted():
            self._changed.wait(_POLL_SECONDS)
        size = min(size, len(self._arrived))
        samples = [self._arrived.popleft() for _ in range(size)]
        self._notify()
        return samples

    def _is_exhausted(self) -> bool:
        no_more = self._stopping or (
            self._begun == len(self._submitted) and self._enough(self._begun)
        )
        return no_more and not self._pullers

    def _train(self, samples: Sequence[SampleRecord], span: TrainingTime) -> None:
        seconds = self.spec.train_ms / 1000.0 * len(samples) / self.spec.tasks_per_step
        span.tokens += sum(len(sample.token_ids) for sample in samples)
        span.staleness.update(max(0, self.version - sample.oldest_version) for sample in samples)
        began = time.monotonic()
        gevent.sleep(seconds)
        span.trained_seconds += time.monotonic() - began
