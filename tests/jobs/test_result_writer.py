"""How long results are batched before they are written as a segment, and its size."""

import json
import time
import unittest

import gevent

from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultState
from runkeel.jobs.job_state import JobState, make_page
from runkeel.jobs.result_writer import BATCH_DELAY_SECONDS, EARLY_BATCH_DELAY_SECONDS, ResultWriter
from runkeel.jobs.service import MAX_PAGE_BYTES
from runkeel_lab.standins.document_store import MemoryDocumentStore


def make_state(age_seconds=0.0, required_groups=4):
    items = tuple(JobItem(f"i{n}", "/p", (), "", group=f"g{n // 2}") for n in range(8))
    submitted_at = time.time() - age_seconds
    return JobState(BatchJob("j", "h", "/p", submitted_at, items, required_groups=required_groups))


class SegmentSizeTest(unittest.TestCase):
    def make_full_state(self, text):
        state = make_state()
        for item in state.job.items:
            state.add_unlisted(ItemResult(item.item_id, ResultState.COMPLETED, text))
        return state

    def test_texts_that_grow_when_escaped_are_listed_in_several_segments(self):
        """Guards against a segment that the store refuses again and again as too large."""
        state = self.make_full_state("é" * 100_000)
        writer = ResultWriter(MemoryDocumentStore(), state, 1, lambda state: None)
        with gevent.Timeout(10.0):
            writer.run()
        self.assertEqual(len(state.results), len(state.items))

    def test_page_of_texts_that_grow_when_escaped_is_bounded_in_bytes(self):
        state = self.make_full_state("é" * 100_000)
        page = make_page(list(state.unlisted), len(state.items), 0, MAX_PAGE_BYTES)
        self.assertLessEqual(sum(len(json.dumps(one.text)) for one in page.results), MAX_PAGE_BYTES)
        self.assertTrue(page.results)


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
