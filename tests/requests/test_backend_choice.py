"""Slots of an engine between callers and rollouts."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from runkeel.api.configuration import ModelSpec
from runkeel.api.machines import Address, MachineKind
from runkeel.api.placement import PlacementPolicy
from runkeel.requests.backend_choice import (
    ROLLOUT_RANK,
    ROLLOUTS_WAITING_PER_ENGINE,
    Demand,
    OwnedBackends,
    PoolId,
)
from runkeel.requests.baselines import make_baseline
from tests.requests.fakes import (
    FakeConfiguration,
    FakeEngines,
    FakeMachines,
    FakeOwnership,
    machine,
)

POOL = PoolId(MachineKind.ENGINE, "m")
SLOTS = 10


class EngineSlotsTest(unittest.TestCase):
    def setUp(self) -> None:
        configuration, machines = FakeConfiguration(), FakeMachines()
        configuration.models["m"] = ModelSpec(max_in_flight_per_backend=SLOTS, rollout_share=0.5)
        machines.add(machine("e", MachineKind.ENGINE, "m", Address("127.0.0.1", 1)), "n")
        self.backends = OwnedBackends(
            configuration,
            machines,
            FakeOwnership(machines, "n"),
            FakeEngines(),
            lambda _machine: SimpleNamespace(close=lambda: None),
        )
        self.backends.refresh()

    def fill(self, rank: int, callers_present: bool) -> int:
        """Take slots until there is none left; return how many there were."""
        demand, count = Demand(POOL, rank), 0
        while (backend := self.backends.choose(demand, callers_present)) is not None:
            self.backends.take(backend, demand)
            count += 1
        return count

    def test_a_few_rollouts_wait_at_the_engine(self):
        self.assertEqual(self.fill(ROLLOUT_RANK, False), SLOTS + ROLLOUTS_WAITING_PER_ENGINE)

    def test_beside_callers_rollouts_keep_to_their_share(self):
        self.assertEqual(self.fill(ROLLOUT_RANK, True), SLOTS // 2)

    def test_callers_do_not_wait_for_rollouts(self):
        self.fill(ROLLOUT_RANK, False)
        self.assertEqual(self.fill(1, True), SLOTS)
        self.assertEqual(self.fill(ROLLOUT_RANK, True), 0)


class PolicyTest(unittest.TestCase):
    def choices(self, policy: PlacementPolicy, count: int, avoid: str = "") -> list[str]:
        """Take back ends for callers; the first one has all slots but one taken before."""
        configuration, machines = FakeConfiguration(), FakeMachines()
        configuration.models["m"] = ModelSpec(max_in_flight_per_backend=SLOTS)
        for name in ("e1", "e2", "e3"):
            machines.add(machine(name, MachineKind.ENGINE, "m", Address("127.0.0.1", 1)), "n")
        backends = OwnedBackends(
            configuration,
            machines,
            FakeOwnership(machines, "n"),
            FakeEngines(),
            lambda _machine: SimpleNamespace(close=lambda: None),
            make_baseline(policy, random.Random(1)),
        )
        backends.refresh()
        demand = Demand(POOL, 1, avoid=avoid)
        first = next(each for each in backends.eligible(POOL) if each.backend_id == "e1")
        for _ in range(SLOTS - 1):
            backends.take(first, demand)
        chosen = []
        for _ in range(count):
            backend = backends.choose(demand, True)
            backends.take(backend, demand)
            chosen.append(backend.backend_id)
        return chosen

    def test_load_counts_by_default(self):
        self.assertNotIn("e1", self.choices(PlacementPolicy.LEAST_LOADED, 16))

    def test_round_robin_takes_turns_whatever_the_load(self):
        self.assertEqual(sorted(self.choices(PlacementPolicy.ROUND_ROBIN, 3)), ["e1", "e2", "e3"])

    def test_baselines_keep_to_slots_and_to_the_back_end_to_avoid(self):
        for policy in (PlacementPolicy.ROUND_ROBIN, PlacementPolicy.RANDOM):
            chosen = self.choices(policy, 2 * SLOTS + 1)
            self.assertEqual([chosen.count(each) for each in ("e1", "e2", "e3")], [1, 10, 10])
            self.assertNotIn("e2", self.choices(policy, SLOTS, avoid="e2"))
