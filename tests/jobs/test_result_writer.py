"""How long results are batched before they are written as a segment."""

import time
import unittest

from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultState
from runkeel.jobs.job_state import JobState
from runkeel.jobs.result_writer import BATCH_DELAY_SECONDS, EARLY_BATCH_DELAY_SECONDS, ResultWriter
from runkeel_lab.standins.document_store import MemoryDocumentStore


def make_state(age_seconds=0.0, required_groups=4):
    items = tuple(JobItem(f"i{n}", "/p", (), "", group=f"g{n // 2}") for n in range(8))
    submitted_at = time.time() - age_seconds
    return JobState(BatchJob("j", "h", "/p", submitted_at, items, required_groups=required_groups))


class BatchDelayTest(unittest.TestCase):
    def batch_delay_seconds(self, state):
        return ResultWriter(
            MemoryDocumentStore(), state, 1, lambda state: None
        )._batch_delay_seconds()

    def finish(self, state, count):
        for number in range(count):
            state.add_unlisted(ItemResult(f"i{number}", ResultState.COMPLETED, "text"))

    def test_delay_is_longer_while_few_awaited_groups_are_complete(self):
        state = make_state()
        self.assertEqual(self.batch_delay_seconds(state), EARLY_BATCH_DELAY_SECONDS)
        self.finish(state, 3)
        self.assertEqual(self.batch_delay_seconds(state), EARLY_BATCH_DELAY_SECONDS)
        self.finish(state, 4)
        self.assertEqual(self.batch_delay_seconds(state), BATCH_DELAY_SECONDS)

    def test_delay_is_shorter_for_an_old_job(self):
        self.assertEqual(self.batch_delay_seconds(make_state(age_seconds=5.0)), BATCH_DELAY_SECONDS)

    def test_delay_without_awaited_groups(self):
        self.assertEqual(
            self.batch_delay_seconds(make_state(required_groups=0)), BATCH_DELAY_SECONDS
        )


if __name__ == "__main__":
    unittest.main()
