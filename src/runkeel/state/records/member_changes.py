"""Which member of a group to replace or add next; docs/design/records.md argues its safety."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

from runkeel.api.configuration import RecordGroupSpec
from runkeel.api.interfaces import Membership
from runkeel.api.machines import Member
from runkeel.state.records.options import RecordOptions


def rendezvous_order(group: str, members: Iterable[Member]) -> list[Member]:
    """Return the nodes in the group's order of preference (highest random weight)."""

    def weight(member: Member) -> bytes:
        return hashlib.blake2b(f"{group}/{member.node_id}".encode(), digest_size=8).digest()

    return sorted(members, key=weight)


def choose_members(group: str, live: Iterable[Member], limit: int) -> tuple[str, ...]:
    """Return one live node a zone, at most ``limit``."""
    chosen: dict[str, str] = {}
    for member in rendezvous_order(group, live):
        chosen.setdefault(member.zone, member.node_id)
    return tuple(list(chosen.values())[:limit])


def with_member(spec: RecordGroupSpec, new: str, replaced: str | None) -> RecordGroupSpec:
    """Return the next epoch's spec with one member more, or one in the place of another.

    The new member's entry in ``joined`` is ``node_id@-epoch``: unlike any entry that a process
    writes itself, so that the member has to recover, whatever it was to the group before.
    """
    epoch = spec.epoch + 1
    kept = tuple(node_id for node_id in spec.members if node_id != replaced)
    joined = tuple(entry for entry in spec.joined if entry.rpartition("@")[0] in kept)
    return RecordGroupSpec(epoch=epoch, members=(*kept, new), joined=(*joined, f"{new}@{-epoch}"))


class MemberChanges:
    """Watches which nodes are alive and proposes changes of one group's members."""

    def __init__(
        self,
        group: str,
        membership: Membership,
        options: RecordOptions,
        clock: Callable[[], float],
    ) -> None:
        self._group = group
        self._membership = membership
        self._options = options
        self._clock = clock
        self._dead_since: dict[str, float] = {}
        self._uncovered_since: dict[str, float] = {}

    def observe(self, spec: RecordGroupSpec) -> None:
        """Note since when members are dead and zones with live nodes have no member."""
        now = self._clock()
        self._dead_since = {
            node_id: self._dead_since.get(node_id, now)
            for node_id in spec.members
            if not self._membership.is_live(node_id)
        }
        covered = {self._zone_of(node_id) for node_id in spec.members}
        self._uncovered_since = {
            member.zone: self._uncovered_since.get(member.zone, now)
            for member in self._membership.live_members()
            if member.zone not in covered
        }

    def dead_seconds(self, node_id: str) -> float:
        """Return for how long a member has been seen dead; 0 for a live one."""
        since = self._dead_since.get(node_id)
        return 0.0 if since is None else self._clock() - since

    def abandoned(self, spec: RecordGroupSpec) -> int:
        """Return how many members have been dead for so long that their state counts as lost."""
        return sum(
            self.dead_seconds(node_id) >= self._options.abandon_after_seconds
            for node_id in spec.members
        )

    def propose(self, spec: RecordGroupSpec) -> tuple[RecordGroupSpec, str | None] | None:
        """Return the next spec and the member that it drops, if any; None for no change."""
        dead = [
            node_id
            for node_id in spec.members
            if self.dead_seconds(node_id) >= self._options.replace_after_seconds
        ]
        if dead:
            return self.replace(spec, dead[0])
        return self._cover_zone(spec)

    def replace(
        self, spec: RecordGroupSpec, leaving: str
    ) -> tuple[RecordGroupSpec, str | None] | None:
        """Return the next spec with a live node in the place of a member; None without one."""
        spares = self._spares(spec)
        zone = self._zone_of(leaving)
        same_zone = [member for member in spares if member.zone == zone]
        uncovered = [member for member in spares if member.zone in self._uncovered_since]
        candidates = same_zone or uncovered or spares
        if not candidates:
            return None
        return with_member(spec, candidates[0].node_id, leaving), leaving

    def _cover_zone(self, spec: RecordGroupSpec) -> tuple[RecordGroupSpec, str | None] | None:
        """Bring a replica into a zone that has none: add one, or move one out of a shared zone."""
        surplus = self._member_of_shared_zone(spec)
        if surplus is None and len(spec.members) >= self._options.max_members:
            return None
        wait = (
            self._options.cover_after_seconds
            if surplus is None
            else self._options.replace_after_seconds
        )
        now = self._clock()
        ready = {zone for zone, since in self._uncovered_since.items() if now - since >= wait}
        candidates = [member for member in self._spares(spec) if member.zone in ready]
        if not candidates:
            return None
        return with_member(spec, candidates[0].node_id, surplus), surplus

    def _member_of_shared_zone(self, spec: RecordGroupSpec) -> str | None:
        zones: set[str] = set()
        for node_id in spec.members:
            zone = self._zone_of(node_id)
            if zone in zones:
                return node_id
            zones.add(zone)
        return None

    def _spares(self, spec: RecordGroupSpec) -> list[Member]:
        live = self._membership.live_members()
        outside = [member for member in live if member.node_id not in spec.members]
        return rendezvous_order(self._group, outside)

    def _zone_of(self, node_id: str) -> str:
        member = self._membership.member(node_id)
        return "" if member is None else member.zone
