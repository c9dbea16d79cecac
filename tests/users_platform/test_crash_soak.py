"""Short soaks of requests that crash servers, with fixed seeds.

``runkeel-lab soak --crashes`` runs longer ones.
"""

import unittest
from unittest import mock

from runkeel.quarantine import crash_record
from runkeel_lab.users_platform.crash_soak import CrashSoak

SECONDS = 12.0
NEVER = 1_000_000


class CrashSoakTest(unittest.TestCase):
    def test_seed_2(self):
        report = CrashSoak(2, SECONDS).run()
        self.assertEqual(report.violations, [])
        self.assertGreater(report.answered, 100)

    def test_seed_7000(self):
        """Guards against one late run more than allowed, seen on a busy machine."""
        self.assertEqual(CrashSoak(7000, SECONDS).run().violations, [])

    def test_missing_quarantine_is_detected(self):
        with mock.patch.object(crash_record, "QUARANTINE_THRESHOLD", NEVER):
            report = CrashSoak(2, SECONDS).run()
        self.assertTrue([text for text in report.violations if "reached late" in text])


if __name__ == "__main__":
    unittest.main()
