"""Delays and partitions between zones that tests emulate; the default policy has neither."""

from __future__ import annotations


class LinkPolicy:
    """Delay and partition of the link between this node and each other zone.

    A partitioned link passes no traffic in either direction: connections stall and datagrams are
    dropped. Frames and datagrams to another zone are delivered in order after the delay, without
    delaying traffic to other zones.
    """

    def delay_seconds(self, zone: str) -> float:
        """Return the one-way delay added to traffic to ``zone``, in seconds."""
        return 0.0

    def is_partitioned(self, zone: str) -> bool:
        """Return whether the link between this node and ``zone`` is partitioned."""
        return False
