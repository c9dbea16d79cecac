"""Runs all tests and prints one summary line: ``N passed, N failed``."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

TESTS_FOLDER = Path(__file__).parent


def main() -> int:
    """Run the tests named as arguments (dotted names), or all."""
    loader = unittest.TestLoader()
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover(str(TESTS_FOLDER), top_level_dir=str(TESTS_FOLDER.parent))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    line = f"{passed} passed, {failed} failed"
    print(f"{line}, {skipped} skipped" if skipped else line)
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
