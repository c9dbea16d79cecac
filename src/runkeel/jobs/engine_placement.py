"""Chooses an engine for an item by free slots, weight version, speed and group affinity."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from runkeel.api.jobs import BatchJob, JobItem
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.gateway.indexed_set import IndexedSet
from runkeel.jobs.engine_speeds import EngineSpeeds, RunSample

GROUP_BONUS = 0.2
"""Cost reduction, as a fraction of its slots, of an engine that has run the item's group."""

SLOWDOWN_COST = 0.5
"""Cost, as a fraction of its slots, of an engine that is twice as slow as the fastest.

Applies to an item of typical length and scales with the item's length.
"""

MAX_RELATIVE_LENGTH = 4.0
"""Upper bound of an item's length in cost calculations, as a multiple of the typical length."""

OLD_VERSION_COST = 0.1
"""Cost of an engine with the oldest version that a job accepts, as a fraction of its slots.

Such an engine is the next to load a version, which pauses its runs. Applies to an item of typical
length and scales with the item's length.
"""

MIN_SLOWDOWN = 1.15
"""Smallest ratio of two slowdowns that is treated as a difference; smaller ones are noise."""

MAX_GROUPS = 4_000
"""Upper bound of groups whose engine is recorded; the oldest are evicted first."""

MAX_CANDIDATES = 32
"""Size of the random sample of engines with a free slot from which one is selected.

All are considered if there are fewer. The sample bounds the time of a choice, whatever the size of
the fleet.
"""

MAX_DRAWS = 3
"""Upper bound of the samples drawn for one choice, as a sample may contain no usable engine.

For example, few engines may have loaded a new version yet.
"""


