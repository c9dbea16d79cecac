"""Nodes that the coordinator has told of: witnesses, and who is likely to succeed it."""

from __future__ import annotations

from collections.abc import Iterable

from runkeel.wire.generated.jobs.ttypes import CoordinatorPong, NodeAddress

REMEMBERED_SUCCESSORS = 8
"""Those told last and before: a coordinator that is new has not heard of all of them yet."""


class ToldNodes:
    """What the coordinators' answers said of other nodes."""

    def __init__(self) -> None:
        self._heard = False
        self._witnesses: dict[str, NodeAddress] = {}
        self._successors: dict[str, NodeAddress] = {}
        self._neighbours: dict[str, NodeAddress] = {}

    @property
    def neighbours(self) -> list[NodeAddress]:
        """Nodes that this one tells its news to."""
        return list(self._neighbours.values())

    @property
    def witnesses(self) -> list[str]:
        """Nodes to ask whether they reach the coordinator."""
        return list(self._witnesses)

    @property
    def heard(self) -> bool:
        """Whether any coordinator has told of others."""
        return self._heard

    @property
    def successors(self) -> list[str]:
        """Nodes that may replace the coordinator, the likeliest first."""
        return list(self._successors)

    @property
    def successor_addresses(self) -> list[NodeAddress]:
        """Their addresses and zones."""
        return list(self._successors.values())

    def address(self, node_id: str) -> NodeAddress | None:
        """Return where a node is reached."""
        known = self._witnesses.get(node_id) or self._successors.get(node_id)
        return known or self._neighbours.get(node_id)

    def note(self, pong: CoordinatorPong) -> None:
        """Take what an answer tells."""
        self._heard = self._heard or pong.coordinator
        if pong.witnesses:
            self.note_witnesses(pong.witnesses)
        if pong.neighbours is not None:
            self._neighbours = {one.node_id: one for one in pong.neighbours}
        self._note_successors(pong.successors or [])

    def note_witnesses(self, witnesses: Iterable[NodeAddress]) -> None:
        """Take other witnesses."""
        self._witnesses = {one.node_id: one for one in witnesses}

    def _note_successors(self, told: Iterable[NodeAddress]) -> None:
        """Remember who was told now, then who was told before."""
        successors = {one.node_id: one for one in told}
        for node_id, address in self._successors.items():
            if len(successors) < REMEMBERED_SUCCESSORS:
                successors.setdefault(node_id, address)
        self._successors = successors
