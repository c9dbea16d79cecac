"""Ejection of back ends that fail again and again, with a slow return.

The scheme is that of consecutive-failure outlier detection: the ejection time doubles with each
ejection, and a returning back end gets a share of its slots that grows over some seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from loguru import logger

from runkeel.requests.metrics import EJECTIONS

FAILURES_TO_EJECT = 3
BASE_EJECTION_SECONDS = 1.0
MAXIMUM_EJECTION_SECONDS = 30.0
RETURN_SECONDS = 3.0
FIRST_RETURN_SHARE = 0.1


@dataclass(slots=True)
class OutlierState:
    """Health of one back end as its owner's own requests saw it. Times are monotonic."""

    backend_id: str
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    returned_at: float = 0.0

    def record_success(self, now: float) -> None:
        """Note a whole answer."""
        self.consecutive_failures = 0
        if self.ejections and now - self.returned_at > RETURN_SECONDS:
            self.ejections = 0

    def record_failure(self, now: float) -> None:
        """Note a failed connection or a cut answer; eject after some in a row."""
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_TO_EJECT or self.is_ejected(now):
            return
        seconds = min(MAXIMUM_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2**self.ejections)
        self.ejections = min(self.ejections + 1, 16)
        self.ejected_until = self.returned_at = now + seconds
        # One more failure after the return ejects again.
        self.consecutive_failures = FAILURES_TO_EJECT - 1
        EJECTIONS.inc()
        logger.warning("{} ejected for {} s", self.backend_id, seconds, code="backend_ejected")

    def is_ejected(self, now: float) -> bool:
        """Return whether the back end must get no work now."""
        return now < self.ejected_until

    def share(self, now: float) -> float:
        """Return the fraction of the slots that may be used now."""
        if self.is_ejected(now):
            return 0.0
        if not self.ejections:
            return 1.0
        grown = (now - self.returned_at) / RETURN_SECONDS
        return min(1.0, FIRST_RETURN_SHARE + (1.0 - FIRST_RETURN_SHARE) * grown)
