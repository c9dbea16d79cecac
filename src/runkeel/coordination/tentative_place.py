"""Running items on while the store is away and can't say who coordinates.

A node in rank that hears neither the coordinator nor the store runs the open items in a tentative
term. It lists nothing. When the store is back it claims the place, and the term is confirmed.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.coordination.pings import PingSender
from runkeel.coordination.succession import Succession
from runkeel.coordination.told_nodes import ToldNodes
from runkeel.wire.generated.jobs.ttypes import CoordinatorPong

CHECK_SECONDS = 0.1
"""Pause before a node that runs items on looks again whether the store is back.

It looks at what the node's own calls have found; no call is made for it.
"""

COMPARE_SECONDS = 0.5
"""Pause between questions whether another node runs items as well."""

YIELD_SECONDS = 1.0
"""A node that has run the items on is left the first claim for so long after an outage.

Its own calls to the store find out within 0.4 s that it is back.
"""


class TentativePlace:
    """This node's tentative term, and its regard for those of others.

    Args:
        node_id: this node.
        preferred: only preferred nodes run items on.
        witnessed: asks others whether they reach a coordinator.
        begin_term: begins the work of a tentative term.
        end_term: ends it.

    Attributes:
        epoch: in which this node will coordinate if the store says so; 0: it runs nothing on.
    """

    def __init__(
        self,
        node_id: str,
        preferred: bool,
        pings: PingSender,
        told: ToldNodes,
        succession: Succession,
        witnessed: Callable[[Coordinator], bool],
        begin_term: Callable[[int], None],
        end_term: Callable[[], None],
    ) -> None:
        self._node_id = node_id
        self._preferred = preferred
        self._pings = pings
        self._told = told
        self._succession = succession
        self._witnessed = witnessed
        self._begin_term = begin_term
        self._end_term = end_term
        self.epoch = 0
        self._compared_at = 0.0
        self._yielded_since = 0.0
        """Since when another node was left the first claim; 0: none is."""

    def may_begin(self, known: Coordinator) -> bool:
        """Return whether nobody serves, and nobody could be told by the store to."""
        if not self._preferred or not self._succession.may_serve_tentatively:
            return False
        answers = self._ask_others(known).values()
        if any(pong.tentative or pong.coordinator or pong.store_reachable for pong in answers):
            return False
        return not self._witnessed(known)

    def begin(self, known: Coordinator) -> None:
        """Run the items of a coordinator on that has fallen silent."""
        self.epoch = known.epoch + 1
        self._compared_at = 0.0
        logger.warning(
            "runs items until the store is back",
            code="coordinator_tentative",
            epoch=self.epoch,
            coordinator=known.node_id,
            silent_ms=int(self._succession.silent_seconds * 1000),
        )
        self._begin_term(self.epoch)

    def end(self, reason: str) -> None:
        """Run nothing on any more; does nothing when nothing is."""
        if not self.epoch:
            return
        logger.info(
            "runs items no more",
            code="coordinator_tentative_ended",
            epoch=self.epoch,
            reason=reason,
        )
        self.epoch = 0
        self._end_term()

    def confirmed(self) -> None:
        """The store has confirmed the term; its work goes on."""
        self.epoch = 0

    def comes_second(self, known: Coordinator) -> bool:
        """Return whether another node that began at the same moment comes first, by its name."""
        now = steady_seconds()
        if now - self._compared_at < COMPARE_SECONDS:
            return False
        self._compared_at = now
        answers = self._ask_others(known)
        return any(pong.tentative and one < self._node_id for one, pong in answers.items())

    def yields(self, known: Coordinator) -> bool:
        """Return whether another node that has run the items on is left the first claim.

        Not for long: it may be cut off from the store, which this node reaches.
        """
        if not any(pong.tentative for pong in self._ask_others(known).values()):
            self._yielded_since = 0.0
            return False
        self._yielded_since = self._yielded_since or steady_seconds()
        return steady_seconds() - self._yielded_since < YIELD_SECONDS

    def _ask_others(self, known: Coordinator) -> dict[str, CoordinatorPong]:
        others = [one for one in self._told.successors if one not in (self._node_id, known.node_id)]
        return self._pings.ping_all(others, known.epoch)
