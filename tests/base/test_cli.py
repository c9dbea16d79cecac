"""Output and exit codes of the command lines."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_SECONDS = 60


def run_python(*arguments):
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
    return subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )


class RunkeelTest(unittest.TestCase):
    def test_version(self):
        self.assertRegex(run_python("-m", "runkeel", "--version").stdout, r"runkeel \d")

    def test_unreachable_node(self):
        result = run_python("-m", "runkeel", "ctl", "show node", "--node", "http://127.0.0.1:1")
        self.assertEqual(result.returncode, 4)
        self.assertIn("peer_unreachable", result.stderr)

    def test_usage_error(self):
        result = run_python("-m", "runkeel", "ctl", "show node", "--format", "stone")
        self.assertEqual(result.returncode, 2)


class LabTest(unittest.TestCase):
    def test_decisions(self):
        result = run_python("-m", "runkeel_lab", "decisions", "--engines", "20", "--waiting", "50")
        self.assertEqual((result.returncode, len(result.stdout.splitlines())), (0, 7))

    def test_invalid_trace(self):
        with tempfile.NamedTemporaryFile("w", suffix=".jsonl") as file:
            file.write("no trace")
            file.flush()
            result = run_python("-m", "runkeel_lab", "replay", file.name)
        self.assertEqual(result.returncode, 2)
        self.assertIn("line 1 of the trace", result.stderr)

    def test_missing_file(self):
        result = run_python("-m", "runkeel_lab", "story", "id", "no-such-file")
        self.assertEqual(result.returncode, 2)


class NodeTest(unittest.TestCase):
    def _check(self, content):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(content)
            file.flush()
            return run_python("platform/node.py", "--check", file.name)

    def test_settings_are_checked_without_starting_a_node(self):
        for content, problem in (("{", "not JSON"), (json.dumps({}), "Platform.Address")):
            with self.subTest(content):
                result = self._check(content)
                self.assertEqual(result.returncode, 2)
                self.assertIn("bad_settings", result.stderr)
                self.assertIn(problem, result.stderr)

    def test_usage_error(self):
        self.assertEqual(run_python("platform/node.py", "--dance").returncode, 2)


if __name__ == "__main__":
    unittest.main()
