"""Tells when it is a node's turn to replace the coordinator.

Counted from the first ping that fails: the first in rank waits for the silence alone, each further
one a while longer, those that are not preferred longest. A coordinator that says itself that it
does not serve is waited for only if it may serve again.
"""

from __future__ import annotations

from collections.abc import Callable

from runkeel.clock import steady_seconds
from runkeel.coordination.peers import LAST_RANK
from runkeel.wire.generated.jobs.ttypes import CoordinatorPong

SILENCE_SECONDS = 0.6
"""Pings fail for so long before the first in rank replaces the coordinator.

Counted from the start of the first that fails; witnesses are asked after that.
"""

RANK_SECONDS = 0.5
"""So much longer each next rank waits: one pause between pings."""

NOT_PREFERRED_SECONDS = 1.0
"""So much longer a node that isn't preferred waits for one that is, when all may have restarted."""

STORE_LOST_SECONDS = 1.0
"""A coordinator that has lost the store for so long is replaced by a node that reaches it."""

TENTATIVE_SECONDS = 0.3
"""So much longer than for a claim a node waits before it runs items without the store."""

RECLAIM_SECONDS = 0.4
"""A coordinator that has restarted gets so long to take its place again.

It knows best what was running, and need not wait before it gives orders to engines.
"""


class Succession:
    """One node's view of a coordinator that may have to be replaced.

    Args:
        preferred: this node should coordinate rather than one that is not preferred.
        reaches_store: whether the store answers this node.
    """

    def __init__(self, preferred: bool, reaches_store: Callable[[], bool]) -> None:
        self._preferred = preferred
        self._reaches_store = reaches_store
        self._rank = LAST_RANK
        self._last_contact = 0.0
        self._failing_since = 0.0
        self._lost_store_at = 0.0
        """When the coordinator was first heard to have lost the store."""
        self._store_lost = False
        """Whether this node has lost the store itself while the coordinator was silent."""
        self._store_back_at = 0.0

    @property
    def silent_seconds(self) -> float:
        """Time since the coordinator was last known to serve."""
        return steady_seconds() - self._last_contact

    @property
    def may_be_replaced(self) -> bool:
        """Whether the first in rank has had the time to replace a silent coordinator."""
        failing_since = self._failing_since
        return bool(failing_since) and steady_seconds() - failing_since > SILENCE_SECONDS

    @property
    def may_serve_tentatively(self) -> bool:
        """Whether it is this node's turn to run items on without the store."""
        if self._reaches_store() or self._rank >= LAST_RANK or not self._failing_since:
            return False
        turn = SILENCE_SECONDS + TENTATIVE_SECONDS + RANK_SECONDS * self._rank
        return steady_seconds() - self._failing_since >= turn

    def begin(self) -> None:
        """Follow another coordinator from now on."""
        self.note_contact()
        self._lost_store_at = 0.0

    def note_contact(self) -> None:
        """Take note that the coordinator serves, or need not be waited for."""
        self._last_contact = steady_seconds()
        self._failing_since = 0.0

    def serves(self, pong: CoordinatorPong | None) -> bool:
        """Return whether the coordinator does its work; note how long it has lost the store."""
        if pong is None:
            return False
        self._rank = pong.rank
        now = steady_seconds()
        if pong.store_reachable:
            self._lost_store_at = 0.0
        elif not self._lost_store_at:
            self._lost_store_at = now
        lost = self._lost_store_at and now - self._lost_store_at > STORE_LOST_SECONDS
        return pong.coordinator and not (lost and self._reaches_store())

    def is_due(self, pong: CoordinatorPong | None, asked_at: float) -> bool:
        """Return whether this node is to replace a coordinator that does not serve.

        Args:
            pong: its latest answer, None without one.
            asked_at: steady time of the ping.
        """
        now = steady_seconds()
        self._failing_since = self._failing_since or asked_at
        silence = silence_seconds(pong)
        if pong is None and not self._preferred:
            silence += NOT_PREFERRED_SECONDS
        turn = RANK_SECONDS * self._rank
        if now - self._failing_since < silence + turn:
            return False
        return self._is_turn_since_store_is_back(turn, now)

    def _is_turn_since_store_is_back(self, turn: float, now: float) -> bool:
        """Return whether this node reaches the store and those before it have had their turn.

        In an outage of the store all have waited for long enough; who hears first of its end is
        chance. Those that are not preferred leave a moment to those that are.
        """
        if not self._reaches_store():
            self._store_lost = True
            return False
        if self._store_lost:
            self._store_lost = False
            self._store_back_at = now
        if not self._preferred:
            turn += NOT_PREFERRED_SECONDS
        return now - self._store_back_at >= turn


def silence_seconds(pong: CoordinatorPong | None) -> float:
    """Return how long the first in rank waits after an answer like this, or without one."""
    if pong is None or pong.coordinator:
        return SILENCE_SECONDS
    # A node that says itself that it doesn't coordinate is waited for only if it may again.
    return RECLAIM_SECONDS if pong.store_reachable else 0.0
