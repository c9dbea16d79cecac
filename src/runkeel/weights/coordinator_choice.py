"""Which node coordinates swap permits: the highest rendezvous hash among the live nodes.

Two nodes may both believe to be it for a while, for example during a cut; that costs speed (the
weight store answers 429), never correctness: orders are fenced. Rendezvous hashing: Thaler and
Ravishankar, 1998.
"""

from __future__ import annotations

import hashlib

from runkeel.api.interfaces import Membership

_KEY = "weights"


class CoordinatorChoice:
    """The coordinator as this node sees it; hashed anew only when the live nodes change."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._node_id: str | None = None
        membership.on_change(self._forget)

    def node_id(self) -> str:
        """Return the coordinator's node id."""
        if self._node_id is None:
            live = [member.node_id for member in self._membership.live_members()]
            self._node_id = max(live or [self._membership.node_id], key=_weight)
        return self._node_id

    def _forget(self) -> None:
        self._node_id = None


def _weight(node_id: str) -> bytes:
    return hashlib.blake2b(f"{_KEY}|{node_id}".encode(), digest_size=8).digest()
