"""Tests of the choice of an owner node."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from runkeel.api.machines import MachineKind, PoolSummary
from runkeel.api.placement import PlacementPolicy
from runkeel.requests.backend_choice import PoolId
from runkeel.requests.baselines import make_baseline
from runkeel.requests.place import Placement

POOL = PoolId(MachineKind.ENGINE, "m")


class FakeMembership:
    zone = "a"

    def __init__(self, *summaries: PoolSummary) -> None:
        self._summaries = summaries

    def replace(self, *summaries: PoolSummary) -> None:
        self._summaries = summaries

    def pool_summaries(self, _pool):
        return self._summaries

    def is_live(self, _node_id):
        return True

    def member(self, node_id):
        return SimpleNamespace(zone=node_id[0])


def summary(node_id: str, slots: int, queued: int = 0, sequence: int = 1) -> PoolSummary:
    return PoolSummary(node_id, "m", sequence, 1, slots, 0, queued, 0, 1, 1)


class PlacementTest(unittest.TestCase):
    def test_a_caller_stays_in_its_zone(self):
        placement = Placement(FakeMembership(summary("a1", 4, 3), summary("b1", 4)), None, None)
        self.assertEqual(placement.choose(POOL), "a1")

    def test_callers_leave_a_zone_that_they_have_filled_since_its_summary(self):
        placement = Placement(FakeMembership(summary("a1", 4, 2), summary("b1", 8)), None, None)
        chosen = []
        for _ in range(4):
            chosen.append(placement.choose(POOL))
            placement.sent(POOL, chosen[-1])
        self.assertEqual(chosen, ["a1", "a1", "b1", "b1"])
        placement.ended(POOL, "a1")
        self.assertEqual(placement.choose(POOL), "a1")

    def test_what_a_newer_summary_counts_is_not_added_again(self):
        membership = FakeMembership(summary("a1", 4), summary("b1", 4))
        placement = Placement(membership, None, None)
        for _ in range(3):
            placement.sent(POOL, placement.choose(POOL))
        membership.replace(summary("a1", 4, 3, sequence=2), summary("b1", 4))
        self.assertEqual(placement.choose(POOL), "a1")

    def test_callers_stay_in_a_full_zone_when_the_others_are_full_too(self):
        placement = Placement(FakeMembership(summary("a1", 4, 4), summary("b1", 4, 4)), None, None)
        self.assertEqual({placement.choose(POOL) for _ in range(20)}, {"a1"})

    def test_summaries_of_owners_that_are_gone_are_forgotten(self):
        membership = FakeMembership()
        placement = Placement(membership, None, None)
        for number in range(100):
            membership.replace(summary(f"a{number}", 4))
            placement.choose(POOL)
        self.assertLess(len(placement._seen[POOL.name]), 30)

    def test_rollouts_fill_the_slots_of_all_zones_evenly(self):
        owners = (summary("a1", 8), summary("b1", 4), summary("c1", 4))
        placement = Placement(FakeMembership(*owners), None, None)
        chosen = []
        for _ in range(16):
            chosen.append(placement.choose(POOL, is_rollout=True))
            placement.sent(POOL, chosen[-1])
        self.assertEqual([chosen.count(node) for node in ("a1", "b1", "c1")], [8, 4, 4])

    def test_rollouts_avoid_an_owner_with_a_queue(self):
        placement = Placement(FakeMembership(summary("a1", 4, 8), summary("b1", 4)), None, None)
        self.assertEqual(placement.choose(POOL, is_rollout=True), "b1")

    def test_busy_owners_get_no_hedge(self):
        placement = Placement(
            FakeMembership(summary("a1", 10, 8), summary("b1", 10, 10)), None, None
        )
        self.assertIsNone(placement.choose_spare(POOL))

    def test_an_owner_with_room_gets_the_hedge(self):
        placement = Placement(
            FakeMembership(summary("a1", 10, 8), summary("b1", 10, 2)), None, None
        )
        self.assertEqual(placement.choose_spare(POOL), "b1")
        self.assertIsNone(placement.choose_spare(POOL, {"b1"}))

    def test_baselines_follow_slots_and_ignore_zone_and_load(self):
        owners = FakeMembership(summary("a1", 2, 50), summary("b1", 4), summary("c1", 2))
        for policy, tolerance in ((PlacementPolicy.ROUND_ROBIN, 0), (PlacementPolicy.RANDOM, 40)):
            baseline = make_baseline(policy, random.Random(1))
            placement = Placement(owners, None, None, baseline=baseline)
            chosen = [placement.choose(POOL) for _ in range(800)]
            for node_id, share in (("a1", 200), ("b1", 400), ("c1", 200)):
                self.assertAlmostEqual(chosen.count(node_id), share, delta=tolerance)

    def test_baselines_avoid_owners_that_were_tried(self):
        for policy in (PlacementPolicy.ROUND_ROBIN, PlacementPolicy.RANDOM):
            baseline = make_baseline(policy, random.Random(1))
            owners = FakeMembership(summary("a1", 4), summary("b1", 4))
            placement = Placement(owners, None, None, baseline=baseline)
            self.assertEqual({placement.choose(POOL, {"a1"}) for _ in range(20)}, {"b1"})
