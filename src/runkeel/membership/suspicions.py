"""Timers of suspected nodes: each may prove within a time that it is alive."""

from __future__ import annotations

SUSPICION_SECONDS = 0.9
"""Time in which a suspected node may prove that it is alive."""


class Suspicions:
    """When the nodes that are suspected now will count as dead."""

    def __init__(self) -> None:
        self._ends_at: dict[str, float] = {}

    def begin(self, node_id: str, now: float) -> None:
        """Start a node's timer, unless it runs already."""
        self._ends_at.setdefault(node_id, now + SUSPICION_SECONDS)

    def end(self, node_id: str) -> None:
        """Stop a node's timer."""
        self._ends_at.pop(node_id, None)

    def postpone(self, seconds: float) -> None:
        """Move all ends: this process stood still and could not hear any proof."""
        self._ends_at = {node_id: at + seconds for node_id, at in self._ends_at.items()}

    def take_expired(self, now: float) -> list[str]:
        """Return the nodes whose time is over, and forget their timers."""
        expired = [node_id for node_id, at in self._ends_at.items() if now >= at]
        for node_id in expired:
            del self._ends_at[node_id]
        return expired
