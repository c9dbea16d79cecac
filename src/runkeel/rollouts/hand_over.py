"""Answers a trainer's pulls from a step's delivery record."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts import metrics
from runkeel.rollouts.delivery import DeliveryEntry, DeliveryLog, ManifestItem, manifest_item
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.replication import SampleReplicator
from runkeel.rollouts.sample import Sample
from runkeel.rollouts.staleness_manager import StalenessManager
from runkeel.rollouts.step import Step, Task, cancel_attempts

_LOCK_PATIENCE_RATIO = 4


@dataclass(frozen=True, slots=True)
class Pull:
    """A trainer's request for the samples at a cursor.

    Attributes:
        trainer_version: the version that the trainer is at now.
    """

    cursor: int
    trainer_version: int
    wait_seconds: float
    maximum_samples: int


@dataclass(frozen=True, slots=True)
class Batch:
    """The samples of a decided entry. ``last``: no entry follows."""

    cursor: int
    samples: tuple[Sample, ...]
    last: bool


class StepDelivery:
    """Hands over the samples of one step."""

    def __init__(
        self,
        step: Step,
        log: DeliveryLog,
        replicator: SampleReplicator,
        staleness: StalenessManager,
        options: RolloutOptions,
        wake_planner: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._step = step
        self._log = log
        self._replicator = replicator
        self._staleness = staleness
        self._options = options
        self._wake_planner = wake_planner
        self._clock = clock

    def recover(self) -> int:
        """Learn the decided entries; return the number of tasks in them. Raises RunkeelError."""
        with self._locked():
            self._learn()
            return sum(task.entry is not None for task in self._step.tasks.values())

    def pull(self, pull: Pull) -> Batch | None:
        """Return the batch at a cursor; None when nothing is ready within the wait.

        Raises:
            RunkeelError: BAD_CURSOR, RECORDS_UNAVAILABLE, UNKNOWN_STEP (closed meanwhile).
        """
        if not self._step.pulled:
            self._staleness.note_first_pull(self._step, pull.trainer_version)
        self._step.state_version(pull.trainer_version, self._clock())
        with self._locked():
            self._open_cursor(pull.cursor)
        self._wake_planner()
        deadline = time.monotonic() + pull.wait_seconds
        linger_until: float | None = None
        learnt = False
        while True:
            changed = self._step.change_event()
            if self._step.successor is not None:
                return None
            self._check_open()
            now = time.monotonic()
            if linger_until is None and self._step.ready_tasks():
                linger_until = now + self._options.batch_linger_seconds
            patience_is_over = now >= deadline or (linger_until is not None and now >= linger_until)
            with self._locked():
                batch = self._try_batch(pull, patience_is_over)
            if batch is not None:
                return batch
            if not learnt:
                # Nothing to propose: another owner may have decided this entry already.
                learnt = True
                with self._locked():
                    if self._learn():
                        continue
            if now >= deadline:
                return None
            until = deadline if linger_until is None or patience_is_over else linger_until
            changed.wait(max(0.0, min(deadline, until) - time.monotonic()))

    @contextmanager
    def _locked(self) -> Iterator[None]:
        patience = self._options.records_timeout_seconds * _LOCK_PATIENCE_RATIO
        if not self._step.lock.acquire(blocking=patience > 0, timeout=patience or None):
            raise RunkeelError(ErrorCode.RECORDS_UNAVAILABLE, "the step is being worked on")
        try:
            yield
        finally:
            self._step.lock.release()

    def _check_open(self) -> None:
        if self._step.closed:
            raise RunkeelError(ErrorCode.UNKNOWN_STEP, self._step.key.step_id)

    def _open_cursor(self, cursor: int) -> None:
        """Check the cursor, confirm what lies before it and learn what others have decided."""
        if cursor < self._step.confirmed_cursors:
            raise RunkeelError(ErrorCode.BAD_CURSOR, f"cursor {cursor} was confirmed")
        if cursor > self._log.next_cursor:
            self._learn()
        if cursor > self._log.next_cursor:
            skipped = self._log.skip_to(cursor)
            for task_id in skipped:
                self._step.enter(self._step.tasks[task_id], cursor - 1)
            self._release((), skipped)
        if cursor > self._log.next_cursor:
            raise RunkeelError(
                ErrorCode.BAD_CURSOR, f"cursor {cursor} lies behind {self._log.next_cursor}"
            )
        if cursor < self._log.next_cursor:
            # Asked again: another owner may have replaced samples of this entry.
            self._log.learn_revisions(cursor)
        self._confirm(cursor)

    def _learn(self) -> bool:
        """Learn the entries that others have decided; return whether there were any."""
        entries = self._log.learn()
        for entry in entries:
            self._enter(entry)
        return bool(entries)

    def _confirm(self, cursor: int) -> None:
        for confirmed in range(self._step.confirmed_cursors, cursor):
            entry = self._log.compact(confirmed)
            if entry is not None:
                self._release(entry.items, [item.task_id for item in entry.items])
        self._step.confirmed_cursors = cursor
        if self._log.is_complete and cursor == self._log.next_cursor:
            self._step.finished = True

    def _release(self, items: Iterable[ManifestItem], task_ids: Iterable[str]) -> None:
        """Drop all copies of confirmed samples, and what else was made for their tasks."""
        digests: dict[str, list[bytes]] = {}
        copies = [(item.digest, item.holders) for item in items]
        for task_id in task_ids:
            task = self._step.tasks[task_id]
            task.confirmed = True
            task.remake = False
            cancel_attempts(task)
            if task.sample is not None:
                copies.append((task.sample.digest, task.holders))
            self._step.take_sample(task)
        for digest, holders in copies:
            for node_id in {*holders, self._replicator.node_id}:
                digests.setdefault(node_id, []).append(digest)
        self._replicator.release_later(self._step.key, digests)

    def _try_batch(self, pull: Pull, patience_is_over: bool) -> Batch | None:
        if pull.cursor < self._step.confirmed_cursors:
            raise RunkeelError(ErrorCode.BAD_CURSOR, f"cursor {pull.cursor} was confirmed")
        if pull.cursor < self._log.next_cursor:
            return self._serve(pull)
        if self._log.is_complete:
            return Batch(pull.cursor, (), last=True)
        chosen = self._choose(pull, patience_is_over)
        if not chosen:
            return None
        items = [manifest_item(task.sample, task.holders) for task in chosen if task.sample]
        self._enter(self._log.decide_next(items))
        return self._serve(pull)

    def _choose(self, pull: Pull, patience_is_over: bool) -> list[Task]:
        """Return the tasks of the next entry: fresh samples, as many as fit."""
        limit = min(pull.maximum_samples, self._options.maximum_batch_samples)
        chosen: list[Task] = []
        size = 0
        for task in self._step.ready_tasks():
            sample = task.sample
            if sample is None or not self._check_fresh(task, pull.trainer_version):
                continue
            if len(chosen) == limit:
                break
            if chosen and size + sample.size > self._options.maximum_batch_bytes:
                return chosen
            chosen.append(task)
            size += sample.size
        enough = min(limit, self._step.undelivered_count())
        return chosen if len(chosen) >= enough or patience_is_over else []

    def _check_fresh(self, task: Task, trainer_version: int) -> bool:
        if self._staleness.is_fresh(task.sample, trainer_version):
            return True
        drop_sample(self._step, task, self._replicator, "too_stale")
        self._wake_planner()
        return False

    def _enter(self, entry: DeliveryEntry) -> None:
        """Note that the entry's tasks are spoken for; what still runs for them is of no use."""
        for item in entry.items:
            task = self._step.tasks[item.task_id]
            self._step.enter(task, entry.cursor)
            task.remake = False
            cancel_attempts(task)
        self._step.notify()

    def _serve(self, pull: Pull) -> Batch | None:
        """Return the samples of a decided entry, after replacing those that can't be sent."""
        while True:
            entry = self._log.entry(pull.cursor)
            if entry is None:
                raise RunkeelError(ErrorCode.BAD_CURSOR, f"cursor {pull.cursor} was confirmed")
            samples: list[Sample] = []
            items: list[ManifestItem] = []
            complete = True
            fetched = self._fetch(entry)
            for item in entry.items:
                sample, replacement = self._sample_of(
                    item, fetched.get(item.digest), pull.trainer_version
                )
                complete = complete and sample is not None
                if sample is not None:
                    samples.append(sample)
                    items.append(replacement)
            if not complete:
                self._wake_planner()
                return None
            if tuple(items) != entry.items:
                self._log.decide_revision(pull.cursor, items)
                continue
            if all(self._staleness.is_fresh(sample, pull.trainer_version) for sample in samples):
                return self._hand_over(pull, samples)

    def _fetch(self, entry: DeliveryEntry) -> dict[bytes, Sample]:
        """Return the entry's samples that can be had, by digest."""
        found: dict[bytes, Sample] = {}
        holders: dict[bytes, tuple[str, ...]] = {}
        for item in entry.items:
            sample = self._step.tasks[item.task_id].sample
            if sample is not None and sample.digest == item.digest:
                found[item.digest] = sample
            else:
                holders[item.digest] = item.holders
        return found | self._replicator.fetch(self._step.key, holders)

    def _sample_of(
        self, item: ManifestItem, sample: Sample | None, trainer_version: int
    ) -> tuple[Sample | None, ManifestItem]:
        """Return the item's sample, or another one of the task if it is lost or too old.

        Without a usable sample the task is marked to be made again.
        """
        task = self._step.tasks[item.task_id]
        if sample is not None and self._staleness.is_fresh(sample, trainer_version):
            return sample, item
        candidate = task.sample
        if candidate is not None and candidate.digest == item.digest:
            candidate = None
        if candidate is not None and self._staleness.is_fresh(candidate, trainer_version):
            return candidate, manifest_item(candidate, task.holders)
        reason = "lost" if sample is None else "too_stale"
        if task.sample is not None or not task.remake:
            drop_sample(self._step, task, self._replicator, reason)
        task.remake = True
        return None, item

    def _hand_over(self, pull: Pull, samples: list[Sample]) -> Batch:
        model = self._step.key.model
        metrics.SAMPLES_HANDED_OVER.labels(model).inc(len(samples))
        staleness = metrics.STALENESS_VERSIONS.labels(model)
        for sample in samples:
            staleness.observe(max(0, pull.trainer_version - sample.oldest_version))
        last = self._log.is_complete and pull.cursor == self._log.next_cursor - 1
        return Batch(pull.cursor, tuple(samples), last)


def drop_sample(step: Step, task: Task, replicator: SampleReplicator, reason: str) -> None:
    """Drop a task's sample, so that it is made again, and count the reason."""
    metrics.SAMPLES_DROPPED.labels(step.key.model, reason).inc()
    sample = step.take_sample(task)
    if sample is None:
        return
    holders = {node_id: [sample.digest] for node_id in task.holders}
    replicator.release_later(step.key, holders)
