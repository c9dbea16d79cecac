"""Emulation of the links between zones; the default leaves traffic alone."""

from __future__ import annotations


class LinkPolicy:
    """How traffic between this node and another zone is treated.

    A cut link passes nothing in either direction: connections stall and datagrams are dropped.
    Frames and datagrams to another zone are delivered after the delay, in order, and without
    holding up traffic to other zones.
    """

    def delay_seconds(self, zone: str) -> float:
        """Return the one-way delay added to traffic sent to ``zone``."""
        return 0.0

    def is_cut(self, zone: str) -> bool:
        """Return whether the link between this node and ``zone`` is cut."""
        return False
