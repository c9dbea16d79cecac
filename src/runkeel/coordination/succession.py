"""Decides when a node is due to replace the coordinator.

The delay counts from the first failed ping. The first node in rank waits for the silence timeout
only, each further rank a fixed delay longer, and nodes that are not preferred longest. If the
coordinator answers that it does not coordinate, nodes wait for it only if it may reclaim its term.
"""

from __future__ import annotations

from collections.abc import Callable

from runkeel.clock import steady_seconds
from runkeel.coordination.peers import UNRANKED
from runkeel.wire.generated.jobs.ttypes import CoordinatorPong

SILENCE_TIMEOUT_SECONDS = 0.6
"""How long pings must fail before the first node in rank replaces the coordinator.

Counted from the start of the first failed ping; witnesses are queried after that.
"""

RANK_DELAY_SECONDS = 0.5
"""Additional delay per rank: one ping interval."""

NOT_PREFERRED_DELAY_SECONDS = 1.0
"""Additional delay of a node that is not preferred, in case the preferred ones are restarting."""

STORE_LOSS_TIMEOUT_SECONDS = 1.0
"""How long a coordinator may be cut off from the store before a node that reaches it takes over."""

TENTATIVE_DELAY_SECONDS = 0.3
"""Delay before a node starts a tentative term, in addition to its delay before a claim."""

RECLAIM_TIMEOUT_SECONDS = 0.4
"""How long a restarted coordinator has to reclaim its term.

It has the most complete state of running items and need not wait before ordering engines.
"""


class Succession:
    """Tracks whether the coordinator serves and when this node is due to replace it.

    Args:
        preferred: whether this node takes precedence over nodes that are not preferred.
        reaches_store: returns whether the store answers this node.
    """

    def __init__(self, preferred: bool, reaches_store: Callable[[], bool]) -> None:
        self._preferred = preferred
        self._reaches_store = reaches_store
        self._rank = UNRANKED
        self._last_contact = 0.0
        self._failing_since = 0.0
        self._coordinator_lost_store_at = 0.0
        """Steady time since which the coordinator reports that it lost the store; 0: it has not."""
        self._own_store_lost = False
        """Whether this node lost the store, too, when it was due to replace the coordinator."""
        self._own_store_back_at = 0.0

    @property
    def silent_seconds(self) -> float:
        """Seconds since the coordinator was last known to serve."""
        return steady_seconds() - self._last_contact

    @property
    def may_be_replaced(self) -> bool:
        """Whether the first node in rank may have replaced a silent coordinator by now."""
        failing_since = self._failing_since
        return bool(failing_since) and steady_seconds() - failing_since > SILENCE_TIMEOUT_SECONDS

    @property
    def may_serve_tentatively(self) -> bool:
        """Whether this node is due to start a tentative term without the store."""
        if self._reaches_store() or self._rank >= UNRANKED or not self._failing_since:
            return False
        rank_delay = (
            SILENCE_TIMEOUT_SECONDS + TENTATIVE_DELAY_SECONDS + RANK_DELAY_SECONDS * self._rank
        )
        return steady_seconds() - self._failing_since >= rank_delay

    @property
    def regained_store(self) -> bool:
        """Whether this node lost the store and reached it again while the coordinator was silent.

        It may have been cut off itself, from the store and from a coordinator that serves.
        """
        return bool(self._failing_since) and self._own_store_back_at >= self._failing_since

    def reset(self) -> None:
        """Reset the state for a new coordinator."""
        self.note_contact()
        self._coordinator_lost_store_at = 0.0

    def note_contact(self) -> None:
        """Record that the coordinator serves, or that its silence must not be counted."""
        self._last_contact = steady_seconds()
        self._failing_since = 0.0

    def is_serving(self, pong: CoordinatorPong | None) -> bool:
        """Record a ping's answer (None: no answer); returns whether the coordinator is serving.

        It is if it coordinates, unless it has been cut off from the store for
        :data:`STORE_LOSS_TIMEOUT_SECONDS` while this node reaches the store.
        """
        if pong is None:
            return False
        self._rank = pong.rank
        now = steady_seconds()
        if pong.store_reachable:
            self._coordinator_lost_store_at = 0.0
        elif not self._coordinator_lost_store_at:
            self._coordinator_lost_store_at = now
        lost = (
            self._coordinator_lost_store_at
            and now - self._coordinator_lost_store_at > STORE_LOSS_TIMEOUT_SECONDS
        )
        return pong.coordinator and not (lost and self._reaches_store())

    def is_due(self, pong: CoordinatorPong | None, pinged_at: float) -> bool:
        """Return whether this node is due to replace a coordinator that does not serve.

        Args:
            pong: its latest answer, None if it did not answer.
            pinged_at: steady time of the ping.
        """
        now = steady_seconds()
        self._failing_since = self._failing_since or pinged_at
        silence = takeover_delay_seconds(pong)
        if pong is None and not self._preferred:
            silence += NOT_PREFERRED_DELAY_SECONDS
        rank_delay = RANK_DELAY_SECONDS * self._rank
        if now - self._failing_since < silence + rank_delay:
            return False
        return self._is_turn_after_store_outage(rank_delay, now)

    def _is_turn_after_store_outage(self, rank_delay: float, now: float) -> bool:
        """Return whether this node reaches the store and lower ranks had time to claim first.

        After a store outage every node has exceeded its delay, so the delay per rank is counted
        again from the moment at which this node reaches the store.
        """
        if not self._reaches_store():
            self._own_store_lost = True
            return False
        if self._own_store_lost:
            self._own_store_lost = False
            self._own_store_back_at = now
        if not self._preferred:
            rank_delay += NOT_PREFERRED_DELAY_SECONDS
        return now - self._own_store_back_at >= rank_delay


def takeover_delay_seconds(pong: CoordinatorPong | None) -> float:
    """Return the delay in seconds of the first node in rank after this answer (None: no answer)."""
    if pong is None or pong.coordinator:
        return SILENCE_TIMEOUT_SECONDS
    # A node that reports that it does not coordinate is waited for only if it may reclaim its term.
    return RECLAIM_TIMEOUT_SECONDS if pong.store_reachable else 0.0
