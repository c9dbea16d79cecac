"""Only failures of tests listed in KNOWN-RED.txt are printed without failing the run."""

import unittest

from tests import known_red
from tests.known_red import KnownRed, KnownRedError

LINE = "tests.a.T.test_b | make test, seed 4 | 503 for 20 s | lost servers | issue 31"


def _run(*names):
    """Run some of the sample tests; return the result and the ids of the selected tests."""
    suite = unittest.TestSuite(Samples(name) for name in names)
    selected = known_red.test_ids(suite)
    result = unittest.TestResult()
    suite.run(result)
    return result, selected


def _entry(name):
    return KnownRed(Samples(name).id(), "make test", "it fails", "unknown", "issue 1")


class KnownRedTest(unittest.TestCase):
    def evaluate(self, names, listed=(), full_run=True):
        result, selected = _run(*names)
        return known_red.evaluate(result, selected, [_entry(name) for name in listed], full_run)

    def check(self, outcome, passed, failed, *words):
        self.assertEqual((outcome.passed, outcome.failed), (passed, failed), outcome)
        self.assertEqual(len(outcome.lines), len(words))
        for line, word in zip(outcome.lines, words, strict=True):
            self.assertIn(word, line)

    def test_unlisted_failure_counts(self):
        self.check(self.evaluate(["passes", "fails"]), 1, 1)

    def test_listed_failure_is_printed_and_passed_over(self):
        for name in ("fails", "errs", "fails_in_subtest"):
            with self.subTest(name):
                self.check(self.evaluate(["passes", name], [name]), 1, 0, "passed over")

    def test_unlisted_failure_counts_besides_a_listed_one(self):
        self.check(self.evaluate(["passes", "fails", "errs"], ["fails"]), 1, 1, "passed over")

    def test_listed_test_that_passes_fails(self):
        self.check(self.evaluate(["passes"], ["passes"]), 0, 1, "it passes")

    def test_listed_test_that_is_skipped_or_missing_fails(self):
        self.check(self.evaluate(["passes", "skips"], ["skips"]), 1, 1, "not run")
        self.check(self.evaluate(["passes"], ["fails"]), 1, 1, "not run")

    def test_listed_test_may_be_missing_from_a_partial_run(self):
        self.check(self.evaluate(["passes"], ["fails"], full_run=False), 1, 0)

    def test_entry_fields_are_parsed(self):
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

    def test_invalid_list_is_rejected(self):
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
    """Tests with each kind of outcome, named so that discovery does not find them."""

    def passes(self):
        pass

    def fails(self):
        self.fail("as it should")

    def errs(self):
        raise ValueError("as it should")

    def fails_in_subtest(self):
        with self.subTest("part"):
            self.fail("as it should")

    def skips(self):
        self.skipTest("as it should")


if __name__ == "__main__":
    unittest.main()