class EnginePlacement:
    """Tracks the free slots, weight versions and speed of engines.

    Args:
        is_loading: returns whether an engine is loading a version of a model, and therefore
            accepts no items of that model.

    Attributes:
        versions: latest known weight version by engine incarnation and model.
    """

    def __init__(self, directory: BackendDirectory, is_loading: Callable[[str, str], bool]) -> None:
        self._directory = directory
        self._is_loading = is_loading
        self._used_slots: dict[str, int] = {}
        self._groups: dict[tuple[str, str], str] = {}
        self._free_engines: dict[str, IndexedSet[BackendState]] = {}
        """Engines with a free slot, by service."""
        self._free_engines_revision = -1
        """The directory's ``membership_changes`` when the index was built."""
        self._speeds = EngineSpeeds()
        self.versions: dict[tuple[str, str], int] = {}

    def slots_in_use(self, incarnation: str) -> int:
        """Return the number of slots of an engine that are taken."""
        return self._used_slots.get(incarnation, 0)

    def acquire_slot(self, engine: BackendState) -> None:
        self._used_slots[engine.incarnation] = self.slots_in_use(engine.incarnation) + 1
        self._update_free_engines(engine)

    def release_slot(self, engine: BackendState) -> None:
        left = self.slots_in_use(engine.incarnation) - 1
        if left > 0:
            self._used_slots[engine.incarnation] = left
        else:
            self._used_slots.pop(engine.incarnation, None)
        self._update_free_engines(engine)

    def forget_versions(self, engine: BackendState) -> None:
        """Discard the versions of an engine that has left or restarted."""
        for key in [key for key in self.versions if key[0] == engine.incarnation]:
            del self.versions[key]

    def record_group(self, job: BatchJob, item: JobItem, engine: BackendState) -> None:
        """Record the engine of an item's group, since it has processed the group's prompt."""
        self._groups[job.job_id, item.group] = engine.incarnation
        while len(self._groups) > MAX_GROUPS:
            self._groups.pop(next(iter(self._groups)))

    def choose(
        self,
        job: BatchJob,
        item: JobItem,
        service: str,
        relative_length: float = 1.0,
        exclude: BackendState | None = None,
        only_version: int = 0,
    ) -> BackendState | None:
        """Return the best engine with a free slot, None when there is none.

        Args:
            relative_length: expected remaining length as a multiple of a typical generation.
            exclude: an engine that must not be selected.
            only_version: engines known to have another weight version are not selected; 0: any.
        """
        length = min(MAX_RELATIVE_LENGTH, relative_length)
        free = self._engines_with_free_slot(service)
        group_engine = free.get(self._groups.get((job.job_id, item.group), ""))
        for _ in range(MAX_DRAWS):
            candidates = free.sample(MAX_CANDIDATES)
            if group_engine is not None:
                candidates.append(group_engine)
            candidates = [
                one
                for one in candidates
                if one is not exclude and self.may_have_version(one, job.model, only_version)
            ]
            best = self._cheapest(job, candidates, group_engine, length)
            if best is not None or len(free) <= MAX_CANDIDATES:
                return best
        return None

    def has_capacity(self, service: str) -> bool:
        """Return whether any engine of a service has a free slot."""
        return bool(self._engines_with_free_slot(service))

    def _cheapest(
        self,
        job: BatchJob,
        candidates: list[BackendState],
        group_engine: BackendState | None,
        length: float,
    ) -> BackendState | None:
        """Return the usable engine of lowest cost; ``group_engine`` has run the item's group."""
        now = steady_seconds()
        best: BackendState | None = None
        best_cost = 0.0
        for state in candidates:
            if state.avoided(now) or not self.usable(job, state):
                continue
            cost = self.slots_in_use(state.incarnation) / max(1, state.backend.slots)
            cost -= GROUP_BONUS if state is group_engine else 0.0
            cost += SLOWDOWN_COST * length * (self._speeds.slowdown(state.incarnation) - 1.0)
            if job.model and self._version(state, job.model) <= job.min_version:
                cost += OLD_VERSION_COST * length
            if best is None or cost < best_cost:
                best, best_cost = state, cost
        return best

    def _engines_with_free_slot(self, service: str) -> IndexedSet[BackendState]:
        if self._free_engines_revision != self._directory.membership_changes:
            self._free_engines_revision = self._directory.membership_changes
            self._free_engines = {}
        free = self._free_engines.get(service)
        if free is None:
            free = self._free_engines[service] = IndexedSet()
            for state in self._directory.of_service(service):
                if self._has_slot(state):
                    free.add(state.incarnation, state)
        return free

    def _update_free_engines(self, engine: BackendState) -> None:
        """Add or remove an engine after its number of used slots has changed."""
        free = self._free_engines.get(engine.backend.service)
        if free is None or self._free_engines_revision != self._directory.membership_changes:
            return
        if not self._has_slot(engine):
            free.discard(engine.incarnation)
        elif engine.backend.accepts_work and self._directory.get(engine.backend_id) is engine:
            free.add(engine.incarnation, engine)

    def _has_slot(self, engine: BackendState) -> bool:
        return self.slots_in_use(engine.incarnation) < max(1, engine.backend.slots)

    def usable(self, job: BatchJob, engine: BackendState) -> bool:
        """Return whether an engine has a weight version that a job accepts and is not loading."""
        if not job.model:
            return True
        if self._is_loading(engine.incarnation, job.model):
            return False
        return self._version(engine, job.model) >= job.min_version

    def may_have_version(self, engine: BackendState, model: str, version: int) -> bool:
        """Return whether an engine's version of a model is this one or unknown; 0 means any."""
        return not version or self._version(engine, model) in (0, version)

    def offers_version(self, service: str, model: str, version: int) -> bool:
        """Return whether an engine of a service may have this version of a model."""
        return any(
            self.may_have_version(engine, model, version)
            for engine in self._directory.of_service(service)
        )

    def observe(self, samples: Iterable[RunSample]) -> None:
        """Update the speed estimates with the events that runs have received so far."""
        self._speeds.observe(samples, steady_seconds())

    def slowdown(self, engine: BackendState) -> float:
        """Return how many times slower an engine is than the fastest one."""
        return self._speeds.slowdown(engine.incarnation)

    def seconds_per_event(self, engine: BackendState) -> float:
        """Return an engine's estimate, or that of the fastest engine if it has none."""
        return self._speeds.seconds_per_event(engine.incarnation)

    def seconds_gained(self, engine: BackendState, other: BackendState, events: float) -> float:
        """Return the seconds saved by generating the events on the other engine.

        0 if the difference is within noise; negative if the other engine is slower.
        """
        slowdown, other_slowdown = self.slowdown(engine), self.slowdown(other)
        if max(slowdown, other_slowdown) < MIN_SLOWDOWN * min(slowdown, other_slowdown):
            return 0.0
        return events * (self.seconds_per_event(engine) - self.seconds_per_event(other))

    def max_seconds_gained(self, engine: BackendState, events: float) -> float:
        """Return the seconds saved on the fastest engine; 0 if the difference is within noise."""
        slowdown = self.slowdown(engine)
        if slowdown < MIN_SLOWDOWN:
            return 0.0
        return events * self.seconds_per_event(engine) * (1.0 - 1.0 / slowdown)

    def _version(self, engine: BackendState, model: str) -> int:
        reported = engine.backend.model_versions.get(model, 0)
        return max(reported, self.versions.get((engine.incarnation, model), 0))
