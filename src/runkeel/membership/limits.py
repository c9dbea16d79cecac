"""A token bucket that bounds how often something may be done."""

from __future__ import annotations


class TokenBucket:
    """Grants ``rate`` tokens a second, and up to ``burst`` at once."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0

    def take(self, now: float, tokens: float = 1.0) -> bool:
        """Take tokens if there are enough; ``now`` is monotonic seconds."""
        gained = max(0.0, now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True
