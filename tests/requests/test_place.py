"""Placement: room for hedges."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from runkeel.api.machines import MachineKind, PoolSummary
from runkeel.requests.backend_choice import PoolId
from runkeel.requests.place import Placement

POOL = PoolId(MachineKind.APPLICATION, "ledger")


def summary(node_id: str, in_flight: int) -> PoolSummary:
    return PoolSummary(node_id, "ledger", 1, 1, 10, in_flight, 0, 0)


class SparePlacementTest(unittest.TestCase):
    def placement(self, *summaries: PoolSummary) -> Placement:
        membership = SimpleNamespace(
            zone="z",
            pool_summaries=lambda pool: summaries,
            is_live=lambda node_id: True,
            member=lambda node_id: SimpleNamespace(zone="z"),
        )
        return Placement(membership, None, None)

    def test_busy_owners_get_no_hedge(self) -> None:
        self.assertIsNone(self.placement(summary("a", 8), summary("b", 10)).choose_spare(POOL))

    def test_owner_with_room_gets_the_hedge(self) -> None:
        placement = self.placement(summary("a", 8), summary("b", 2))
        self.assertEqual(placement.choose_spare(POOL), "b")
        self.assertIsNone(placement.choose_spare(POOL, {"b"}))
