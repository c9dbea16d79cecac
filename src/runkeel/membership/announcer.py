"""Tells all nodes of the zone directly of a change that enters the zone at this node.

Suspicions and refutations must be known everywhere within a fraction of a second, so they are
not left to the news that rides on probes. Changes are rare, and are bundled.
"""

from __future__ import annotations

import random

from runkeel.membership.datagrams import RECORDS_BYTES, record_of, split_records
from runkeel.membership.limits import TokenBucket
from runkeel.membership.synchronizer import Sender
from runkeel.membership.table import MemberTable
from runkeel.wire.generated.membership.ttypes import DatagramKind

SPREAD_SECONDS = 0.5
"""Several nodes hear the same news of another zone; those that would tell later then need not."""

BYTES_PER_SECOND = 10_000
BURST_BYTES = 60_000
MAXIMUM_PENDING = 4_096


class Announcer:
    """Sends pending changes when they are due, within a budget of bytes."""

    def __init__(self, sender: Sender, table: MemberTable) -> None:
        self._sender = sender
        self._table = table
        self._due_at: dict[str, float] = {}
        self._budget = TokenBucket(BYTES_PER_SECOND, BURST_BYTES)

    def add(self, node_id: str, now: float) -> None:
        """Announce a node's record soon, unless a zone mate does it first."""
        if len(self._due_at) < MAXIMUM_PENDING:
            self._due_at[node_id] = now + random.uniform(0.0, SPREAD_SECONDS)

    def add_urgent(self, node_id: str, now: float) -> None:
        """Announce a node's record at once."""
        self._due_at[node_id] = now
        self.tick(now)

    def heard(self, node_id: str) -> None:
        """Drop what a zone mate has announced."""
        self._due_at.pop(node_id, None)

    def tick(self, now: float) -> None:
        """Send a datagram's worth of what is due, the longest due first."""
        due = sorted((at, node_id) for node_id, at in self._due_at.items() if at <= now)
        if not due:
            return
        members = self._table.live_in(self._sender.zone)
        targets = [member for member in members if member.node_id != self._sender.node_id]
        if not self._budget.take(now, min(BURST_BYTES, len(targets) * RECORDS_BYTES // 4)):
            return
        found = [self._table.get(node_id) for _, node_id in due]
        records = [record_of(member) for member in found if member is not None]
        sent = split_records(records)[0] if records else []
        for node_id in {record.node_id for record in sent} | self._unknown(due):
            del self._due_at[node_id]
        self._sender.send(DatagramKind.NEWS, targets, records=sent)

    def _unknown(self, due: list[tuple[float, str]]) -> set[str]:
        return {node_id for _, node_id in due if self._table.get(node_id) is None}
