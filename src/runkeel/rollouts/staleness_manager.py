"""The one place that decides what is too old and how much may run.

The role is that of AReaL's staleness manager (Fu et al., "AReaL: A Large-Scale Asynchronous
Reinforcement Learning System", 2025): the bound on staleness and the counts of samples that
run or wait decide together whether more work may start.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from runkeel.api.configuration import DeliveryPreference, ModelSpec
from runkeel.api.interfaces import Configuration, Membership
from runkeel.rollouts.capacity import RecentMaximum, total_busy, total_slots
from runkeel.rollouts.lookahead import LookaheadHistory
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample import Sample
from runkeel.rollouts.step import Attempt, Step

_DEFAULT_SPEC = ModelSpec()
_TAIL_FRACTION = 0.1
_IDLE_FRACTION = 0.5
_OWN_LOAD = 1.2
"""Work that a node aims at, as a multiple of the pool's slots: a short queue, so that a slot that
falls free is filled at once whichever engine it is at. Samples take their version when an engine
begins them, so that waiting there makes them no staler."""
_LOAD_OF_OTHERS = 1.0
"""Work of other nodes, as a multiple of the slots, that may wait in queues beside this node's."""
_GENERATION_VERSIONS = 1
"""Versions that may pass while a sample waits in the queue and is generated."""


class StalenessManager:
    """Checks samples against the operator's bound and limits the work in flight."""

    def __init__(
        self,
        configuration: Configuration,
        membership: Membership,
        options: RolloutOptions,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._options = options
        self._clock = clock
        self._wall_clock = wall_clock
        self._lookahead = LookaheadHistory()
        self._in_flight: dict[str, RecentMaximum] = {}

    def spec(self, model: str) -> ModelSpec:
        """Return the model's configuration in force."""
        return self._configuration.model(model) or _DEFAULT_SPEC

    def longest_age(self, model: str) -> float:
        """Return the age past which a sample of the model is of no use, in s."""
        return self.spec(model).max_staleness_seconds

    def is_fresh(self, sample: Sample, trainer_version: int) -> bool:
        """Return whether a sample may be handed to a trainer at that version, now."""
        spec = self.spec(sample.step.model)
        if trainer_version - sample.oldest_version > spec.max_staleness_versions:
            return False
        age = sample.age_seconds(self._clock(), self._wall_clock())
        return age <= spec.max_staleness_seconds

    def newest_version(self, step: Step) -> int:
        """Return a lower bound of the version that the trainer will state next.

        An engine can only run what the trainer has published, so the newest version in the
        pool counts beside the one that the trainer stated last.
        """
        summaries = self._membership.pool_summaries(step.key.model)
        deployed = max((summary.maximum_version for summary in summaries), default=0)
        return max(step.trainer_version, deployed)

    def minimum_version(self, step: Step) -> int:
        """Return the oldest weights with which a generation is worth starting."""
        spec = self.spec(step.key.model)
        return max(0, step.trainer_version - spec.max_staleness_versions)

    def attempt_is_hopeless(self, model: str, attempt: Attempt, newest_version: int) -> bool:
        """Return whether a running attempt can no longer be handed over within the bound."""
        if attempt.oldest_version is None or attempt.first_token_at is None:
            return False
        spec = self.spec(model)
        if newest_version - attempt.oldest_version > spec.max_staleness_versions:
            return True
        return self._clock() - attempt.first_token_at > spec.max_staleness_seconds

    def capacity(self, model: str, in_flight_here: int) -> int:
        """Return how many more generations this node may start for the model.

        Alone, a node fills the pool. Beside others it still may, up to a queue of bounded length:
        a step that ends elsewhere frees its slots long before the summaries say so.
        """
        summaries = self._membership.pool_summaries(model)
        recent = self._in_flight.setdefault(model, RecentMaximum())
        # The summaries lag: they may still count what has finished here since. Without the
        # maximum, finished work would pass for that of others, and engines would idle.
        counted_here = recent.note(self._clock(), in_flight_here)
        others = max(0, total_busy(summaries) - counted_here)
        slots = total_slots(summaries)
        alone, shared = int(slots * _OWN_LOAD), int(slots * (_OWN_LOAD + _LOAD_OF_OTHERS))
        allowed = max(self._options.minimum_in_flight, min(alone, shared - others))
        return max(0, allowed - in_flight_here)

    def engines_idle(self, model: str) -> bool:
        """Return whether most slots of the model's engines are free."""
        summaries = self._membership.pool_summaries(model)
        return total_busy(summaries) < total_slots(summaries) * _IDLE_FRACTION

    def note_first_pull(self, step: Step, trainer_version: int) -> None:
        """Learn how many versions the step was submitted ahead."""
        versions = max(0, trainer_version - step.submitted_version)
        self._lookahead.note(step.key.model, versions)

    def _is_due(self, step: Step) -> bool:
        """Return whether samples made now are likely to be within the bound at the first pull."""
        bound = self.spec(step.key.model).max_staleness_versions
        allowed = bound - min(_GENERATION_VERSIONS, bound // 2)
        passed = self.newest_version(step) - step.submitted_version
        return self._lookahead.expected(step.key.model) - passed <= allowed

    def startable_steps(self, steps: list[Step]) -> list[Step]:
        """Return the steps of one model whose tasks may start now, most urgent first.

        Steps that the trainer pulls come first. Steps submitted ahead fill what is left: all
        whose samples can be expected to be within the bound when idle time matters most, else
        one, while the present step is in its tail, or absent, and engines would idle.
        """
        pulled = [step for step in steps if step.pulled and not step.finished]
        ahead = [step for step in steps if not step.pulled]
        pulled.sort(key=lambda step: step.submitted_at)
        ahead.sort(key=lambda step: step.submitted_at)
        if not ahead:
            return pulled
        spec = self.spec(ahead[0].key.model)
        if spec.prefer is DeliveryPreference.IDLE_TIME:
            return pulled + [step for step in ahead if self._is_due(step)]
        in_tail = all(_in_tail(step) for step in pulled)
        if in_tail and self.engines_idle(ahead[0].key.model):
            return pulled + ahead[:1]
        return pulled


def _in_tail(step: Step) -> bool:
    return len(step.unfinished_tasks()) <= len(step.tasks) * _TAIL_FRACTION
