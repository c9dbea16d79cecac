"""Scores samples by the platform's scorers, with limits and retries."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

import gevent
from gevent.lock import BoundedSemaphore

from runkeel.api.interfaces import MachineView
from runkeel.api.machines import Address, Machine, MachineKind, MachineState
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts import metrics
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample import Sample


class ScorerCaller(Protocol):
    """One call to a scorer; see :class:`runkeel.platform.scorers.ScorerClient`."""

    def score(
        self,
        address: Address,
        sample_id: str,
        prompt: str,
        token_ids: Sequence[int],
        timeout_seconds: float,
    ) -> float:
        """Return the score. Raises RunkeelError SCORER_FAILED."""


class SampleScorer:
    """Spreads samples over the scorers of the machine list."""

    def __init__(
        self, machines: MachineView, caller: ScorerCaller, options: RolloutOptions
    ) -> None:
        self._machines = machines
        self._caller = caller
        self._options = options
        self._slots = BoundedSemaphore(options.scoring_concurrency)
        self._in_flight: dict[str, int] = {}
        self._random = random.Random()

    def score(self, sample: Sample, prompt: str) -> Sample:
        """Return the sample with its score.

        Raises:
            RunkeelError: SCORER_FAILED after the last try.
        """
        failed: set[str] = set()
        for number in range(self._options.scoring_attempts):
            if number:
                gevent.sleep(self._backoff(number))
            scorer = self._choose(failed)
            if scorer is None:
                failed.clear()
                continue
            try:
                with self._slots:
                    return replace(sample, score=self._call(scorer, sample, prompt))
            except RunkeelError:
                metrics.SCORER_CALLS.labels("failed").inc()
                failed.add(scorer.machine_id)
        raise RunkeelError(ErrorCode.SCORER_FAILED, "no scorer answered")

    def _call(self, scorer: Machine, sample: Sample, prompt: str) -> float:
        sample_id = sample.digest.hex()
        self._in_flight[scorer.machine_id] = self._in_flight.get(scorer.machine_id, 0) + 1
        try:
            with gevent.Timeout(
                self._options.scoring_timeout_seconds,
                RunkeelError(ErrorCode.SCORER_FAILED, "time-out"),
            ):
                score = self._caller.score(
                    scorer.http,
                    sample_id,
                    prompt,
                    sample.token_ids,
                    self._options.scoring_timeout_seconds,
                )
        finally:
            self._release(scorer.machine_id)
        metrics.SCORER_CALLS.labels("answered").inc()
        return score

    def _release(self, scorer_id: str) -> None:
        remaining = self._in_flight[scorer_id] - 1
        if remaining:
            self._in_flight[scorer_id] = remaining
        else:
            del self._in_flight[scorer_id]

    def _choose(self, failed: set[str]) -> Machine | None:
        """Return the least busy scorer that is not in ``failed`` and has a free slot."""
        limit = self._options.scoring_concurrency_per_scorer
        usable = [
            scorer
            for scorer in self._machines.machines(MachineKind.SCORER)
            if scorer.http is not None
            and scorer.state is MachineState.LIVE
            and scorer.machine_id not in failed
            and self._in_flight.get(scorer.machine_id, 0) < limit
        ]
        if not usable:
            return None
        self._random.shuffle(usable)
        return min(usable, key=lambda scorer: self._in_flight.get(scorer.machine_id, 0))

    def _backoff(self, number: int) -> float:
        longest = min(
            self._options.retry_limit_seconds,
            self._options.retry_base_seconds * 2 ** (number - 1),
        )
        return longest * self._random.uniform(0.5, 1.0)
