"""Tests that fail for a real fault which is not mended yet, as KNOWN-RED.txt lists them.

A listed test is run like any other, and its outcome is printed; its failure doesn't fail the run. A
listed test that passes, or that was not run at all, does: the list tells what is broken now.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"

MAXIMUM_ENTRIES = 3
"""So many faults may be open at once; what is beyond that has to be mended first."""

_SEPARATOR = "|"
_COMMENT = "#"
_FIELDS = ("test", "command and seed", "what was seen", "cause", "issue")


class KnownRedError(Exception):
    """KNOWN-RED.txt can't be used as it stands."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the list.

    Attributes:
        test: dotted name, as the test runner takes it.
        command: how to see the fault, with its seed.
        seen: what was seen.
        cause: what is known or suspected.
        issue: the open issue that tracks it.
    """

    test: str
    command: str
    seen: str
    cause: str
    issue: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """A run's outcome after the list was looked at.

    Attributes:
        passed: tests that passed and are not listed.
        failed: failures that count.
        skipped: tests that were not run.
        lines: what is printed of the listed tests.
    """

    passed: int
    failed: int
    skipped: int
    lines: list[str] = field(default_factory=list)


def parse(text: str) -> list[KnownRed]:
    """Read the list. Raises KnownRedError for a line that lacks a field, and for too many."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith(_COMMENT):
            continue
        fields = [one.strip() for one in line.split(_SEPARATOR)]
        if len(fields) != len(_FIELDS) or not all(fields):
            raise KnownRedError(f"line {number} needs: {' | '.join(_FIELDS)}")
        entries.append(KnownRed(*fields))
    if len(entries) > MAXIMUM_ENTRIES:
        raise KnownRedError(f"{len(entries)} entries, {MAXIMUM_ENTRIES} at most")
    if len({entry.test for entry in entries}) < len(entries):
        raise KnownRedError("a test is listed twice")
    return entries


def read(path: Path = KNOWN_RED_FILE) -> list[KnownRed]:
    """Read the list's file; one that isn't there is empty."""
    return parse(path.read_text()) if path.exists() else []


def judge(
    result: unittest.TestResult, ran: set[str], entries: Sequence[KnownRed], whole: bool
) -> Outcome:
    """Count a run's outcome with the listed tests passed over.

    Args:
        ran: ids of the tests that were to be run.
        whole: whether all tests were to be run, so that a listed one that is missing is an error.
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
            how = next(how for failed, how in failures if failed == test)
            lines.append(f"known red, passed over: {test}: {how}; {entry.seen} ({entry.issue})")
        elif test in skipped or (test not in ran and whole):
            counted += 1
            lines.append(f"known red, but not run: {test}")
        elif test in ran:
            counted += 1
            lines.append(f"known red, but it passes: {test}; take it off KNOWN-RED.txt")
    not_passed = failed_ids | skipped | set(listed)
    passed = result.testsRun - len(ran & not_passed)
    return Outcome(passed, counted, len(skipped), lines)


def test_ids(suite: Iterable) -> set[str]:
    """Return the ids of all tests of a suite."""
    ids: set[str] = set()
    for test in suite:
        ids |= test_ids(test) if isinstance(test, unittest.TestSuite) else {test.id()}
    return ids


def _test_id(test: unittest.TestCase) -> str:
    """Return a test's id; that of the whole test for a part of one."""
    return getattr(test, "test_case", test).id()
