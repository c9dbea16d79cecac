"""A whole short experiment with real nodes: the report's stable keys, and no violations."""

import json
import tempfile
import unittest
from pathlib import Path

from runkeel_lab.deployment import Deployment
from runkeel_lab.experiment import Experiment
from runkeel_lab.runner import run_experiment

ZONES = ("north", "east", "west")
DEPLOYMENT = Deployment.model_validate(
    {
        "name": "small",
        "hollow": True,
        "zones": [{"name": zone} for zone in ZONES],
        "models": [{"name": "model", "engines": 3}],
        "services": [{"name": "app", "servers": 3}],
        "objects": [
            {"kind": "service", "name": "app"},
            {"kind": "model", "name": "model"},
            {"kind": "priority_class", "name": "standard",
             "spec": {"rank": 100, "contract_p99_ms": 1000.0}},
        ],
    }
)  # fmt: skip
EXPERIMENT = Experiment.model_validate(
    {
        "name": "short",
        "deployment": "unused",
        "callers": [
            {"name": "lookup", "kind": "lookup", "pool": "app", "rate": 30.0},
            {"name": "reserve", "kind": "reserve", "pool": "app", "rate": 10.0, "attempts": 8,
             "retry_wait_ms": 250.0},
            {"name": "draft", "kind": "draft_stream", "pool": "model", "rate": 3.0,
             "deadline_ms": 20_000, "tokens": {"median": 16.0}},
        ],
        "trainers": [
            {"name": "trainer", "model": "model", "tasks_per_step": 8, "train_ms": 100.0,
             "maximum_steps": 3, "tokens": {"median": 16.0, "tail_fraction": 0.0}},
        ],
        "fault": [{"at": 1.5, "kind": "drain", "target": "app-2", "for": 2.0}],
    }
)  # fmt: skip


class RunTest(unittest.TestCase):
    def test_short_experiment(self):
        with tempfile.TemporaryDirectory() as folder:
            report = run_experiment(EXPERIMENT, DEPLOYMENT, Path(folder), seed=1, seconds=4.0)
            self.assertEqual(json.loads((Path(folder) / "report.json").read_text()), report)
            self.assertTrue((Path(folder) / "latency.png").stat().st_size)
        self.assertEqual(report["violations"], [])
        for caller in report["callers"].values():
            self.assertEqual(caller["answered"], caller["sent"])
        self.assertLessEqual(
            {"sent", "answered", "not_run", "may_have_run", "lost", "doubled", "crossed",
             "false_not_run", "p50_ms", "p99_ms", "p999_ms"},
            set(report["callers"]["lookup"]),
        )  # fmt: skip
        trainer = report["trainers"]["trainer"]
        self.assertEqual((trainer["steps"], trainer["samples"]), (3, 24))
        self.assertLessEqual(
            {"idle_fraction", "idle_lower_bound", "staleness_versions", "too_stale", "missing",
             "duplicated", "wrong_version"},
            set(trainer),
        )  # fmt: skip
        self.assertEqual(
            set(report["control"]),
            {"config_in_force_s", "leaving_to_last_new_work_s", "crash_to_last_wrong_send_s",
             "in_flight_cut"},
        )  # fmt: skip
        self.assertEqual(set(report["nodes"]), {f"{zone}-node-1" for zone in ZONES})
