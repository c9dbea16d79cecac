"""Short soaks of the feed with fixed seeds, without and with a seeded fault.

``runkeel-lab feed-soak`` runs more of them.
"""

import unittest
from unittest import mock

from runkeel.clock import steady_seconds
from runkeel.coordination.copy_deadline import CopyDeadline
from runkeel_lab.feed_faults import Fault, FaultKind, draw_faults
from runkeel_lab.feed_soak import FeedSoak, run_feed_soaks

SECONDS = 9.0
SEEDS = range(1, 21)
NODES = 30
TAKEOVER_SECONDS = 1.2
"""Time from the last reply of a coordinator until its successor has taken over."""

NOTICE_SECONDS = 0.2
"""Time from then until a node learns of it by its pings to the likely successors."""

FAULT_SEEDS = (4, 32, 50, 84, 88, 104, 114, 152, 205, 206, 211, 217, 247, 311, 345)
"""Seeds whose runs often find the seeded fault.

The times at which copies are confirmed do not depend on the seed, so that a single run may miss it.
"""


def count_from_arrival(deadline, reply, sent_at, hold_seconds):
    """Seed a fault: a reply confirms the copies as of its arrival."""
    deadline.confirmed_at = steady_seconds()


class FeedSoakTest(unittest.TestCase):
    def check_changes_arrive_in_time(self, propagation_seconds):
        soaks = [FeedSoak(seed, SECONDS, propagation_seconds) for seed in SEEDS]
        reports = run_feed_soaks(soaks)
        late = {seed: one.late for seed, one in zip(SEEDS, reports, strict=True) if one.late}
        self.assertEqual(late, {})
        for kind in FaultKind:
            self.assertGreater(sum(one.faults.get(kind, 0) for one in reports), 0)
        self.assertGreater(sum(one.feed_reads for one in reports), 0)

    def test_changes_arrive_in_time_on_a_small_deployment(self):
        self.check_changes_arrive_in_time(2.0)

    def test_changes_arrive_in_time_on_a_large_deployment(self):
        self.check_changes_arrive_in_time(3.0)

    def test_replies_that_count_from_their_arrival_are_found(self):
        """Guards against a soak that misses configurations that arrive too late."""
        with mock.patch.object(CopyDeadline, "confirm", count_from_arrival):
            reports = run_feed_soaks([FeedSoak(seed, SECONDS, 2.0) for seed in FAULT_SEEDS])
        self.assertTrue(any(one.late for one in reports))

    def test_loss_of_a_coordinator_does_not_send_all_nodes_to_the_store(self):
        """Guards against a burst of reads whenever a coordinator is replaced."""
        for propagation_seconds in (3.0, 4.0):
            with self.subTest(propagation_seconds=propagation_seconds):
                soaks = [FeedSoak(seed, 8.0, propagation_seconds) for seed in range(NODES)]
                for number, soak in enumerate(soaks):
                    lost_at = 4.0 + number / NODES
                    takeover_at = lost_at + TAKEOVER_SECONDS
                    soak.faults = [
                        Fault(FaultKind.FREEZE, lost_at, 8.0, 0.0),
                        Fault(FaultKind.TAKEOVER, takeover_at, NOTICE_SECONDS, 0.0),
                    ]
                reports = run_feed_soaks(soaks)
                self.assertEqual([one.late for one in reports if one.late], [])
                self.assertLess(sum(one.departures > 0 for one in reports), NODES / 2)

    def test_seed_determines_the_faults(self):
        first, second, other = (draw_faults(seed, SECONDS) for seed in (1, 1, 2))
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)


if __name__ == "__main__":
    unittest.main()
