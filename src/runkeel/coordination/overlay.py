"""Gossip overlay: selects the neighbours to which each node sends updates.

The nodes form a ring sorted by name. Each sends updates to the nodes at distances of 1, 2, 4, 8 and
so on. An update thus reaches all nodes in a number of steps that is logarithmic in the size of the
fleet, and by several paths, in case some nodes are down.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections.abc import Callable, Iterable

from runkeel.clock import steady_seconds
from runkeel.wire.generated.jobs.ttypes import NodeAddress

MAX_FULL_MESH_NODES = 16
"""In a fleet of up to this size each node sends updates to all others, without forwarding."""

REFRESH_SECONDS = 1.0
"""Maximum age of the ring; an older one is rebuilt when it is used."""

_DIGEST_BYTES = 7


class Overlay:
    """The ring of all nodes known to the coordinator.

    Args:
        nodes: returns all live nodes, this one included.
        version: returns a number that changes when a node joins.
    """

    def __init__(
        self, nodes: Callable[[], Iterable[NodeAddress]], version: Callable[[], int] = lambda: 0
    ) -> None:
        self._nodes = nodes
        self._version = version
        self._ring_version = 0
        self._ring: list[NodeAddress] = []
        self._names: list[str] = []
        self._rebuilt_at = -REFRESH_SECONDS

    def neighbours(self, node_id: str) -> list[NodeAddress]:
        """Return the nodes to which a node sends updates."""
        expired = steady_seconds() - self._rebuilt_at >= REFRESH_SECONDS
        if expired or self._version() != self._ring_version:
            self._rebuild()
        if len(self._ring) <= MAX_FULL_MESH_NODES:
            return [one for one in self._ring if one.node_id != node_id]
        position = bisect_left(self._names, node_id)
        known = position < len(self._names) and self._names[position] == node_id
        count = len(self._ring)
        neighbours = []
        distance = 1
        while distance < count:
            # A node that isn't in the ring yet would be inserted before the one at its position.
            neighbours.append(self._ring[(position + distance - (not known)) % count])
            distance *= 2
        return neighbours

    def _rebuild(self) -> None:
        self._rebuilt_at = steady_seconds()
        self._ring_version = self._version()
        by_name = {one.node_id: one for one in self._nodes()}
        self._names = sorted(by_name)
        self._ring = [by_name[name] for name in self._names]


def neighbours_digest(neighbours: Iterable[NodeAddress]) -> int:
    """Return a digest of the neighbours' names and addresses; 0 for none."""
    text = " ".join(f"{one.node_id}@{one.address}" for one in neighbours)
    if not text:
        return 0
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest())
