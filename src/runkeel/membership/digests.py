"""Finds nodes whose replicated state differs for more than a moment."""

from __future__ import annotations

import random

CONSECUTIVE_DIFFERENCES = 2
_MAXIMUM_PEERS = 4_096


class DigestMonitor:
    """Counts how often in a row a node's state digest, when heard, differed from ours."""

    def __init__(self) -> None:
        self.own: int | None = None
        self._differences: dict[str, int] = {}

    def publish(self, digest: int) -> None:
        """Set this node's own digest, a 64-bit number with or without sign."""
        digest &= (1 << 64) - 1
        self.own = digest - (1 << 64) if digest >= 1 << 63 else digest

    def hear(self, node_id: str, digest: int) -> None:
        """Compare the digest of a node's heartbeat or probe."""
        if self.own is None or digest == self.own:
            self._differences.pop(node_id, None)
        elif node_id in self._differences or len(self._differences) < _MAXIMUM_PEERS:
            self._differences[node_id] = self._differences.get(node_id, 0) + 1

    def take(self) -> str | None:
        """Return a node that has differed long enough, at random, and count it anew."""
        found = [
            node_id
            for node_id, count in self._differences.items()
            if count >= CONSECUTIVE_DIFFERENCES
        ]
        if not found:
            return None
        chosen = random.choice(found)
        del self._differences[chosen]
        return chosen
