"""Tests of the requests that a node counts and of the wall clock that assigns their window."""

import unittest

from runkeel.usage.clock import SAMPLE_COUNT, SteadyWallClock
from runkeel.usage.meter import RETENTION_SECONDS, UsageMeter


class MeterTest(unittest.TestCase):
    def setUp(self):
        self.now = 1_000.0
        self.meter = UsageMeter(5.0, lambda: self.now)

    def count(self, tenant, at):
        self.meter.finish_request(self.meter.start_request(tenant), tenant, at)

    def test_request_is_counted_in_the_window_it_began_in(self):
        self.count("a", 1_004.9)
        self.count("a", 1_005.0)
        self.count("b", 1_005.1)
        self.assertEqual(self.meter.windows(), {200: {"a": 1}, 201: {"a": 1, "b": 1}})
        self.assertTrue(self.meter.changed.is_set())

    def test_request_that_did_not_run_or_has_no_tenant_is_not_counted(self):
        self.count("a", None)
        self.count("", 1_000.0)
        self.assertEqual(self.meter.windows(), {})

    def test_zero_window_length_disables_counting(self):
        meter = UsageMeter(0.0, lambda: self.now)
        meter.finish_request(meter.start_request("a"), "a", 1_000.0)
        self.assertEqual(meter.windows(), {})

    def test_counts_are_incomplete_while_a_request_is_in_flight(self):
        number = self.meter.start_request("a")
        self.now = 1_010.0
        self.assertEqual(self.meter.complete_before, 1_000.0)
        self.meter.finish_request(number, "a", 1_001.0)
        self.assertEqual(self.meter.complete_before, 1_010.0)

    def test_old_windows_are_removed(self):
        self.count("a", self.now)
        self.now += RETENTION_SECONDS + 10.0
        self.count("a", self.now)
        self.assertEqual(list(self.meter.windows()), [int(self.now // 5)])


class ClockTest(unittest.TestCase):
    def test_corrected_jump_has_no_effect(self):
        clock = SteadyWallClock()
        before = clock.time()
        true_offset = clock._offset
        clock._offsets.extend([true_offset] * SAMPLE_COUNT)
        clock._offsets.extend([true_offset + 2.0] * (SAMPLE_COUNT // 2 - 1))
        clock._sampled_at = -10.0
        self.assertLess(abs(clock.time() - before), 1.0)


if __name__ == "__main__":
    unittest.main()
