"""The check of a job's reads detects each kind of violation."""

import json
import unittest
from types import SimpleNamespace

from runkeel_lab.users_platform.read_log import SETTLE_SECONDS, ReadJob

ITEMS = ["g0-0", "g0-1", "g0-2"]
READ_AT = 10.0
LATER = READ_AT + SETTLE_SECONDS + 0.1


def page(results, position=0, total=3):
    body = {"Total": total, "Results": results, "NextToken": position + len(results)}
    return SimpleNamespace(status=200, body=json.dumps(body).encode())


def status(code):
    return SimpleNamespace(status=code, body=b"")


class ReadJobTest(unittest.TestCase):
    def setUp(self):
        self.results = [{"Id": item, "Text": item} for item in ITEMS]
        self.job = ReadJob("job", ITEMS, 0.0)
        self.assertEqual(self.check(page(self.results[:2]), at=READ_AT), [])

    def check(self, response, position=0, at=LATER):
        return self.job.check(response, position, at, at)

    def test_same_and_further_results_are_accepted(self):
        self.assertEqual(self.check(page(self.results)), [])
        self.assertEqual(self.check(page(self.results[1:], 1), 1), [])
        self.assertEqual(self.check(page([], 3), 3), [])
        self.assertEqual(self.job.contents, self.results)

    def test_missing_result(self):
        self.assertEqual(len(self.check(page([]))), 1)
        self.assertEqual(len(self.check(page([], 1), 1)), 1)

    def test_result_may_be_missing_just_after_its_first_read(self):
        self.assertEqual(self.check(page([]), at=READ_AT + SETTLE_SECONDS / 2), [])

    def test_other_result_at_a_position(self):
        self.results[1] = {**self.results[1], "Text": "other"}
        self.assertEqual(len(self.check(page(self.results[:2]), at=READ_AT)), 1)

    def test_item_at_two_positions(self):
        self.assertEqual(len(self.check(page([*self.results[:2], self.results[0]]))), 1)

    def test_wrong_total_and_wrong_next_token(self):
        self.assertEqual(len(self.check(page(self.results, total=2))), 1)
        self.assertEqual(len(self.check(page(self.results, 1), 0)), 1)

    def test_unknown_job(self):
        self.assertEqual(len(self.check(status(404))), 1)

    def test_refused_read_is_accepted(self):
        self.assertEqual(self.check(status(503)), [])


if __name__ == "__main__":
    unittest.main()
