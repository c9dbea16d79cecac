"""Placement that does not look at load: baselines to measure the real placement against.

Both weight candidates by their slots, which are capacity, not load. Without weights an owner of one
back end would get as much as an owner of three, and a comparison would show only that.
"""

from __future__ import annotations

import random
from collections.abc import Hashable, Mapping
from typing import Protocol

from runkeel.api.placement import PlacementPolicy


class Baseline(Protocol):
    """Chooses among candidates by their weights alone."""

    def choose(self, pool: Hashable, weights: Mapping[str, int]) -> str:
        """Return the id of one candidate.

        Args:
            weights: slots by candidate id; at least one, all above 0.
        """


class RandomBaseline:
    """Independent random choices."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator

    def choose(self, pool: Hashable, weights: Mapping[str, int]) -> str:
        """See :class:`Baseline`."""
        return self._random.choices(list(weights), list(weights.values()))[0]


class RoundRobinBaseline:
    """Smooth weighted round robin.

    Each turn every candidate earns its weight, and the one with most credit pays the sum of all.
    Candidates that are missing from a turn lose their credit, so the state stays bounded.
    """

    def __init__(self) -> None:
        self._credits: dict[Hashable, dict[str, int]] = {}

    def choose(self, pool: Hashable, weights: Mapping[str, int]) -> str:
        """See :class:`Baseline`."""
        before = self._credits.get(pool, {})
        credits = {key: before.get(key, 0) + weight for key, weight in weights.items()}
        chosen = max(sorted(credits), key=credits.__getitem__)
        credits[chosen] -= sum(weights.values())
        self._credits[pool] = credits
        return chosen


def make_baseline(policy: PlacementPolicy, generator: random.Random) -> Baseline | None:
    """Return the policy's baseline, or None for the real placement."""
    match policy:
        case PlacementPolicy.ROUND_ROBIN:
            return RoundRobinBaseline()
        case PlacementPolicy.RANDOM:
            return RandomBaseline(generator)
        case PlacementPolicy.LEAST_LOADED:
            return None
