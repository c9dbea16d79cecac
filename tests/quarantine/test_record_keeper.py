"""What of the ledger outlasts a restart of all nodes."""

import unittest

import gevent

from runkeel.api.documents import DocumentKind
from runkeel.clock import steady_seconds
from runkeel.quarantine.crash_ledger import CrashLedger
from runkeel.quarantine.record_keeper import RecordKeeper, read_records
from runkeel_lab.standins.document_store import MemoryDocumentStore, StoreFault

LONGEST_WAIT_SECONDS = 5.0


class RecordKeeperTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryDocumentStore()
        self.ledger = CrashLedger()
        self.keeper = RecordKeeper(self.store, "fleet", self.ledger)
        self.addCleanup(self.keeper.stop)

    def end_servers(self, fingerprint, *servers):
        for server in servers:
            self.ledger.note_ended(fingerprint, "ledger", server)

    def kept(self):
        ledger = CrashLedger()
        read_records(self.store, "fleet", ledger)
        return {one.fingerprint: len(one.ended) for one in ledger.records()}

    def wait(self, condition):
        deadline = steady_seconds() + LONGEST_WAIT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline, "waited too long")
            gevent.sleep(0.02)

    def test_records_with_two_ends_are_kept_and_read_again(self):
        self.keeper.start()
        self.end_servers("one", "a")
        self.end_servers("held", "a", "b", "c")
        self.end_servers("two", "a", "b")
        self.wait(lambda: self.kept() == {"held": 3, "two": 2})

    def test_cleared_request_is_kept_no_more(self):
        self.keeper.start()
        self.end_servers("f", "a", "b", "c")
        self.wait(self.kept)
        self.ledger.clear("f")
        self.wait(lambda: not self.kept())

    def test_next_coordinator_takes_what_the_one_before_has_kept(self):
        self.keeper.start()
        self.end_servers("f", "a", "b", "c")
        self.wait(self.kept)
        self.keeper.stop()
        ledger = CrashLedger()
        after = RecordKeeper(self.store, "fleet", ledger)
        self.addCleanup(after.stop)
        after.start()
        self.wait(lambda: ledger.get("f") is not None)
        ledger.note_ended("g", "ledger", "a")
        ledger.note_ended("g", "ledger", "b")
        self.wait(lambda: self.kept() == {"f": 3, "g": 2})

    def test_two_that_believe_to_coordinate_lose_nothing(self):
        other = CrashLedger()
        second = RecordKeeper(self.store, "fleet", other)
        self.addCleanup(second.stop)
        self.keeper.start()
        second.start()
        self.end_servers("f", "a", "b", "c")
        for server in "xyz":
            other.note_ended("g", "ledger", server)
        self.wait(lambda: self.kept() == {"f": 3, "g": 3})

    def test_write_that_fails_or_is_not_answered_is_made_again(self):
        self.keeper.start()
        for fault in StoreFault:
            with self.subTest(fault):
                self.store.fail_next_write(fault, 2)
                self.end_servers(f"f-{fault.value}", "a", "b", "c")
                self.wait(lambda fault=fault: f"f-{fault.value}" in self.kept())

    def test_document_that_is_not_understood_is_passed_over(self):
        content = {"records": [{"fingerprint": "f"}, 5]}
        self.store.create(DocumentKind.QUARANTINE, "fleet", content)
        self.assertEqual(self.kept(), {})


if __name__ == "__main__":
    unittest.main()
