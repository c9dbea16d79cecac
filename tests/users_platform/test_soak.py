"""Short fault soaks with fixed seeds; longer ones: ``runkeel-lab soak``."""

import unittest

from runkeel_lab.users_platform.soak import Soak

SECONDS = 8.0


class SoakTest(unittest.TestCase):
    def _soak(self, seed):
        report = Soak(seed, SECONDS).run()
        self.assertEqual(report.violations, [])
        self.assertGreater(report.accepted, 0)
        self.assertGreater(report.completed_items, 0)
        self.assertGreater(report.answered, 0)

    def test_seed_1(self):
        self._soak(1)

    def test_seed_2(self):
        self._soak(2)

    def test_seed_3(self):
        self._soak(3)


if __name__ == "__main__":
    unittest.main()
