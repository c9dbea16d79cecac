"""Seeded random processes: arrivals and lengths."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from pydantic import BaseModel, ConfigDict, Field


class LengthDistribution(BaseModel):
    """Lognormal lengths with a heavy tail.

    A fraction of ``tail_fraction`` is ``tail_factor`` times the median; the rest is lognormal.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    median: float = Field(32.0, gt=0)
    sigma: float = Field(0.5, ge=0)
    tail_fraction: float = Field(0.01, ge=0, le=1)
    tail_factor: float = Field(20.0, ge=1)

    def draw(self, random_source: random.Random) -> float:
        """Draw one length, above 0."""
        if random_source.random() < self.tail_fraction:
            return self.median * self.tail_factor
        return random_source.lognormvariate(math.log(self.median), self.sigma)

    def draw_count(self, random_source: random.Random, maximum: int) -> int:
        """Draw one length as a whole number from 1 to ``maximum``."""
        return max(1, min(maximum, round(self.draw(random_source))))


def poisson_arrivals(
    random_source: random.Random, rate_per_second: float, seconds: float
) -> Iterator[float]:
    """Yield arrival times of a Poisson process, in s from its start."""
    if rate_per_second <= 0:
        return
    now = random_source.expovariate(rate_per_second)
    while now < seconds:
        yield now
        now += random_source.expovariate(rate_per_second)
