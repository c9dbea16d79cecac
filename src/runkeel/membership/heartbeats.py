"""Heartbeats inside a zone, from every node to every other one.

Each carries the node's own load, its state digest and, from a bridge, the zones that it hears.
Sent directly rather than by gossip: a load is then at most one interval old, and is never sent
twice to the same node. The interval grows with the zone, so that the bytes stay bounded.
"""

from __future__ import annotations

import random

from runkeel.api.machines import Member
from runkeel.membership.bridging import Bridging
from runkeel.membership.loads import LoadTable
from runkeel.membership.synchronizer import Sender
from runkeel.membership.table import MemberTable
from runkeel.wire.generated.membership.ttypes import DatagramKind

SHORTEST_INTERVAL_SECONDS = 1.0
LONGEST_INTERVAL_SECONDS = 5.0
"""Below half of the age at which a load is dropped, so that one lost heartbeat does no harm."""

BYTES_PER_SECOND = 1_500
"""What a node spends on heartbeats while the interval is within its bounds."""

PACKET_OVERHEAD_BYTES = 28
"""IPv4 and UDP headers."""


def interval_seconds(receivers: int, payload_bytes: int) -> float:
    """Return the time between a node's heartbeats.

    Args:
        receivers: other live nodes of the zone.
        payload_bytes: size of the latest heartbeat.
    """
    cost = receivers * (payload_bytes + PACKET_OVERHEAD_BYTES)
    wanted = cost / BYTES_PER_SECOND
    return min(LONGEST_INTERVAL_SECONDS, max(SHORTEST_INTERVAL_SECONDS, wanted))


class Heartbeats:
    """Sends this node's heartbeats when they are due."""

    def __init__(
        self, sender: Sender, table: MemberTable, loads: LoadTable, bridging: Bridging
    ) -> None:
        self._sender = sender
        self._table = table
        self._loads = loads
        self._bridging = bridging
        self._due_at: float | None = None

    def tick(self, now: float) -> None:
        """Send a heartbeat if it is due."""
        if self._due_at is None:
            # Random, so that nodes that start together do not send together.
            self._due_at = now + random.uniform(0.0, SHORTEST_INTERVAL_SECONDS)
        if now < self._due_at:
            return
        members = self._table.live_in(self._sender.zone)
        targets = [member for member in members if member.node_id != self._sender.node_id]
        payload_bytes = self._send(targets, now)
        interval = interval_seconds(len(targets), payload_bytes)
        self._due_at = now + interval * random.uniform(0.95, 1.05)

    def hasten(self, now: float) -> None:
        """Make the next heartbeat due at once: it has something urgent to say."""
        self._due_at = now

    def _send(self, targets: list[Member], now: float) -> int:
        lost_zones = self._bridging.report(now)
        chunks = self._loads.own_loads()
        payload_bytes = self._sender.send(
            DatagramKind.HEARTBEAT,
            targets,
            state_digest=self._sender.state_digest(),
            lost_zones=lost_zones,
            loads=chunks[:1] or None,
        )
        for chunk in chunks[1:]:
            payload_bytes += self._sender.send(DatagramKind.HEARTBEAT, targets, loads=[chunk])
        return payload_bytes
