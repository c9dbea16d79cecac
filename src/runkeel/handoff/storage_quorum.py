"""Decides which sets of storage nodes suffice to accept a job, and which to deny that it exists.

Both use the same predicate, so that the sets always intersect: a job may be denied only after at
least one node of each set that could have accepted it has denied it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LossTolerance:
    """Losses that accepted jobs survive; at most one of the three kinds at a time.

    Attributes:
        machines: number of storage nodes.
        zones: number of whole zones.
        regions: number of whole regions.
    """

    machines: int
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class StorageNode:
    """A storage node, which keeps hints of jobs that are not in the store yet."""

    node_id: str
    zone: str


@dataclass(frozen=True, slots=True)
class KnownStorageNodes:
    """The storage nodes that a node knows.

    Attributes:
        complete: whether this is certain to include all of them.
    """

    nodes: tuple[StorageNode, ...]
    complete: bool = True


@dataclass(frozen=True, slots=True)
class StorageQuorum:
    """The quorum rule of a deployment.

    Attributes:
        regions: the region of each zone; an unlisted zone is a region of its own.
    """

    tolerance: LossTolerance
    regions: Mapping[str, str] = field(default_factory=dict)

    def is_durable(self, storage_nodes: Iterable[StorageNode]) -> bool:
        """Return whether a job that these nodes keep survives any loss within the tolerance."""
        nodes = set(storage_nodes)
        zones = {node.zone for node in nodes}
        regions = {self.regions.get(zone, zone) for zone in zones}
        return (
            len({node.node_id for node in nodes}) > self.tolerance.machines
            and len(zones) > self.tolerance.zones
            and len(regions) > self.tolerance.regions
        )

    def rules_out(self, unheard: Iterable[StorageNode]) -> bool:
        """Return whether a job that all other nodes deny can't have been accepted.

        Args:
            unheard: nodes that did not reply, or whose history of hints is incomplete.
        """
        return not self.is_durable(unheard)
