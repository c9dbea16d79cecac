"""Tests of the crash ledger: counting, clearance, expiry, eviction and digests."""

import unittest

from runkeel.quarantine.crash_ledger import (
    CLEARANCE_RETENTION_SECONDS,
    QUARANTINE_RETENTION_SECONDS,
    SUSPECT_RETENTION_SECONDS,
    CrashLedger,
)
from runkeel.quarantine.crash_record import CrashRecord


class CrashLedgerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.ledger = CrashLedger(lambda: self.now, maximum=8)
        self.changes = []
        self.ledger.on_change(lambda *change: self.changes.append(change))

    def crash_servers(self, fingerprint, *servers):
        for server in servers:
            self.ledger.record_crash(fingerprint, "tariff", server)

    def test_request_is_quarantined_at_the_third_crashed_server(self):
        self.crash_servers("f", "a", "b")
        self.assertFalse(self.ledger.get("f").quarantined)
        self.crash_servers("f", "c")
        self.assertTrue(self.ledger.get("f").quarantined)

    def test_same_server_counts_once(self):
        self.crash_servers("f", "a", "a", "a", "a")
        self.assertFalse(self.ledger.get("f").quarantined)

    def test_success_clears_record_and_outdated_update_does_not_restore_it(self):
        self.crash_servers("f", "a", "b", "c")
        outdated = self.ledger.get("f")
        self.assertTrue(self.ledger.clear("f"))
        self.assertFalse(self.ledger.merge_record(outdated, "other"))
        self.assertFalse(self.ledger.get("f").quarantined)
        self.assertFalse(self.ledger.clear("f"))
        self.assertFalse(self.ledger.clear("unknown"))

    def test_crashes_are_counted_from_zero_after_clearance(self):
        self.crash_servers("f", "a", "b")
        self.ledger.clear("f")
        self.crash_servers("f", "c", "d")
        self.assertFalse(self.ledger.get("f").quarantined)

    def test_update_without_new_content_does_not_notify_listeners(self):
        self.crash_servers("f", "a")
        before = len(self.changes)
        self.assertFalse(self.ledger.merge_record(self.ledger.get("f"), "other"))
        self.assertEqual(len(self.changes), before)

    def test_records_expire(self):
        self.crash_servers("suspect", "a")
        self.crash_servers("held", "a", "b", "c")
        self.crash_servers("cleared", "a")
        self.ledger.clear("cleared")
        retention_cases = (
            ("cleared", CLEARANCE_RETENTION_SECONDS),
            ("suspect", SUSPECT_RETENTION_SECONDS),
            ("held", QUARANTINE_RETENTION_SECONDS),
        )
        for fingerprint, seconds in retention_cases:
            self.now = 100.0 + seconds - 1.0
            self.assertIsNotNone(self.ledger.get(fingerprint))
            self.now = 100.0 + seconds
            self.assertIsNone(self.ledger.get(fingerprint))
        self.assertEqual((len(self.ledger), self.ledger.digest), (0, 0))

    def test_expired_update_is_ignored(self):
        old = CrashRecord(
            "f", "tariff", 0, frozenset("a"), changed_at=100.0 - SUSPECT_RETENTION_SECONDS
        )
        self.assertFalse(self.ledger.merge_record(old, "other"))

    def test_ledger_is_bounded_and_evicts_quarantined_requests_last(self):
        """A client that varies a crashing request can neither grow the ledger nor evict "held"."""
        self.crash_servers("held", "a", "b", "c")
        for number in range(50):
            self.now += 1.0
            self.crash_servers(f"f{number}", "a")
        self.assertEqual(len(self.ledger), 8)
        self.assertTrue(self.ledger.get("held").quarantined)
        self.assertIsNotNone(self.ledger.get("f49"))

    def test_ledgers_with_equal_records_have_equal_digests(self):
        other = CrashLedger(lambda: self.now + 50.0)
        self.crash_servers("f", "a", "b")
        self.crash_servers("g", "a")
        for record in reversed(self.ledger.records()):
            other.merge_record(record, "")
        self.assertEqual(other.digest, self.ledger.digest)
        other.record_crash("g", "tariff", "b")
        self.assertNotEqual(other.digest, self.ledger.digest)


if __name__ == "__main__":
    unittest.main()
