"""The checks of the soak detect each kind of violation."""

import unittest
from types import SimpleNamespace

from runkeel_lab.users_platform.servers import Order, Run, complete_output
from runkeel_lab.users_platform.soak import Soak

JOB = "job"
ITEMS = ["job-g0-0", "job-g0-1"]


def complete_result(item_id):
    return {
        "Id": item_id,
        "State": "completed",
        "Text": complete_output(item_id),
        "Score": f"a0.score-{item_id}",
    }


class OracleTest(unittest.TestCase):
    def setUp(self):
        self.soak = Soak(1, 0.0)
        self.addCleanup(self.soak._deployment.stop)
        self.results = [complete_result(item) for item in ITEMS]

    def _violations(self):
        return len(self.soak._report.violations)

    def _check(self, results):
        self.soak._seen[JOB] = results
        self.soak._check_results(JOB, ITEMS)
        return self._violations()

    def test_complete_job(self):
        self.assertEqual(self._check(self.results), 0)

    def test_missing_and_duplicate_items(self):
        self.assertEqual(self._check(self.results[:1]), 1)
        self.assertGreater(self._check([*self.results, self.results[0]]), 1)

    def test_wrong_text_and_wrong_score(self):
        self.results[0]["Text"] += "\nmore"
        self.results[1]["Score"] = "a0.score-other"
        self.assertEqual(self._check(self.results), 2)

    def test_results_that_change(self):
        answers = [self.results, list(reversed(self.results))]
        self.soak._deployment = SimpleNamespace(
            results=lambda edge, job_id: answers.pop(0), stop=self.soak._deployment.stop
        )
        self.soak._read(JOB, "edge-0")
        self.assertEqual(self._violations(), 0)
        self.soak._read(JOB, "edge-1")
        self.assertEqual(self._violations(), 1)

    def test_request_that_ran_twice(self):
        run = Run("r", "/reserve/x", 0.0, "", "")
        self.soak._deployment.applications[0].runs.append(run)
        self.soak._check_runs()
        self.assertEqual(self._violations(), 0)
        self.soak._deployment.applications[1].runs.append(run)
        self.soak._check_runs()
        self.assertEqual(self._violations(), 1)

    def test_orders_of_an_older_holder(self):
        orders = self.soak._deployment.engines[0].orders
        orders.append(Order(1.0, "a", 2, 3, True))
        orders.append(Order(2.0, "b", 1, 3, True))
        self.soak._check_orders()
        self.assertEqual(self._violations(), 1)

    def test_orders_of_two_holders_too_close_to_each_other(self):
        orders = self.soak._deployment.engines[0].orders
        orders.append(Order(1.0, "a", 1, 3, True))
        orders.append(Order(1.1, "b", 2, 4, True))
        self.soak._check_orders()
        self.assertEqual(self._violations(), 1)


if __name__ == "__main__":
    unittest.main()
