"""What the planner starts first, and how the operator's preference moves it."""

from __future__ import annotations

import unittest
from dataclasses import replace

from runkeel.api.configuration import DeliveryPreference
from runkeel.rollouts.planner import LengthHistory, Planner
from runkeel.rollouts.sample import StepKey
from runkeel.rollouts.staleness_manager import StalenessManager
from runkeel.rollouts.step import Attempt, Step, TaskSpec
from tests.rollouts.fakes import FAST, MODEL, FakeCluster


class PlannerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = FakeCluster(node_ids=("a1",), start=False, max_staleness_versions=2)
        self.addCleanup(self.cluster.stop)
        node = self.cluster.nodes["a1"]
        options = replace(FAST, planner_interval_seconds=0.0)
        self.staleness = StalenessManager(
            self.cluster.configuration, node, FAST, self.cluster.clock, self.cluster.clock
        )
        self.planner = Planner(self.staleness, LengthHistory(), options, self.cluster.clock)

    def step(self, number: int, lengths=(10, 99, 20, 30)) -> Step:
        tasks = [
            TaskSpec(f"{number}.{place}", f"g{place // 2}", "p", 100, length)
            for place, length in enumerate(lengths)
        ]
        return Step(StepKey(MODEL, str(number)), tasks, 1, float(number))

    def planned(self, steps, in_flight=0, room=100) -> list[str]:
        plan = self.planner.plan(MODEL, steps, in_flight, room)
        return [planned.task.spec.task_id for planned in plan]

    def test_longest_group_first_and_longest_in_it(self):
        self.assertEqual(self.planned([self.step(1)]), ["1.1", "1.0", "1.3", "1.2"])

    def test_slack_and_room_bound_what_starts(self):
        steps = [self.step(1, lengths=range(1, 100))]
        self.assertEqual(len(self.planned(steps)), 76)
        self.assertEqual(len(self.planned(steps, in_flight=68)), 8)
        self.assertEqual(len(self.planned(steps, room=3)), 3)

    def test_work_of_other_nodes_leaves_room_for_a_queue_of_bounded_length(self):
        steps = [self.step(1, lengths=range(1, 200))]
        self.cluster.pool_busy = 64
        self.assertEqual(len(self.planned(steps)), 76)
        self.cluster.pool_busy = 100
        self.assertEqual(len(self.planned([self.step(2, lengths=range(1, 200))])), 40)
        self.cluster.pool_busy = 1_000
        self.assertEqual(len(self.planned([self.step(3, lengths=range(1, 200))])), 4)

    def test_stragglers_are_given_up_past_the_bound_only_whatever_is_preferred(self):
        step = self.step(1)
        attempt = Attempt(1, 0.0, oldest_version=1, first_token_at=self.cluster.clock())
        next(iter(step.tasks.values())).running.append(attempt)
        spec = self.cluster.configuration.spec
        for prefer in DeliveryPreference:
            self.cluster.configuration.spec = spec.model_copy(update={"prefer": prefer})
            for version, given_up in ((3, 0), (4, 1)):
                step.state_version(version, 0.0)
                with self.subTest(prefer=prefer, version=version):
                    self.assertEqual(len(list(self.planner.hopeless_attempts(step))), given_up)

    def test_idle_time_runs_steps_ahead_and_staleness_waits_for_the_tail(self):
        present, later = self.step(1), self.step(2)
        present.pulled = True
        self.assertEqual(len(self.planned([later, present])), 8)
        spec = self.cluster.configuration.spec
        self.cluster.configuration.spec = spec.model_copy(
            update={"prefer": DeliveryPreference.STALENESS}
        )
        self.assertEqual(len(self.planned([later, present])), 4)
        for task in present.tasks.values():
            present.enter(task, 0)
        self.assertEqual(self.planned([later, present])[0], "2.1")

    def test_steps_far_ahead_wait_until_their_samples_can_be_fresh(self):
        later = self.step(2)
        self.assertEqual(len(self.planned([later])), 4)
        for _ in range(10):
            self.staleness.note_first_pull(later, later.submitted_version + 3)
        self.assertEqual(self.planned([later]), [])
        self.cluster.dispatcher.version += 2
        self.assertEqual(len(self.planned([later])), 4)


if __name__ == "__main__":
    unittest.main()
