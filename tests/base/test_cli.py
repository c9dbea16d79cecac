"""The command lines: what they print and how they exit."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LONGEST_SECONDS = 60


def run(*words):
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
    return subprocess.run(
        [sys.executable, *words],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=LONGEST_SECONDS,
    )


class RunkeelTest(unittest.TestCase):
    def test_version(self):
        self.assertRegex(run("-m", "runkeel", "--version").stdout, r"runkeel \d")

    def test_node_that_is_not_reached(self):
        ended = run("-m", "runkeel", "ctl", "show node", "--node", "http://127.0.0.1:1")
        self.assertEqual(ended.returncode, 4)
        self.assertIn("peer_unreachable", ended.stderr)

    def test_wrong_usage(self):
        ended = run("-m", "runkeel", "ctl", "show node", "--format", "stone")
        self.assertEqual(ended.returncode, 2)


class LabTest(unittest.TestCase):
    def test_decisions(self):
        ended = run("-m", "runkeel_lab", "decisions", "--engines", "20", "--waiting", "50")
        self.assertEqual((ended.returncode, len(ended.stdout.splitlines())), (0, 7))

    def test_trace_of_another_form(self):
        with tempfile.NamedTemporaryFile("w", suffix=".jsonl") as file:
            file.write("no trace")
            file.flush()
            ended = run("-m", "runkeel_lab", "replay", file.name)
        self.assertEqual(ended.returncode, 2)
        self.assertIn("line 1 of the trace", ended.stderr)

    def test_file_that_is_not_there(self):
        ended = run("-m", "runkeel_lab", "story", "id", "no-such-file")
        self.assertEqual(ended.returncode, 2)


class NodeTest(unittest.TestCase):
    def _check(self, content):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(content)
            file.flush()
            return run("platform/node.py", "--check", file.name)

    def test_settings_are_checked_without_a_start(self):
        for content, problem in (("{", "not JSON"), (json.dumps({}), "Platform.Address")):
            with self.subTest(content):
                ended = self._check(content)
                self.assertEqual(ended.returncode, 2)
                self.assertIn("bad_settings", ended.stderr)
                self.assertIn(problem, ended.stderr)

    def test_wrong_usage(self):
        self.assertEqual(run("platform/node.py", "--dance").returncode, 2)


if __name__ == "__main__":
    unittest.main()
