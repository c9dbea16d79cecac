"""Tentative terms: running open items while neither the coordinator nor the store is reachable.

A ranked node that reaches neither of them runs the open items in a tentative term, in which it
writes no results to the store and sends engines no orders to load a version. When the store is
reachable again, the node claims the term, which confirms it.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.coordination.advertised_nodes import AdvertisedNodes
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.coordination.pings import PingSender
from runkeel.coordination.succession import Succession
from runkeel.wire.generated.jobs.ttypes import CoordinatorPong

STORE_CHECK_INTERVAL_SECONDS = 0.1
"""Interval at which a node in a tentative term checks whether the store is reachable again.

The check uses the results of the node's other calls and makes no call itself.
"""

TIE_CHECK_INTERVAL_SECONDS = 0.5
"""Interval between checks for another node in a tentative term."""

MAX_DEFER_SECONDS = 1.0
"""How long other nodes delay their claims after a store outage if a node has a tentative term.

That node already runs the items, so it claims first. Must exceed the interval at which it probes
the store, 0.4 s, so that it has noticed the recovery by then.
"""


class TentativeTerm:
    """This node's tentative term, and the precedence among tentative terms of several nodes.

    Args:
        node_id: this node.
        preferred: whether this node is preferred; only preferred nodes begin a tentative term.
        reached_by_witnesses: returns whether other nodes reach a coordinator.
        begin_term: called with the epoch when a tentative term begins.
        end_term: called when it ends without being confirmed.

    Attributes:
        epoch: epoch that this node will claim once the store is reachable; 0: no tentative term.
    """

    def __init__(
        self,
        node_id: str,
        preferred: bool,
        pings: PingSender,
        advertised: AdvertisedNodes,
        succession: Succession,
        reached_by_witnesses: Callable[[Coordinator], bool],
        begin_term: Callable[[int], None],
        end_term: Callable[[], None],
    ) -> None:
        self._node_id = node_id
        self._preferred = preferred
        self._pings = pings
        self._advertised = advertised
        self._succession = succession
        self._reached_by_witnesses = reached_by_witnesses
        self._begin_term = begin_term
        self._end_term = end_term
        self.epoch = 0
        self._tie_checked_at = 0.0
        self._deferring_since = 0.0
        """Steady time since which this node defers to another one's claim; 0: it does not."""

    def may_begin(self, known: Coordinator) -> bool:
        """Return whether no other node coordinates, runs a tentative term or reaches the store."""
        if not self._preferred or not self._succession.may_serve_tentatively:
            return False
        answers = self._ping_successors(known).values()
        if any(pong.tentative or pong.coordinator or pong.store_reachable for pong in answers):
            return False
        return not self._reached_by_witnesses(known)

    def begin(self, known: Coordinator) -> None:
        """Begin a tentative term in place of a coordinator that does not answer."""
        self.epoch = known.epoch + 1
        self._tie_checked_at = 0.0
        logger.warning(
            "tentative term began; running items until the store is reachable",
            code="coordinator_tentative",
            epoch=self.epoch,
            coordinator=known.node_id,
            silent_ms=int(self._succession.silent_seconds * 1000),
        )
        self._begin_term(self.epoch)

    def end(self, reason: str) -> None:
        """End the tentative term, if there is one."""
        if not self.epoch:
            return
        logger.info(
            "tentative term ended",
            code="coordinator_tentative_ended",
            epoch=self.epoch,
            reason=reason,
        )
        self.epoch = 0
        self._end_term()

    def confirm(self) -> None:
        """Clear the tentative state: the store has confirmed the term, and its work continues."""
        self.epoch = 0

    def loses_tie(self, known: Coordinator) -> bool:
        """Return whether another node that sorts before this one by id is in a tentative term."""
        now = steady_seconds()
        if now - self._tie_checked_at < TIE_CHECK_INTERVAL_SECONDS:
            return False
        self._tie_checked_at = now
        answers = self._ping_successors(known)
        return any(pong.tentative and one < self._node_id for one, pong in answers.items())

    def defers_claim(self, known: Coordinator) -> bool:
        """Return whether to let another node in a tentative term claim first.

        Bounded in time, as that node may be cut off from the store.
        """
        if not any(pong.tentative for pong in self._ping_successors(known).values()):
            self._deferring_since = 0.0
            return False
        self._deferring_since = self._deferring_since or steady_seconds()
        return steady_seconds() - self._deferring_since < MAX_DEFER_SECONDS

    def _ping_successors(self, known: Coordinator) -> dict[str, CoordinatorPong]:
        others = [
            one for one in self._advertised.successors if one not in (self._node_id, known.node_id)
        ]
        return self._pings.ping_all(others, known.epoch)
