"""Estimates of the generation speed of engines."""

import unittest

from runkeel.jobs.engine_speeds import ESTIMATE_TTL_SECONDS, MAX_SLOWDOWN, EngineSpeeds, RunSample


class EngineSpeedsTest(unittest.TestCase):
    def _observe(self, speeds, now, **events):
        samples = [
            RunSample(backend_id, index, count)
            for index, (backend_id, count) in enumerate(events.items())
        ]
        speeds.observe(samples, now)

    def test_unknown_engine_counts_as_fast(self):
        self.assertEqual(EngineSpeeds().slowdown("a"), 1.0)

    def test_slow_engine_is_distinguished_from_a_fast_one(self):
        speeds = EngineSpeeds()
        self._observe(speeds, 1.0, fast=0, slow=0)
        self._observe(speeds, 2.0, fast=30, slow=10)
        self.assertAlmostEqual(speeds.slowdown("slow"), 3.0)
        self.assertEqual(speeds.slowdown("fast"), 1.0)

    def test_engine_without_events_has_the_maximum_slowdown(self):
        speeds = EngineSpeeds()
        self._observe(speeds, 1.0, fast=0, stalled=3)
        self._observe(speeds, 2.0, fast=30, stalled=3)
        self.assertEqual(speeds.slowdown("stalled"), MAX_SLOWDOWN)

    def test_recovered_engine_is_used_again(self):
        speeds = EngineSpeeds()
        self._observe(speeds, 1.0, fast=0, slow=0)
        self._observe(speeds, 2.0, fast=30, slow=10)
        for second in range(3, 9):
            self._observe(speeds, float(second), fast=30 * second, slow=30 * second)
        self.assertLess(speeds.slowdown("slow"), 1.2)

    def test_short_pause_is_not_mistaken_for_a_slow_engine(self):
        """Guards against estimating an engine as slow while it processes prompts."""
        speeds = EngineSpeeds()
        self._observe(speeds, 0.0, fast=0, halted=0)
        self._observe(speeds, 2.0, fast=50, halted=50)
        self._observe(speeds, 2.25, fast=56, halted=50)
        self.assertLess(speeds.slowdown("halted"), 1.35)
        self._observe(speeds, 3.25, fast=81, halted=75)
        self.assertLess(speeds.slowdown("halted"), 1.15)

    def test_estimate_of_a_stalled_engine_is_bounded(self):
        speeds = EngineSpeeds()
        self._observe(speeds, 1.0, fast=0, stalled=3)
        self._observe(speeds, 2.0, fast=25, stalled=3)
        self.assertAlmostEqual(speeds.seconds_per_event("stalled"), 0.04 * MAX_SLOWDOWN)

    def test_estimate_expires(self):
        speeds = EngineSpeeds()
        self._observe(speeds, 1.0, fast=0, slow=0)
        self._observe(speeds, 2.0, fast=30, slow=10)
        self._observe(speeds, 2.1 + ESTIMATE_TTL_SECONDS)
        self.assertEqual(speeds.slowdown("slow"), 1.0)


if __name__ == "__main__":
    unittest.main()
