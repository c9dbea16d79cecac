"""Decides which sets of machines keep a job for certain, and which rule out that one is kept.

One predicate answers both, so that an acceptance and a "no such job" always meet: whoever says that
there is no such job must have heard so from at least one machine of each set by which a job may
have been accepted.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LossTolerance:
    """What may be lost at once without losing what was acknowledged: one of the three.

    Attributes:
        machines: of those with disks.
        zones: whole zones, with all of their machines.
        regions: whole regions.
    """

    machines: int
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Keeper:
    """A machine that keeps jobs which the store does not have yet."""

    node_id: str
    zone: str


@dataclass(frozen=True, slots=True)
class KnownKeepers:
    """The machines that keep jobs, as one node knows them.

    Attributes:
        complete: False for a node that may not have been told of all of them yet.
    """

    keepers: tuple[Keeper, ...]
    complete: bool = True


@dataclass(frozen=True, slots=True)
class KeeperQuorum:
    """The rule of one deployment.

    Attributes:
        regions: the region of each zone; a zone that isn't named is one by itself.
    """

    tolerance: LossTolerance
    regions: Mapping[str, str] = field(default_factory=dict)

    def lasts(self, keepers: Iterable[Keeper]) -> bool:
        """Return whether what all of these keep outlives every loss that must be borne."""
        kept = set(keepers)
        zones = {one.zone for one in kept}
        regions = {self.regions.get(zone, zone) for zone in zones}
        return (
            len({one.node_id for one in kept}) > self.tolerance.machines
            and len(zones) > self.tolerance.zones
            and len(regions) > self.tolerance.regions
        )

    def rules_out(self, unheard: Iterable[Keeper]) -> bool:
        """Return whether a job that all others deny can't have been accepted.

        Args:
            unheard: machines that gave no answer, or whose memory does not go back far enough.
        """
        return not self.lasts(unheard)
