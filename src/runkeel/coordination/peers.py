"""Registry of the nodes that ping this coordinator: ranks, copy holders and witnesses."""

from __future__ import annotations

from dataclasses import dataclass

from runkeel.clock import steady_seconds
from runkeel.wire.generated.jobs.ttypes import NodeAddress

UNRANKED = 3
"""Rank of all nodes that are not among the first three successors.

They ping less often and take over later.
"""

PEER_EXPIRY_SECONDS = 12.0
"""A node expires when it has not pinged for this long."""

RECENT_PING_SECONDS = 1.6
"""A node that has not pinged for this long ranks after all that have, as it may be down."""

SUCCESSOR_COPIES = 1
"""Number of likely successors that hold copies of the running items."""

KEEPER_COPIES = 1
"""Number of further copy holders that are not preferred, as preferred nodes may fail together.

They are in the coordinator's own zone if possible, as traffic between zones is expensive.
"""

MAX_ADVERTISED_SUCCESSORS = 5
"""Number of successors advertised to each node; they also keep jobs on behalf of the store.

Together with the coordinator these are six nodes: twice the three that must keep a job for it to
survive two losses.
"""

FIRST_SUCCESSORS = 2
"""Number of successors advertised by rank alone, without regard to zones; nodes query them first.

The others are chosen so that they are spread over zones.
"""

MAX_WITNESSES = 6
"""Maximum number of witnesses advertised to a node: two in each of three zones."""

MAX_WITNESSES_PER_ZONE = 2
"""Maximum number of witnesses in each zone; a successor queries them before it takes over."""


@dataclass(slots=True)
class _Peer:
    preferred: bool
    address: NodeAddress
    seen_at: float = 0.0


class PeerRegistry:
    """Records the nodes that ping this coordinator, in the order of their first ping.

    Args:
        zone: the coordinator's own zone.
    """

    def __init__(self, zone: str = "") -> None:
        self._zone = zone
        self._peers: dict[str, _Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def clear(self) -> None:
        self._peers.clear()

    def record_ping(self, node_id: str, address: NodeAddress, preferred: bool) -> int:
        """Record a ping; returns the node's rank.

        That is its position in the order of succession, or :data:`UNRANKED`.
        """
        known = self._peers.setdefault(node_id, _Peer(preferred, address))
        known.address = address
        known.seen_at = steady_seconds()
        if not preferred:
            return UNRANKED
        return min(self._succession().index(node_id), UNRANKED)

    def count_silent(self, seconds: float) -> int:
        """Return how many nodes have not pinged for ``seconds``, but have not expired yet."""
        now = steady_seconds()
        return sum(1 for _, one in self._live() if now - one.seen_at > seconds)

    def address(self, node_id: str) -> NodeAddress | None:
        """Return the address of a node, None if it is unknown."""
        known = self._peers.get(node_id)
        return known.address if known is not None else None

    def addresses(self) -> list[NodeAddress]:
        """Return the addresses of the nodes that have not expired."""
        return [known.address for _, known in self._live()]

    def copy_holders(self, include_not_preferred: bool = True) -> list[str]:
        """Return the nodes that hold copies of the running items, the likeliest successors first.

        Args:
            include_not_preferred: whether to add nodes that are not preferred to the likeliest
                successors.
        """
        live = self._live()
        preferred = self._succession()
        others = [(name, one.address.zone) for name, one in live if not one.preferred]
        others = [name for name, zone in sorted(others, key=lambda one: one[1] != self._zone)]
        successors = [*preferred, *others][:SUCCESSOR_COPIES]
        if not include_not_preferred:
            return successors
        further = [name for name in others if name not in successors]
        return [*successors, *further[:KEEPER_COPIES]]

    def successors(self) -> list[NodeAddress]:
        """Return the preferred nodes that are likeliest to replace this coordinator, in order.

        All but the first ones are spread over zones: they also keep jobs on behalf of the store,
        and a whole zone may be lost.
        """
        order = [self._peers[name].address for name in self._succession()]
        selected, others = order[:FIRST_SUCCESSORS], order[FIRST_SUCCESSORS:]
        zones = [self._zone, *(one.zone for one in selected)]
        while others and len(selected) < MAX_ADVERTISED_SUCCESSORS:
            following = min(others, key=lambda one: zones.count(one.zone))
            others.remove(following)
            selected.append(following)
            zones.append(following.zone)
        return selected

    def witnesses_for(self, node_id: str) -> list[NodeAddress]:
        """Return the other nodes that a node queries before it replaces this coordinator.

        Nodes that are not preferred come first; the number is limited in each zone.
        """
        others = [known for name, known in self._live() if name != node_id]
        others.sort(key=lambda known: known.preferred)
        count_by_zone: dict[str, int] = {}
        selected = []
        for known in others:
            zone = known.address.zone
            count_by_zone[zone] = count_by_zone.get(zone, 0) + 1
            if count_by_zone[zone] <= MAX_WITNESSES_PER_ZONE:
                selected.append(known.address)
        return selected[:MAX_WITNESSES]

    def _succession(self) -> list[str]:
        """Return the preferred nodes in the order in which they would take over."""
        now = steady_seconds()
        preferred = [(name, one) for name, one in self._live() if one.preferred]
        # The sort is stable: nodes with a recent ping keep the order of their first pings.
        preferred.sort(key=lambda one: now - one[1].seen_at > RECENT_PING_SECONDS)
        return [name for name, _ in preferred]

    def _live(self) -> list[tuple[str, _Peer]]:
        oldest = steady_seconds() - PEER_EXPIRY_SECONDS
        return [(name, known) for name, known in self._peers.items() if known.seen_at > oldest]
