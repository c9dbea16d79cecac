"""Accepting and denying quorums intersect; property tests with partitions and lost disks."""

import unittest
from unittest import mock

import hypothesis.strategies as st
from hypothesis import given, seed, settings

from runkeel.handoff.storage_quorum import LossTolerance, StorageNode, StorageQuorum
from tests.fuzzing import SEED_COUNT

ZONES = ("a", "b", "c", "d")
REGIONS = {"a": "r", "b": "r", "c": "s", "d": "s"}
OPTIONS = settings(max_examples=500, deadline=None, derandomize=True)


def storage_nodes(*names):
    return [StorageNode(name, name[0]) for name in names]


class StorageQuorumTest(unittest.TestCase):
    def test_nodes_of_one_zone_are_not_enough_when_a_zone_may_be_lost(self):
        """A partitioned zone must not accept a job on its own that others then deny."""
        quorum = StorageQuorum(LossTolerance(2, 1))
        self.assertFalse(quorum.is_durable(storage_nodes("a1", "a2", "a3")))
        self.assertTrue(quorum.is_durable(storage_nodes("a1", "a2", "b1")))

    def test_job_can_be_ruled_out_without_one_zone(self):
        quorum = StorageQuorum(LossTolerance(2, 1))
        self.assertTrue(quorum.rules_out(storage_nodes("a1", "a2", "a3")))
        self.assertFalse(quorum.rules_out(storage_nodes("a1", "a2", "b1")))

    def test_only_nodes_count_when_no_zone_loss_is_tolerated(self):
        quorum = StorageQuorum(LossTolerance(1))
        self.assertTrue(quorum.is_durable(storage_nodes("a1", "a2")))
        self.assertFalse(quorum.is_durable(storage_nodes("a1")))
        self.assertFalse(quorum.is_durable(storage_nodes("a1", "a1")))

    def test_nodes_of_one_region_are_not_enough_when_a_region_may_be_lost(self):
        quorum = StorageQuorum(LossTolerance(1, 1, 1), REGIONS)
        self.assertFalse(quorum.is_durable(storage_nodes("a1", "b1")))
        self.assertTrue(quorum.is_durable(storage_nodes("a1", "c1")))


@st.composite
def scenarios(draw):
    """Storage nodes, those that accepted a job, that lost their disks, and that a reader heard."""
    outcomes = st.sampled_from(["heard", "unheard", "wiped"])
    nodes, kept, wiped, heard = [], set(), set(), set()
    tolerance = LossTolerance(draw(st.integers(0, 2)), draw(st.integers(0, 1)))
    for zone in ZONES[: draw(st.integers(1, 3))]:
        for number in range(draw(st.integers(1, 3))):
            node = StorageNode(f"{zone}{number}", zone)
            nodes.append(node)
            if draw(st.booleans()):
                kept.add(node)
            outcome = draw(outcomes)
            if outcome == "wiped" and len(wiped) < tolerance.machines:
                wiped.add(node)
            if outcome != "unheard":
                heard.add(node)
    return tolerance, nodes, kept, wiped, heard


class IntersectionTest(unittest.TestCase):
    def check(self, scenario, trusted):
        """Assert that an accepted job is not ruled out despite partitions and lost disks.

        Args:
            trusted: returns the nodes whose denials count, given those heard and those wiped.
        """
        tolerance, nodes, kept, wiped, heard = scenario
        quorum = StorageQuorum(tolerance)
        if (kept - wiped) & heard or not quorum.is_durable(kept):
            return
        unheard = [one for one in nodes if one not in trusted(heard, wiped)]
        self.assertFalse(quorum.rules_out(unheard), scenario)

    @OPTIONS
    @given(scenarios())
    def test_accepted_job_is_never_ruled_out(self, scenario):
        self.check(scenario, lambda heard, wiped: heard - wiped)

    @OPTIONS
    @given(scenarios())
    def test_accepted_job_survives_losses_within_the_tolerance(self, scenario):
        tolerance, nodes, kept, wiped, heard = scenario
        if StorageQuorum(tolerance).is_durable(kept):
            self.assertTrue(kept - wiped)
            for zone in ZONES:
                if tolerance.zones:
                    self.assertTrue([one for one in kept if one.zone != zone])

    def finds(self, trusted=lambda heard, wiped: heard - wiped):
        """Return whether some seed's examples violate the rule."""
        for number in range(SEED_COUNT):
            run = seed(number)(OPTIONS(given(scenarios())(lambda one: self.check(one, trusted))))
            try:
                run()
            except AssertionError:
                return True
        return False

    def test_check_finds_denials_of_new_disks(self):
        self.assertTrue(self.finds(lambda heard, wiped: heard))

    def test_check_finds_silence_counted_as_denial(self):
        with mock.patch.object(StorageQuorum, "rules_out", lambda self, unheard: True):
            self.assertTrue(self.finds())

    def test_check_finds_acceptance_that_ignores_zones(self):
        """If readers rule jobs out by zones, accepting nodes must be spread over zones."""

        def by_node_count(quorum, kept):
            return len(set(kept)) > quorum.tolerance.machines

        is_durable = StorageQuorum.is_durable
        with (
            mock.patch.object(StorageQuorum, "is_durable", by_node_count),
            mock.patch.object(
                StorageQuorum, "rules_out", lambda quorum, unheard: not is_durable(quorum, unheard)
            ),
        ):
            self.assertTrue(self.finds())


if __name__ == "__main__":
    unittest.main()
