"""Selects the engines that change their weight version next; sends no orders itself.

Jobs accept versions that are a bounded number behind the newest, so not all engines have to change
with each version. Engines whose version is no longer accepted change first. Then the oldest others
follow, until 1 / (n + 1) of the engines have the newest version, n being the accepted lag. In a
large fleet only as many engines take part as the model's jobs can fill.

An engine takes one order at a time, and the number of concurrent loads is limited. The models of a
service share these loads. Models with urgent engines, whose version is no longer accepted, go
before the others; within each group, the model with the smallest share of the engines that it needs
goes first.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from runkeel.gateway.backends import BackendState

SLOTS_PER_ITEM = 0.75
"""Slots to provide at a model's accepted versions, per item of its peak demand."""

SLOTS_PER_ITEM_BACKLOGGED = 2.5
"""The same, while items wait long for an engine."""

MIN_ENGINES = 2
"""Minimum number of engines of a model, so that one may fail."""

MAX_CACHED_PREFERENCES = 65_536
"""Size of the cache of preferences; one entry per model and engine."""


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Requirements of the batch jobs on a model.

    Attributes:
        min_version: oldest version that every open job accepts.
        max_version_lag: number of versions behind the newest that the latest job accepts.
        items: recent maximum of concurrently open items; None if there was no job yet.
        backlogged: whether items have recently waited long for an engine.
    """

    min_version: int = 0
    max_version_lag: int = 0
    items: int | None = None
    backlogged: bool = False


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """State of one engine with regard to one model.

    Attributes:
        version: version that it has or is changing to.
        running: number of items in flight there, of all models.
        available: whether it may be ordered to change now.
        avoided: whether it has failed recently.
    """

    state: BackendState
    version: int
    running: int
    available: bool
    avoided: bool


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """An engine that is to be ordered to a version now."""

    state: BackendState
    model: str
    version: int


@dataclass(slots=True)
class _ModelPlan:
    """The engines of one model that are to change.

    Attributes:
        needed: number of engines that the model's jobs can fill; all if there was no job yet.
        usable: number of these that have, or are changing to, an accepted version and have not
            failed recently.
        urgent: engines whose version is no longer accepted, in the order of their changes.
        due: engines that change after the urgent ones.
    """

    model: str
    target: int
    needed: int
    usable: int
    urgent: list[BackendState] = field(default_factory=list)
    due: list[BackendState] = field(default_factory=list)

    @property
    def sort_key(self) -> tuple[bool, float]:
        """Sort key of models; the next load goes to the model with the smallest."""
        return not self.urgent, self.usable / max(1, self.needed)

    def pop_next(self, taken: set[str]) -> BackendState | None:
        """Remove and return the next engine that is not yet taken for another model."""
        for queue in (self.urgent, self.due):
            while queue:
                state = queue.pop(0)
                if state.backend_id not in taken:
                    self.usable += 1
                    return state
        return None


def plan_changes(
    engines: list[BackendState],
    targets: dict[str, int],
    demand: Callable[[str], ModelDemand],
    engine_status: Callable[[BackendState, str], EngineStatus],
    max_changes: int,
) -> list[PlannedChange]:
    """Return the changes of a service's engines to start now.

    Args:
        targets: newest version of each model of the service.
        max_changes: maximum number of changes to return.
    """
    plans = [
        _plan_model(
            model, target, demand(model), [engine_status(state, model) for state in engines]
        )
        for model, target in targets.items()
    ]
    changes: list[PlannedChange] = []
    taken: set[str] = set()
    while plans and len(changes) < max_changes:
        plan = min(plans, key=lambda one: one.sort_key)
        state = plan.pop_next(taken)
        if state is None:
            plans.remove(plan)
            continue
        taken.add(state.backend_id)
        changes.append(PlannedChange(state, plan.model, plan.target))
    return changes


def _plan_model(
    model: str, target: int, demand: ModelDemand, statuses: list[EngineStatus]
) -> _ModelPlan:
    selected = _select_engines(model, demand, statuses)
    floor = max(target - demand.max_version_lag, demand.min_version)
    usable = sum(1 for one in selected if one.version >= floor and not one.avoided)
    plan = _ModelPlan(model, target, len(selected), usable)
    quota = -(-len(selected) // (demand.max_version_lag + 1))
    quota -= sum(1 for one in selected if one.version >= target)
    behind = [one for one in selected if one.version < target]
    behind.sort(key=lambda one: (one.version, one.running))
    for one in behind:
        urgent = one.version < floor
        if not urgent and quota <= 0:
            break
        quota -= 1
        if one.available:
            (plan.urgent if urgent else plan.due).append(one.state)
    return plan


def _select_engines(
    model: str, demand: ModelDemand, statuses: list[EngineStatus]
) -> list[EngineStatus]:
    """Return as many engines as the model's jobs can fill, all if there was no job yet.

    Engines with the newest versions are selected first, and engines that have failed recently last.
    Ties are broken by a preference that differs between models, so that they share the fleet.
    """
    if demand.items is None:
        return statuses
    slots = max((one.state.backend.slots for one in statuses), default=1)
    factor = SLOTS_PER_ITEM_BACKLOGGED if demand.backlogged else SLOTS_PER_ITEM
    needed = max(MIN_ENGINES, -(-int(demand.items * factor) // max(1, slots)))
    return _newest_first(model, statuses)[:needed]


def _newest_first(model: str, statuses: Iterable[EngineStatus]) -> list[EngineStatus]:
    def order(one: EngineStatus) -> tuple[bool, int, bytes]:
        return one.avoided, -one.version, _preference(model, one.state.backend_id)

    return sorted(statuses, key=order)


@functools.lru_cache(maxsize=MAX_CACHED_PREFERENCES)
def _preference(model: str, backend_id: str) -> bytes:
    """Return the sort key by which a model prefers engines: a hash of both names."""
    return hashlib.blake2b(f"{model}/{backend_id}".encode(), digest_size=8).digest()
