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

    def test_servers_that_came_back_unheard_of_203(self):
        """Before returns were told, a node answered 503 on all plain routes in the end."""
        self._soak(203)

    def test_servers_that_came_back_unheard_of_206(self):
        self._soak(206)


if __name__ == "__main__":
    unittest.main()
