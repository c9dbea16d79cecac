"""Chooses the engines that change their weight version next; sends nothing itself.

Jobs accept versions that are some way behind the newest. So at each version only a part of a
model's engines is moved: those that the jobs no longer accept, and of the rest the oldest, so many
that after as many versions as the jobs accept every engine has had its turn. In a large fleet only
as many engines take part as the model's jobs can fill.

An engine takes one order at a time, and few may load at once. The models of a service therefore
share the orders: the next one goes to the model that has the smallest part of the engines it needs.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from runkeel.gateway.backends import BackendState

COMMON_FACTOR = 0.75
"""Engines are kept at a model's versions for so large a part of its open items at once."""

PRESSED_FACTOR = 2.5
"""The same, while items have to wait for an engine."""

LEAST_ENGINES = 2
"""Fewest engines of a model at its newest version, so that one may fail."""

MAXIMUM_PREFERENCES = 65_536
"""Models times engines whose order is remembered: some 7 models on 4,200 engines, twice."""


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """What batch jobs accept of a model.

    Attributes:
        minimum_version: oldest version that every open job accepts.
        slack: versions behind the newest that the latest job accepts.
        items: most items that were open at once lately; None when no job has come yet.
        pressed: items have lately waited long for an engine.
    """

    minimum_version: int = 0
    slack: int = 0
    items: int | None = None
    pressed: bool = False


@dataclass(frozen=True, slots=True)
class EngineStanding:
    """What is known of one engine and one model.

    Attributes:
        version: what it has or is under way to.
        running: items that run there, of all models.
        available: it may be ordered to change now.
        avoided: it has failed lately.
    """

    state: BackendState
    version: int
    running: int
    available: bool
    avoided: bool


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """An engine that is to change now."""

    state: BackendState
    model: str
    version: int


@dataclass(slots=True)
class _ModelPlan:
    """The engines of one model that are to be moved.

    Attributes:
        needed: engines that the model's jobs can fill.
        usable: of these, those whose version the jobs accept or will when under way.
        urgent: engines that the jobs no longer accept, in the order of their turn.
        due: further engines whose turn it is.
    """

    model: str
    target: int
    needed: int
    usable: int
    urgent: list[BackendState] = field(default_factory=list)
    due: list[BackendState] = field(default_factory=list)

    @property
    def urgency(self) -> tuple[bool, float]:
        """Order among models: the smallest first."""
        return not self.urgent, self.usable / max(1, self.needed)

    def take(self, taken: set[str]) -> BackendState | None:
        """Take the engine whose turn it is, of those not taken for another model."""
        for waiting in (self.urgent, self.due):
            while waiting:
                state = waiting.pop(0)
                if state.backend_id not in taken:
                    self.usable += 1
                    return state
        return None


def plan_changes(
    engines: list[BackendState],
    targets: dict[str, int],
    demand: Callable[[str], ModelDemand],
    standing: Callable[[BackendState, str], EngineStanding],
    room: int,
) -> list[PlannedChange]:
    """Return the engines of a service to order now.

    Args:
        targets: newest version of each model of the service.
        room: so many more engines of the service may load.
    """
    plans = [
        _plan_model(model, target, demand(model), [standing(state, model) for state in engines])
        for model, target in targets.items()
    ]
    changes: list[PlannedChange] = []
    taken: set[str] = set()
    while plans and len(changes) < room:
        plan = min(plans, key=lambda one: one.urgency)
        state = plan.take(taken)
        if state is None:
            plans.remove(plan)
            continue
        taken.add(state.backend_id)
        changes.append(PlannedChange(state, plan.model, plan.target))
    return changes


def _plan_model(
    model: str, target: int, demand: ModelDemand, standings: list[EngineStanding]
) -> _ModelPlan:
    in_use = _in_use(model, demand, standings)
    floor = max(target - demand.slack, demand.minimum_version)
    usable = sum(1 for one in in_use if one.version >= floor and not one.avoided)
    plan = _ModelPlan(model, target, len(in_use), usable)
    share = -(-len(in_use) // (demand.slack + 1))
    share -= sum(1 for one in in_use if one.version >= target)
    behind = [one for one in in_use if one.version < target]
    behind.sort(key=lambda one: (one.version, one.running))
    for one in behind:
        urgent = one.version < floor
        if not urgent and share <= 0:
            break
        share -= 1
        if one.available:
            (plan.urgent if urgent else plan.due).append(one.state)
    return plan


def _in_use(
    model: str, demand: ModelDemand, standings: list[EngineStanding]
) -> list[EngineStanding]:
    """Return as many engines as the model's jobs can fill, those that are furthest first.

    Among equals each model prefers other engines, so that the models share the fleet.
    """
    if demand.items is None:
        return standings
    slots = max((one.state.backend.slots for one in standings), default=1)
    factor = PRESSED_FACTOR if demand.pressed else COMMON_FACTOR
    needed = max(LEAST_ENGINES, -(-int(demand.items * factor) // max(1, slots)))
    return _furthest(model, standings)[:needed]


def _furthest(model: str, standings: Iterable[EngineStanding]) -> list[EngineStanding]:
    def order(one: EngineStanding) -> tuple[bool, int, bytes]:
        return one.avoided, -one.version, _preference(model, one.state.backend_id)

    return sorted(standings, key=order)


@functools.lru_cache(maxsize=MAXIMUM_PREFERENCES)
def _preference(model: str, backend_id: str) -> bytes:
    """Return a model's own order among engines."""
    return hashlib.blake2b(f"{model}/{backend_id}".encode(), digest_size=8).digest()
