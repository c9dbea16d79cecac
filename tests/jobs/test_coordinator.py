"""Jobs under one or successive coordinators on one store: loading, demand, unloading, listing."""

import contextlib
import time
import unittest
from dataclasses import replace
from unittest import mock

import gevent
from loguru import logger

from runkeel.api.documents import CALL_TIMEOUT_SECONDS, DocumentConflictError, DocumentKind
from runkeel.api.jobs import ItemResult, JobReference, ResultState
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, may_have_run
from runkeel.gateway.backends import BackendDirectory
from runkeel.gateway.routing import RoutingTable
from runkeel.jobs import coordinator as coordinator_module
from runkeel.jobs import job_documents
from runkeel.jobs import scheduler as scheduler_module
from runkeel.jobs.coordinator import JobCoordinator
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.job_copies import CopiedJob
from runkeel.jobs.job_documents import encode_job, encode_segment, segment_name
from runkeel.jobs.job_state import JobState
from runkeel.jobs.job_store import JobStore
from runkeel.jobs.scheduler import Scheduler
from runkeel.jobs.service import JobService
from runkeel_lab.standins.document_store import MemoryDocumentStore
from tests.jobs.test_job_service import JOB_ID, SilentNetwork, VerifiedCoordinator, make_job
from tests.standalone_quarantine import standalone_quarantine

WAIT_TIMEOUT_SECONDS = 10.0
SETTLE_SECONDS = 1.0
"""Time from which a result that was read once must be found at every node."""


class IdleScheduler:
    """Runs no items; the test adds results itself."""

    def start(self):
        pass

    def begin_loading(self):
        pass

    def stop(self):
        pass

    def wake(self):
        pass

    def add(self, state):
        pass

    def drop(self, state):
        pass

    def backlogged(self, model):
        return False


class ConfirmingScheduler(IdleScheduler):
    def add_items(self, state, items):
        pass


class RecordingScheduler(IdleScheduler):
    """Records the order of the calls that add jobs and start the scheduler."""

    def __init__(self):
        self.events = []

    def start(self):
        self.events.append("start")

    def add(self, state):
        self.events.append(state.job.job_id)


def result(number):
    return ItemResult(f"{JOB_ID}-{number}", ResultState.COMPLETED, f"text {number}", (1,), "s")


class UnansweredStore:
    """A store proxy that applies writes of results; while ``silent``, it does not answer them."""

    def __init__(self, store):
        self._store = store
        self.silent = False

    def __getattr__(self, name):
        return getattr(self._store, name)

    def create(self, kind, name, content, timeout_seconds=CALL_TIMEOUT_SECONDS):
        if not self.silent or kind is not DocumentKind.JOB_RESULTS:
            return self._store.create(kind, name, content, timeout_seconds)
        with contextlib.suppress(DocumentConflictError):
            self._store.create(kind, name, content, timeout_seconds)
        gevent.sleep(timeout_seconds)
        raise may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, "no answer")


class OffsetClock:
    """The steady clock, advanced by ``offset`` seconds."""

    def __init__(self):
        self.offset = 0.0

    def __call__(self):
        return steady_seconds() + self.offset


class CoordinatorTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryDocumentStore()
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(make_job(), "part").content)
        self.superseded = []

    def _start_term(self, epoch):
        """Start a coordinator; returns the state of the job that it has loaded."""
        coordinator = JobCoordinator(
            self.store,
            IdleScheduler(),
            epoch,
            lambda model: 1,
            lambda reason: self.superseded.append(epoch),
        )
        coordinator.start()
        self.coordinator = coordinator
        self.addCleanup(coordinator.stop)
        self._wait(lambda: coordinator.job(JOB_ID) is not None)
        return coordinator.job(JOB_ID)

    def _wait(self, condition):
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline)
            gevent.sleep(0.01)

    def _ids(self, state):
        return [one.item_id for one in state.results]

    def test_items_are_placed_once_all_jobs_are_loaded(self):
        """Guards against the oldest job, loaded last, finding all slots taken."""
        first_state = self._start_term(1)
        for number in range(3):
            first_state.add_unlisted(result(number))
            self._wait(lambda number=number: len(first_state.results) > number)
        self.store.put(DocumentKind.JOB, "younger", encode_job(make_job(), "part").content)
        scheduler = RecordingScheduler()
        self.store.call_seconds = 0.02
        coordinator = JobCoordinator(
            self.store, scheduler, 2, lambda model: 1, self.superseded.append
        )
        coordinator.start()
        self.addCleanup(coordinator.stop)
        self._wait(lambda: len(scheduler.events) == 3)
        self.assertEqual(scheduler.events[-1], "start")

    def test_jobs_that_load_slowly_count_for_the_wait_for_runners(self):
        """Guards against starting items that runners still run for the previous coordinator."""
        counted = []
        self.store.put(DocumentKind.JOB, "ended", encode_job(make_job(), "part").content)
        self.store.put(DocumentKind.JOB_END, "ended", {})
        self.store.call_seconds = 0.05
        coordinator = JobCoordinator(
            self.store,
            IdleScheduler(),
            2,
            lambda model: 1,
            self.superseded.append,
            previous_term_drain_seconds=lambda items: counted.append(items) or 0.0,
        )
        with mock.patch.object(coordinator_module, "INITIAL_LOAD_TIMEOUT_SECONDS", 0.01):
            coordinator.start()
            self.addCleanup(coordinator.stop)
            self._wait(lambda: counted)
        self.assertIsNone(coordinator.job(JOB_ID))
        self.assertEqual(counted, [len(make_job().items)])

    def test_demand_is_known_once_jobs_are_loaded(self):
        """Guards against version orders to every engine while demand is still unknown."""
        self.store.call_seconds = 0.02
        coordinator = JobCoordinator(
            self.store, IdleScheduler(), 1, lambda model: 1, self.superseded.append
        )
        coordinator.start()
        self.addCleanup(coordinator.stop)
        self.assertFalse(coordinator.loaded.is_set())
        self._wait(coordinator.loaded.is_set)
        self.assertIsNotNone(coordinator.demand("m", 1).items)

    def test_ended_jobs_are_unloaded_above_the_memory_limit(self):
        """Guards against the coordinator being killed for its memory use."""
        first_state = self._start_term(1)
        with mock.patch.object(coordinator_module, "MAX_MEMORY_BYTES", first_state.size):
            self.store.put(
                DocumentKind.JOB, "second", encode_job(make_job(job_id="second"), "p").content
            )
            self._wait(lambda: self.coordinator.job("second") is not None)
            self.coordinator.end("second")
        self.assertIsNotNone(self.coordinator.job(JOB_ID))
        self.assertIsNone(self.coordinator.job("second"))
        first_state.add_unlisted(result(0))
        self._wait(lambda: first_state.results)

    def test_successor_continues_after_listed_results(self):
        first_state = self._start_term(1)
        first_state.add_unlisted(result(2))
        self._wait(lambda: first_state.results)
        second_state = self._start_term(2)
        self.assertEqual(self._ids(second_state), self._ids(first_state))

    def test_earlier_coordinator_lists_nothing_after_its_successor_has_loaded(self):
        """Guards against a result that can be read from one node only."""
        first_state = self._start_term(1)
        first_state.add_unlisted(result(0))
        self._wait(lambda: first_state.results)
        second_state = self._start_term(2)
        first_state.add_unlisted(result(1))
        self._wait(lambda: self.superseded == [1])
        self.assertEqual(self._ids(first_state), self._ids(second_state))
        second_state.add_unlisted(result(3))
        self._wait(lambda: len(second_state.results) == 2)

    def test_listing_of_handed_over_job_is_unknown_until_read(self):
        """Guards against hiding results that clients have read in an earlier term.

        A job that is submitted again in a partitioned zone is handed over although the store may
        contain results of it.
        """
        self.store.put(
            DocumentKind.JOB_RESULTS, segment_name(JOB_ID, 0), encode_segment(1, [result(0)])
        )
        coordinator = JobCoordinator(
            self.store, ConfirmingScheduler(), 2, lambda model: 1, self.superseded.append
        )
        self.addCleanup(coordinator.stop)
        coordinator.add_handed_over(JOB_ID, encode_job(make_job(), "part"))
        state = coordinator.job(JOB_ID)
        self.assertEqual((len(state.results), state.listing_known), (0, False))
        coordinator.start()
        self._wait(lambda: state.listing_known)
        self.assertEqual(len(state.results), 1)

    def _start_late_term(self, tentative):
        """Start a coordinator whose term began 10 s ago; returns it."""
        clock = OffsetClock()
        patch = mock.patch.object(coordinator_module, "steady_seconds", clock)
        patch.start()
        self.addCleanup(patch.stop)
        coordinator = JobCoordinator(
            self.store, ConfirmingScheduler(), 2, lambda model: 1, self.superseded.append
        )
        self.addCleanup(coordinator.stop)
        if tentative:
            coordinator.resume_from_copies([])
            clock.offset = 10.0
            coordinator.start()
        else:
            coordinator.start()
            self._wait(coordinator.loaded.is_set)
            clock.offset = 10.0
        return coordinator

    def test_copies_that_come_after_the_jobs_were_loaded_do_not_replace_them(self):
        """Guards against a job whose results are never listed again."""
        state = self._start_term(2)
        state.add_unlisted(result(0))
        self._wait(lambda: state.results)
        self.coordinator.resume_from_copies([CopiedJob(make_job(), (), frozenset())])
        current = self.coordinator.job(JOB_ID)
        for number in range(1, 4):
            current.add_unlisted(result(number))
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual((len(current.results), current.listing_known), (4, True))

    def test_copies_of_a_job_that_has_ended_are_not_run(self):
        """Guards against items that run after their job's end has been acknowledged."""
        self.store.put(DocumentKind.JOB_END, JOB_ID, {"ended_at": 0.0})
        scheduler = RecordingScheduler()
        coordinator = JobCoordinator(
            self.store, scheduler, 2, lambda model: 1, self.superseded.append
        )
        coordinator.start()
        self.addCleanup(coordinator.stop)
        self._wait(coordinator.loaded.is_set)
        coordinator.resume_from_copies([CopiedJob(make_job(), (), frozenset())])
        self.assertNotIn(JOB_ID, scheduler.events)

    def test_confirmed_tentative_term_accepts_outputs_of_jobs_that_are_not_loaded_yet(self):
        """Guards against running items from their beginning after a long tentative term."""
        clock = OffsetClock()
        patch = mock.patch.object(scheduler_module, "steady_seconds", clock)
        patch.start()
        self.addCleanup(patch.stop)
        scheduler = Scheduler(
            EnginePlacement(BackendDirectory(), lambda *key: False),
            RoutingTable(),
            None,
            None,
            lambda *key: False,
            standalone_quarantine(),
        )
        coordinator = JobCoordinator(
            self.store, scheduler, 2, lambda model: 1, self.superseded.append
        )
        self.addCleanup(coordinator.stop)
        coordinator.resume_from_copies([])
        clock.offset = 10.0
        coordinator.start()
        self.assertTrue(scheduler.needs_output(result(0).item_id, (1, 2)))

    def test_confirmed_tentative_term_waits_for_runners_of_the_previous_coordinator(self):
        """Guards against items that run twice at once after a long tentative term."""
        scheduler = RecordingScheduler()
        clock = OffsetClock()
        patch = mock.patch.object(coordinator_module, "steady_seconds", clock)
        patch.start()
        self.addCleanup(patch.stop)
        coordinator = JobCoordinator(
            self.store,
            scheduler,
            2,
            lambda model: 1,
            self.superseded.append,
            previous_term_drain_seconds=lambda items: 1.0,
        )
        self.addCleanup(coordinator.stop)
        coordinator.resume_from_copies([])
        clock.offset = 10.0
        coordinator.start()
        gevent.sleep(0.5)
        self.assertFalse({"start", JOB_ID} <= set(scheduler.events), scheduler.events)

    def _first_known_listing(self, coordinator, job_id):
        """Return the results of a job when the coordinator first knows its listing."""
        self._wait(lambda: (state := coordinator.job(job_id)) is not None and state.listing_known)
        return [one.item_id for one in coordinator.job(job_id).results]

    def test_tentative_term_does_not_hide_results_listed_meanwhile(self):
        """Guards against an empty listing of what another node listed during a partition."""
        self.store.put(
            DocumentKind.JOB_RESULTS, segment_name(JOB_ID, 0), encode_segment(1, [result(0)])
        )
        coordinator = self._start_late_term(tentative=True)
        self.assertEqual(self._first_known_listing(coordinator, JOB_ID), [result(0).item_id])

    def test_job_found_late_in_a_term_does_not_hide_results_of_the_previous_coordinator(self):
        """Guards against an empty listing of a job that a replaced coordinator ran as well."""
        coordinator = self._start_late_term(tentative=False)
        listed = ItemResult("late-0", ResultState.COMPLETED, "text", (1,), "s")
        self.store.put(
            DocumentKind.JOB_RESULTS, segment_name("late", 0), encode_segment(1, [listed])
        )
        job = make_job(job_id="late")
        self.store.put(DocumentKind.JOB, "late", encode_job(job, "part").content)
        self.assertEqual(self._first_known_listing(coordinator, "late"), ["late-0"])

    def test_read_beyond_the_listing_is_logged_once(self):
        """Guards against results that go missing without a trace in the logs."""
        state = self._start_term(1)
        lines = []
        handler = logger.add(lambda message: lines.append(message.record["extra"].get("code")))
        self.addCleanup(logger.remove, handler)
        self.coordinator.page(state, 0, 0.0, 1_000)
        self.assertNotIn("listing_short", lines)
        for _ in range(2):
            self.coordinator.page(state, 3, 0.0, 1_000)
        self.assertEqual(lines.count("listing_short"), 1)

    def test_results_whose_write_is_unanswered_are_not_denied(self):
        """Guards against hiding results that other nodes have read from the store meanwhile."""
        stored, self.store = self.store, UnansweredStore(self.store)
        state = self._start_term(1)
        self._wait(lambda: state.listing_known)
        self.store.silent = True
        for number in range(4):
            state.add_unlisted(result(number))
        self._wait(lambda: len(stored.names(DocumentKind.JOB_RESULTS)) == 2)
        network, election = SilentNetwork(), VerifiedCoordinator()
        at_coordinator = JobService(self.store, network, election, "shard")
        at_coordinator.local = self.coordinator
        elsewhere = JobService(self.store, network, election, "shard")
        job = JobReference(JOB_ID)
        self.assertEqual(len(elsewhere.read(job, 0, 0.0).results), 4)
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(len(at_coordinator.read(job, 0, 0.0).results), 4)

    def test_listed_items_are_not_listed_twice(self):
        first_state = self._start_term(1)
        first_state.add_unlisted(result(0))
        self._wait(lambda: first_state.results)
        second_state = self._start_term(2)
        for number in range(4):
            second_state.add_unlisted(result(number))
        self._wait(lambda: second_state.complete)
        self.assertEqual(len(set(self._ids(second_state))), 4)
        third_state = self._start_term(3)
        self.assertEqual(self._ids(third_state), self._ids(second_state))

    def test_job_ended_before_the_term_is_not_loaded(self):
        self.store.put(DocumentKind.JOB_END, JOB_ID, {})
        coordinator = JobCoordinator(
            self.store, IdleScheduler(), 1, lambda model: 1, self.superseded.append
        )
        coordinator.start()
        self.addCleanup(coordinator.stop)
        gevent.sleep(0.3)
        self.assertIsNone(coordinator.job(JOB_ID))

    def _coordinate_past_retention(self):
        """Start a term whose clock is advanced past the retention period once it knows the jobs."""
        clock = OffsetClock()
        for name, value in (("steady_seconds", clock), ("SWEEP_INTERVAL_SECONDS", 0.05)):
            patch = mock.patch.object(coordinator_module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        coordinator = JobCoordinator(
            self.store, IdleScheduler(), 2, lambda model: 1, self.superseded.append
        )
        coordinator.start()
        self.addCleanup(coordinator.stop)
        self._wait(coordinator.loaded.is_set)
        gevent.sleep(0.2)
        self.assertIsNotNone(self.store.get(DocumentKind.JOB_END, JOB_ID))
        clock.offset = coordinator_module.RETENTION_SECONDS + 1.0

    def test_jobs_with_parts_are_read_a_few_at_a_time(self):
        """Guards against a new coordinator that exceeds its memory as it reads all jobs at once."""
        for number in range(6):
            job_id = f"parts-{number}"
            with mock.patch.multiple(job_documents, MAX_PART_BYTES=1, MAX_CONTENT_BYTES=1):
                encoded = encode_job(make_job(job_id=job_id), job_id)
            self.store.put(DocumentKind.JOB, job_id, encoded.content)
            for name, part in encoded.parts.items():
                self.store.put(DocumentKind.JOB_PART, name, part)
        read = JobStore.read
        reading = []
        most = []

        def read_slowly(job_store, document):
            if not document.name.startswith("parts"):
                return read(job_store, document)
            reading.append(document.name)
            most.append(len(reading))
            gevent.sleep(0.01)
            reading.remove(document.name)
            return read(job_store, document)

        with mock.patch.object(JobStore, "read", read_slowly):
            coordinator = JobCoordinator(
                self.store, IdleScheduler(), 2, lambda model: 1, self.superseded.append
            )
            coordinator.start()
            self.addCleanup(coordinator.stop)
            self._wait(lambda: all(coordinator.job(f"parts-{n}") for n in range(6)))
        self.assertEqual(max(most), coordinator_module.MAX_CONCURRENT_LOADS)

    def _put_ended_job(self):
        """Put a job with parts, two segments and an end; returns the names of its documents."""
        with mock.patch.multiple(job_documents, MAX_PART_BYTES=1, MAX_CONTENT_BYTES=1):
            encoded = encode_job(make_job(), "p")
        self.assertGreater(len(encoded.parts), 1)
        documents = [(DocumentKind.JOB, JOB_ID, encoded.content)]
        documents += [(DocumentKind.JOB_PART, name, part) for name, part in encoded.parts.items()]
        documents += [
            (DocumentKind.JOB_RESULTS, segment_name(JOB_ID, n), encode_segment(1, [result(n)]))
            for n in range(2)
        ]
        documents.append((DocumentKind.JOB_END, JOB_ID, {}))
        for kind, name, content in documents:
            self.store.put(kind, name, content)
        return [(kind, name) for kind, name, _ in documents]

    def _stored(self, documents):
        return [one for one in documents if self.store.get(*one) is not None]

    def test_job_ended_before_the_term_does_not_stay_in_the_store_forever(self):
        documents = self._put_ended_job()
        self._coordinate_past_retention()
        self._wait(lambda: not self._stored(documents))

    def test_interrupted_removal_of_a_job_is_completed(self):
        """Guards against results left in the store after their job's document is gone."""
        documents = self._put_ended_job()
        failing = mock.patch.object(
            self.store, "delete", side_effect=may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, "")
        )
        self._coordinate_past_retention()
        with failing:
            self.store.remove(DocumentKind.JOB, JOB_ID)
            self.store.remove(DocumentKind.JOB_RESULTS, segment_name(JOB_ID, 1))
            gevent.sleep(0.3)
        left = [one for one in documents if one[0] is not DocumentKind.JOB_PART]
        self._wait(lambda: not self._stored(left))

    def test_open_job_that_the_store_has_not_confirmed_yet_is_not_given_up_or_removed(self):
        """Guards against the loss of an open job while the store does not answer."""
        job = make_job(submitted_at=time.time() - coordinator_module.RETENTION_SECONDS - 10.0)
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(job, "part").content)
        segment = segment_name(JOB_ID, 0)
        self.store.put(DocumentKind.JOB_RESULTS, segment, encode_segment(1, [result(0)]))
        clock = OffsetClock()
        for name, value in (("steady_seconds", clock), ("SWEEP_INTERVAL_SECONDS", 0.05)):
            patch = mock.patch.object(coordinator_module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        coordinator = JobCoordinator(
            self.store, ConfirmingScheduler(), 2, lambda model: 1, self.superseded.append
        )
        self.addCleanup(coordinator.stop)
        coordinator.resume_from_copies([CopiedJob(job, (), frozenset())])
        self.store.down = True
        coordinator.start()
        gevent.sleep(0.3)
        self.store.down = False
        self._wait(coordinator.loaded.is_set)
        self.assertIsNotNone(coordinator.job(JOB_ID))
        clock.offset = coordinator_module.RETENTION_SECONDS + 1.0
        gevent.sleep(0.3)
        documents = [(DocumentKind.JOB, JOB_ID), (DocumentKind.JOB_RESULTS, segment)]
        self.assertEqual(self._stored(documents), documents)

    def test_job_given_up_as_unstored_is_not_removed_if_it_is_stored_later(self):
        """Guards against the loss of an open job whose end is not in the store."""
        job = make_job(submitted_at=time.time() - coordinator_module.RETENTION_SECONDS - 10.0)
        clock = OffsetClock()
        for name, value in (("steady_seconds", clock), ("SWEEP_INTERVAL_SECONDS", 0.05)):
            patch = mock.patch.object(coordinator_module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.store.remove(DocumentKind.JOB, JOB_ID)
        coordinator = JobCoordinator(
            self.store, ConfirmingScheduler(), 2, lambda model: 1, self.superseded.append
        )
        self.addCleanup(coordinator.stop)
        coordinator.resume_from_copies([CopiedJob(job, (), frozenset())])
        coordinator.start()
        self._wait(lambda: coordinator.job(JOB_ID) is None)
        segment = segment_name(JOB_ID, 0)
        self.store.put(DocumentKind.JOB, JOB_ID, encode_job(job, "part").content)
        self.store.put(DocumentKind.JOB_RESULTS, segment, encode_segment(1, [result(0)]))
        clock.offset = coordinator_module.RETENTION_SECONDS + 1.0
        gevent.sleep(0.3)
        documents = [(DocumentKind.JOB, JOB_ID), (DocumentKind.JOB_RESULTS, segment)]
        self.assertEqual(self._stored(documents), documents)

    def test_malformed_ended_job_does_not_keep_others_in_the_store(self):
        """Guards against the end of the task that removes the jobs of the whole term."""
        malformed = "a-malformed-job"
        self.store.put(DocumentKind.JOB, malformed, None)
        self.store.put(DocumentKind.JOB_END, malformed, {})
        self._put_ended_job()
        self._coordinate_past_retention()
        gevent.sleep(0.3)
        job = make_job(
            job_id="later", submitted_at=time.time() - coordinator_module.RETENTION_SECONDS - 10.0
        )
        self.store.put(DocumentKind.JOB, "later", encode_job(job, "part").content)
        gevent.sleep(0.3)
        self.store.put(DocumentKind.JOB_END, "later", {})
        self._wait(lambda: not self._stored([(DocumentKind.JOB, "later")]))

    def test_event_is_set_once_enough_groups_are_complete(self):
        job = make_job()
        half = len({item.group for item in job.items}) // 2
        state = JobState(replace(job, required_groups=half))
        groups = [item.group for item in job.items]
        for item, group in zip(job.items, groups, strict=True):
            if state.required_groups_complete.is_set():
                break
            state.add_unlisted(ItemResult(item.item_id, ResultState.COMPLETED, "x"))
            state.add_unlisted(ItemResult(item.item_id, ResultState.COMPLETED, "again"))
            whole = {one for one in groups if groups.count(one) <= _ready(state, one)}
            self.assertEqual(state.required_groups_complete.is_set(), len(whole) >= half, group)
        self.assertTrue(state.required_groups_complete.is_set())


def _ready(state, group):
    return sum(state.items[one.item_id].group == group for one in state.unlisted)


if __name__ == "__main__":
    unittest.main()
