"""Recorded traces are replayed, and outcomes that differ are found."""

import unittest
from pathlib import Path

from runkeel_lab.users_platform.deployment import COUNT_PREFIX, RESERVE_PREFIX
from runkeel_lab.users_platform.replay import Replay
from runkeel_lab.users_platform.servers import Run
from runkeel_lab.users_platform.trace import COMPLETED, Trace, TraceEvent, parse_trace, read_trace

TRACES = Path(__file__).resolve().parents[2] / "traces"
SIZES = {"edges": 2, "disks": 1, "engines": 2, "applications": 2}


def request(name, prefix=COUNT_PREFIX, outcome="200"):
    return TraceEvent(0.1, "request", "edge-0", name, {"prefix": prefix}, outcome)


class RecordedTracesTest(unittest.TestCase):
    def test_every_recorded_trace_has_its_stated_outcomes(self):
        paths = sorted(TRACES.glob("*.jsonl"))
        self.assertGreater(len(paths), 1)
        for path in paths:
            with self.subTest(path.name):
                self.assertEqual(Replay(read_trace(path)).run(), [])


class ReplayTest(unittest.TestCase):
    def _replay(self, *events):
        replay = Replay(Trace(SIZES, events))
        self.addCleanup(replay._deployment.stop)
        return replay

    def test_requests_that_are_no_longer_answered_are_found(self):
        replay = self._replay(*(request(f"r{n}") for n in range(10)))
        replay._answered = {f"r{n}" for n in range(8)}
        replay._check_requests()
        self.assertEqual(replay.violations, ["2 of 10 requests not answered"])

    def test_what_runs_twice_is_found(self):
        replay = self._replay(request("once", RESERVE_PREFIX, ""))
        for server in replay._deployment.applications:
            server.runs.append(Run("once", f"{RESERVE_PREFIX}x", 0.0, "", ""))
        replay._check_requests()
        self.assertEqual(replay.violations, ["ran more than once: ['once']"])

    def test_job_that_is_not_taken_any_more_is_found(self):
        job = TraceEvent(0.0, "job", "edge-0", "j", {"items": 4}, COMPLETED)
        replay = self._replay(job)
        replay._check_jobs()
        self.assertEqual(replay.violations, ["j: not accepted in 5 tries"])

    def test_unknown_act_is_found(self):
        self.assertEqual(self._replay(TraceEvent(0.0, "dance")).run(), ["unknown act 'dance'"])


class ParseTraceTest(unittest.TestCase):
    def test_wrong_lines_are_named(self):
        for lines, problem in (
            ([], "empty"),
            (["{"], "line 1"),
            (['{"sizes": {"edges": 1}}', '{"at": 1.0}'], "line 2"),
        ):
            with self.subTest(lines), self.assertRaisesRegex(ValueError, problem):
                parse_trace(lines)


if __name__ == "__main__":
    unittest.main()
