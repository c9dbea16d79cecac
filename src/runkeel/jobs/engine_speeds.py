"""Estimates each engine's generation speed from the events of the items running on it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

HALF_LIFE_SECONDS = 1.0
"""Half-life of the exponential decay of observations.

Long enough that an engine that pauses for some tenths of a second while it processes prompts is not
estimated as slow.
"""

ESTIMATE_TTL_SECONDS = 4.0
"""An estimate expires after this long without a run on the engine."""

MAX_SLOWDOWN = 4.0
"""Upper bound of an engine's slowdown relative to the fastest engine."""

_MIN_EVENTS = 0.5


@dataclass(slots=True)
class _Estimate:
    """Generation time of runs and the events received, both exponentially decayed."""

    run_seconds: float = 0.0
    events: float = 0.0
    updated_at: float = 0.0

    @property
    def seconds_per_event(self) -> float:
        # Without an event, count half of one: the first event takes longer than run_seconds.
        return self.run_seconds / max(_MIN_EVENTS, self.events)


@dataclass(frozen=True, slots=True)
class RunSample:
    """Number of events that one run has received so far; ``run_key`` identifies the run."""

    incarnation: str
    run_key: int
    events: int


class EngineSpeeds:
    """Seconds per event of each engine, over the last few seconds."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}
        self._last_events: dict[int, int] = {}
        self._observed_at = 0.0
        self._fastest = 0.0
        """Seconds per event of the fastest engine, as of the last observation; 0: unknown."""

    def observe(self, samples: Iterable[RunSample], now: float) -> None:
        """Update the estimates with samples of all runs that are generating.

        Args:
            now: steady clock time in seconds.
        """
        elapsed = now - self._observed_at
        self._observed_at = now
        runs: dict[str, int] = {}
        events: dict[str, int] = {}
        seen: dict[int, int] = {}
        for sample in samples:
            seen[sample.run_key] = sample.events
            before = self._last_events.get(sample.run_key)
            if before is None:
                continue
            runs[sample.incarnation] = runs.get(sample.incarnation, 0) + 1
            events[sample.incarnation] = events.get(sample.incarnation, 0) + sample.events - before
        self._last_events = seen
        for incarnation, count in runs.items():
            self._update(incarnation, elapsed * count, events[incarnation], now)
        for incarnation in [
            one
            for one, estimate in self._estimates.items()
            if now - estimate.updated_at > ESTIMATE_TTL_SECONDS
        ]:
            del self._estimates[incarnation]
        known = (one.seconds_per_event for one in self._estimates.values())
        self._fastest = min(known, default=0.0)

    def slowdown(self, incarnation: str) -> float:
        """Return how many times slower an engine is than the fastest one; 1 if unknown."""
        estimate = self._estimates.get(incarnation)
        if estimate is None or self._fastest <= 0:
            return 1.0
        return min(MAX_SLOWDOWN, estimate.seconds_per_event / self._fastest)

    def seconds_per_event(self, incarnation: str) -> float:
        """Return an engine's estimate, bounded by MAX_SLOWDOWN times that of the fastest engine.

        An unknown engine counts as the fastest one; 0 if no engine is known.
        """
        return self._fastest * self.slowdown(incarnation)

    def _update(self, incarnation: str, run_seconds: float, events: int, now: float) -> None:
        estimate = self._estimates.setdefault(incarnation, _Estimate(updated_at=now))
        decay = 0.5 ** ((now - estimate.updated_at) / HALF_LIFE_SECONDS)
        estimate.run_seconds = estimate.run_seconds * decay + run_seconds
        estimate.events = estimate.events * decay + events
        estimate.updated_at = now
