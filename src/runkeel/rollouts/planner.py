"""Chooses what to generate next, and which running work is of no use any more."""

from __future__ import annotations

import statistics
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample import Sample, StepKey
from runkeel.rollouts.staleness_manager import StalenessManager
from runkeel.rollouts.step import Attempt, Step, Task, TaskSpec

_HISTORY_GROUPS = 10_000
_HISTORY_WEIGHT = 0.5


class LengthHistory:
    """Lengths of past samples by model and group; the least recently used are forgotten."""

    def __init__(self) -> None:
        self._lengths: OrderedDict[tuple[str, str], float] = OrderedDict()

    def note(self, sample: Sample, token_count: int) -> None:
        """Take a finished sample into account."""
        key = (sample.step.model, sample.group)
        past = self._lengths.pop(key, float(token_count))
        self._lengths[key] = past + _HISTORY_WEIGHT * (token_count - past)
        while len(self._lengths) > _HISTORY_GROUPS:
            self._lengths.popitem(last=False)

    def expected(self, step: StepKey, task: TaskSpec) -> float:
        """Return the expected length in tokens: the group's past, the hint, or the limit."""
        past = self._lengths.get((step.model, task.group))
        if past is not None:
            return min(past, task.max_tokens)
        return float(task.expected_tokens or task.max_tokens)


@dataclass(frozen=True, slots=True)
class PlannedAttempt:
    """An attempt to start. ``hedge``: the task already has one that runs."""

    step: Step
    task: Task
    hedge: bool = False


class Planner:
    """Orders the work of one node's steps."""

    def __init__(
        self,
        staleness: StalenessManager,
        lengths: LengthHistory,
        options: RolloutOptions,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._staleness = staleness
        self._lengths = lengths
        self._options = options
        self._clock = clock

    def plan(
        self, model: str, steps: list[Step], in_flight: int, room: int
    ) -> list[PlannedAttempt]:
        """Return the attempts to start now for one model.

        Args:
            model: the model.
            steps: its open steps on this node.
            in_flight: generations of the model that this node runs.
            room: how many more samples this node may have open.
        """
        limit = min(self._staleness.capacity(model, in_flight), room)
        if limit <= 0:
            return []
        planned: list[PlannedAttempt] = []
        for step in self._staleness.startable_steps(steps):
            for task in self._startable_tasks(step):
                planned.append(PlannedAttempt(step, task))
                if len(planned) == limit:
                    return planned
        if not planned and self._staleness.engines_idle(model):
            planned.extend(self._hedges(steps))
        return planned[:limit]

    def hopeless_attempts(self, step: Step) -> Iterator[tuple[Task, Attempt]]:
        """Yield running attempts that can't be handed over within the bound any more."""
        newest = self._staleness.newest_version(step)
        model = step.key.model
        for task in step.tasks.values():
            for attempt in list(task.running):
                if self._staleness.attempt_is_hopeless(model, attempt, newest):
                    yield task, attempt

    def hopeless_samples(self, step: Step) -> Iterator[Task]:
        """Yield tasks whose waiting sample can't be handed over any more."""
        newest = self._staleness.newest_version(step)
        for task in step.tasks.values():
            waiting = task.entry is None or task.remake
            if task.sample is None or not waiting:
                continue
            if not self._staleness.is_fresh(task.sample, newest):
                yield task

    def _startable_tasks(self, step: Step) -> Iterator[Task]:
        """Yield tasks without an attempt, in order; a task that is yielded must be started."""
        now = time.monotonic()
        if now - step.planned_at >= self._options.planner_interval_seconds:
            step.planned_at = now
            step.plan = self._order(step)
        while step.plan:
            task = step.plan.pop()
            if task.needs_attempt and task.not_before <= self._clock():
                yield task

    def _order(self, step: Step) -> list[Task]:
        """Return what may start, last first: replacements, then groups, the longest first."""
        now = self._clock()
        tasks = [
            task for task in step.tasks.values() if task.needs_attempt and task.not_before <= now
        ]
        expected = {
            task.spec.task_id: self._lengths.expected(step.key, task.spec) for task in tasks
        }
        longest = _longest_by_group(tasks, expected)
        return sorted(
            tasks,
            key=lambda task: (
                task.remake,
                longest[task.spec.group],
                task.spec.group,
                expected[task.spec.task_id],
            ),
        )

    def _hedges(self, steps: Iterable[Step]) -> Iterator[PlannedAttempt]:
        """Yield the last, unusually slow tasks of steps that the trainer waits for."""
        now = self._clock()
        for step in steps:
            if not step.pulled or not step.durations:
                continue
            unfinished = step.unfinished_tasks()
            if not 0 < len(unfinished) <= self._options.hedge_tasks:
                continue
            slow = statistics.median(step.durations) * self._options.hedge_after_ratio
            for task in unfinished:
                only = task.running[0] if len(task.running) == 1 else None
                if only is not None and only.generating and now - only.started_at > slow:
                    yield PlannedAttempt(step, task, hedge=True)


def _longest_by_group(tasks: Iterable[Task], expected: dict[str, float]) -> dict[str, float]:
    longest: dict[str, float] = {}
    for task in tasks:
        length = expected[task.spec.task_id]
        longest[task.spec.group] = max(length, longest.get(task.spec.group, 0.0))
    return longest
