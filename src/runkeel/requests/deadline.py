"""Deadlines as remaining time on this process's monotonic clock."""

from __future__ import annotations

import time
from dataclasses import dataclass

from runkeel.errors import ErrorCode, not_run

MAXIMUM_DEADLINE_MS = 3_600_000
HOP_MARGIN_MS = 2
"""Taken off at each hop, so that the later hop gives up first and says for certain what it did."""


@dataclass(frozen=True, slots=True)
class Deadline:
    """A point on the monotonic clock, in s."""

    at: float

    @classmethod
    def after_ms(cls, milliseconds: int) -> Deadline:
        """Return the deadline that lies so far ahead."""
        return cls(time.monotonic() + milliseconds / 1_000)

    def remaining_seconds(self) -> float:
        """Return the time left, never negative."""
        return max(0.0, self.at - time.monotonic())

    def hop_ms(self) -> int:
        """Return the time to state to the next hop, at least 1 ms."""
        return max(1, int(self.remaining_seconds() * 1_000) - HOP_MARGIN_MS)

    @property
    def passed(self) -> bool:
        """Whether the time is up."""
        return time.monotonic() >= self.at

    def check(self) -> None:
        """Raise DEADLINE_EXCEEDED (NOT_RUN) if passed; only for a request not sent anywhere."""
        if self.passed:
            raise not_run(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the request ran")


def parse_deadline_ms(text: str | None, default_ms: int) -> int:
    """Return the remaining time that a caller states.

    Raises:
        RunkeelError: BAD_DEADLINE unless it is a positive integer of ASCII digits.
    """
    if text is None:
        return default_ms
    if not (text.isascii() and text.isdigit() and len(text) <= 9) or int(text) == 0:
        raise not_run(ErrorCode.BAD_DEADLINE, "the deadline is no positive number of milliseconds")
    return min(int(text), MAXIMUM_DEADLINE_MS)
