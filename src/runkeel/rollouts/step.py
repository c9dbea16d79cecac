"""Steps and tasks as their owner keeps them in memory."""

from __future__ import annotations

import hashlib
import math
import struct
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from runkeel.rollouts.sample import Sample, StepKey


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task as the trainer submitted it.

    Attributes:
        group: tasks that the trainer compares with each other.
        expected_tokens: the trainer's guess of the length; 0 for none.
    """

    task_id: str
    group: str
    prompt: str
    max_tokens: int
    expected_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Submission:
    """A step as a trainer submits it, or as an earlier owner passes it on.

    Attributes:
        running: tasks that the earlier owner still works on; it sends their samples.
        running_seconds: for how long it may do so.
    """

    key: StepKey
    tasks: tuple[TaskSpec, ...]
    trainer_version: int
    running: tuple[str, ...] = ()
    running_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class SubmissionResult:
    """Counts of a step's tasks after its submission."""

    tasks: int
    delivered: int
    adopted: int


@dataclass(eq=False, slots=True)
class Attempt:
    """One try to make the sample of a task.

    Attributes:
        generating: whether it occupies an engine, as opposed to being scored or replicated.
        oldest_version: lowest version reported so far; None before the first token.
        first_token_at: monotonic clock, in s; None before the first token.
        token_count: tokens so far.
        checkpointed: tokens in the last checkpoint.
        progress: the generator's tokens and versions so far.
    """

    number: int
    started_at: float
    generating: bool = True
    oldest_version: int | None = None
    first_token_at: float | None = None
    token_count: int = 0
    checkpointed: int = 0
    progress: Any = None
    greenlet: gevent.Greenlet | None = None


@dataclass(eq=False, slots=True)
class Task:
    """A task and what has become of it.

    Attributes:
        sample: finished sample that may be handed over.
        holders: nodes with a copy of ``sample``.
        entry: cursor of the delivery entry that names this task.
        confirmed: whether the trainer has confirmed that entry.
        remake: whether the sample that the entry names must be replaced.
        failures: consecutive failed attempts.
        not_before: monotonic time before which no new attempt starts.
        checkpoint: unfinished sample from which the next attempt goes on.
        left_to_other: whether the step's earlier owner still works on it.
    """

    spec: TaskSpec
    attempts: int = 0
    running: list[Attempt] = field(default_factory=list)
    sample: Sample | None = None
    holders: tuple[str, ...] = ()
    entry: int | None = None
    confirmed: bool = False
    remake: bool = False
    failures: int = 0
    not_before: float = 0.0
    left_to_other: bool = False
    checkpoint: Sample | None = None

    @property
    def needs_attempt(self) -> bool:
        """Whether a sample must be made and nothing is making it."""
        if self.confirmed or self.running or self.sample is not None:
            return False
        return self.entry is None or self.remake


def step_digest(tasks: Iterable[TaskSpec]) -> bytes:
    """Return the digest that tells whether two submissions are the same step."""
    content = hashlib.blake2b(digest_size=16)
    for task in tasks:
        for text in (task.task_id, task.group, task.prompt):
            encoded = text.encode()
            content.update(struct.pack("<I", len(encoded)) + encoded)
        content.update(struct.pack("<ii", task.max_tokens, task.expected_tokens))
    return content.digest()


