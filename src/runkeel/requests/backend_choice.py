"""The back ends that this node owns, and the choice among those of one pool.

The choice rests on the owner's own counts, which are exact and current; the engine's lagging report
only adds work that the owner did not send itself.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from runkeel.api.interfaces import Configuration, EngineDirectory, MachineView, Ownership
from runkeel.api.machines import EngineStatus, Machine, MachineKind
from runkeel.backends.application import ApplicationClient
from runkeel.backends.engine import EngineClient
from runkeel.requests.baselines import Baseline
from runkeel.requests.metrics import PREFIX_HITS
from runkeel.requests.outliers import OutlierState
from runkeel.requests.prefix_cache import PrefixBelief

ROLLOUT_RANK = 1_000
ROLLOUTS_WAITING_PER_ENGINE = 4
"""Rollouts beyond an engine's slots, so that one begins in the step after another has ended."""
PREFIX_BONUS = 0.3
"""How much more loaded, as a fraction of its slots, an engine may be to be chosen for its cache."""
FOREIGN_LOAD_WEIGHT = 0.5
SERVE_ROLE = "serve"
ROLLOUT_ROLE = "rollout"


@dataclass(frozen=True, slots=True)
class PoolId:
    """A service (kind APPLICATION) or a model (kind ENGINE)."""

    kind: MachineKind
    name: str


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Configured limits of one pool."""

    max_in_flight: int
    max_queue: int
    rollout_share: float


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of a back end.

    Attributes:
        rank: priority rank, 0 the most urgent; rollouts have 1000.
        member: whose request it is; members share a queue fairly.
        avoid: back end to use only if there is no other.
        prefix: key of the prompt's prefix, or None.
    """

    pool: PoolId
    rank: int
    member: str = ""
    avoid: str = ""
    minimum_version: int = 0
    prefix: int | None = None

    @property
    def is_rollout(self) -> bool:
        """Whether this is a trainer's work, not a caller's."""
        return self.rank >= ROLLOUT_RANK


@dataclass(slots=True, eq=False)
class Backend:
    """An owned back end with the owner's counts."""

    machine: Machine
    client: Any
    outlier: OutlierState
    callers: int = 0
    rollouts: int = 0
    last_used: int = 0
    prefixes: PrefixBelief = field(default_factory=PrefixBelief)

    @property
    def backend_id(self) -> str:
        """Id in the machine list."""
        return self.machine.machine_id

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
        return self.callers + self.rollouts


def make_client(machine: Machine) -> ApplicationClient | EngineClient:
    """Return the client for a back end of its kind."""
    return (
        EngineClient(machine) if machine.kind is MachineKind.ENGINE else ApplicationClient(machine)
    )


