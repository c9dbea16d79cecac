"""Short soaks of planned stops under clients with open connections, with fixed seeds.

``runkeel-lab soak --stops`` runs more of them.
"""

import unittest

from runkeel_lab.users_platform import use_adapter

use_adapter()

from runkeel_lab.users_platform.stop_soak import StopSoak  # noqa: E402

MIN_ANSWERED = 50


class StopSoakTest(unittest.TestCase):
    def _soak(self, seed):
        report = StopSoak(seed).run()
        self.assertEqual(report.violations, [])
        self.assertGreater(report.answered, MIN_ANSWERED)

    def test_seed_1(self):
        self._soak(1)

    def test_seed_2(self):
        self._soak(2)


if __name__ == "__main__":
    unittest.main()
