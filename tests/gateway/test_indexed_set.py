"""The indexed set behaves like a dictionary and samples distinct members."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from runkeel.gateway.indexed_set import IndexedSet


class IndexedSetTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.sampled_from("abcdefgh"))))
    def test_behaves_like_a_dictionary(self, steps):
        members, model = IndexedSet(), {}
        for number, (add, key) in enumerate(steps):
            if add:
                self.assertEqual(members.add(key, number), key not in model)
                model[key] = number
            else:
                self.assertEqual(members.discard(key), key in model)
                model.pop(key, None)
            self.assertEqual(sorted(members), sorted(model.values()))
            self.assertEqual(members.get(key), model.get(key))
            self.assertEqual(len(members), len(model))

    def test_sample_returns_all_or_distinct_members(self):
        members = IndexedSet()
        for number in range(20):
            members.add(str(number), number)
        self.assertEqual(sorted(members.sample(20)), list(range(20)))
        self.assertEqual(len(set(members.sample(5))), 5)


if __name__ == "__main__":
    unittest.main()
