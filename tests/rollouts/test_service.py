"""A trainer's step through a cluster of three nodes."""

from __future__ import annotations

import unittest

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts.hand_over import Pull
from tests.rollouts.fakes import FakeCluster, submission, token


class StepTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = FakeCluster()
        self.addCleanup(self.cluster.stop)
        self.step = submission()
        self.node = self.cluster.nodes["a1"].service

    def pull(self, cursor, version=1, wait=5.0, most=64, node=None):
        return (node or self.node).pull(self.step.key, Pull(cursor, version, wait, most))

    def drain_step(self, cursor=0, version=1):
        """Pull to the end; return the task ids in order."""
        seen = []
        while True:
            batch = self.pull(cursor, version)
            seen += [sample.task_id for sample in batch.samples]
            if batch.last:
                return seen
            cursor += 1

    def test_each_task_once_with_true_versions_through_any_node(self):
        for node in self.cluster.nodes.values():
            node.service.submit(self.step)
        prompts = {task.task_id: task.prompt for task in self.step.tasks}
        first = self.pull(0, most=2)
        again = self.pull(0, most=2, node=self.cluster.nodes["c1"].service)
        self.assertEqual([s.digest for s in first.samples], [s.digest for s in again.samples])
        for sample in first.samples:
            self.assertEqual(
                sample.token_ids,
                [token(1, prompts[sample.task_id], position) for position in range(4)],
            )
        rest = self.drain_step(cursor=1)
        self.assertEqual(
            sorted([s.task_id for s in first.samples] + rest), ["t0", "t1", "t2", "t3"]
        )

    def test_confirmed_cursor_and_unknown_cursor_are_refused(self):
        self.node.submit(self.step)
        self.pull(0, most=2)
        self.pull(1, most=2)
        for cursor in (0, 9):
            with self.assertRaises(RunkeelError) as caught:
                self.pull(cursor)
            self.assertEqual(caught.exception.code, ErrorCode.BAD_CURSOR)

    def test_same_id_with_other_tasks_conflicts(self):
        self.node.submit(self.step)
        with self.assertRaises(RunkeelError) as caught:
            self.node.submit(submission(count=5))
        self.assertEqual(caught.exception.code, ErrorCode.STEP_CONFLICT)


if __name__ == "__main__":
    unittest.main()
