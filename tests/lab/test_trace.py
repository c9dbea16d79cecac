"""Trace and experiment files: what is read, what is refused."""

import tempfile
import unittest
from pathlib import Path

from pydantic import ValidationError

from runkeel_lab.experiment import Experiment, FaultKind, load_experiment
from runkeel_lab.load.records import Outcome
from runkeel_lab.trace import TraceCall, TraceFault, load_trace

ROOT = Path(__file__).parents[2]
HEADER = '{"line": "trace", "name": "x", "deployment": "d.toml"}\n'
CALL = '{"line": "call", "at": 0.5, "key": "k", "kind": "lookup", "pool": "p"}\n'
FAULT = '{"line": "fault", "fault": {"at": 2, "kind": "kill", "target": "n", "for": 1}}\n'


class TraceTest(unittest.TestCase):
    def _load(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.jsonl"
            path.write_text(text)
            return load_trace(path)

    def test_lines_become_typed_stimuli(self):
        trace = self._load(HEADER + CALL + FAULT)
        self.assertIsInstance(trace.stimuli[0], TraceCall)
        self.assertIsInstance(trace.stimuli[1], TraceFault)
        self.assertEqual(trace.stimuli[1].fault.duration, 1)
        self.assertEqual(trace.stimuli[0].expect.outcomes, (Outcome.ANSWERED,))
        self.assertEqual(trace.end_seconds, 2)

    def test_a_bad_line_is_named(self):
        for bad in ('{"line": "call"}\n', "{\n", '{"line": "cal"}\n'):
            with self.assertRaisesRegex(ValueError, r"t\.jsonl:3: "):
                self._load(HEADER + CALL + bad)
        with self.assertRaisesRegex(ValueError, "empty"):
            self._load("")

    def test_all_recorded_traces_load(self):
        for path in sorted((ROOT / "traces").glob("*.jsonl")):
            trace = load_trace(path)
            self.assertTrue((path.parent / trace.header.deployment).exists(), path)


class ExperimentTest(unittest.TestCase):
    def test_all_example_experiments_load(self):
        for path in sorted((ROOT / "examples" / "experiments").glob("*.toml")):
            experiment = load_experiment(path)
            self.assertTrue((path.parent / experiment.deployment).exists(), path)

    def test_unknown_keys_and_kinds_are_refused(self):
        good = {"name": "x", "deployment": "d.toml", "fault": [{"at": 1, "kind": "kill"}]}
        self.assertEqual(Experiment.model_validate(good).faults[0].kind, FaultKind.KILL)
        for change in ({"colour": 1}, {"fault": [{"at": 1, "kind": "kil"}]}):
            with self.assertRaises(ValidationError):
                Experiment.model_validate({**good, **change})
