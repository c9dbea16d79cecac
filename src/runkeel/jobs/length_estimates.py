"""How many events a generation is still expected to make.

Callers guess the tokens of each generation. How many events a token makes is learnt from the
generations that have ended; how long one runs on that has outlived its guess, from its length.
"""

from __future__ import annotations

FORGET_EVENTS = 20_000
"""Once so many events have been seen, what was seen before counts for half."""

UNKNOWN_EVENTS = 20.0
"""Length that a generation is expected to have while none has ended."""

OUTLIVED_SHARE = 0.5
"""A generation that has outlived its guess is expected to make so large a part of it again."""


class LengthEstimates:
    """Learns from ended generations and estimates those that run or wait."""

    def __init__(self) -> None:
        self._events = 0.0
        self._guessed_tokens = 0.0
        self._generations = 0.0

    @property
    def typical_events(self) -> float:
        """Mean length of an ended generation."""
        return self._events / self._generations if self._generations else UNKNOWN_EVENTS

    def observe(self, guessed_tokens: int, events: int) -> None:
        """Take the length of a generation that has ended."""
        if guessed_tokens <= 0:
            return
        self._events += events
        self._guessed_tokens += guessed_tokens
        self._generations += 1.0
        if self._events > FORGET_EVENTS:
            self._events /= 2
            self._guessed_tokens /= 2
            self._generations /= 2

    def remaining_events(self, guessed_tokens: int, events: int) -> float:
        """Return how many events are still to come.

        Args:
            guessed_tokens: the caller's guess of the whole generation; 0: none.
            events: made so far.
        """
        expected = self.typical_events
        if guessed_tokens > 0 and self._guessed_tokens:
            expected = guessed_tokens * self._events / self._guessed_tokens
        return max(expected - events, OUTLIVED_SHARE * events)

    def relative_length(self, guessed_tokens: int, events: int) -> float:
        """Return what is still to come as a multiple of a typical generation."""
        return self.remaining_events(guessed_tokens, events) / self.typical_events
