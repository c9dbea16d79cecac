"""The nodes that ping this coordinator: their rank in the succession, and witnesses among them."""

from __future__ import annotations

from dataclasses import dataclass

from runkeel.clock import steady_seconds
from runkeel.wire.generated.jobs.ttypes import NodeAddress

LAST_RANK = 3
"""Nodes beyond this rank ping seldom and step in late."""

PEER_SECONDS = 12.0
"""A node that has not pinged for so long is no longer counted."""

RECENT_SECONDS = 1.6
"""A node that has not pinged for so long comes after all that have: it may be down itself.

Three pauses between the pings of nodes in rank, and a little.
"""

SUCCESSORS = 1
"""Nodes that get copies of what is running, the likeliest successors."""

KEEPERS = 1
"""Further nodes that get copies, of those that are not preferred: others may fail together.

They are of the coordinator's own zone if possible, as bytes between zones are dear.
"""

TOLD_SUCCESSORS = 5
"""So many are told to each node: who coordinates after a loss, and who keeps jobs for the store.

Together with the coordinator that is twice as many as must keep a job where two may be lost.
"""

LIKELIEST_SUCCESSORS = 2
"""So many are told in the order of the succession, whatever their zones: they are asked first."""

WITNESSES = 6
"""Nodes asked whether they reach the coordinator: two in each of three zones."""

WITNESSES_PER_ZONE = 2
"""Nodes that a successor asks whether they reach the coordinator."""


@dataclass(slots=True)
class _Peer:
    preferred: bool
    address: NodeAddress
    seen_at: float = 0.0


class PeerRegistry:
    """Keeps the nodes in the order of their first ping.

    Args:
        zone: the zone of the coordinator that keeps it.
    """

    def __init__(self, zone: str = "") -> None:
        self._zone = zone
        self._peers: dict[str, _Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def clear(self) -> None:
        """Forget all nodes."""
        self._peers.clear()

    def note(self, node_id: str, address: NodeAddress, preferred: bool) -> int:
        """Take note of a ping; returns the node's rank: preferred nodes first, by first ping."""
        known = self._peers.setdefault(node_id, _Peer(preferred, address))
        known.address = address
        known.seen_at = steady_seconds()
        if not preferred:
            return LAST_RANK
        return min(self._succession().index(node_id), LAST_RANK)

    def silent(self, seconds: float) -> int:
        """Return how many nodes pinged lately, but not for so long."""
        now = steady_seconds()
        return sum(1 for _, one in self._live() if now - one.seen_at > seconds)

    def address(self, node_id: str) -> NodeAddress | None:
        """Return where a node is reached."""
        known = self._peers.get(node_id)
        return known.address if known is not None else None

    def addresses(self) -> list[NodeAddress]:
        """Return where the nodes are reached that have pinged lately."""
        return [known.address for _, known in self._live()]

    def copy_holders(self, keepers: bool = True) -> list[str]:
        """Return the nodes that get copies of what is running, the likeliest successors first.

        Args:
            keepers: whether nodes that are not preferred get some, too.
        """
        live = self._live()
        preferred = self._succession()
        others = [(name, one.address.zone) for name, one in live if not one.preferred]
        others = [name for name, zone in sorted(others, key=lambda one: one[1] != self._zone)]
        successors = [*preferred, *others][:SUCCESSORS]
        if not keepers:
            return successors
        further = [name for name in others if name not in successors]
        return [*successors, *further[:KEEPERS]]

    def successors(self) -> list[NodeAddress]:
        """Return the preferred nodes that are likeliest to replace this coordinator, in order.

        After the first two they are spread over the zones: they keep jobs for the store, too, and
        a whole zone may be lost.
        """
        order = [self._peers[name].address for name in self._succession()]
        chosen, others = order[:LIKELIEST_SUCCESSORS], order[LIKELIEST_SUCCESSORS:]
        zones = [self._zone, *(one.zone for one in chosen)]
        while others and len(chosen) < TOLD_SUCCESSORS:
            following = min(others, key=lambda one: zones.count(one.zone))
            others.remove(following)
            chosen.append(following)
            zones.append(following.zone)
        return chosen

    def witnesses_for(self, node_id: str) -> list[NodeAddress]:
        """Return some other nodes of all zones, in each those that are not preferred first."""
        others = [known for name, known in self._live() if name != node_id]
        others.sort(key=lambda known: known.preferred)
        of_zone: dict[str, int] = {}
        chosen = []
        for known in others:
            zone = known.address.zone
            of_zone[zone] = of_zone.get(zone, 0) + 1
            if of_zone[zone] <= WITNESSES_PER_ZONE:
                chosen.append(known.address)
        return chosen[:WITNESSES]

    def _succession(self) -> list[str]:
        """Return the preferred nodes in the order in which they are to step in."""
        now = steady_seconds()
        preferred = [(name, one) for name, one in self._live() if one.preferred]
        # Sorting keeps the order of the first pings among those that have pinged just now.
        preferred.sort(key=lambda one: now - one[1].seen_at > RECENT_SECONDS)
        return [name for name, _ in preferred]

    def _live(self) -> list[tuple[str, _Peer]]:
        oldest = steady_seconds() - PEER_SECONDS
        return [(name, known) for name, known in self._peers.items() if known.seen_at > oldest]
