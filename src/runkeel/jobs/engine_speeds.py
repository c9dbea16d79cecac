"""How fast each engine generates, estimated from the events of the items that run on it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

HALF_LIFE_SECONDS = 1.0
"""What was observed so long ago counts for half.

An engine that reads many prompts at once stands still for a few tenths of a second; an estimate
over a shorter time would take it for a slow one.
"""

FORGET_SECONDS = 4.0
"""An estimate is dropped after so long without an item on the engine."""

LARGEST_SLOWNESS = 4.0
"""An engine counts as at most so many times slower than the fastest, where items are placed.

Chosen, not measured.
"""

_LEAST_EVENTS = 0.5


@dataclass(slots=True)
class _Estimate:
    """Seconds that runs have generated for and the events that came of it, both fading."""

    run_seconds: float = 0.0
    events: float = 0.0
    updated_at: float = 0.0

    @property
    def seconds_per_event(self) -> float:
        # Without any event the true value is unknown but larger than what one event shows.
        return self.run_seconds / max(_LEAST_EVENTS, self.events)


@dataclass(frozen=True, slots=True)
class RunSample:
    """Events that one run has received so far; ``run_key`` tells runs apart."""

    incarnation: str
    run_key: int
    events: int


class EngineSpeeds:
    """Seconds per event of each engine, over the last seconds."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}
        self._seen: dict[int, int] = {}
        self._observed_at = 0.0
        self._fastest = 0.0
        """Seconds per event of the fastest engine, as of the last observation; 0: unknown."""

    def observe(self, samples: Iterable[RunSample], now: float) -> None:
        """Take the events received by all runs that are generating undisturbed."""
        elapsed = now - self._observed_at
        self._observed_at = now
        runs: dict[str, int] = {}
        events: dict[str, int] = {}
        seen: dict[int, int] = {}
        for sample in samples:
            seen[sample.run_key] = sample.events
            before = self._seen.get(sample.run_key)
            if before is None:
                continue
            runs[sample.incarnation] = runs.get(sample.incarnation, 0) + 1
            events[sample.incarnation] = events.get(sample.incarnation, 0) + sample.events - before
        self._seen = seen
        for incarnation, count in runs.items():
            self._update(incarnation, elapsed * count, events[incarnation], now)
        for incarnation in [
            one
            for one, estimate in self._estimates.items()
            if now - estimate.updated_at > FORGET_SECONDS
        ]:
            del self._estimates[incarnation]
        known = (one.seconds_per_event for one in self._estimates.values())
        self._fastest = min(known, default=0.0)

    def slowness(self, incarnation: str) -> float:
        """Return how many times slower an engine is than the fastest one; 1 when unknown."""
        estimate = self._estimates.get(incarnation)
        if estimate is None or self._fastest <= 0:
            return 1.0
        return min(LARGEST_SLOWNESS, estimate.seconds_per_event / self._fastest)

    def seconds_per_event(self, incarnation: str) -> float:
        """Return an engine's estimate; the fastest one's when unknown, 0 when none is known."""
        return self._fastest * self.slowness(incarnation)

    def _update(self, incarnation: str, run_seconds: float, events: int, now: float) -> None:
        estimate = self._estimates.setdefault(incarnation, _Estimate(updated_at=now))
        faded = 0.5 ** ((now - estimate.updated_at) / HALF_LIFE_SECONDS)
        estimate.run_seconds = estimate.run_seconds * faded + run_seconds
        estimate.events = estimate.events * faded + events
        estimate.updated_at = now
