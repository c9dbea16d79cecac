"""How long results are gathered before a segment of them is written."""

import time
import unittest

from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultState
from runkeel.jobs.job_state import JobState
from runkeel.jobs.result_writer import EARLY_GATHER_SECONDS, GATHER_SECONDS, ResultWriter
from runkeel_lab.standins.document_store import MemoryDocumentStore


def make_state(age_seconds=0.0, wanted_groups=4):
    items = tuple(JobItem(f"i{n}", "/p", (), "", group=f"g{n // 2}") for n in range(8))
    submitted_at = time.time() - age_seconds
    return JobState(BatchJob("j", "h", "/p", submitted_at, items, wanted_groups=wanted_groups))


class GatherTest(unittest.TestCase):
    def gather_seconds(self, state):
        return ResultWriter(MemoryDocumentStore(), state, 1, lambda state: None)._gather_seconds()

    def finish(self, state, count):
        for number in range(count):
            state.add_unlisted(ItemResult(f"i{number}", ResultState.COMPLETED, "text"))

    def test_trainer_that_has_far_to_go_is_told_less_often(self):
        state = make_state()
        self.assertEqual(self.gather_seconds(state), EARLY_GATHER_SECONDS)
        self.finish(state, 3)
        self.assertEqual(self.gather_seconds(state), EARLY_GATHER_SECONDS)
        self.finish(state, 4)
        self.assertEqual(self.gather_seconds(state), GATHER_SECONDS)

    def test_old_job_may_be_near_its_deadline(self):
        self.assertEqual(self.gather_seconds(make_state(age_seconds=5.0)), GATHER_SECONDS)

    def test_caller_that_waits_for_no_groups(self):
        self.assertEqual(self.gather_seconds(make_state(wanted_groups=0)), GATHER_SECONDS)


if __name__ == "__main__":
    unittest.main()
