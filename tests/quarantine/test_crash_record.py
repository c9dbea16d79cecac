"""Records of two nodes say the same together, in whatever order and however often news come."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from runkeel.quarantine.crash_record import (
    MAXIMUM_ENDED,
    CrashRecord,
    from_wire,
    merged,
    to_wire,
)

RECORDS = st.builds(
    CrashRecord,
    fingerprint=st.just("f"),
    service=st.just("ledger"),
    clearance=st.integers(0, 2),
    ended=st.frozensets(st.sampled_from([f"s{n}" for n in range(24)]), max_size=12),
    trials=st.integers(0, 3),
    trials_returned=st.integers(0, 3),
    changed_at=st.floats(0, 100),
)


class CrashRecordTest(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None)
    @given(RECORDS, RECORDS, RECORDS)
    def test_merging_is_commutative_associative_and_idempotent(self, one, other, third):
        together = merged(one, other)
        self.assertTrue(together.same_as(merged(other, one)))
        self.assertTrue(together.same_as(merged(together, one)))
        self.assertTrue(merged(together, third).same_as(merged(one, merged(other, third))))

    @settings(derandomize=True, database=None, deadline=None)
    @given(RECORDS)
    def test_wire_keeps_everything_but_a_millisecond_of_age(self, record):
        received = from_wire(to_wire(record, 100.0), 200.0)
        self.assertTrue(received.same_as(record))
        self.assertAlmostEqual(received.changed_at - 100.0, record.changed_at, delta=0.002)

    def test_clearance_replaces_what_was_known_before(self):
        known = CrashRecord("f", "ledger", 0, frozenset("abc"), 2, 0, 1.0)
        cleared = CrashRecord("f", "ledger", 1, changed_at=2.0)
        self.assertFalse(merged(known, cleared).held)
        self.assertFalse(merged(cleared, known).held)

    def test_names_of_servers_are_bounded(self):
        many = frozenset(f"s{n}" for n in range(3 * MAXIMUM_ENDED))
        record = merged(CrashRecord("f", "x", ended=many), CrashRecord("f", "x"))
        self.assertEqual(len(record.ended), MAXIMUM_ENDED)


if __name__ == "__main__":
    unittest.main()
