"""Short soaks of partitioned zones with fixed seeds, without and with a seeded fault.

``runkeel-lab soak --partitions`` runs longer ones.
"""

import unittest
from contextlib import ExitStack
from unittest import mock

from runkeel.coordination.pings import PingSender
from runkeel.jobs.coordinator import JobCoordinator
from runkeel.jobs.job_state import JobState
from runkeel_lab.users_platform import partition_soak
from runkeel_lab.users_platform.partition_soak import PartitionSoak

SECONDS = 15.0
SEED = 734
FAULT_SEEDS = (734, 269, 280)
"""Two long partitions each, with a kill of the coordinator at the end of at least one.

The time at which nodes notice decides whether a tentative term is confirmed, so that a single run
may not meet the seeded fault.
"""

FINAL_READ_TIMEOUT_SECONDS = 2.0
"""Timeout of the final reads with the seeded fault; some results never appear again."""


def trust_empty_listings():
    """Seed a fault: after a tentative term, a loaded job's listing is known without its segments.

    The checks that make it rarer or hide it are absent: a reader that expects more results is not
    referred to the store, and a coordinator that was cut off is not asked on a new connection.
    """
    writer_of = JobCoordinator._writer

    def writer(coordinator, state):
        built = writer_of(coordinator, state)
        if coordinator._resumed_copies and state.job.job_id not in coordinator._jobs:
            built.fence = lambda: setattr(state, "fenced", True)
        return built

    faults = ExitStack()
    faults.enter_context(mock.patch.object(JobCoordinator, "_writer", writer))
    faults.enter_context(mock.patch.object(JobState, "is_beyond_listing", return_value=False))
    faults.enter_context(mock.patch.object(PingSender, "ping_anew", PingSender.ping))
    return faults


class PartitionSoakTest(unittest.TestCase):
    def test_results_stay_readable_across_partitions(self):
        report = PartitionSoak(SEED, SECONDS).run()
        self.assertEqual(report.violations, [])
        self.assertGreater(report.accepted, 0)
        self.assertGreater(report.completed_items, 0)
        self.assertGreater(report.reads, 100)

    def test_seeded_listing_without_its_segments_is_found(self):
        """Guards against a soak that misses results missing after a long tentative term."""
        timeout = mock.patch.object(
            partition_soak, "FINAL_READ_TIMEOUT_SECONDS", FINAL_READ_TIMEOUT_SECONDS
        )
        with trust_empty_listings(), timeout:
            found = any(self.misses_results(seed) for seed in FAULT_SEEDS)
        self.assertTrue(found)

    def misses_results(self, seed):
        violations = PartitionSoak(seed, SECONDS).run().violations
        return any("no result at a position that was read" in one for one in violations)

    def test_seed_determines_the_plan(self):
        soaks = [PartitionSoak(seed, SECONDS) for seed in (1, 1, 2)]
        for soak in soaks:
            self.addCleanup(soak._deployment.stop)
        first, second, other = (soak.plan for soak in soaks)
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)


if __name__ == "__main__":
    unittest.main()
