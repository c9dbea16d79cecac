"""The adaptive limit on concurrent loads."""

import unittest

from runkeel.coordination.load_pacing import (
    MAX_CONCURRENT_SHARE,
    MIN_CONCURRENT_LOADS,
    LoadPacing,
)

ENGINES = 200
FULL_SPEED_SECONDS = 0.9
FULL_SPEED_LOADS = 7
"""Number of concurrent loads at full speed; more of them share the store's throughput."""


class LoadPacingTest(unittest.TestCase):
    def setUp(self):
        self.pacing = LoadPacing(FULL_SPEED_SECONDS)

    def test_begins_with_a_share_of_the_engines(self):
        self.assertEqual(
            self.pacing.available_loads(ENGINES, 0), int(ENGINES * MAX_CONCURRENT_SHARE)
        )
        self.assertEqual(self.pacing.available_loads(3, 1), MIN_CONCURRENT_LOADS - 1)

    def test_loads_at_full_speed_keep_the_limit(self):
        before = self.pacing.available_loads(ENGINES, 0)
        for number in range(100):
            self.pacing.observe(float(number), number + FULL_SPEED_SECONDS)
        self.assertEqual(self.pacing.available_loads(ENGINES, 0), before)

    def test_slow_loads_decrease_the_limit_to_full_speed(self):
        """Without the limit, loads would slow each other down and versions would fall behind."""
        now = 0.0
        for _ in range(40):
            count = self.pacing.available_loads(ENGINES, 0)
            seconds = FULL_SPEED_SECONDS * max(1.0, count / FULL_SPEED_LOADS)
            for _ in range(count):
                self.pacing.observe(now, now + seconds)
            now += seconds
        self.assertLessEqual(self.pacing.available_loads(ENGINES, 0), 2 * FULL_SPEED_LOADS)
        self.assertGreaterEqual(self.pacing.available_loads(ENGINES, 0), FULL_SPEED_LOADS // 2)

    def test_slow_loads_that_began_together_decrease_it_once(self):
        before = self.pacing.available_loads(ENGINES, 0)
        for _ in range(10):
            self.pacing.observe(0.0, 10 * FULL_SPEED_SECONDS)
        self.assertGreater(self.pacing.available_loads(ENGINES, 0), before // 2)

    def test_never_below_the_minimum(self):
        for number in range(100):
            self.pacing.observe(100.0 * number, 100.0 * number + 60.0)
        self.assertEqual(self.pacing.available_loads(ENGINES, 0), MIN_CONCURRENT_LOADS)


if __name__ == "__main__":
    unittest.main()
