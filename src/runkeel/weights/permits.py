"""Grants of swap permits: who may load weights now.

The table of one coordinator, without I/O tasks of its own. Each owner declares all that it
wants and holds; the declaration renews its leases, and what it no longer names is released.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from runkeel.weights import metrics

LEASE_SECONDS = 5.0
MAXIMUM_WANTS_PER_OWNER = 1_000


@dataclass(frozen=True, slots=True)
class SwapKey:
    """An engine that wants to swap, and its model."""

    model: str
    backend_id: str


@dataclass(slots=True)
class _Owner:
    """Latest declaration of one owner."""

    zone: str
    incarnation: int = -1
    sequence: int = -1
    expires_at: float = 0.0
    wants: dict[SwapKey, float] = field(default_factory=dict)
    """Wanted engines and since when."""
    holds: set[SwapKey] = field(default_factory=set)

    def oldest_want(self) -> float:
        """Return since when the engine that has waited longest waits."""
        return min(self.wants.values(), default=0.0)


class PermitTable:
    """Decides which engines may swap, fairly across zones and owners.

    Args:
        model_limit: largest number of a model's engines that may swap at the same time.
        store_limit: largest number of loads that the weight store bears, over all models.
    """

    def __init__(
        self,
        model_limit: Callable[[str], int],
        store_limit: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._model_limit = model_limit
        self._store_limit = store_limit
        self._clock = clock
        self._owners: dict[str, _Owner] = {}

    def clear(self) -> None:
        """Forget everything: this node is not the coordinator any more."""
        self._owners.clear()

    def declare(
        self,
        owner_id: str,
        zone: str,
        incarnation: int,
        sequence: int,
        wants: list[SwapKey],
        holds: list[SwapKey],
    ) -> bool:
        """Replace what an owner wants and holds; return False for an overtaken declaration."""
        owner = self._owners.setdefault(owner_id, _Owner(zone))
        if (incarnation, sequence) <= (owner.incarnation, owner.sequence):
            return False
        now = self._clock()
        owner.zone = zone
        owner.incarnation, owner.sequence = incarnation, sequence
        owner.expires_at = now + LEASE_SECONDS
        wanted = wants[:MAXIMUM_WANTS_PER_OWNER]
        owner.wants = {key: owner.wants.get(key, now) for key in wanted}
        owner.holds = set(holds)
        return True

    def is_latest(self, owner_id: str, incarnation: int, sequence: int) -> bool:
        """Return whether this is still the owner's latest declaration."""
        owner = self._owners.get(owner_id)
        return owner is not None and (owner.incarnation, owner.sequence) == (incarnation, sequence)

    def grant(self) -> set[str]:
        """Turn wants into holds while the limits allow; return the owners that got some."""
        self._expire()
        usage = _Usage(self._owners.values())
        store_limit = self._store_limit()
        granted: set[str] = set()
        while len(usage.held) < store_limit:
            choice = self._next(usage)
            if choice is None:
                break
            owner_id, key = choice
            owner = self._owners[owner_id]
            del owner.wants[key]
            owner.holds.add(key)
            usage.add(owner, key)
            metrics.PERMITS_GRANTED.inc()
            granted.add(owner_id)
        return granted

    def holds_of(self, owner_id: str) -> set[SwapKey]:
        """Return the engines of an owner that may swap now."""
        owner = self._owners.get(owner_id)
        return set(owner.holds) if owner is not None else set()

    def holds(self) -> list[SwapKey]:
        """Return all engines that may swap now."""
        return [key for owner in self._owners.values() for key in owner.holds]

    def wanted(self) -> int:
        """Return how many engines wait for a permit."""
        return sum(len(owner.wants) for owner in self._owners.values())

    def _expire(self) -> None:
        now = self._clock()
        for owner_id, owner in tuple(self._owners.items()):
            if owner.expires_at <= now:
                metrics.PERMITS_EXPIRED.inc(len(owner.holds))
                del self._owners[owner_id]

    def _next(self, usage: _Usage) -> tuple[str, SwapKey] | None:
        """Return the want to grant next: fewest holds in its zone, then of its owner, oldest."""
        by_need = sorted(
            ((owner_id, owner) for owner_id, owner in self._owners.items() if owner.wants),
            key=lambda item: (
                usage.by_zone[item[1].zone],
                len(item[1].holds),
                item[1].oldest_want(),
                item[0],
            ),
        )
        for owner_id, owner in by_need:
            for key in sorted(owner.wants, key=lambda key: (owner.wants[key], key.backend_id)):
                full = usage.by_model[key.model] >= self._model_limit(key.model)
                if not full and key not in usage.held:
                    return owner_id, key
        return None


class _Usage:
    """Counts of held permits while grants are made."""

    def __init__(self, owners: Iterable[_Owner]) -> None:
        self.held: set[SwapKey] = set()
        self.by_model: Counter[str] = Counter()
        self.by_zone: Counter[str] = Counter()
        for owner in owners:
            for key in owner.holds:
                self.add(owner, key)

    def add(self, owner: _Owner, key: SwapKey) -> None:
        """Count a held permit; an engine that two owners hold counts once."""
        if key in self.held:
            return
        self.held.add(key)
        self.by_model[key.model] += 1
        self.by_zone[owner.zone] += 1
