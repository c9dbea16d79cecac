"""Nodes advertised by coordinators: witnesses, likely successors and neighbours."""

from __future__ import annotations

from collections.abc import Iterable

from runkeel.wire.generated.jobs.ttypes import CoordinatorPong, NodeAddress

MAX_SUCCESSORS = 8
"""Maximum number of successors kept.

Those that earlier coordinators advertised are included, as a new one does not know all nodes yet.
"""


class AdvertisedNodes:
    """The nodes named in the coordinators' answers to pings."""

    def __init__(self) -> None:
        self._received_any = False
        self._witnesses: dict[str, NodeAddress] = {}
        self._successors: dict[str, NodeAddress] = {}
        self._neighbours: dict[str, NodeAddress] = {}

    @property
    def neighbours(self) -> list[NodeAddress]:
        """Nodes to which this node sends updates."""
        return list(self._neighbours.values())

    @property
    def witnesses(self) -> list[str]:
        """Names of the nodes to query whether they reach the coordinator."""
        return list(self._witnesses)

    @property
    def received_any(self) -> bool:
        """Whether any coordinator has answered."""
        return self._received_any

    @property
    def successors(self) -> list[str]:
        """Names of the nodes that may replace the coordinator, the likeliest first."""
        return list(self._successors)

    @property
    def successor_addresses(self) -> list[NodeAddress]:
        """Addresses and zones of the successors, in the same order."""
        return list(self._successors.values())

    def address(self, node_id: str) -> NodeAddress | None:
        """Return the address of a node, None if it is unknown."""
        known = self._witnesses.get(node_id) or self._successors.get(node_id)
        return known or self._neighbours.get(node_id)

    def record(self, pong: CoordinatorPong) -> None:
        """Record the nodes named in an answer."""
        self._received_any = self._received_any or pong.coordinator
        if pong.witnesses:
            self.set_witnesses(pong.witnesses)
        if pong.neighbours is not None:
            self._neighbours = {one.node_id: one for one in pong.neighbours}
        self._merge_successors(pong.successors or [])

    def set_witnesses(self, witnesses: Iterable[NodeAddress]) -> None:
        """Replace the witnesses."""
        self._witnesses = {one.node_id: one for one in witnesses}

    def _merge_successors(self, advertised: Iterable[NodeAddress]) -> None:
        """Put these successors first and keep earlier ones up to the limit."""
        successors = {one.node_id: one for one in advertised}
        for node_id, address in self._successors.items():
            if len(successors) < MAX_SUCCESSORS:
                successors.setdefault(node_id, address)
        self._successors = successors
