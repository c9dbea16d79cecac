"""Lower bound of the duration of a step, and the causes of its lag."""

import unittest

from runkeel_lab.step_bound import format_lags, step_lags
from tests.lab.test_step_times import line, run


def on(engine, **fields):
    return run(**fields) | {"backend": engine}


class StepBoundTest(unittest.TestCase):
    def lines(self, *more, items=2):
        return [
            line(100.0, "job_accepted", job="j", model="m", step=0, items=items),
            *more,
        ]

    def test_step_at_the_bound_has_no_lag(self):
        (lag,) = step_lags(
            self.lines(
                on("e1", time=101.0, item="a", ms=1000),
                on("e2", time=101.0, item="b", ms=1000),
                line(101.0, "results_listed", job="j", own=True, listed=2),
            )
        )
        self.assertAlmostEqual(lag.bound, 1.0)
        self.assertAlmostEqual(lag.lag, 0.0)

    def test_causes_of_the_deciding_item(self):
        (lag,) = step_lags(
            self.lines(
                on("e1", time=101.5, item="a", ms=1000),
                on("e2", time=102.5, item="b", ms=2000, outcome="moved"),
                on("e1", time=104.0, item="b", ms=1000),
                line(104.4, "results_listed", job="j", own=True, listed=2),
            )
        )
        # 90% of two items rounds down to one, so the first to end is the deciding item.
        self.assertAlmostEqual(lag.waited, 0.5)
        (lag,) = step_lags(
            self.lines(
                on("e2", time=102.5, item="b", ms=2000, outcome="moved"),
                on("e1", time=104.0, item="b", ms=1000),
                line(104.4, "results_listed", job="j", own=True, listed=1),
                items=1,
            )
        )
        self.assertAlmostEqual(lag.bound, 1.0)
        self.assertAlmostEqual(lag.waited, 0.5)
        self.assertAlmostEqual(lag.repeated, 1.0)
        self.assertAlmostEqual(lag.slow, 1.0)
        self.assertAlmostEqual(lag.between, 0.5)
        self.assertAlmostEqual(lag.listing, 0.4)
        self.assertAlmostEqual(lag.lag, 3.4)

    def test_longest_items_first_on_the_free_slots(self):
        runs = [
            on("e1", time=101.0, item="long", ms=1000, events=20),
            on("e1", time=101.5, item="short-1", ms=500),
            on("e1", time=102.0, item="short-2", ms=500),
            line(102.0, "results_listed", job="j", own=True, listed=3),
        ]
        (lag,) = step_lags(self.lines(*runs, items=3))
        self.assertAlmostEqual(lag.bound, 1.5)

    def test_unlisted_step_and_no_steps(self):
        lags = step_lags(self.lines(on("e1", time=101.0, item="a", ms=1000)))
        self.assertIsNone(lags[0].took)
        self.assertIn("0 of 1 steps listed", format_lags(lags))
        self.assertEqual(format_lags(step_lags([])), "no step with runs in these lines")


if __name__ == "__main__":
    unittest.main()
