"""Budget of retries and hedges, as a fraction of the first attempts.

A token bucket: each first attempt earns a fraction of a token, each further attempt costs one. It
keeps retries from multiplying an overload (the retry budget of the Google SRE book, chapter 22).
"""

from __future__ import annotations

CAPACITY = 100.0
"""Bounds a burst of retries, as after the loss of a peer with many requests under way."""
INITIAL_TOKENS = 50.0


class RetryBudget:
    """Tokens of one pool at one entry node."""

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS

    def earn(self, ratio: float) -> None:
        """Note a first attempt."""
        self._tokens = min(CAPACITY, self._tokens + ratio)

    def spend(self) -> bool:
        """Take a token for a further attempt; return False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
