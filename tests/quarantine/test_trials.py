"""Tests of which trials of quarantined requests are granted."""

import unittest

from runkeel.quarantine.crash_ledger import CrashLedger
from runkeel.quarantine.crash_record import CrashRecord
from runkeel.quarantine.trials import (
    BUSY_RETRY_SECONDS,
    TRIAL_DELAYS_SECONDS,
    TRIAL_TIMEOUT_SECONDS,
    TrialArbiter,
)


class TrialTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.ledger = CrashLedger(lambda: self.now)
        self.arbiter = TrialArbiter(self.ledger, lambda: self.now)

    def quarantine_request(self, fingerprint, service="tariff"):
        for number in range(3):
            self.ledger.record_crash(fingerprint, service, f"{fingerprint}{number}")
        return self.ledger.get(fingerprint)

    def ask(self, fingerprint):
        return self.arbiter.ask(self.ledger.get(fingerprint), "node")

    def test_first_trial_is_granted_immediately_and_later_ones_after_a_delay(self):
        self.quarantine_request("f")
        for number, pause in enumerate(TRIAL_DELAYS_SECONDS):
            if pause:
                self.now += pause - 0.1
                denied = self.ask("f")
                self.assertFalse(denied.granted)
                self.assertAlmostEqual(denied.retry_after_seconds, 0.1)
                self.now += 0.1
            self.assertTrue(self.ask("f").granted)
            self.ledger.record_crash("f", "tariff", f"trial{number}")
        self.now += 10_000.0
        self.assertFalse(self.ask("f").granted)

    def test_only_one_request_per_service_is_on_trial(self):
        self.quarantine_request("f")
        self.quarantine_request("g")
        self.quarantine_request("other", "engines")
        self.assertTrue(self.ask("f").granted)
        self.assertEqual(self.ask("g").retry_after_seconds, BUSY_RETRY_SECONDS)
        self.assertTrue(self.ask("other").granted)
        self.ledger.clear("f")
        self.assertTrue(self.ask("g").granted)

    def test_trial_without_outcome_times_out(self):
        self.quarantine_request("f")
        self.quarantine_request("g")
        self.ask("f")
        self.now += TRIAL_TIMEOUT_SECONDS
        self.assertTrue(self.ask("g").granted)

    def test_trial_that_reached_no_server_is_not_counted(self):
        self.quarantine_request("f")
        for _ in range(5):
            self.assertTrue(self.ask("f").granted)
            self.ledger.record_returned_trial("f")
        self.assertEqual(self.ledger.get("f").trials_used, 0)

    def test_cleared_request_needs_no_trial(self):
        record = self.quarantine_request("f")
        self.ledger.clear("f")
        self.assertTrue(self.arbiter.ask(record, "node").granted)
        self.assertEqual(self.ledger.get("f").trials, 0)

    def test_record_of_requesting_node_is_merged_before_the_decision(self):
        record = CrashRecord("f", "tariff", 0, frozenset("abcd"), 3, 0, self.now)
        self.assertFalse(self.arbiter.ask(record, "node").granted)


if __name__ == "__main__":
    unittest.main()
