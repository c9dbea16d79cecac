"""Estimates of the length of generations."""

import unittest

from runkeel.jobs.length_estimates import DEFAULT_EVENTS, HALVING_EVENTS, LengthEstimates


class LengthEstimatesTest(unittest.TestCase):
    def test_nothing_is_known_at_first(self):
        lengths = LengthEstimates()
        self.assertEqual(lengths.remaining_events(500, 5), DEFAULT_EVENTS - 5)
        self.assertEqual(lengths.relative_length(500, 0), 1.0)

    def test_estimated_tokens_are_converted_to_events(self):
        lengths = LengthEstimates()
        lengths.observe(500, 10)
        lengths.observe(1500, 30)
        self.assertAlmostEqual(lengths.remaining_events(2000, 0), 40.0)
        self.assertAlmostEqual(lengths.remaining_events(2000, 15), 25.0)
        self.assertAlmostEqual(lengths.relative_length(2000, 0), 2.0)

    def test_without_an_estimate_a_generation_is_typical(self):
        lengths = LengthEstimates()
        lengths.observe(500, 10)
        lengths.observe(1500, 30)
        self.assertAlmostEqual(lengths.remaining_events(0, 0), 20.0)

    def test_generation_that_exceeds_its_estimate_is_expected_to_continue(self):
        lengths = LengthEstimates()
        lengths.observe(500, 10)
        self.assertAlmostEqual(lengths.remaining_events(500, 100), 50.0)

    def test_old_observations_weigh_less(self):
        lengths = LengthEstimates()
        for events in (10, 20):
            for _ in range(2 * HALVING_EVENTS // events):
                lengths.observe(100, events)
        self.assertGreater(lengths.remaining_events(100, 0), 15.0)


if __name__ == "__main__":
    unittest.main()
