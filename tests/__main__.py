"""Runs all tests and prints one summary line: ``N passed, N failed``."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

from tests import known_red

TESTS_FOLDER = Path(__file__).parent


def main() -> int:
    """Run the tests given as arguments (dotted names), or all tests."""
    try:
        entries = known_red.read()
    except known_red.KnownRedError as error:
        print(f"KNOWN-RED.txt: {error}\n0 passed, 1 failed")
        return 1
    loader = unittest.TestLoader()
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover(str(TESTS_FOLDER), top_level_dir=str(TESTS_FOLDER.parent))
    selected = known_red.test_ids(suite)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    outcome = known_red.evaluate(result, selected, entries, full_run=len(sys.argv) == 1)
    for line in outcome.lines:
        print(line)
    summary = f"{outcome.passed} passed, {outcome.failed} failed"
    print(f"{summary}, {outcome.skipped} skipped" if outcome.skipped else summary)
    return 1 if outcome.failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
