"""Jobs that are too large for one document, and reads that may be outdated."""

import json
import unittest
from dataclasses import replace

import gevent

from runkeel.api.documents import MAX_CONTENT_BYTES, DocumentConflictError, DocumentKind
from runkeel.errors import RunkeelError, Verdict
from runkeel.jobs.job_documents import (
    MAX_PART_BYTES,
    decode_job,
    encode_job,
    encode_segment,
    segment_name,
)
from runkeel.jobs.job_store import JobStore, JobSubmission
from runkeel.state.immutable_documents import get_immutable
from runkeel_lab.standins.document_store import MemoryDocumentStore, StoreFault
from tests.jobs.test_job_service import JOB_ID, make_job

LARGE_BODY = "b" * 10_000


def make_large_job(items=200):
    job = make_job(items=items)
    return replace(job, items=tuple(replace(item, body=LARGE_BODY) for item in job.items))


class JobStoreTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryDocumentStore()
        self.jobs = JobStore(self.store)

    def _parts(self):
        return self.store.names(DocumentKind.JOB_PART)

    def test_small_job_is_one_document(self):
        job = make_job()
        JobSubmission.of_job(self.store, job).write()
        self.assertEqual(self._parts(), [])
        self.assertEqual(self.jobs.get(JOB_ID), job)

    def test_large_job_is_stored_in_parts_and_read_whole(self):
        """Guards against refusing jobs that exceed the size limit of a document."""
        job = make_large_job()
        JobSubmission.of_job(self.store, job).write()
        self.assertGreaterEqual(len(self._parts()), 200 * len(LARGE_BODY) // MAX_PART_BYTES)
        for name in self._parts():
            size = len(json.dumps(self.store.get(DocumentKind.JOB_PART, name).content))
            self.assertLessEqual(size, MAX_PART_BYTES)
        self.assertEqual(self.jobs.get(JOB_ID), job)

    def _assert_documents_fit(self):
        kinds = (DocumentKind.JOB, DocumentKind.JOB_PART)
        for kind in kinds:
            for name in self.store.names(kind):
                size = len(json.dumps(self.store.get(kind, name).content))
                self.assertLessEqual(size, MAX_CONTENT_BYTES)

    def test_few_large_items_are_not_stored_in_one_document_that_is_too_large(self):
        job = make_job(items=4)
        job = replace(job, items=tuple(replace(item, body="b" * 300_000) for item in job.items))
        JobSubmission.of_job(self.store, job).write()
        self._assert_documents_fit()
        self.assertEqual(self.jobs.get(JOB_ID), job)

    def test_item_larger_than_a_document_is_stored_in_fragments(self):
        """Also covers ordinary items around it, and characters that JSON escapes."""
        bodies = ["small", "b" * 1_200_000, "small", '"\\é' * 400_000, "b" * 779_000, "small"]
        job = make_job(items=len(bodies))
        items = zip(job.items, bodies, strict=True)
        job = replace(job, items=tuple(replace(item, body=body) for item, body in items))
        JobSubmission.of_job(self.store, job).write()
        self._assert_documents_fit()
        self.assertEqual(self.jobs.get(JOB_ID), job)

    def test_job_is_not_read_without_the_last_fragment_of_an_item(self):
        job = make_job(items=1)
        job = replace(job, items=(replace(job.items[0], body="b" * 900_000),))
        encoded = encode_job(job, "part")
        parts = list(encoded.parts.values())
        with self.assertRaises(ValueError):
            decode_job(JOB_ID, encoded.content, parts[:-1])

    def test_job_whose_fields_exceed_a_document_is_refused(self):
        job = replace(make_job(), model="m" * MAX_CONTENT_BYTES)
        with self.assertRaises(RunkeelError) as caught:
            JobSubmission.of_job(self.store, job)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(caught.exception.http_status, 413)

    def test_job_does_not_exist_until_its_document_does(self):
        submission = JobSubmission.of_job(self.store, make_large_job())
        self.store.fail_next_write(StoreFault.DOWN)
        with self.assertRaises(RunkeelError) as caught:
            submission.write()
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertIsNone(self.jobs.get(JOB_ID))
        submission.write()
        self.assertIsNotNone(self.jobs.get(JOB_ID))

    def test_parts_are_written_again_after_lost_replies(self):
        self.store.fail_next_write(StoreFault.RESPONSE_LOST, times=2)
        JobSubmission.of_job(self.store, make_large_job()).write()
        self.assertEqual(self.jobs.get(JOB_ID), make_large_job_like(self.jobs.get(JOB_ID)))

    def test_refused_submission_removes_its_own_parts_only(self):
        """Covers a submission refused at one node whose retry is accepted at another."""
        refused, taken = (JobSubmission.of_job(self.store, make_large_job()) for _ in range(2))
        refused._write_parts()
        others = set(self._parts())
        taken.write()
        refused.discard_parts()
        gevent.sleep(0)
        self.assertEqual(len(self._parts()), len(others))
        self.assertFalse(others & set(self._parts()))
        self.assertIsNotNone(self.jobs.get(JOB_ID))

    def test_read_raises_if_the_store_fails_while_parts_are_read(self):
        JobSubmission.of_job(self.store, make_large_job()).write()
        document = self.store.get(DocumentKind.JOB, JOB_ID)
        self.store.down = True
        with self.assertRaises(RunkeelError):
            self.jobs.read(document)

    def test_submission_distinguishes_its_own_job_from_that_of_another_node(self):
        first, second = (JobSubmission.of_job(self.store, make_large_job()) for _ in range(2))
        first.write()
        for submission, own in ((first, True), (second, False)):
            with self.assertRaises(DocumentConflictError) as caught:
                submission.write()
            self.assertEqual(submission.owns(caught.exception.current), own)

    def test_removing_a_job_removes_all_its_documents(self):
        JobSubmission.of_job(self.store, make_large_job()).write()
        name = segment_name(JOB_ID, 0)
        self.store.create(DocumentKind.JOB_RESULTS, name, encode_segment(1, []))
        self.jobs.remove(JOB_ID, tuple(self._parts()), 1)
        kinds = (DocumentKind.JOB, DocumentKind.JOB_PART, DocumentKind.JOB_RESULTS)
        self.assertEqual([self.store.names(kind) for kind in kinds], [[], [], []])


class GetImmutableTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryDocumentStore()
        self.store.put(DocumentKind.JOB, "old", 1)
        self.store.snapshot_for_stale_reads()
        self.store.put(DocumentKind.JOB, "new", 2)

    def test_outdated_read_is_used_if_it_has_the_document(self):
        self.assertEqual(get_immutable(self.store, DocumentKind.JOB, "old").content, 1)
        self.assertEqual(self.store.calls, {"get_any_age": 1})

    def test_outdated_read_without_the_document_is_repeated(self):
        self.assertEqual(get_immutable(self.store, DocumentKind.JOB, "new").content, 2)
        self.assertIsNone(get_immutable(self.store, DocumentKind.JOB, "none"))
        self.assertEqual(self.store.calls, {"get_any_age": 2, "get": 2})


def make_large_job_like(job):
    """Return the large job with the submission time of another job."""
    return replace(make_large_job(), submitted_at=job.submitted_at)


if __name__ == "__main__":
    unittest.main()
