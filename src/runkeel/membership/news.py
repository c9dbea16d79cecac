"""Membership news that rides on probes, each item a limited number of times.

The second way that news takes: a datagram of :mod:`runkeel.membership.announcer` may be lost. What
both miss is found by comparing table hashes.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from runkeel.api.machines import Member
from runkeel.membership.datagrams import record_of, record_size
from runkeel.wire.generated.membership.ttypes import MemberRecord

ITEMS_PER_DATAGRAM = 6
NEWS_BYTES = 450
MAXIMUM_ITEMS = 1_024


class NewsQueue:
    """Changed members, the least repeated first."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def add(self, member: Member) -> None:
        """Queue a changed member, replacing older news of it."""
        self._counts.pop(member.node_id, None)
        if len(self._counts) >= MAXIMUM_ITEMS:
            self._counts.pop(max(self._counts, key=self._counts.__getitem__))
        self._counts[member.node_id] = 0

    def take(self, lookup: Callable[[str], Member | None], zone_size: int) -> list[MemberRecord]:
        """Return records for one datagram.

        Args:
            lookup: returns the present member of an id, or None.
        """
        if not self._counts:
            return []
        limit = math.ceil(math.log2(zone_size + 1))
        chosen = sorted(self._counts, key=self._counts.__getitem__)[:ITEMS_PER_DATAGRAM]
        records: list[MemberRecord] = []
        room = NEWS_BYTES
        for node_id in chosen:
            member = lookup(node_id)
            if member is not None:
                record = record_of(member)
                room -= record_size(record)
                if room < 0:
                    break
                records.append(record)
            self._counts[node_id] += 1
            if member is None or self._counts[node_id] >= limit:
                del self._counts[node_id]
        return records
