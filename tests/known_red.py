"""Known test failures, as listed in KNOWN-RED.txt.

A listed test is run like any other and its outcome is printed, but its failure does not fail the
run. A listed test that passes or is not run does fail it, which keeps the list up to date.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"

MAX_ENTRIES = 3
"""Maximum number of listed tests; further failures have to be fixed first."""

_SEPARATOR = "|"
_COMMENT = "#"
_FIELDS = ("test", "command and seed", "what was seen", "cause", "issue")


class KnownRedError(Exception):
    """KNOWN-RED.txt is invalid."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """An entry of the list.

    Attributes:
        test: dotted name, as the test runner accepts it.
        command: command that reproduces the failure, with its seed.
        symptom: what was observed.
        cause: known or suspected cause.
        issue: open issue that tracks the failure.
    """

    test: str
    command: str
    symptom: str
    cause: str
    issue: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a run after applying the list.

    Attributes:
        passed: number of unlisted tests that passed.
        failed: number of failures that fail the run.
        skipped: number of skipped tests.
        lines: lines to print about the listed tests.
    """

    passed: int
    failed: int
    skipped: int
    lines: list[str] = field(default_factory=list)


def parse(text: str) -> list[KnownRed]:
    """Parse the list.

    Raises:
        KnownRedError: a field is missing, a test is listed twice, or there are too many entries.
    """
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith(_COMMENT):
            continue
        fields = [part.strip() for part in line.split(_SEPARATOR)]
        if len(fields) != len(_FIELDS) or not all(fields):
            raise KnownRedError(f"line {number} must have the fields {' | '.join(_FIELDS)}")
        entries.append(KnownRed(*fields))
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(f"too many entries: {len(entries)}, at most {MAX_ENTRIES}")
    if len({entry.test for entry in entries}) < len(entries):
        raise KnownRedError("duplicate test")
    return entries


def read(path: Path = KNOWN_RED_FILE) -> list[KnownRed]:
    """Parse the list file; a missing file means an empty list."""
    return parse(path.read_text()) if path.exists() else []


def evaluate(
    result: unittest.TestResult, selected: set[str], entries: Sequence[KnownRed], full_run: bool
) -> Outcome:
    """Evaluate a run, ignoring failures of listed tests.

    Args:
        selected: ids of the tests selected for the run.
        full_run: whether all tests were selected, so that a missing listed test is an error.
    """
    failures = [(_test_id(test), "failed") for test, _ in result.failures]
    failures += [(_test_id(test), "ended with an error") for test, _ in result.errors]
    failures += [(_test_id(test), "passed unexpectedly") for test in result.unexpectedSuccesses]
    skipped = {_test_id(test) for test, _ in result.skipped}
    listed = {entry.test: entry for entry in entries}
    failed_ids = {test for test, _ in failures}
    counted = sum(test not in listed for test, _ in failures)
    lines = []
    for test, entry in listed.items():
        if test in failed_ids:
            problem = next(problem for failed, problem in failures if failed == test)
            lines.append(
                f"known red, passed over: {test}: {problem}; {entry.symptom} ({entry.issue})"
            )
        elif test in skipped or (test not in selected and full_run):
            counted += 1
            lines.append(f"known red, but not run: {test}")
        elif test in selected:
            counted += 1
            lines.append(f"known red, but it passes: {test}; take it off KNOWN-RED.txt")
    not_passed = failed_ids | skipped | set(listed)
    passed = result.testsRun - len(selected & not_passed)
    return Outcome(passed, counted, len(skipped), lines)


def test_ids(suite: Iterable) -> set[str]:
    """Return the ids of all tests of a suite."""
    ids: set[str] = set()
    for test in suite:
        ids |= test_ids(test) if isinstance(test, unittest.TestSuite) else {test.id()}
    return ids


def _test_id(test: unittest.TestCase) -> str:
    """Return the id of a test, or of the enclosing test if it is a subtest."""
    return getattr(test, "test_case", test).id()
