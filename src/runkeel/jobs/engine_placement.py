"""Chooses the engine for an item: free slots, versions, speed, and where its group has run."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from runkeel.api.jobs import BatchJob, JobItem
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.gateway.indexed_set import IndexedSet
from runkeel.jobs.engine_speeds import EngineSpeeds, RunSample

GROUP_BONUS = 0.2
"""How much fuller, as a share of its slots, an engine may be that has run the same group."""

SLOWNESS_COST = 0.5
"""Cost of an engine that is twice as slow as the fastest, as a share of its slots.

For an item of typical length; it rises with the item's length.
"""

LARGEST_RELATIVE_LENGTH = 4.0
"""An item counts as at most so many times the usual length. Chosen, not measured."""

OLD_VERSION_COST = 0.1
"""Cost of an engine with the oldest version that a job accepts: it is the next to load another.

For an item of typical length; it rises with the item's length, as a load halts what runs.
"""

SLOWER_ENGINE = 1.15
"""An engine counts as slower than another from this ratio on: estimates are not exact."""

MAXIMUM_GROUPS = 4_000
"""Most groups whose engine is remembered; the oldest are forgotten. Chosen, not measured."""

CANDIDATES = 32
"""An item's engine is chosen among so many engines with room, all of them where there are no more.

Looking at one takes 1 to 2 us, so that a choice takes less than 100 us at any size of the fleet.
"""

DRAWS = 3
"""So often other candidates are drawn when none is usable, as while few have a new version."""


class EnginePlacement:
    """What the coordinator knows of the engines' room, versions and speed.

    Args:
        is_loading: tells whether an engine takes no items of a model because it loads a version.

    Attributes:
        versions: latest known version by engine and model, from reports, answers and orders.
    """

    def __init__(self, directory: BackendDirectory, is_loading: Callable[[str, str], bool]) -> None:
        self._directory = directory
        self._is_loading = is_loading
        self._loads: dict[str, int] = {}
        self._groups: dict[tuple[str, str], str] = {}
        self._rooms: dict[str, IndexedSet[BackendState]] = {}
        """Engines with a free slot, by service."""
        self._rooms_as_of = -1
        """Changes of the directory's membership that the engines with room reflect."""
        self._speeds = EngineSpeeds()
        self.versions: dict[tuple[str, str], int] = {}

    def load(self, incarnation: str) -> int:
        """Return the number of slots of an engine that are taken."""
        return self._loads.get(incarnation, 0)

    def take(self, engine: BackendState) -> None:
        """Take a slot."""
        self._loads[engine.incarnation] = self.load(engine.incarnation) + 1
        self._update_room(engine)

    def release(self, engine: BackendState) -> None:
        """Give a slot back."""
        left = self.load(engine.incarnation) - 1
        if left > 0:
            self._loads[engine.incarnation] = left
        else:
            self._loads.pop(engine.incarnation, None)
        self._update_room(engine)

    def forget(self, engine: BackendState) -> None:
        """Forget what an engine had loaded: it is gone, or has started anew."""
        for key in [key for key in self.versions if key[0] == engine.incarnation]:
            del self.versions[key]

    def note_group(self, job: BatchJob, item: JobItem, engine: BackendState) -> None:
        """Remember where an item of a group runs; its prompt is there."""
        self._groups[job.job_id, item.group] = engine.incarnation
        while len(self._groups) > MAXIMUM_GROUPS:
            self._groups.pop(next(iter(self._groups)))

    def choose(
        self,
        job: BatchJob,
        item: JobItem,
        service: str,
        relative_length: float = 1.0,
        besides: BackendState | None = None,
    ) -> BackendState | None:
        """Return the best engine with a free slot, None when there is none.

        Args:
            relative_length: what is still to be generated, as a multiple of a typical generation.
            besides: an engine that is not wanted.
        """
        length = min(LARGEST_RELATIVE_LENGTH, relative_length)
        room = self._room(service)
        home = room.get(self._groups.get((job.job_id, item.group), ""))
        for _ in range(DRAWS):
            candidates = room.sample(CANDIDATES)
            best = self._cheapest(job, candidates, home, length, besides)
            if best is not None or len(room) <= CANDIDATES:
                return best
        return None

    def has_room(self, service: str) -> bool:
        """Return whether any engine of a service has a free slot."""
        return bool(self._room(service))

    def _cheapest(
        self,
        job: BatchJob,
        candidates: list[BackendState],
        home: BackendState | None,
        length: float,
        besides: BackendState | None,
    ) -> BackendState | None:
        """Return the cheapest usable engine; ``home`` has run the item's group."""
        now = steady_seconds()
        best: BackendState | None = None
        best_cost = 0.0
        if home is not None:
            candidates.append(home)
        for state in candidates:
            if state is besides or state.avoided(now) or not self.usable(job, state):
                continue
            cost = self.load(state.incarnation) / max(1, state.backend.slots)
            cost -= GROUP_BONUS if state is home else 0.0
            cost += SLOWNESS_COST * length * (self._speeds.slowness(state.incarnation) - 1.0)
            if job.model and self._version(state, job.model) <= job.minimum_version:
                cost += OLD_VERSION_COST * length
            if best is None or cost < best_cost:
                best, best_cost = state, cost
        return best

    def _room(self, service: str) -> IndexedSet[BackendState]:
        """Return the engines of a service with a free slot."""
        if self._rooms_as_of != self._directory.membership_changes:
            self._rooms_as_of = self._directory.membership_changes
            self._rooms = {}
        room = self._rooms.get(service)
        if room is None:
            room = self._rooms[service] = IndexedSet()
            for state in self._directory.of_service(service):
                if self._has_slot(state):
                    room.add(state.incarnation, state)
        return room

    def _update_room(self, engine: BackendState) -> None:
        """Take an engine in or out of those with room, once its load has changed."""
        room = self._rooms.get(engine.backend.service)
        if room is None or self._rooms_as_of != self._directory.membership_changes:
            return
        if not self._has_slot(engine):
            room.discard(engine.incarnation)
        elif engine.backend.takes_work and self._directory.get(engine.backend_id) is engine:
            room.add(engine.incarnation, engine)

    def _has_slot(self, engine: BackendState) -> bool:
        return self.load(engine.incarnation) < max(1, engine.backend.slots)

    def usable(self, job: BatchJob, engine: BackendState) -> bool:
        """Return whether an engine's weights are such as a job accepts."""
        if not job.model:
            return True
        if self._is_loading(engine.incarnation, job.model):
            return False
        return self._version(engine, job.model) >= job.minimum_version

    def observe(self, samples: Iterable[RunSample]) -> None:
        """Take how many events the runs have received so far."""
        self._speeds.observe(samples, steady_seconds())

    def slowness(self, engine: BackendState) -> float:
        """Return how many times slower an engine is than the fastest one."""
        return self._speeds.slowness(engine.incarnation)

    def seconds_per_event(self, engine: BackendState) -> float:
        """Return an engine's estimate, that of the fastest one when it is unknown."""
        return self._speeds.seconds_per_event(engine.incarnation)

    def seconds_gained(self, engine: BackendState, other: BackendState, events: float) -> float:
        """Return how much sooner so many events are made by another engine.

        It is 0 where the difference is too small to be told from noise; negative where the other
        engine is slower.
        """
        slowness, other_slowness = self.slowness(engine), self.slowness(other)
        if max(slowness, other_slowness) < SLOWER_ENGINE * min(slowness, other_slowness):
            return 0.0
        return events * (self.seconds_per_event(engine) - self.seconds_per_event(other))

    def most_seconds_gained(self, engine: BackendState, events: float) -> float:
        """Return how much sooner so many events are made by the fastest engine; 0 as above."""
        slowness = self.slowness(engine)
        if slowness < SLOWER_ENGINE:
            return 0.0
        return events * self.seconds_per_event(engine) * (1.0 - 1.0 / slowness)

    def _version(self, engine: BackendState, model: str) -> int:
        reported = engine.backend.model_versions.get(model, 0)
        return max(reported, self.versions.get((engine.incarnation, model), 0))
