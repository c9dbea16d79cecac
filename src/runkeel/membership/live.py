"""The nodes that count as live: by the member table, in zones that can be reached."""

from __future__ import annotations

from runkeel.api.machines import Member
from runkeel.membership.table import LIVE_STATUSES, MemberTable
from runkeel.membership.zones import ZoneReachability


class LiveView:
    """Live members by zone, worked out again only after a change."""

    def __init__(self, table: MemberTable, zones: ZoneReachability) -> None:
        self._table = table
        self._zones = zones
        self._members: dict[str | None, tuple[Member, ...]] = {}
        self._version: tuple[int, int] | None = None
        self._reported_version: tuple[int, int] | None = None
        self._reported: tuple[tuple[str, int], ...] = ()

    def members(self, zone: str | None) -> tuple[Member, ...]:
        """Return the live members of a zone, or of all (None), sorted by id."""
        self._refresh()
        return self._members.get(zone, ())

    def is_live(self, node_id: str) -> bool:
        """Return whether a node is alive or suspect, and its zone reachable."""
        member = self._table.get(node_id)
        return (
            member is not None
            and member.status in LIVE_STATUSES
            and self._zones.is_reachable(member.zone)
        )

    def changed(self) -> bool:
        """Return whether live nodes or their incarnations differ from the last call's."""
        self._refresh()
        if self._version == self._reported_version:
            return False
        self._reported_version = self._version
        live = tuple((member.node_id, member.incarnation) for member in self._members[None])
        differs = live != self._reported
        self._reported = live
        return differs

    def _refresh(self) -> None:
        version = (self._table.version, self._zones.version)
        if version == self._version:
            return
        self._version = version
        members: dict[str | None, tuple[Member, ...]] = {}
        for zone in self._table.zones():
            if self._zones.is_reachable(zone):
                members[zone] = self._table.live_in(zone)
        everyone = [member for of_zone in members.values() for member in of_zone]
        members[None] = tuple(sorted(everyone, key=lambda member: member.node_id))
        self._members = members
