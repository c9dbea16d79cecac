"""Tests of the crash records that are persisted in the document store."""

import unittest

import gevent

from runkeel.api.documents import DocumentKind
from runkeel.clock import steady_seconds
from runkeel.quarantine.crash_ledger import CrashLedger
from runkeel.quarantine.crash_record_writer import CrashRecordWriter, read_records
from runkeel_lab.standins.document_store import MemoryDocumentStore, StoreFault

WAIT_TIMEOUT_SECONDS = 5.0


class CrashRecordWriterTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryDocumentStore()
        self.ledger = CrashLedger()
        self.writer = CrashRecordWriter(self.store, "fleet", self.ledger)
        self.addCleanup(self.writer.stop)

    def crash_servers(self, fingerprint, *servers):
        for server in servers:
            self.ledger.record_crash(fingerprint, "tariff", server)

    def stored_crash_counts(self):
        ledger = CrashLedger()
        read_records(self.store, "fleet", ledger)
        return {one.fingerprint: len(one.crashed_servers) for one in ledger.records()}

    def wait_until(self, condition):
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline, "condition not met in time")
            gevent.sleep(0.02)

    def test_records_with_two_crashes_are_stored_and_read_back(self):
        self.writer.start()
        self.crash_servers("one", "a")
        self.crash_servers("held", "a", "b", "c")
        self.crash_servers("two", "a", "b")
        self.wait_until(lambda: self.stored_crash_counts() == {"held": 3, "two": 2})

    def test_cleared_request_is_removed_from_the_store(self):
        self.writer.start()
        self.crash_servers("f", "a", "b", "c")
        self.wait_until(self.stored_crash_counts)
        self.ledger.clear("f")
        self.wait_until(lambda: not self.stored_crash_counts())

    def test_new_coordinator_keeps_records_of_the_previous_one(self):
        self.writer.start()
        self.crash_servers("f", "a", "b", "c")
        self.wait_until(self.stored_crash_counts)
        self.writer.stop()
        ledger = CrashLedger()
        successor = CrashRecordWriter(self.store, "fleet", ledger)
        self.addCleanup(successor.stop)
        successor.start()
        self.wait_until(lambda: ledger.get("f") is not None)
        ledger.record_crash("g", "tariff", "a")
        ledger.record_crash("g", "tariff", "b")
        self.wait_until(lambda: self.stored_crash_counts() == {"f": 3, "g": 2})

    def test_two_concurrent_coordinators_lose_no_records(self):
        other = CrashLedger()
        second = CrashRecordWriter(self.store, "fleet", other)
        self.addCleanup(second.stop)
        self.writer.start()
        second.start()
        self.crash_servers("f", "a", "b", "c")
        for server in "xyz":
            other.record_crash("g", "tariff", server)
        self.wait_until(lambda: self.stored_crash_counts() == {"f": 3, "g": 3})

    def test_failed_or_unacknowledged_write_is_retried(self):
        self.writer.start()
        for fault in StoreFault:
            with self.subTest(fault):
                self.store.fail_next_write(fault, 2)
                self.crash_servers(f"f-{fault.value}", "a", "b", "c")
                self.wait_until(
                    lambda fault=fault: f"f-{fault.value}" in self.stored_crash_counts()
                )

    def test_malformed_records_are_skipped(self):
        content = {"records": [{"fingerprint": "f"}, 5]}
        self.store.create(DocumentKind.QUARANTINE, "fleet", content)
        self.assertEqual(self.stored_crash_counts(), {})


if __name__ == "__main__":
    unittest.main()
