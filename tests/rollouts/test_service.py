"""A trainer's step through a cluster of three nodes."""

from __future__ import annotations

import unittest
from dataclasses import replace

import gevent
from gevent.event import Event

from runkeel.api.configuration import ModelSpec
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.rollouts.generation import AHEAD_PRIORITY_RANK, ROLLOUT_PRIORITY_RANK
from runkeel.rollouts.hand_over import Pull
from tests.rollouts.fakes import FAST, FakeCluster, submission, token


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

    def test_samples_outlast_scorers_that_are_down(self):
        self.cluster.scorer.failures = 5 * len(self.step.tasks) * FAST.scoring_attempts
        self.node.submit(self.step)
        self.assertEqual(sorted(self.drain_step()), ["t0", "t1", "t2", "t3"])
        self.assertEqual(len(self.cluster.dispatcher.requests), len(self.step.tasks))

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

    def until(self, condition) -> None:
        with gevent.Timeout(5):
            while not condition():
                gevent.sleep(0.002)

    def test_straggler_runs_on_across_a_swap_with_the_versions_of_each_range(self):
        dispatcher = self.cluster.dispatcher
        dispatcher.hold["prompt 1"] = Event()
        self.node.submit(self.step)
        self.until(lambda: dispatcher.open == 1)
        dispatcher.version = 3
        dispatcher.hold["prompt 1"].set()
        samples = self.pull(0, version=3, most=3).samples + self.pull(1, version=3).samples
        versions = {s.task_id: [(p.version, p.first, p.count) for p in s.versions] for s in samples}
        self.assertEqual(versions["t1"], [(1, 0, 2), (3, 2, 2)])

    def test_steps_ahead_run_after_those_that_the_trainer_pulls(self):
        requests, tasks = self.cluster.dispatcher.requests, len(self.step.tasks)
        self.node.submit(self.step)
        self.until(lambda: len(requests) == tasks)
        self.cluster.dispatcher.version = 9
        self.pull(0, version=9)
        ranks = [request.envelope.priority_rank for request in requests]
        self.assertEqual(set(ranks[:tasks]), {AHEAD_PRIORITY_RANK})
        self.assertEqual(set(ranks[tasks:]), {ROLLOUT_PRIORITY_RANK})

    def test_straggler_past_the_bound_is_cancelled_and_made_again(self):
        dispatcher = self.cluster.dispatcher
        dispatcher.hold["prompt 1"] = Event()
        self.node.submit(self.step)
        self.until(lambda: dispatcher.open == 1)
        del dispatcher.hold["prompt 1"]
        dispatcher.version = 9
        samples = self.pull(0, version=9).samples
        self.assertEqual({part.version for s in samples for part in s.versions}, {9})
        self.until(lambda: dispatcher.open == 0)

    def test_bound_changed_while_running_holds_at_once(self):
        self.node.submit(self.step)
        self.pull(0)
        self.cluster.clock.now += 50
        self.cluster.dispatcher.version = 2
        again = self.pull(0, version=2)
        self.assertEqual({s.oldest_version for s in again.samples}, {1})
        self.cluster.configuration.spec = ModelSpec(max_staleness_seconds=49)
        remade = self.pull(0, version=2)
        self.assertEqual({s.oldest_version for s in remade.samples}, {2})
        self.assertEqual({s.task_id for s in again.samples}, {s.task_id for s in remade.samples})

    def test_restarted_owner_takes_back_finished_samples(self):
        """The owner loses its memory; the copy in another zone and the disk keep the samples."""
        self.node.submit(self.step)
        owner = self.cluster.nodes[self.cluster.owner_of(self.step.key)]
        self.until(lambda: len(owner.service.store) == 4)
        generated = len(self.cluster.dispatcher.requests)
        self.cluster.crash(owner.node_id)
        self.cluster.boot(owner.node_id)
        self.assertEqual(self.node.submit(self.step).adopted, 4)
        self.assertEqual(sorted(self.drain_step()), ["t0", "t1", "t2", "t3"])
        self.assertEqual(len(self.cluster.dispatcher.requests), generated)

    def test_next_owner_goes_on_from_the_checkpoint_of_a_long_sample(self):
        dispatcher = self.cluster.dispatcher
        dispatcher.hold["prompt 1"] = Event()
        self.node.submit(self.step)
        owner = self.cluster.nodes[self.cluster.owner_of(self.step.key)]
        others = [node for node in self.cluster.nodes.values() if node is not owner]
        stores = [node.service._replicator._checkpoints for node in others]
        self.until(lambda: any(store.of_step(self.step.key) for store in stores))
        self.cluster.crash(owner.node_id)
        for node in others:
            node.live.discard(owner.node_id)
        dispatcher.version = 2
        others[0].service.submit(self.step)
        service = others[0].service
        samples = self.pull(0, version=2, most=3, node=service).samples
        samples += self.pull(1, version=2, node=service).samples
        versions = [[(p.version, p.first, p.count) for p in s.versions] for s in samples]
        self.assertIn([(1, 0, 2), (2, 2, 2)], versions)
        self.assertEqual([len(r.prior_token_ids) for r in dispatcher.requests].count(2), 1)

    def test_last_task_is_hedged_when_engines_idle(self):
        self.cluster.options = replace(FAST, hedge_tasks=1)
        for node_id in self.cluster.nodes:
            self.cluster.crash(node_id)
            self.cluster.boot(node_id)
        dispatcher = self.cluster.dispatcher
        dispatcher.hold["prompt 1"] = Event()
        self.node = self.cluster.nodes["a1"].service
        self.node.submit(self.step)
        self.pull(0, most=3)
        del dispatcher.hold["prompt 1"]
        self.cluster.clock.now += 10
        sample = self.pull(1).samples[0]
        self.assertEqual((sample.task_id, sample.attempt), ("t1", 2))
        self.until(lambda: dispatcher.open == 0)

    def test_drain_passes_steps_on_with_their_samples(self):
        self.node.submit(self.step)
        owner = self.cluster.nodes[self.cluster.owner_of(self.step.key)].service
        self.until(lambda: len(owner.store) == 4)
        generated = len(self.cluster.dispatcher.requests)
        self.assertTrue(owner.drain(5.0))
        self.assertFalse(owner.steps())
        with self.assertRaises(RunkeelError) as caught:
            owner._owner.submit(submission(step_id="other"))
        self.assertEqual(caught.exception.code, ErrorCode.NODE_LEAVING)
        for node in self.cluster.nodes.values():
            node.service.submit(submission(step_id="other"))
            # The step has moved with its samples: the trainer need not submit it again.
            batch = self.pull(0, node=node.service)
            self.assertEqual(len(batch.samples), 4)
        self.assertLessEqual(len(self.cluster.dispatcher.requests), generated + 4)

    def test_leaving_owner_finishes_what_runs_and_sends_it_to_the_next(self):
        dispatcher = self.cluster.dispatcher
        dispatcher.hold["prompt 1"] = Event()
        self.node.submit(self.step)
        old = self.cluster.nodes[self.cluster.owner_of(self.step.key)]
        self.until(lambda: dispatcher.open == 1)
        drain = gevent.spawn(old.service.drain, 5.0)
        self.until(lambda: not old.service.steps())
        for node in self.cluster.nodes.values():
            node.live.discard(old.node_id)
        others = [node for node in self.cluster.nodes.values() if node is not old]
        self.assertEqual(len(self.pull(0, node=others[0].service).samples), 3)
        dispatcher.hold["prompt 1"].set()
        sample = self.pull(1, node=others[1].service).samples[0]
        self.assertEqual((sample.task_id, len(dispatcher.requests)), ("t1", 4))
        self.assertTrue(drain.get(timeout=5))

    def test_step_moves_to_a_node_that_has_become_its_owner(self):
        nodes = self.cluster.nodes
        new = nodes[self.cluster.owner_of(self.step.key)]
        others = [node for node in nodes.values() if node is not new]
        for node in others:
            node.live.discard(new.node_id)
        others[0].service.submit(self.step)
        old = next(node for node in others if node.service.steps())
        self.until(lambda: len(old.service.store) == 4)
        for node in others:
            node.live.add(new.node_id)
        self.until(lambda: old.service.steps()[0].foreign_since is not None)
        self.cluster.clock.now += 6
        self.until(lambda: not old.service.steps())
        self.assertEqual(len(self.pull(0).samples), 4)
        self.assertEqual(len(self.cluster.dispatcher.requests), 4)


if __name__ == "__main__":
    unittest.main()
