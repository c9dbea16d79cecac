"""Recorded traces replay without violations, and differing outcomes are detected."""

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

    def test_missing_responses_are_detected(self):
        replay = self._replay(*(request(f"r{n}") for n in range(10)))
        replay._answered = {f"r{n}" for n in range(8)}
        replay._check_requests()
        self.assertEqual(replay.violations, ["2 of 10 requests not answered"])

    def test_duplicate_runs_are_detected(self):
        replay = self._replay(request("once", RESERVE_PREFIX, ""))
        for server in replay._deployment.applications:
            server.runs.append(Run("once", f"{RESERVE_PREFIX}x", 0.0, "", ""))
        replay._check_requests()
        self.assertEqual(replay.violations, ["ran more than once: ['once']"])

    def test_rejected_job_is_detected(self):
        job = TraceEvent(0.0, "job", "edge-0", "j", {"items": 4}, COMPLETED)
        replay = self._replay(job)
        replay._check_jobs()
        self.assertEqual(replay.violations, ["j: not accepted in 5 tries"])

    def test_unknown_act_is_detected(self):
        self.assertEqual(self._replay(TraceEvent(0.0, "dance")).run(), ["unknown act 'dance'"])


class ParseTraceTest(unittest.TestCase):
    def test_error_names_the_malformed_line(self):
        for lines, problem in (
            ([], "empty"),
            (["{"], "line 1"),
            (['{"sizes": {"edges": 1}}', '{"at": 1.0}'], "line 2"),
        ):
            with self.subTest(lines), self.assertRaisesRegex(ValueError, problem):
                parse_trace(lines)


if __name__ == "__main__":
    unittest.main()
