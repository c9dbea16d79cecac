"""When configuration changes came into force, from what the nodes report."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Change:
    """An accepted change."""

    object_name: str
    generation: int
    accepted_at: float


class SpreadLog:
    """Accepted changes, and the generations that nodes have taken."""

    def __init__(self) -> None:
        self.changes: list[Change] = []
        self._taken: dict[tuple[str, str], list[tuple[int, float]]] = defaultdict(list)

    def accept(self, change: Change) -> None:
        """Note a change that an operator was told is accepted."""
        self.changes.append(change)

    def take(self, object_name: str, generation: int, node_id: str, at: float) -> None:
        """Note that a node has an object in a generation."""
        self._taken[(object_name, node_id)].append((generation, at))

    def seconds_to_all(self, change: Change, node_ids: list[str]) -> float | None:
        """Return the time from acceptance until the last node had the change or a later one.

        Returns:
            None when some node never had it.
        """
        moments = [self._moment(change, node_id) for node_id in node_ids]
        if any(moment is None for moment in moments):
            return None
        # A node may take a change before the command's answer arrives.
        return max(0.0, max(moments) - change.accepted_at)

    def latest(self) -> dict[str, int]:
        """Return the last accepted generation of each object."""
        generations: dict[str, int] = {}
        for change in self.changes:
            known = generations.get(change.object_name, 0)
            generations[change.object_name] = max(known, change.generation)
        return generations

    def _moment(self, change: Change, node_id: str) -> float | None:
        taken = self._taken.get((change.object_name, node_id), ())
        return min(
            (at for generation, at in taken if generation >= change.generation), default=None
        )
