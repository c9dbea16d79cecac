"""The index of running items."""

import unittest

from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.gateway.backends import BackendState
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.job_state import JobState
from runkeel.jobs.running_items import RunningItems
from tests.jobs.test_job_service import JOB_ID, make_job


def make_engine(name):
    return BackendState(Backend(name, "engines", Address("127.0.0.1", 1), "z", 8, False, {}))


class RunningItemsTest(unittest.TestCase):
    def setUp(self):
        state = JobState(make_job())
        self.engines = [make_engine("a"), make_engine("b")]
        self.tasks = [
            ItemTask(state, item, engine=engine)
            for item, engine in zip(state.job.items, [*self.engines, None], strict=False)
        ]
        self.running = RunningItems()
        for task in self.tasks:
            self.running.add(task)

    def test_found_by_job_engine_and_item(self):
        first, second, third = self.tasks
        self.assertEqual(self.running.of_job(JOB_ID), self.tasks)
        self.assertEqual(self.running.on_engine("a"), [first])
        self.assertEqual(self.running.on_engine("b"), [second])
        self.assertTrue(self.running.has_item(third.item.item_id))

    def test_task_is_removed_after_its_engine_was_unset(self):
        first = self.tasks[0]
        first.engine = None
        self.running.remove(first)
        self.running.remove(first)
        self.assertEqual(self.running.on_engine("a"), [])
        self.assertFalse(self.running.has_item(first.item.item_id))
        self.assertEqual(list(self.running), self.tasks[1:])


if __name__ == "__main__":
    unittest.main()