class OwnedBackends:
    """The owned back ends by pool."""

    def __init__(
        self,
        configuration: Configuration,
        machines: MachineView,
        ownership: Ownership,
        engines: EngineDirectory,
        client_factory: Callable[[Machine], Any] = make_client,
        baseline: Baseline | None = None,
    ) -> None:
        self._configuration = configuration
        self._machines = machines
        self._ownership = ownership
        self._engines = engines
        self._client_factory = client_factory
        self._baseline = baseline
        self._by_id: dict[str, Backend] = {}
        self._by_pool: dict[PoolId, list[Backend]] = {}
        self._uses = 0

    def refresh(self) -> None:
        """Take over the set of owned back ends; counts of those that stay are kept."""
        owned = {machine.machine_id: machine for machine in self._ownership.owned()}
        for backend_id in [key for key in self._by_id if key not in owned]:
            self._by_id.pop(backend_id).client.close()
        for machine in owned.values():
            known = self._by_id.get(machine.machine_id)
            if known is not None and known.machine.http == machine.http:
                known.machine = machine
            elif machine.http is not None and machine.pool:
                if known is not None:
                    known.client.close()
                self._by_id[machine.machine_id] = Backend(
                    machine, self._client_factory(machine), OutlierState(machine.machine_id)
                )
        self._by_pool = {}
        for backend in self._by_id.values():
            pool = PoolId(backend.machine.kind, backend.machine.pool)
            self._by_pool.setdefault(pool, []).append(backend)

    def close(self) -> None:
        """Close all connections."""
        for backend in self._by_id.values():
            backend.client.close()

    def pools(self) -> tuple[PoolId, ...]:
        """Return the pools of which this node owns a back end."""
        return tuple(self._by_pool)

    def limits(self, pool: PoolId) -> PoolLimits | None:
        """Return a pool's limits, or None when it is not configured."""
        if pool.kind is MachineKind.ENGINE:
            model = self._configuration.model(pool.name)
            if model is None:
                return None
            return PoolLimits(
                model.max_in_flight_per_backend, model.max_queue_per_backend, model.rollout_share
            )
        service = self._configuration.service(pool.name)
        if service is None:
            return None
        return PoolLimits(service.max_in_flight_per_backend, service.max_queue_per_backend, 0.0)

    def accepts_work(self, backend: Backend) -> bool:
        """Return whether new work may go to the back end at all."""
        backend_id = backend.backend_id
        if self._by_id.get(backend_id) is not backend:
            return False
        if self._machines.is_leaving(backend_id) or self._configuration.is_draining(backend_id):
            return False
        is_engine = backend.machine.kind is MachineKind.ENGINE
        return not is_engine or self._engines.in_service(backend_id)

    def eligible(self, pool: PoolId) -> list[Backend]:
        """Return the pool's back ends that may get work; ejected ones only if all are ejected."""
        working = [b for b in self._by_pool.get(pool, ()) if self.accepts_work(b)]
        return _not_ejected(working) or working

    def healthy(self, pool: PoolId) -> list[Backend]:
        """Return the pool's back ends that may get work and are not ejected; maybe none."""
        return _not_ejected(self.eligible(pool))

    def slots(self, backend: Backend, limits: PoolLimits) -> int:
        """Return how many requests the back end may hold now."""
        slots = limits.max_in_flight
        status = self._status(backend)
        if status is not None and status.max_running > 0:
            slots = min(slots, status.max_running)
        return max(1, math.ceil(slots * backend.outlier.share(time.monotonic())))

    def total_slots(self, pool: PoolId) -> int:
        """Return the slots of all eligible back ends of a pool."""
        limits = self.limits(pool)
        if limits is None:
            return 0
        return sum(self.slots(backend, limits) for backend in self.eligible(pool))

    def healthy_slots(self, pool: PoolId) -> int:
        """Return the slots of the back ends that are not ejected."""
        limits = self.limits(pool)
        if limits is None:
            return 0
        return sum(self.slots(backend, limits) for backend in self.healthy(pool))

    def could_serve(self, demand: Demand) -> bool:
        """Return whether some back end may run such a request, now or after others end."""
        return any(self._fits(backend, demand) for backend in self.eligible(demand.pool))

    def choose(self, demand: Demand, callers_present: bool) -> Backend | None:
        """Return the least loaded fitting back end with a free slot, or None.

        Args:
            callers_present: rollouts keep to their share of the slots.
        """
        limits = self.limits(demand.pool)
        if limits is None:
            return None
        with_room: dict[Backend, int] = {}
        for backend in self.eligible(demand.pool):
            slots = self.slots(backend, limits)
            if self._fits(backend, demand) and _has_room(
                backend, demand, slots, limits.rollout_share, callers_present
            ):
                with_room[backend] = slots
        if not with_room:
            return None
        if self._baseline is not None and not demand.is_rollout:
            return _choose_by_baseline(self._baseline, demand, with_room)
        return min(
            with_room,
            key=lambda each: (self._score(each, demand, with_room[each]), each.last_used),
        )

    def take(self, backend: Backend, demand: Demand) -> None:
        """Count a request against the back end."""
        self._uses += 1
        backend.last_used = self._uses
        if demand.is_rollout:
            backend.rollouts += 1
        else:
            backend.callers += 1
        if demand.prefix is not None:
            if backend.prefixes.holds(demand.prefix):
                PREFIX_HITS.inc()
            backend.prefixes.add(demand.prefix)

    def give_back(self, backend: Backend, demand: Demand) -> None:
        """End what :meth:`take` began."""
        if demand.is_rollout:
            backend.rollouts -= 1
        else:
            backend.callers -= 1

    def versions(self, pool: PoolId) -> Iterator[int]:
        """Yield the weight versions that the pool's engines report."""
        for backend in self.eligible(pool):
            status = self._status(backend)
            if status is not None:
                yield status.weight_version

    def _status(self, backend: Backend) -> EngineStatus | None:
        if backend.machine.kind is not MachineKind.ENGINE:
            return None
        return self._engines.status(backend.backend_id)

    def _fits(self, backend: Backend, demand: Demand) -> bool:
        if backend.machine.kind is not MachineKind.ENGINE:
            return True
        forbidden = SERVE_ROLE if demand.is_rollout else ROLLOUT_ROLE
        if self._configuration.engine_role(backend.backend_id).role == forbidden:
            return False
        status = self._engines.status(backend.backend_id)
        if status is None:
            return demand.minimum_version == 0
        return status.role != forbidden and status.weight_version >= demand.minimum_version

    def _score(self, backend: Backend, demand: Demand, slots: int) -> float:
        score = backend.in_flight / slots
        status = self._status(backend)
        if status is not None:
            foreign = max(0, status.running + status.waiting - backend.in_flight)
            score += FOREIGN_LOAD_WEIGHT * foreign / slots
        if demand.prefix is not None and backend.prefixes.holds(demand.prefix):
            score -= PREFIX_BONUS
        if backend.backend_id == demand.avoid:
            score += slots
        return score


def _not_ejected(backends: list[Backend]) -> list[Backend]:
    now = time.monotonic()
    return [backend for backend in backends if not backend.outlier.is_ejected(now)]


def _has_room(
    backend: Backend, demand: Demand, slots: int, rollout_share: float, callers_present: bool
) -> bool:
    """Return whether the back end may get the request now.

    A caller doesn't wait for rollouts: the engine preempts them by priority.
    """
    if not demand.is_rollout:
        return backend.callers < slots
    if callers_present:
        return backend.in_flight < slots and backend.rollouts < math.floor(slots * rollout_share)
    return backend.in_flight < slots + ROLLOUTS_WAITING_PER_ENGINE


def _choose_by_baseline(
    baseline: Baseline, demand: Demand, with_room: dict[Backend, int]
) -> Backend:
    """Return a back end chosen by the slots of those with room, whatever their load."""
    others = [each for each in with_room if each.backend_id != demand.avoid]
    by_id = {each.backend_id: each for each in others or with_room}
    weights = {backend_id: with_room[each] for backend_id, each in by_id.items()}
    return by_id[baseline.choose(demand.pool, weights)]
