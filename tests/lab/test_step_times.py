"""Table of steps from log lines."""

import unittest

from runkeel_lab.step_times import collect_steps, format_steps

ACCEPTED = {"job": "j", "model": "m", "step": 3, "items": 2}


def line(time, code, **fields):
    return {"time": time, "node": "n", "code": code, **fields}


def run(time, item, ms, outcome="complete", events=10, after=None):
    return line(
        time,
        "item_run",
        job="j",
        request=item,
        ms=ms,
        backend="e1",
        outcome=outcome,
        events=events,
        resumed_after=after,
    )


class StepTimesTest(unittest.TestCase):
    def setUp(self):
        self.lines = [
            line(100.0, "job_accepted", **ACCEPTED),
            run(101.0, "a", 500),
            run(102.0, "b", 1500, "moved"),
            line(102.5, "results_listed", job="j", own=True, listed=1),
            run(104.0, "b", 2000, after="10"),
            line(104.2, "results_listed", job="j", own=True, listed=2),
            line(104.6, "job_end", job="j"),
            line(104.7, "version_named", model="m", version=4),
            run(104.8, "other", 100) | {"job": "unknown"},
        ]

    def test_stages_of_a_step(self):
        (step,) = collect_steps(self.lines)
        self.assertEqual((step.step, step.items, step.ended), (3, 2, 104.6))
        self.assertEqual(step.time_of_listed_share(0.5), 102.5)
        self.assertEqual(step.time_of_listed_share(1.0), 104.2)
        (last,) = step.last_items(1)
        self.assertEqual([one.outcome for one in last], ["moved", "complete"])

    def test_table(self):
        table = format_steps(self.lines, last_items=1)
        self.assertIn("0.50  0.50  2.00 |          4.00 |       4.20  4.20 |  4.60", table)
        self.assertIn("2.00-4.00 e1 complete 10 events after 10", table)
        self.assertIn("4.70 n version_named version=4 model=m", table)

    def test_without_steps(self):
        self.assertEqual(format_steps([]), "no step in these lines")


if __name__ == "__main__":
    unittest.main()
