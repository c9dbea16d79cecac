"""Tests that merging crash records does not depend on the order or number of updates."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from runkeel.quarantine.crash_record import (
    MAX_CRASHED_SERVERS,
    CrashRecord,
    from_wire,
    merge,
    to_wire,
)

RECORDS = st.builds(
    CrashRecord,
    fingerprint=st.just("f"),
    service=st.just("tariff"),
    clearance=st.integers(0, 2),
    crashed_servers=st.frozensets(st.sampled_from([f"s{n}" for n in range(24)]), max_size=12),
    trials=st.integers(0, 3),
    trials_returned=st.integers(0, 3),
    changed_at=st.floats(0, 100),
)


class CrashRecordTest(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None)
    @given(RECORDS, RECORDS, RECORDS)
    def test_merging_is_commutative_associative_and_idempotent(self, one, other, third):
        combined = merge(one, other)
        self.assertTrue(combined.same_content(merge(other, one)))
        self.assertTrue(combined.same_content(merge(combined, one)))
        self.assertTrue(merge(combined, third).same_content(merge(one, merge(other, third))))

    @settings(derandomize=True, database=None, deadline=None)
    @given(RECORDS)
    def test_wire_round_trip_preserves_content_and_age(self, record):
        received = from_wire(to_wire(record, 100.0), 200.0)
        self.assertTrue(received.same_content(record))
        self.assertAlmostEqual(received.changed_at - 100.0, record.changed_at, delta=0.002)

    def test_clearance_replaces_earlier_crashes(self):
        known = CrashRecord("f", "tariff", 0, frozenset("abc"), 2, 0, 1.0)
        cleared = CrashRecord("f", "tariff", 1, changed_at=2.0)
        self.assertFalse(merge(known, cleared).quarantined)
        self.assertFalse(merge(cleared, known).quarantined)

    def test_number_of_listed_servers_is_bounded(self):
        many = frozenset(f"s{n}" for n in range(3 * MAX_CRASHED_SERVERS))
        record = merge(CrashRecord("f", "x", crashed_servers=many), CrashRecord("f", "x"))
        self.assertEqual(len(record.crashed_servers), MAX_CRASHED_SERVERS)


if __name__ == "__main__":
    unittest.main()
