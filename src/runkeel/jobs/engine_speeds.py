"""How fast each engine generates, estimated from the events of the items that run on it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SMOOTHING = 0.5
FORGET_SECONDS = 4.0
"""An estimate is dropped after so long without an item on the engine."""

LARGEST_SLOWNESS = 4.0


@dataclass(slots=True)
class _Estimate:
    seconds_per_event: float
    updated_at: float


@dataclass(frozen=True, slots=True)
class RunSample:
    """Events that one run has received so far; ``run_key`` tells runs apart."""

    backend_id: str
    run_key: int
    events: int


class EngineSpeeds:
    """Seconds per event of each engine, smoothed over recent observations."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}
        self._seen: dict[int, int] = {}
        self._observed_at = 0.0

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
            runs[sample.backend_id] = runs.get(sample.backend_id, 0) + 1
            events[sample.backend_id] = events.get(sample.backend_id, 0) + sample.events - before
        self._seen = seen
        for backend_id, count in runs.items():
            # Without any event the true value is unknown but larger than what one event shows.
            seconds = elapsed * count / max(1, events[backend_id])
            self._update(backend_id, seconds, now)
        for backend_id in [
            one
            for one, estimate in self._estimates.items()
            if now - estimate.updated_at > FORGET_SECONDS
        ]:
            del self._estimates[backend_id]

    def slowness(self, backend_id: str) -> float:
        """Return how many times slower an engine is than the fastest one; 1 when unknown."""
        estimate = self._estimates.get(backend_id)
        if estimate is None:
            return 1.0
        fastest = min(one.seconds_per_event for one in self._estimates.values())
        if fastest <= 0:
            return 1.0
        return min(LARGEST_SLOWNESS, estimate.seconds_per_event / fastest)

    def seconds_per_event(self, backend_id: str) -> float:
        """Return an engine's estimate; the fastest one's when unknown, 0 when none is known."""
        estimate = self._estimates.get(backend_id)
        if estimate is not None:
            return estimate.seconds_per_event
        return min((one.seconds_per_event for one in self._estimates.values()), default=0.0)

    def _update(self, backend_id: str, seconds: float, now: float) -> None:
        estimate = self._estimates.get(backend_id)
        if estimate is None:
            self._estimates[backend_id] = _Estimate(seconds, now)
            return
        estimate.seconds_per_event += SMOOTHING * (seconds - estimate.seconds_per_event)
        estimate.updated_at = now
