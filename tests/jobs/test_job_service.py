"""Batch jobs served from the store, from a coordinator and from what a node has cached."""

import time
import unittest
from unittest import mock

import gevent

from runkeel.api.documents import DocumentKind, DocumentRejectedError
from runkeel.api.jobs import BatchJob, ItemResult, JobItem, JobReference, ResultState
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run
from runkeel.jobs import job_documents, job_store
from runkeel.jobs.job_documents import encode_job, encode_segment, segment_name
from runkeel.jobs.job_state import JobState
from runkeel.jobs.result_cache import MAX_BYTES
from runkeel.jobs.service import JobService
from runkeel.wire.generated.jobs.ttypes import JobLookup, JobRead, JobReadReply, JobResult
from runkeel_lab.standins.document_store import MemoryDocumentStore, StoreFault

JOB_ID = "job-1"


def make_job(items=4, job_id=JOB_ID, submitted_at=None):
    return BatchJob(
        job_id=job_id,
        host="models.example",
        path="/allocation/",
        submitted_at=time.time() if submitted_at is None else submitted_at,
        items=tuple(
            JobItem(f"{job_id}-{n}", "/allocation/x", (), "Ym9keQ==", 10, f"g{n // 2}")
            for n in range(items)
        ),
        model="m",
        min_version=1,
    )


def make_results(count, start=0):
    return [
        ItemResult(f"{JOB_ID}-{n}", ResultState.COMPLETED, f"text {n}", (1,), "s")
        for n in range(start, start + count)
    ]


class SilentNetwork:
    """A peer network on which every call fails."""

    def on_call(self, message_type, request_class, handler):
        pass

    def call(self, *arguments):
        raise RunkeelError("peer_unreachable", "no peers", Verdict.NOT_RUN)


class CoordinatorNetwork(SilentNetwork):
    """A coordinator with listed results; records the positions read. Calls fail while silent."""

    def __init__(self, total):
        self.total = total
        self.results = []
        self.positions = []
        self.silent = False
        self.verified = True
        self.on_next_call = lambda: None

    def call(self, node_id, message_type, message, reply_class, timeout):
        if self.silent:
            raise RunkeelError("peer_unreachable", "silent", Verdict.NOT_RUN)
        self.positions.append(message.position)
        self.on_next_call()
        self.on_next_call = lambda: None
        found = [
            JobResult(one.item_id, one.state.value, one.text, list(one.versions), one.score)
            for one in self.results[message.position :]
        ]
        return JobReadReply(JobLookup.FOUND, self.total, message.position, found, self.verified)


class OtherCoordinator:
    node_id = "node-1"
    coordinator = Coordinator("node-2", Address("127.0.0.1", 1), "zone", 1)


class VerifiedCoordinator(OtherCoordinator):
    verified = True


class LocalCoordinator:
    """A job coordinator at this node, with one job."""

    def __init__(self, state):
        self.state = state

    def job(self, job_id):
        return self.state

    def page(self, state, position, wait, maximum_bytes):
        return state.page(position, maximum_bytes)


class UnloadingCoordinator(LocalCoordinator):
    """Unloads the job while a read waits for results."""

    def page(self, state, position, wait, maximum_bytes):
        state.unload()
        return state.page(position, maximum_bytes)


class RestartedCoordinator(LocalCoordinator):
    """The node begins a later term while a read waits for results."""

    def __init__(self, state, service, later):
        super().__init__(state)
        self.service = service
        self.later = later

    def page(self, state, position, wait, maximum_bytes):
        self.service.local = self.later
        return state.page(position, maximum_bytes)


class NoCoordinator:
    node_id = "node-1"
    coordinator = None


class JobServiceTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryDocumentStore()
        self.service = JobService(self.store, SilentNetwork(), NoCoordinator(), "shard")

    def _deadline(self, seconds=0.5):
        return steady_seconds() + seconds

    def _put_results(self, number, results):
        name = segment_name(JOB_ID, number)
        self.store.put(DocumentKind.JOB_RESULTS, name, encode_segment(1, results))

    def test_accepted_job_is_in_the_store(self):
        self.service.accept(make_job(), self._deadline())
        self.assertEqual(self.store.names(DocumentKind.JOB), [JOB_ID])

    def test_job_submitted_again_is_stored_once(self):
        self.service.accept(make_job(), self._deadline())
        revision = self.store.revision
        self.service.accept(make_job(), self._deadline())
        self.assertEqual(self.store.revision, revision)

    def test_job_is_accepted_when_the_reply_of_the_store_is_lost(self):
        self.store.fail_next_write(StoreFault.RESPONSE_LOST)
        self.service.accept(make_job(), self._deadline())
        self.assertEqual(self.store.names(DocumentKind.JOB), [JOB_ID])

    def test_refused_at_once_when_the_store_is_down(self):
        self.store.down = True
        started = steady_seconds()
        with self.assertRaises(RunkeelError) as caught:
            self.service.accept(make_job(), self._deadline(5.0))
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after_seconds)
        self.assertLess(steady_seconds() - started, 2.0)

    def test_large_job_is_refused_in_time_when_the_store_does_not_answer(self):
        """Guards against clients that wait for several timeouts of the parts of their job."""

        def create_unanswered(kind, name, content, timeout_seconds):
            gevent.sleep(timeout_seconds)
            raise may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, "no answer")

        job = make_job()
        started = steady_seconds()
        with (
            mock.patch.multiple(job_documents, MAX_PART_BYTES=1, MAX_CONTENT_BYTES=1),
            mock.patch.object(job_store, "PART_TIMEOUT_SECONDS", 0.3),
            mock.patch.object(self.store, "create", create_unanswered),
            self.assertRaises(RunkeelError),
        ):
            self.service.accept(job, self._deadline(0.1))
        self.assertLess(steady_seconds() - started, 0.6)

    def test_job_that_the_store_rejects_is_refused_at_once_and_never_kept_as_a_hint(self):
        hints = mock.Mock()
        service = JobService(self.store, SilentNetwork(), NoCoordinator(), "shard", hints)

        def reject(kind, name, content, timeout_seconds):
            raise DocumentRejectedError(kind, name, too_large=True)

        with (
            mock.patch.object(self.store, "create", reject),
            self.assertRaises(RunkeelError) as caught,
        ):
            service.accept(make_job(), self._deadline(5.0))
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(caught.exception.http_status, 413)
        hints.send_hints.assert_not_called()

    def test_never_says_not_run_after_an_unknown_outcome(self):
        self.store.fail_next_write(StoreFault.RESPONSE_LOST)
        self.store.fail_next_write(StoreFault.DOWN, times=50)
        with self.assertRaises(RunkeelError) as caught:
            self.service.accept(make_job(), self._deadline(0.15))
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    def test_job_is_reported_as_unknown_only_if_the_store_answers(self):
        self.assertIsNone(self.service.read(JobReference("other"), 0, 0.0))
        self.store.down = True
        with self.assertRaises(RunkeelError):
            self.service.read(JobReference("other"), 0, 0.0)

    def test_results_are_read_across_segments(self):
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(make_job(), "part").content)
        self._put_results(0, make_results(1))
        self.assertEqual(len(self.service.read(JobReference(JOB_ID), 0, 0.0).results), 1)
        self._put_results(1, make_results(2, start=1))
        page = self.service.read(JobReference(JOB_ID), 1, 0.0)
        self.assertEqual([one.text for one in page.results], ["text 1", "text 2"])
        self.assertEqual(page.total, 4)

    def test_concurrent_reads_add_a_segment_once(self):
        """Guards against duplicate results, which shift the positions of later ones."""
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(make_job(), "part").content)
        self._put_results(0, make_results(2))
        self._put_results(1, make_results(2, start=2))
        self.service.item_body(JobReference(JOB_ID), "")
        self.store.call_seconds = 0.01
        readers = [gevent.spawn(self.service.read, JobReference(JOB_ID), 0, 0.0) for _ in range(4)]
        gevent.joinall(readers)
        page = self.service.read(JobReference(JOB_ID), 0, 0.0)
        ids = [result.item_id for result in page.results]
        self.assertEqual(ids, [f"{JOB_ID}-{n}" for n in range(4)])

    def test_cached_results_are_not_read_again(self):
        network = CoordinatorNetwork(4)
        service = JobService(self.store, network, OtherCoordinator(), "shard")
        network.results = make_results(2)
        self.assertEqual(len(service.read(JobReference(JOB_ID), 0, 0.0).results), 2)
        network.results = make_results(3)
        page = service.read(JobReference(JOB_ID), 1, 0.0)
        self.assertEqual([one.text for one in page.results], ["text 1", "text 2"])
        self.assertEqual((page.total, page.position), (4, 1))
        self.assertEqual(service.read(JobReference(JOB_ID), 3, 0.0).results, ())
        self.assertEqual(network.positions, [0, 2, 3])

    def test_completely_cached_job_is_read_without_any_call(self):
        network = CoordinatorNetwork(2)
        service = JobService(self.store, network, OtherCoordinator(), "shard")
        network.results = make_results(2)
        service.read(JobReference(JOB_ID), 0, 0.0)
        network.silent = True
        self.store.down = True
        self.assertEqual(
            [one.text for one in service.read(JobReference(JOB_ID), 1, 0.0).results], ["text 1"]
        )
        beyond = service.read(JobReference(JOB_ID), 2, 0.0)
        self.assertEqual((beyond.results, beyond.total, beyond.position), ((), 2, 2))

    def test_cached_results_are_served_without_coordinator_and_store(self):
        network = CoordinatorNetwork(4)
        service = JobService(self.store, network, OtherCoordinator(), "shard")
        network.results = make_results(2)
        service.read(JobReference(JOB_ID), 0, 0.0)
        network.silent = True
        self.store.down = True
        page = service.read(JobReference(JOB_ID), 1, 0.0)
        self.assertEqual([one.text for one in page.results], ["text 1"])
        self.assertEqual((page.total, page.position), (4, 1))
        with self.assertRaises(RunkeelError):
            service.read(JobReference(JOB_ID), 2, 0.0)

    def test_results_evicted_during_a_read_are_still_served(self):
        """Guards against hiding results that this node had cached when the read began."""
        network = CoordinatorNetwork(4)
        service = JobService(self.store, network, OtherCoordinator(), "shard")
        network.results = make_results(3)
        service.read(JobReference(JOB_ID), 0, 0.0)
        network.on_next_call = lambda: service._result_cache.add(JobReference("large"), 1, 0, large)
        large = [ItemResult("large-0", ResultState.COMPLETED, "x" * MAX_BYTES, (1,), "s")]
        network.results = make_results(4)
        page = service.read(JobReference(JOB_ID), 1, 0.0)
        self.assertEqual([one.text for one in page.results], ["text 1", "text 2", "text 3"])
        self.assertEqual(page.position, 1)

    def test_empty_page_of_a_coordinator_replaced_during_a_read_is_not_served(self):
        """Guards against hiding results of a successor that this node has learned of."""
        network = CoordinatorNetwork(4)
        election = OtherCoordinator()
        service = JobService(self.store, network, election, "shard")
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(make_job(), "part").content)
        self._put_results(0, make_results(3))
        later = Coordinator("node-3", Address("127.0.0.1", 1), "zone", 2)
        network.on_next_call = lambda: setattr(election, "coordinator", later)
        page = service.read(JobReference(JOB_ID), 0, 0.0)
        self.assertEqual(len(page.results), 3)

    def test_empty_page_of_an_unverified_coordinator_is_not_served(self):
        """Guards against hiding listed results in a network partition.

        A partitioned zone's own coordinator may have a job without the results listed elsewhere.
        """
        network = CoordinatorNetwork(4)
        service = JobService(self.store, network, OtherCoordinator(), "shard")
        network.verified = False
        self.store.down = True
        with self.assertRaises(RunkeelError) as caught:
            service.read(JobReference(JOB_ID), 2, 0.0)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        network.results = make_results(3)
        self.assertEqual(len(service.read(JobReference(JOB_ID), 2, 0.0).results), 1)

    def test_results_come_from_the_store_while_the_listing_is_unknown(self):
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(make_job(), "part").content)
        self._put_results(0, make_results(3))
        state = JobState(make_job())
        self.service.local = LocalCoordinator(state)
        self.service._election = VerifiedCoordinator()
        page = self.service.read(JobReference(JOB_ID), 2, 0.0)
        self.assertEqual([one.text for one in page.results], ["text 2"])
        reply = self.service._serve_read("node-3", JobRead("shard", JOB_ID, 2, 0, 1_000, ""))[1]
        self.assertFalse(reply.verified)

    def test_job_unloaded_during_a_read_is_read_from_the_store(self):
        """Guards against an empty page with no total once memory runs short."""
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(make_job(), "part").content)
        self._put_results(0, make_results(3))
        state = JobState(make_job())
        state.fenced = True
        state.append_segment(make_results(3))
        self.service.local = UnloadingCoordinator(state)
        self.service._election = VerifiedCoordinator()
        page = self.service.read(JobReference(JOB_ID), 1, 0.0)
        self.assertEqual(
            ([one.text for one in page.results], page.total), (["text 1", "text 2"], 4)
        )
        self.assertEqual(self._serve_read().lookup, JobLookup.UNKNOWN)

    def test_page_of_an_earlier_term_is_not_verified_by_the_current_one(self):
        """Guards against hiding results that were listed between two terms of a node."""
        state = JobState(make_job())
        state.fenced = True
        later = LocalCoordinator(JobState(make_job()))
        self.service.local = RestartedCoordinator(state, self.service, later)
        self.service._election = VerifiedCoordinator()
        self.assertFalse(self._serve_read().verified)

    def test_replaced_coordinator_does_not_deny_results_that_a_reader_expects(self):
        """Guards against hiding results listed by a successor that the store has just confirmed."""
        state = JobState(make_job())
        state.fenced = True
        self.service.local = LocalCoordinator(state)
        self.service._election = VerifiedCoordinator()
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(make_job(), "part").content)
        self._put_results(0, make_results(3))
        self.assertTrue(self._serve_read(0).verified)
        self.assertFalse(self._serve_read(2).verified)
        page = self.service.read(JobReference(JOB_ID), 2, 0.0)
        self.assertEqual([one.text for one in page.results], ["text 2"])

    def _serve_read(self, position=0):
        message = JobRead("shard", JOB_ID, position, 0, 1_000, "")
        return self.service._serve_read("node-3", message)[1]

    def test_item_body(self):
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(make_job(), "part").content)
        self.assertEqual(self.service.item_body(JobReference(JOB_ID), f"{JOB_ID}-2"), "Ym9keQ==")
        self.assertIsNone(self.service.item_body(JobReference(JOB_ID), "nothing"))

    def test_end_is_stored_and_idempotent(self):
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(make_job(), "part").content)
        self.assertTrue(self.service.end(JobReference(JOB_ID), self._deadline()))
        self.assertTrue(self.service.end(JobReference(JOB_ID), self._deadline()))
        self.assertEqual(self.store.names(DocumentKind.JOB_END), [JOB_ID])

    def test_end_of_an_unknown_job(self):
        self.assertFalse(self.service.end(JobReference("other"), self._deadline()))


if __name__ == "__main__":
    unittest.main()
