"""Samples held in memory until they are released or too old to be of use."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Protocol

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts import metrics
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample import Sample, StepKey


class SampleJournal(Protocol):
    """Where samples are also written down; see :mod:`runkeel.rollouts.sample_log`."""

    def append(self, sample: Sample) -> None:
        """Write a sample down before it is acknowledged."""

    def release(self, digests: Iterable[bytes]) -> None:
        """Note that samples are no longer needed."""


class SampleStore:
    """Samples by step and digest, own ones and copies for other nodes."""

    def __init__(
        self,
        node_id: str,
        options: RolloutOptions,
        journal: SampleJournal | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._options = options
        self._journal = journal
        self._clock = clock
        self._steps: dict[StepKey, dict[bytes, Sample]] = {}
        self._count = 0
        self._bytes = 0
        self._gauge = metrics.SAMPLES_STORED.labels(node_id)

    def __len__(self) -> int:
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether no further sample is taken."""
        return (
            self._count >= self._options.maximum_stored_samples
            or self._bytes >= self._options.maximum_stored_bytes
        )

    def put(self, sample: Sample) -> bool:
        """Hold a sample, and write it down if there is a journal.

        Returns:
            Whether the sample is new here.

        Raises:
            RunkeelError: STORAGE_FULL.
        """
        held = self._steps.get(sample.step)
        if held is not None and sample.digest in held:
            return False
        if self.is_full:
            raise RunkeelError(ErrorCode.STORAGE_FULL, "too many samples are held")
        if self._journal is not None:
            self._journal.append(sample)
        self._insert(sample)
        return True

    def restore(self, samples: Iterable[Sample]) -> None:
        """Hold samples that the journal gave back at start."""
        for sample in samples:
            if not self.is_full and self.get(sample.step, sample.digest) is None:
                self._insert(sample)

    def get(self, step: StepKey, digest: bytes) -> Sample | None:
        """Return a sample, or None."""
        return self._steps.get(step, {}).get(digest)

    def of_step(self, step: StepKey) -> list[Sample]:
        """Return all samples of a step, ordered by digest."""
        held = self._steps.get(step, {})
        return [held[digest] for digest in sorted(held)]

    def release(self, step: StepKey, digests: Iterable[bytes]) -> int:
        """Drop samples and return how many were held."""
        held = self._steps.get(step)
        if held is None:
            return 0
        released = []
        for digest in digests:
            sample = held.pop(digest, None)
            if sample is not None:
                self._count -= 1
                self._bytes -= sample.size
                released.append(digest)
        if not held:
            del self._steps[step]
        if self._journal is not None and released:
            self._journal.release(released)
        self._gauge.set(self._count)
        return len(released)

    def release_step(self, step: StepKey) -> int:
        """Drop all samples of a step."""
        return self.release(step, list(self._steps.get(step, {})))

    def expire(self, maximum_age_seconds: Callable[[str], float]) -> int:
        """Drop samples older than their model's bound: no trainer may get them any more."""
        now = self._clock()
        expired = 0
        for step, held in list(self._steps.items()):
            limit = maximum_age_seconds(step.model)
            old = [digest for digest, sample in held.items() if now - sample.first_token_at > limit]
            expired += self.release(step, old)
        return expired

    def _insert(self, sample: Sample) -> None:
        self._steps.setdefault(sample.step, {})[sample.digest] = sample
        self._count += 1
        self._bytes += sample.size
        self._gauge.set(self._count)
