"""Tests listed in KNOWN-RED.txt are run, printed and passed over; nothing else is."""

import unittest

from tests import known_red
from tests.known_red import KnownRed, KnownRedError

LINE = "tests.a.T.test_b | make test, seed 4 | 503 for 20 s | lost servers | issue 31"


def _run(*names):
    """Run some of the sample tests; returns the result and the ids of those that were run."""
    suite = unittest.TestSuite(Samples(name) for name in names)
    ran = known_red.test_ids(suite)
    result = unittest.TestResult()
    suite.run(result)
    return result, ran


def _entry(name):
    return KnownRed(Samples(name).id(), "make test", "it fails", "unknown", "issue 1")


class KnownRedTest(unittest.TestCase):
    def judge(self, names, listed=(), whole=True):
        result, ran = _run(*names)
        return known_red.judge(result, ran, [_entry(name) for name in listed], whole)

    def check(self, outcome, passed, failed, *words):
        self.assertEqual((outcome.passed, outcome.failed), (passed, failed), outcome)
        self.assertEqual(len(outcome.lines), len(words))
        for line, word in zip(outcome.lines, words, strict=True):
            self.assertIn(word, line)

    def test_failure_that_is_not_listed_counts(self):
        self.check(self.judge(["passes", "fails"]), 1, 1)

    def test_listed_failure_is_printed_and_passed_over(self):
        for name in ("fails", "errs", "fails_in_a_part"):
            with self.subTest(name):
                self.check(self.judge(["passes", name], [name]), 1, 0, "passed over")

    def test_other_failures_count_beside_a_listed_one(self):
        self.check(self.judge(["passes", "fails", "errs"], ["fails"]), 1, 1, "passed over")

    def test_listed_test_that_passes_fails(self):
        self.check(self.judge(["passes"], ["passes"]), 0, 1, "it passes")

    def test_listed_test_that_is_skipped_or_missing_fails(self):
        self.check(self.judge(["passes", "skips"], ["skips"]), 1, 1, "not run")
        self.check(self.judge(["passes"], ["fails"]), 1, 1, "not run")

    def test_listed_test_may_be_missing_where_some_tests_are_run_only(self):
        self.check(self.judge(["passes"], ["fails"], whole=False), 1, 0)

    def test_line_tells_test_command_sight_cause_and_issue(self):
        (entry,) = known_red.parse(f"# {LINE}\n\n{LINE}\n")
        self.assertEqual(
            entry,
            KnownRed(
                "tests.a.T.test_b",
                "make test, seed 4",
                "503 for 20 s",
                "lost servers",
                "issue 31",
            ),
        )

    def test_list_that_can_not_be_used_is_refused(self):
        many = "\n".join(LINE.replace("test_b", f"test_{number}") for number in range(4))
        for text in (
            "tests.a.T.test_b",
            LINE.replace("lost servers", " "),
            f"{LINE}\n{LINE}",
            many,
        ):
            with self.subTest(text), self.assertRaises(KnownRedError):
                known_red.parse(text)


class Samples(unittest.TestCase):
    """Tests with every outcome; none is found by discovery, as their names don't begin so."""

    def passes(self):
        pass

    def fails(self):
        self.fail("as it should")

    def errs(self):
        raise ValueError("as it should")

    def fails_in_a_part(self):
        with self.subTest("part"):
            self.fail("as it should")

    def skips(self):
        self.skipTest("as it should")


if __name__ == "__main__":
    unittest.main()
