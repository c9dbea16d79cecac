"""The order of queued items, and their lanes."""

import unittest
from dataclasses import replace

from runkeel.api.fleet import Route, RouteKind, ServiceShare
from runkeel.clock import steady_seconds
from runkeel.jobs.item_queue import ItemQueue
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.job_state import JobState
from tests.jobs.test_job_service import make_job


def make_route(rank=1):
    share = ServiceShare("engines", 1.0)
    return Route("r", "models.example", "/", RouteKind.BATCH, (share,), rank=rank)


class ItemQueueTest(unittest.TestCase):
    def setUp(self):
        self.route = make_route()
        self.lengths = {}
        self.queue = ItemQueue(
            lambda task: self.route, lambda task: self.lengths.get(task.item.item_id, 1.0)
        )
        self.state = JobState(make_job())

    def _task(self, item=0, state=None):
        state = state or self.state
        return ItemTask(state, state.job.items[item])

    def _in_order(self):
        order = []
        for lane in self.queue.lanes():
            while (task := self.queue.first(lane)) is not None:
                order.append(task)
                self.queue.remove(task)
        return order

    def test_resumed_items_of_a_job_come_first_then_the_longest(self):
        tasks = [self._task(item) for item in range(3)]
        self.lengths = {tasks[1].item.item_id: 3.0}
        tasks[2].resumed = True
        for task in tasks:
            self.queue.put(task)
        self.assertEqual(self._in_order(), [tasks[2], tasks[1], tasks[0]])

    def test_the_most_urgent_route_then_the_oldest_job(self):
        jobs = [
            JobState(replace(make_job(), job_id=name, submitted_at=at))
            for name, at in (("b", 2.0), ("a", 1.0))
        ]
        for state in jobs:
            self.queue.put(self._task(state=state))
        self.route = make_route(rank=0)
        urgent = self._task(state=JobState(replace(make_job(), job_id="c", submitted_at=3.0)))
        self.queue.put(urgent)
        order = [task.state.job.job_id for task in self._in_order()]
        self.assertEqual(order, ["c", "a", "b"])

    def test_delayed_item_is_requeued_later(self):
        task = self._task()
        task.not_before = steady_seconds() + 60.0
        self.queue.put(task)
        self.assertEqual(self.queue.lanes(), [])
        self.assertEqual(self.queue.next_delay_end(), task.not_before)
        task.not_before -= 120.0
        self.queue.requeue_delayed(steady_seconds() + 61.0)
        self.assertEqual(self._in_order(), [task])

    def test_item_is_found_by_its_id_and_gone_once_removed(self):
        task = self._task()
        self.queue.put(task)
        self.assertIs(self.queue.of_item(task.item.item_id), task)
        self.assertIn(task, self.queue)
        self.queue.remove(task)
        self.queue.remove(task)
        self.assertIsNone(self.queue.of_item(task.item.item_id))
        self.assertNotIn(task, self.queue)
        self.assertEqual((len(self.queue), self.queue.lanes()), (0, []))

    def test_item_that_is_put_again_counts_once(self):
        task = self._task()
        self.queue.put(task)
        task.resumed = True
        self.queue.put(task)
        self.assertEqual((len(self.queue), self._in_order()), (1, [task]))

    def test_complete_outputs_need_no_lane(self):
        task = self._task()
        task.partial.complete = True
        self.queue.put(task)
        self.assertEqual((self.queue.ready(), self.queue.lanes()), ([task], []))

    def test_items_without_a_route_enter_their_lane_once_it_is_configured(self):
        route, self.route = self.route, None
        self.queue.put(self._task())
        self.assertEqual([lane.service for lane in self.queue.lanes()], [""])
        self.route = route
        self.queue.rebuild_lanes()
        self.assertEqual([lane.service for lane in self.queue.lanes()], ["engines"])


if __name__ == "__main__":
    unittest.main()
