"""Tests of the emulated trainer against a fake node."""

from __future__ import annotations

import json
import time
import unittest

import gevent

from runkeel_lab.experiment import TrainerSpec
from runkeel_lab.http_client import Answer
from runkeel_lab.load.caller import NodeTarget
from runkeel_lab.trainer import Trainer

_GRACE_SECONDS = 5.0
_PULL_SECONDS = 0.005


class FakeNode:
    """Hands over two samples at a time; withheld tasks only when all else is handed over."""

    def __init__(self) -> None:
        self.withheld: set[str] = set()
        self.release_after: dict[str, str] = {}
        self.submitted: list[str] = []
        self.pulled: list[tuple[str, int, int]] = []
        self._left: dict[str, list[str]] = {}
        self._batches: dict[tuple[str, int], list[str]] = {}

    def request(self, method, target, body=None, headers=None, timeout_seconds=None) -> Answer:
        """Answer as a node does."""
        if method == "POST":
            content = json.loads(body)
            self.submitted.append(content["step_id"])
            self._left[content["step_id"]] = [task["task_id"] for task in content["tasks"]]
            return Answer(200, {}, b"{}")
        path, _, query = target.partition("?")
        step, cursor = path.split("/")[5], int(path.split("/")[7])
        version = int(query.split("&")[0].partition("=")[2])
        self.pulled.append((step, cursor, version))
        return self._batch(step, cursor, version)

    def _batch(self, step: str, cursor: int, version: int) -> Answer:
        left = self._left[step]
        ready = [task for task in left if task not in self.withheld][:2]
        if left and not ready:
            gevent.sleep(_PULL_SECONDS)
            return Answer(202, {}, b"{}")
        self._batches[(step, cursor)] = ready
        self._left[step] = [task for task in left if task not in ready]
        for task in ready:
            self.withheld.discard(self.release_after.get(task, ""))
        versions = [{"version": version, "first": 0, "count": 1}]
        samples = [{"task_id": t, "token_ids": [1], "versions": versions} for t in ready]
        content = {"samples": samples, "last": not self._left[step]}
        return Answer(200, {}, json.dumps(content).encode())


class TrainerTest(unittest.TestCase):
    def _train(self, node: FakeNode, **spec: int) -> Trainer:
        self.published: list[int] = []
        trainer = Trainer(
            TrainerSpec(name="t", model="m", tasks_per_step=4, train_ms=1.0, **spec),
            [NodeTarget("n", node)],
            lambda _model, version: self.published.append(version),
            1,
        )
        trainer.run(time.monotonic() + _GRACE_SECONDS, _GRACE_SECONDS)
        return trainer

    def _received(self, trainer: Trainer) -> list[str]:
        return [s.task_id for step in trainer.steps for s in step.samples]

    def test_every_sample_once_and_a_version_after_each_step(self):
        node = FakeNode()
        trainer = self._train(node, maximum_steps=3, minibatch=2)
        received = self._received(trainer)
        self.assertEqual(len(received), 12)
        self.assertEqual(len(set(received)), 12)
        self.assertEqual(self.published, [2, 3, 4])
        self.assertEqual(trainer.unfinished, [])
        self.assertEqual(trainer.time.steps, 2)
        self.assertEqual(trainer.time.tokens, 8)

    def test_steps_in_order_are_pulled_with_the_new_weights_only(self):
        node = FakeNode()
        self._train(node, maximum_steps=3, steps_ahead=2)
        stated = {step: version for step, cursor, version in node.pulled if cursor == 0}
        self.assertEqual(sorted(stated.values()), [1, 2, 3])
        self.assertEqual(len(node.submitted), 3)

    def test_a_straggler_does_not_stop_a_trainer_that_pulls_two_steps(self):
        node = FakeNode()
        node.withheld.add("t-1-step-0-task-0")
        node.release_after["t-1-step-1-task-3"] = "t-1-step-0-task-0"
        trainer = self._train(node, maximum_steps=2, steps_pulled=2, minibatch=1)
        self.assertEqual([step.step_id for step in trainer.steps], ["t-1-step-1", "t-1-step-0"])
        self.assertEqual(len(set(self._received(trainer))), 8)
        # The first step's worth of samples was trained on before the straggler came.
        straggler = next(s for s in trainer.steps[1].samples if s.task_id.endswith("task-0"))
        self.assertEqual(straggler.trainer_version, 2)

    def test_a_step_that_never_ends_is_unfinished(self):
        node = FakeNode()
        node.withheld.add("t-1-step-0-task-0")
        trainer = Trainer(
            TrainerSpec(name="t", model="m", tasks_per_step=4, train_ms=1.0),
            [NodeTarget("n", node)],
            lambda *_: None,
            1,
        )
        trainer.run(time.monotonic(), 0.0)
        self.assertEqual([step.step_id for step in trainer.unfinished], ["t-1-step-0"])
        self.assertEqual(len(trainer.unfinished[0].samples), 3)
