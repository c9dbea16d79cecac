"""The cache of listed results."""

import unittest

from runkeel.api.jobs import ItemResult, ResultState
from runkeel.jobs.result_cache import ResultCache


def results(*names):
    return [ItemResult(name, ResultState.COMPLETED, "x" * 100) for name in names]


def names(found):
    return [result.item_id for result in found]


class ResultCacheTest(unittest.TestCase):
    def test_results_up_to_the_first_gap(self):
        cache = ResultCache()
        cache.add("job", 9, 0, results("a", "b"))
        cache.add("job", 9, 3, results("d"))
        self.assertEqual(names(cache.from_position("job", 1)), ["b"])
        self.assertEqual(names(cache.from_position("job", 2)), [])
        cache.add("job", 9, 2, results("c"))
        self.assertEqual(names(cache.from_position("job", 0)), ["a", "b", "c", "d"])
        self.assertEqual(cache.from_position("other", 0), [])

    def test_job_is_complete_once_all_results_are_cached(self):
        cache = ResultCache()
        cache.add("job", 2, 0, results("a"))
        self.assertFalse(cache.is_complete("job"))
        cache.add("job", 2, 1, results("b"))
        self.assertTrue(cache.is_complete("job"))
        self.assertFalse(cache.is_complete("other"))

    def test_cached_positions_are_not_overwritten(self):
        cache = ResultCache()
        cache.add("job", 9, 0, results("a"))
        cache.add("job", 9, 0, results("other", "b"))
        self.assertEqual(names(cache.from_position("job", 0)), ["a", "b"])

    def test_least_recently_read_job_is_evicted(self):
        cache = ResultCache(max_bytes=700)
        cache.add("first", 9, 0, results("a"))
        cache.add("second", 9, 0, results("b"))
        cache.from_position("first", 0)
        cache.add("third", 9, 0, results("c"))
        self.assertEqual(names(cache.from_position("second", 0)), [])
        self.assertEqual(names(cache.from_position("first", 0)), ["a"])
        self.assertEqual(cache._bytes, 600)
        self.assertEqual([cache.total("first"), cache.total("second")], [9, 0])


if __name__ == "__main__":
    unittest.main()
