"""What the bridges of a zone do: keep the zones informed of each other.

The two live nodes of lowest rank speak for a zone. All nodes agree on them without messages, as
far as they agree on the live nodes; more or fewer bridges for a moment cost bytes only.
"""

from __future__ import annotations

import random

from runkeel.api.machines import Member, MemberStatus
from runkeel.membership.loads import RELAY_TRANSMISSIONS, LoadTable
from runkeel.membership.synchronizer import Sender
from runkeel.membership.table import MemberTable
from runkeel.membership.zones import ZoneReachability
from runkeel.wire.generated.membership.ttypes import DatagramKind, ZoneHash

BRIDGE_PERIOD_SECONDS = 1.0
RELAYED_PER_SECOND = 8
"""Loads of other zones that a node passes on: two on each probe and on each answer to one."""

LONGEST_LOAD_PERIOD_SECONDS = 10.0


class Bridging:
    """Exchanges zone hashes, loads and state digests with the other zones, when a bridge."""

    def __init__(
        self,
        sender: Sender,
        table: MemberTable,
        zones: ZoneReachability,
        loads: LoadTable,
    ) -> None:
        self._sender = sender
        self._table = table
        self._zones = zones
        self._loads = loads
        self._period_at = 0.0
        self._loads_at = 0.0
        self._turn = 0
        self._was_bridge = False
        self._reported: list[str] | None = None

    def tick(self, now: float) -> None:
        """Send what is due to the other zones, if this node is a bridge."""
        index = self._index()
        if index is not None and not self._was_bridge:
            self._zones.forgive(now)
        self._was_bridge = index is not None
        if index is None or now < self._period_at:
            return
        self._period_at = now + BRIDGE_PERIOD_SECONDS * random.uniform(0.95, 1.05)
        bridges, others = self._choose_targets(index)
        loads = self._due_loads(now) if bridges else None
        self._send(DatagramKind.BRIDGE, bridges, loads)
        self._send(DatagramKind.BRIDGE, others, None)

    def on_bridge(self, sender: Member) -> None:
        """Answer a bridge of another zone, unless this node sends by itself."""
        if self._index() is None:
            self._send(DatagramKind.BRIDGE_REPLY, [sender], None)

    def targets(self) -> list[Member]:
        """Return the bridges of the other zones."""
        zones = [zone for zone in self._table.zones() if zone != self._sender.zone]
        return [member for zone in zones for member in self._table.bridges(zone)]

    def report(self, now: float) -> list[str] | None:
        """Return the zones that this node does not hear, or None when it is no bridge."""
        if self._index() is None:
            return None
        self._reported = self._zones.lost_zones(self._table.zones(), now)
        return self._reported

    def report_changed(self, now: float) -> bool:
        """Return whether the report differs from the one last sent."""
        if self._index() is None:
            return False
        return self._reported != self._zones.lost_zones(self._table.zones(), now)

    def _index(self) -> int | None:
        for index, member in enumerate(self._table.bridges(self._sender.zone)):
            if member.node_id == self._sender.node_id:
                return index
        return None

    def _choose_targets(self, index: int) -> tuple[list[Member], list[Member]]:
        """Return a bridge of each other zone, and another node of each.

        The other one keeps the zones in touch while bridges change, and finds nodes that
        took the place of the known ones during a long cut.
        """
        bridges, others = [], []
        for zone in self._table.zones():
            if zone == self._sender.zone:
                continue
            of_zone = self._table.bridges(zone)
            bridge = of_zone[index % len(of_zone)]
            bridges.append(bridge)
            rest = [member for member in self._table.live_in(zone) if member is not bridge]
            if rest:
                others.append(random.choice(rest))
        return bridges, others + self._gone_of_lost_zones()

    def _gone_of_lost_zones(self) -> list[Member]:
        lost = [
            member
            for member in self._table.all()
            if member.status is MemberStatus.DEAD and not self._zones.is_reachable(member.zone)
        ]
        return [random.choice(lost)] if lost else []

    def _due_loads(self, now: float) -> list | None:
        if now < self._loads_at:
            return None
        loads = self._loads.best_of_zone(now)
        self._loads_at = now + self._load_period(len(loads))
        return loads or None

    def _load_period(self, entries: int) -> float:
        """Return the time between two reports of loads.

        Inside the receiving zone each node relays an entry a few times, with its probes. More
        entries than fit these would displace each other, and then reach hardly any node.
        """
        zones = self._table.zones()
        largest_zone = max(len(self._table.live_in(zone)) for zone in zones)
        relays = min(RELAY_TRANSMISSIONS, largest_zone - 1)
        bridges = len(self._table.bridges(self._sender.zone))
        relayed = entries * (len(zones) - 1) * bridges * relays
        wanted = relayed / RELAYED_PER_SECOND
        return min(LONGEST_LOAD_PERIOD_SECONDS, max(BRIDGE_PERIOD_SECONDS, wanted))

    def _next_other_zone(self) -> list[str]:
        """Return another zone in turn: zones that never hear each other are told by a third."""
        others = [zone for zone in self._table.zones() if zone != self._sender.zone]
        if not others:
            return []
        self._turn += 1
        return [others[self._turn % len(others)]]

    def _send(self, kind: int, targets: list[Member], loads: list | None) -> None:
        zone = self._sender.zone
        zones = [zone, *self._next_other_zone()]
        hashes = [ZoneHash(each, self._table.zone_hash(each)) for each in zones]
        digest = self._sender.state_digest()
        self._sender.send(kind, targets, zone_hashes=hashes, state_digest=digest, loads=loads)
