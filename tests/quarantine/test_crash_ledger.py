"""A node's table of the requests under which servers ended."""

import unittest

from runkeel.quarantine.crash_ledger import (
    CLEARED_SECONDS,
    HELD_SECONDS,
    SUSPECT_SECONDS,
    CrashLedger,
)
from runkeel.quarantine.crash_record import CrashRecord


class CrashLedgerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.ledger = CrashLedger(lambda: self.now, maximum=8)
        self.changes = []
        self.ledger.on_change(lambda *change: self.changes.append(change))

    def end_servers(self, fingerprint, *servers):
        for server in servers:
            self.ledger.note_ended(fingerprint, "ledger", server)

    def test_request_is_held_back_from_the_third_server_on(self):
        self.end_servers("f", "a", "b")
        self.assertFalse(self.ledger.get("f").held)
        self.end_servers("f", "c")
        self.assertTrue(self.ledger.get("f").held)

    def test_same_server_counts_once(self):
        self.end_servers("f", "a", "a", "a", "a")
        self.assertFalse(self.ledger.get("f").held)

    def test_success_clears_and_older_news_do_not_bring_it_back(self):
        self.end_servers("f", "a", "b", "c")
        late = self.ledger.get("f")
        self.assertTrue(self.ledger.clear("f"))
        self.assertFalse(self.ledger.take(late, "other"))
        self.assertFalse(self.ledger.get("f").held)
        self.assertFalse(self.ledger.clear("f"))
        self.assertFalse(self.ledger.clear("unknown"))

    def test_ends_after_a_clearance_count_anew(self):
        self.end_servers("f", "a", "b")
        self.ledger.clear("f")
        self.end_servers("f", "c", "d")
        self.assertFalse(self.ledger.get("f").held)

    def test_news_that_say_nothing_new_are_no_change(self):
        self.end_servers("f", "a")
        before = len(self.changes)
        self.assertFalse(self.ledger.take(self.ledger.get("f"), "other"))
        self.assertEqual(len(self.changes), before)

    def test_what_is_old_is_forgotten(self):
        self.end_servers("suspect", "a")
        self.end_servers("held", "a", "b", "c")
        self.end_servers("cleared", "a")
        self.ledger.clear("cleared")
        kept = (("cleared", CLEARED_SECONDS), ("suspect", SUSPECT_SECONDS), ("held", HELD_SECONDS))
        for fingerprint, seconds in kept:
            self.now = 100.0 + seconds - 1.0
            self.assertIsNotNone(self.ledger.get(fingerprint))
            self.now = 100.0 + seconds
            self.assertIsNone(self.ledger.get(fingerprint))
        self.assertEqual((len(self.ledger), self.ledger.digest), (0, 0))

    def test_old_news_are_not_taken(self):
        old = CrashRecord("f", "ledger", 0, frozenset("a"), changed_at=100.0 - SUSPECT_SECONDS)
        self.assertFalse(self.ledger.take(old, "other"))

    def test_table_is_bounded_and_what_is_held_back_stays_longest(self):
        """A client that sends another crashing body each time fills the table, and no more."""
        self.end_servers("held", "a", "b", "c")
        for number in range(50):
            self.now += 1.0
            self.end_servers(f"f{number}", "a")
        self.assertEqual(len(self.ledger), 8)
        self.assertTrue(self.ledger.get("held").held)
        self.assertIsNotNone(self.ledger.get("f49"))

    def test_digest_is_the_same_for_the_same_knowledge(self):
        other = CrashLedger(lambda: self.now + 50.0)
        self.end_servers("f", "a", "b")
        self.end_servers("g", "a")
        for record in reversed(self.ledger.records()):
            other.take(record, "")
        self.assertEqual(other.digest, self.ledger.digest)
        other.note_ended("g", "ledger", "b")
        self.assertNotEqual(other.digest, self.ledger.digest)


if __name__ == "__main__":
    unittest.main()
