"""Slots of an engine between callers and rollouts."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from runkeel.api.configuration import ModelSpec
from runkeel.api.machines import Address, MachineKind
from runkeel.requests.backend_choice import (
    ROLLOUT_RANK,
    ROLLOUTS_WAITING_PER_ENGINE,
    Demand,
    OwnedBackends,
    PoolId,
)
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
