"""The bound on concurrent loads."""

import unittest

from runkeel.coordination.load_pacing import (
    CONCURRENT_LOADS,
    CONCURRENT_SHARE,
    LoadPacing,
)

ENGINES = 200
FULL_SPEED_SECONDS = 0.9
FED_AT_ONCE = 7
"""So many engines load at full speed; more share what the store of weights feeds."""


class LoadPacingTest(unittest.TestCase):
    def setUp(self):
        self.pacing = LoadPacing(FULL_SPEED_SECONDS)

    def test_begins_with_a_share_of_the_engines(self):
        self.assertEqual(self.pacing.room(ENGINES, 0), int(ENGINES * CONCURRENT_SHARE))
        self.assertEqual(self.pacing.room(3, 1), CONCURRENT_LOADS - 1)

    def test_loads_at_full_speed_keep_the_bound(self):
        before = self.pacing.room(ENGINES, 0)
        for number in range(100):
            self.pacing.observe(float(number), number + FULL_SPEED_SECONDS)
        self.assertEqual(self.pacing.room(ENGINES, 0), before)

    def test_loads_that_slow_each_other_down_lower_it_to_what_is_fed(self):
        """Trial with 241 engines: 96 loaded at once for 12 s each, 6,353 orders, few versions."""
        now = 0.0
        for _ in range(40):
            count = self.pacing.room(ENGINES, 0)
            seconds = FULL_SPEED_SECONDS * max(1.0, count / FED_AT_ONCE)
            for _ in range(count):
                self.pacing.observe(now, now + seconds)
            now += seconds
        self.assertLessEqual(self.pacing.room(ENGINES, 0), 2 * FED_AT_ONCE)
        self.assertGreaterEqual(self.pacing.room(ENGINES, 0), FED_AT_ONCE // 2)

    def test_slow_loads_that_began_together_count_once(self):
        before = self.pacing.room(ENGINES, 0)
        for _ in range(10):
            self.pacing.observe(0.0, 10 * FULL_SPEED_SECONDS)
        self.assertGreater(self.pacing.room(ENGINES, 0), before // 2)

    def test_never_below_the_least(self):
        for number in range(100):
            self.pacing.observe(100.0 * number, 100.0 * number + 60.0)
        self.assertEqual(self.pacing.room(ENGINES, 0), CONCURRENT_LOADS)


if __name__ == "__main__":
    unittest.main()
