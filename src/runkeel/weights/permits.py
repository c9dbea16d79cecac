"""Grants of swap permits: who may load weights now.

The table of one coordinator, without I/O tasks of its own. Each owner declares all that it
wants and holds; the declaration renews its leases, and what it no longer names is released.
"""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections.abc import Callable
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
        evaluation = _Evaluation(self._owners, self._model_limit)
        store_limit = self._store_limit()
        granted: set[str] = set()
        while len(evaluation.held) < store_limit:
            choice = evaluation.next()
            if choice is None:
                break
            owner_id, key = choice
            del self._owners[owner_id].wants[key]
            self._owners[owner_id].holds.add(key)
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


class _Evaluation:
    """One round of grants: the zone with the fewest holds first, then the owner with the fewest.

    Wants of a model that is full are dropped for the round. A grant costs a heap operation,
    whatever the number of owners.
    """

    def __init__(self, owners: dict[str, _Owner], model_limit: Callable[[str], int]) -> None:
        self._model_limit = model_limit
        self.held: set[SwapKey] = set()
        self._by_model: Counter[str] = Counter()
        self._by_zone: Counter[str] = Counter()
        self._pending: dict[str, list[SwapKey]] = {}
        """Wants of each owner, the longest waiting last."""
        self._heaps: dict[str, list[tuple[int, float, str]]] = {}
        """Owners of each zone: holds, since when they wait, id."""
        for owner in owners.values():
            for key in owner.holds:
                self._count(owner.zone, key)
        for owner_id, owner in owners.items():
            if owner.wants:
                self._add_wants(owner_id, owner)

    def next(self) -> tuple[str, SwapKey] | None:
        """Return the want to grant next and count it as held, or None."""
        while self._heaps:
            zone = min(self._heaps, key=lambda name: (self._by_zone[name], self._heaps[name][0]))
            holds, since, owner_id = heapq.heappop(self._heaps[zone])
            key = self._next_want(owner_id)
            if key is not None:
                heapq.heappush(self._heaps[zone], (holds + 1, since, owner_id))
                self._count(zone, key)
                return owner_id, key
            if not self._heaps[zone]:
                del self._heaps[zone]
        return None

    def _add_wants(self, owner_id: str, owner: _Owner) -> None:
        wants = sorted(
            owner.wants, key=lambda key: (owner.wants[key], key.backend_id), reverse=True
        )
        self._pending[owner_id] = wants
        entry = (len(owner.holds), owner.wants[wants[-1]], owner_id)
        heapq.heappush(self._heaps.setdefault(owner.zone, []), entry)

    def _next_want(self, owner_id: str) -> SwapKey | None:
        pending = self._pending[owner_id]
        while pending:
            key = pending.pop()
            full = self._by_model[key.model] >= self._model_limit(key.model)
            if not full and key not in self.held:
                return key
        return None

    def _count(self, zone: str, key: SwapKey) -> None:
        """Count a held permit; an engine that two owners hold counts once."""
        if key in self.held:
            return
        self.held.add(key)
        self._by_model[key.model] += 1
        self._by_zone[zone] += 1
