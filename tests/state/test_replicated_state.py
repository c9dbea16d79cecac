import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from runkeel.state import replicated_state
from runkeel.state.replicated_state import RecordSource, ReplicatedState
from runkeel.state.versioned_record import MACHINE_KIND, VersionedRecord, record_from_wire

RECORDS = st.builds(
    VersionedRecord,
    kind=st.sampled_from(["service", "model"]),
    name=st.sampled_from(["a", "b", "c"]),
    generation=st.integers(1, 5),
    payload=st.sampled_from([b"{}", b'{"x":1}']),
    deleted=st.booleans(),
)


def record(generation: int, payload: bytes = b"{}", **fields) -> VersionedRecord:
    return VersionedRecord("service", "tariff", generation, payload, **fields)


class ReplicatedStateTest(unittest.TestCase):
    def test_an_older_record_never_replaces_a_newer_one(self):
        state = ReplicatedState()
        for source, generation in itertools.product(RecordSource, (3, 2, 1)):
            state.apply([record(generation)], source)
            self.assertEqual(state.get("service", "tariff").generation, 3)

    def test_same_generation_has_one_winner_in_any_order_and_is_counted(self):
        first, second = record(2, b'{"a":1}'), record(2, b'{"a":2}')
        forward, backward = ReplicatedState(), ReplicatedState()
        forward.apply([first, second], RecordSource.SYNC)
        backward.apply([second, first], RecordSource.SYNC)
        self.assertEqual(forward.get("service", "tariff"), backward.get("service", "tariff"))
        self.assertEqual((forward.collisions, backward.collisions), (1, 1))

    @settings(derandomize=True, deadline=None)
    @given(st.lists(RECORDS, max_size=20), st.randoms(use_true_random=False))
    def test_digests_agree_whatever_the_order(self, records, source):
        shuffled = list(records)
        source.shuffle(shuffled)
        one, other = ReplicatedState(), ReplicatedState()
        one.apply(records, RecordSource.PUSH)
        for item in shuffled + shuffled:
            other.apply([item], RecordSource.SYNC)
        self.assertEqual(one.digest, other.digest)
        self.assertEqual(one.bucket_digests(), other.bucket_digests())
        expected = 0
        for index in range(64):
            for item in one.bucket(index):
                expected ^= item.digest
        self.assertEqual(one.digest, expected)

    @settings(derandomize=True, deadline=None)
    @given(RECORDS)
    def test_wire_form_keeps_the_digest(self, item):
        self.assertEqual(record_from_wire(item.to_wire()).digest, item.digest)

    def test_machine_tombstones_are_bounded_and_the_newest_stay(self):
        state = ReplicatedState()
        count = replicated_state.MAX_MACHINE_TOMBSTONES + 10
        state.apply(
            [
                VersionedRecord(MACHINE_KIND, f"m{index}", index + 1, b"{}", deleted=True)
                for index in range(count)
            ],
            RecordSource.STORE,
        )
        self.assertEqual(len(state), replicated_state.MAX_MACHINE_TOMBSTONES)
        self.assertIsNone(state.get(MACHINE_KIND, "m9"))
        self.assertIsNotNone(state.get(MACHINE_KIND, "m10"))
