"""Short soaks of stops, restarts, configurations and outages that overlap; fixed seeds.

Longer ones: ``runkeel-lab soak --operations``.
"""

import unittest

from runkeel_lab.users_platform.operations_soak import OperationsSoak

SECONDS = 12.0


class OperationsSoakTest(unittest.TestCase):
    def _soak(self, seed):
        report = OperationsSoak(seed, SECONDS).run()
        self.assertEqual(report.violations, [])
        self.assertGreater(report.accepted, 0)
        self.assertGreater(report.answered, 100)

    def test_seed_1(self):
        self._soak(1)

    def test_seed_2(self):
        self._soak(2)

    def test_seed_3(self):
        self._soak(3)


if __name__ == "__main__":
    unittest.main()