class Step:
    """An open step of this node.

    Attributes:
        size: characters of the prompts.
        submitted_version: version that the trainer stated when it submitted the step here.
        trainer_version: latest version that the trainer stated for this step.
        pulled: whether the trainer has asked for samples, so that the step is its present one.
        confirmed_cursors: entries below this cursor are confirmed.
        moving: whether it is being passed on to another owner.
        successor: the node that it was passed on to; what is still made here goes there.
        foreign_since: since when another node should own it; None if this one should.
        plan: unstarted tasks, the next one last; see Planner.
        planned_at: when the plan was made.
        lock: held while entries are learnt, decided or assembled.
    """

    def __init__(
        self, key: StepKey, tasks: Iterable[TaskSpec], trainer_version: int, now: float
    ) -> None:
        specs = list(tasks)
        self.key = key
        self.digest = step_digest(specs)
        self.tasks: dict[str, Task] = {spec.task_id: Task(spec) for spec in specs}
        self.size = sum(len(spec.prompt) for spec in specs)
        self.submitted_version = trainer_version
        self.trainer_version = trainer_version
        self.pulled = False
        self.confirmed_cursors = 0
        self.finished = False
        self.closed = False
        self.moving = False
        self.successor: str | None = None
        self.foreign_since: float | None = None
        self.submitted_at = now
        self.last_used_at = now
        self.durations: list[float] = []
        self.lock = BoundedSemaphore(1)
        self.plan: list[Task] = []
        self.planned_at = -math.inf
        self._changed = Event()
        self._ready: dict[str, Task] = {}
        self._unfinished: dict[str, Task] = dict(self.tasks)
        self._unfinished_in_group = Counter(spec.group for spec in specs)
        self._samples = 0

    def submission(self, running_seconds: float) -> Submission:
        """Return the submission that passes this step on while its attempts run to their end."""
        specs = tuple(task.spec for task in self.tasks.values())
        running = tuple(task_id for task_id, task in self.tasks.items() if task.running)
        return Submission(self.key, specs, self.trainer_version, running, running_seconds)

    def notify(self) -> None:
        """Wake those that wait for a change."""
        changed = self._changed
        self._changed = Event()
        changed.set()

    def change_event(self) -> Event:
        """Return an event that the next change sets."""
        return self._changed

    def state_version(self, version: int, now: float) -> None:
        """Note the version that the trainer states in a pull."""
        self.trainer_version = version
        self.pulled = True
        self.last_used_at = now

    def set_sample(self, task: Task, sample: Sample, holders: tuple[str, ...]) -> None:
        """Give a task a sample that may be handed over."""
        self._samples += task.sample is None
        task.sample = sample
        task.holders = holders
        task.failures = 0
        self._classify(task)

    def take_sample(self, task: Task) -> Sample | None:
        """Take a task's sample away and return it."""
        sample, task.sample = task.sample, None
        self._samples -= sample is not None
        self._classify(task)
        return sample

    def enter(self, task: Task, cursor: int) -> None:
        """Note that a decided entry names the task."""
        task.entry = cursor
        self._classify(task)

    def ready_tasks(self) -> list[Task]:
        """Return the tasks with a sample to hand over, whole groups first."""
        return sorted(
            self._ready.values(),
            key=lambda task: (self._unfinished_in_group[task.spec.group] > 0, task.spec.group),
        )

    def unfinished_tasks(self) -> Collection[Task]:
        """Return the tasks that have no sample and stand in no entry."""
        return self._unfinished.values()

    def undelivered_count(self) -> int:
        """Return how many tasks stand in no entry."""
        return len(self._ready) + len(self._unfinished)

    def sample_count(self) -> int:
        """Return how many tasks have a sample."""
        return self._samples

    def _classify(self, task: Task) -> None:
        """Keep the index of ready and unfinished tasks in line with a changed task."""
        task_id, group = task.spec.task_id, task.spec.group
        self._ready.pop(task_id, None)
        if self._unfinished.pop(task_id, None) is not None:
            self._unfinished_in_group[group] -= 1
        if task.entry is not None:
            return
        if task.sample is not None:
            self._ready[task_id] = task
        else:
            self._unfinished[task_id] = task
            self._unfinished_in_group[group] += 1

    def close(self) -> None:
        """Cancel all attempts and wake those that wait."""
        self.closed = True
        for task in self.tasks.values():
            cancel_attempts(task)
        self.notify()


def cancel_attempts(task: Task) -> None:
    """Cancel the task's attempts."""
    for attempt in task.running:
        if attempt.greenlet is not None and attempt.greenlet is not gevent.getcurrent():
            attempt.greenlet.kill(block=False)
    task.running.clear()
