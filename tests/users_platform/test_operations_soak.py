"""Short soaks of overlapping operator actions and store outages, with fixed seeds.

``runkeel-lab soak --operations`` runs longer ones.
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

    def test_reappearing_servers_seed_203(self):
        """Guards against a node that misses returned servers and answers 503 on plain routes."""
        self._soak(203)

    def test_reappearing_servers_seed_206(self):
        self._soak(206)


if __name__ == "__main__":
    unittest.main()
