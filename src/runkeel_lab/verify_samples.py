"""Checks what trainers received against their tasks and the emulated engines' formula."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from runkeel_lab.standins.scorer import expected_score
from runkeel_lab.tokens import expected_length, tokens_match
from runkeel_lab.trainer import Trainer
from runkeel_lab.trainer_client import SampleRecord, StepRecord, Task
from runkeel_lab.violations import Violation, ViolationKind

StalenessBound = Callable[[float], int]
"""Returns the bound (versions) in force at a monotonic time."""


@dataclass(slots=True)
class TrainerFindings:
    """What is wrong with one trainer's samples, and how stale they were.

    Attributes:
        staleness_versions: number of samples by versions behind the trainer.
    """

    violations: list[Violation] = field(default_factory=list)
    staleness_versions: Counter[int] = field(default_factory=Counter)
    samples: int = 0
    tokens: int = 0

    def count(self, kind: ViolationKind) -> int:
        """Return the number of violations of a kind."""
        return sum(violation.kind is kind for violation in self.violations)


def verify_trainer(trainer: Trainer, bound: StalenessBound) -> TrainerFindings:
    """Check all steps of a trainer; a step that never was whole lacks samples."""
    findings = TrainerFindings()
    for step in [*trainer.steps, *trainer.unfinished]:
        tasks = {task.task_id: task for task in step.tasks}
        for sample in step.samples:
            findings.samples += 1
            findings.tokens += len(sample.token_ids)
            findings.violations.extend(
                _check_sample(trainer.spec.model, sample, tasks.get(sample.task_id), bound)
            )
            behind = sample.trainer_version - sample.oldest_version
            findings.staleness_versions[max(0, behind)] += 1
        findings.violations.extend(_check_step(step))
    return findings


def _check_step(step: StepRecord) -> Iterator[Violation]:
    received = Counter(sample.task_id for sample in step.samples)
    for task in step.tasks:
        if received[task.task_id] == 0:
            yield Violation(ViolationKind.SAMPLE_MISSING, task.task_id, step.step_id)
        elif received[task.task_id] > 1:
            detail = f"{step.step_id}: {received[task.task_id]} times"
            yield Violation(ViolationKind.SAMPLE_DUPLICATED, task.task_id, detail)


def _check_sample(
    model: str, sample: SampleRecord, task: Task | None, bound: StalenessBound
) -> Iterator[Violation]:
    if task is None:
        yield Violation(ViolationKind.SAMPLE_FOREIGN, sample.task_id, sample.step_id)
        return
    if len(sample.token_ids) != expected_length(task.prompt, task.max_tokens):
        detail = f"{len(sample.token_ids)} tokens"
        yield Violation(ViolationKind.SAMPLE_INCOMPLETE, sample.task_id, detail)
    if not tokens_match(model, task.prompt, sample.token_ids, sample.versions):
        detail = ", ".join(f"{e.version}:{e.first}+{e.count}" for e in sample.versions)
        yield Violation(ViolationKind.SAMPLE_WRONG_VERSION, sample.task_id, detail)
    behind = sample.trainer_version - sample.oldest_version
    if behind > bound(sample.received):
        detail = f"{behind} versions behind {sample.trainer_version}"
        yield Violation(ViolationKind.SAMPLE_TOO_STALE, sample.task_id, detail)
    if (
        sample.score is None
        or abs(sample.score - expected_score(task.prompt, sample.token_ids)) > 1e-9
    ):
        yield Violation(ViolationKind.SAMPLE_WRONG_SCORE, sample.task_id, str(sample.score))
