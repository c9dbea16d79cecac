"""Estimates the number of events that a generation will still produce.

Callers supply an estimate of each generation's tokens. The ratio of events to tokens is learned
from completed generations; a generation that exceeds its estimate is extrapolated from its own
length.
"""

from __future__ import annotations

HALVING_EVENTS = 20_000
"""Totals are halved once they exceed this many events, so that old observations fade."""

DEFAULT_EVENTS = 20.0
"""Expected length of a generation while none has completed."""

OVERRUN_FRACTION = 0.5
"""Least expected remainder of a generation, as a fraction of the events generated so far."""


class LengthEstimates:
    """Learns from completed generations to estimate running and queued ones."""

    def __init__(self) -> None:
        self._events = 0.0
        self._estimated_tokens = 0.0
        self._generations = 0.0

    @property
    def typical_events(self) -> float:
        """Mean length of completed generations, in events; recent ones weigh more."""
        return self._events / self._generations if self._generations else DEFAULT_EVENTS

    def observe(self, estimated_tokens: int, events: int) -> None:
        """Record the length of a completed generation; ignored without an estimate."""
        if estimated_tokens <= 0:
            return
        self._events += events
        self._estimated_tokens += estimated_tokens
        self._generations += 1.0
        if self._events > HALVING_EVENTS:
            self._events /= 2
            self._estimated_tokens /= 2
            self._generations /= 2

    def remaining_events(self, estimated_tokens: int, events: int) -> float:
        """Return the expected number of events still to be generated.

        Args:
            estimated_tokens: the caller's estimate for the whole generation; 0: none.
            events: number generated so far.
        """
        expected = self.typical_events
        if estimated_tokens > 0 and self._estimated_tokens:
            expected = estimated_tokens * self._events / self._estimated_tokens
        return max(expected - events, OVERRUN_FRACTION * events)

    def relative_length(self, estimated_tokens: int, events: int) -> float:
        """Return the expected remaining length as a multiple of a typical generation."""
        return self.remaining_events(estimated_tokens, events) / self.typical_events
