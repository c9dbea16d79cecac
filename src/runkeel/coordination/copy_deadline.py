"""Determines until when a follower may rely on its copies without a further reply of the feed."""

from __future__ import annotations

import math
from collections.abc import Callable

from runkeel.clock import steady_seconds
from runkeel.wire.generated.jobs.ttypes import FeedReadReply

ASSUMED_COPY_AGE_SECONDS = 0.7
ASSUMED_COPY_AGE_SHARE = 0.5
"""Assumed age of the copy of a coordinator that does not report it, as an older build does not.

The limit is the smaller of the two; the share is a fraction of the maximum age. A coordinator that
reaches the store confirms its copy more often.
"""


class CopyDeadline:
    """The time at which a follower's copies have been unconfirmed for too long.

    Replies tell as of when the store has confirmed the coordinator's copies. The follower counts
    that from when it sent the request, so that no delay on the way makes copies pass for newer than
    they are, and no clock has to agree with another.

    Args:
        max_age_seconds: maximum time since the store last confirmed the copies.
        now: returns the steady time in seconds.

    Attributes:
        confirmed_at: steady time, in seconds, as of which the store has confirmed the copies; -inf
            if it never has.
    """

    def __init__(self, max_age_seconds: float, now: Callable[[], float] = steady_seconds) -> None:
        self.max_age_seconds = max_age_seconds
        self._now = now
        self.confirmed_at = -math.inf

    @property
    def age_seconds(self) -> float:
        """Maximum time since the store confirmed the copies; infinite if it never has."""
        return self._now() - self.confirmed_at

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the deadline; 0 if it has passed or nothing has been confirmed."""
        return max(0.0, self.max_age_seconds - self.age_seconds)

    def confirm(self, reply: FeedReadReply, sent_at: float, hold_seconds: float) -> None:
        """Extend the deadline after a reply has been applied to the copies.

        Args:
            sent_at: steady time, in seconds, at which the request was sent.
            hold_seconds: how long the reply was to be held without a change.
        """
        if reply.confirmed_after_ms is None:
            confirmed_at = self._assumed_confirmation(reply, sent_at, hold_seconds)
        else:
            confirmed_at = sent_at + reply.confirmed_after_ms / 1000.0
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def _assumed_confirmation(
        self, reply: FeedReadReply, sent_at: float, hold_seconds: float
    ) -> float:
        made_at = sent_at if _has_changes(reply) else sent_at + hold_seconds
        assumed_age = min(ASSUMED_COPY_AGE_SECONDS, ASSUMED_COPY_AGE_SHARE * self.max_age_seconds)
        return min(made_at, self._now()) - assumed_age


def _has_changes(reply: FeedReadReply) -> bool:
    """Return whether a reply need not have been held for the whole requested time."""
    return any(page.whole or page.documents or page.removed for page in reply.pages)
