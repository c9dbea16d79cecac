"""The owner's queue: projection, refusal at once, priorities and bounds."""

from __future__ import annotations

import time
from unittest import mock

import gevent

from runkeel.api.configuration import ServiceSpec
from runkeel.api.machines import MachineKind
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.requests.backend_choice import Demand, PoolId
from runkeel.requests.deadline import Deadline
from runkeel.requests.outliers import FAILURES_TO_EJECT
from tests.requests.test_applications import ClusterCase

POOL = PoolId(MachineKind.APPLICATION, "ledger")
URGENT, STANDARD = 1, 500


class OwnerQueueTest(ClusterCase):
    """The queue of a node with one back end of two slots, both of them taken."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster.configuration.services["ledger"] = ServiceSpec(
            max_in_flight_per_backend=2, max_queue_per_backend=2
        )
        self.queue = self.node.service._owner._queue(POOL)
        self.demand = Demand(POOL, STANDARD)
        self.running = [self.enter() for _ in range(2)]

    def enter(self, rank: int = STANDARD, seconds: float = 60.0, member: str = ""):
        return self.queue.enter(Demand(POOL, rank, member), Deadline.after_ms(int(seconds * 1_000)))

    def assert_refused(self, code: ErrorCode, call) -> RunkeelError:
        with self.assertRaises(RunkeelError) as caught:
            call()
        self.assertEqual((caught.exception.code, caught.exception.verdict), (code, Verdict.NOT_RUN))
        return caught.exception

    def release(self) -> None:
        self.queue.release(self.queue.wait(self.running.pop()), self.demand, None)

    def test_unmeetable_deadline_is_refused_at_once(self) -> None:
        self.queue._note_service_time(self.demand, 10.0)
        error = self.assert_refused(ErrorCode.DEADLINE_UNREACHABLE, lambda: self.enter(seconds=9.0))
        self.assertAlmostEqual(error.retry_after_seconds, 5.0)
        self.assertEqual(len(self.queue), 0)

    def test_queued_request_that_became_hopeless_is_told_at_once(self) -> None:
        hopeless, hopeful = self.enter(seconds=9.0), self.enter(seconds=60.0)
        self.queue._note_service_time(self.demand, 30.0)
        self.queue.shed()
        self.assert_refused(ErrorCode.DEADLINE_UNREACHABLE, lambda: self.queue.wait(hopeless))
        self.release()
        self.assertTrue(hopeful.result.successful())

    def test_slot_is_not_wasted_on_an_answer_that_would_come_too_late(self) -> None:
        late, next_one = self.enter(seconds=60.0), self.enter(seconds=600.0)
        self.queue._note_service_time(self.demand, 100.0)
        self.release()
        self.assert_refused(ErrorCode.DEADLINE_UNREACHABLE, lambda: self.queue.wait(late))
        self.assertTrue(next_one.result.successful())

    def test_projection_leaves_urgent_work_its_share(self) -> None:
        self.queue._note_service_time(self.demand, 10.0)
        before = self.queue.projected_wait_seconds(STANDARD)
        self.enter(URGENT)
        self.enter(URGENT)
        self.release()
        self.release()
        self.assertAlmostEqual(self.queue.projected_wait_seconds(STANDARD), 2 * before)

    def test_free_slot_is_given_whatever_the_projection_says(self) -> None:
        self.queue._note_service_time(self.demand, 1_000.0)
        self.release()
        self.assertTrue(self.enter(seconds=0.5).result.successful())

    def test_full_queue_prefers_the_urgent(self) -> None:
        first, last = self.enter(), self.enter()
        self.assert_refused(ErrorCode.QUEUE_FULL, self.enter)
        urgent = self.enter(URGENT)
        self.assert_refused(ErrorCode.QUEUE_FULL, lambda: self.queue.wait(last))
        self.release()
        self.assertTrue(urgent.result.successful())
        self.assertFalse(first.result.ready())

    def test_flood_of_one_member_does_not_delay_another(self) -> None:
        flood = [self.enter(member="flood") for _ in range(2)]
        other = self.enter(member="other")
        self.assert_refused(ErrorCode.QUEUE_FULL, lambda: self.queue.wait(flood[1]))
        self.assert_refused(ErrorCode.QUEUE_FULL, lambda: self.enter(member="flood"))
        self.release()
        self.release()
        self.assertTrue(flood[0].result.successful() and other.result.successful())

    def test_last_backend_drained_refuses_the_queue(self) -> None:
        waiter = self.enter()
        self.cluster.configuration.draining.add("app-a")
        self.cluster.configuration.changed("drain", "app-a")
        self.assert_refused(ErrorCode.NO_BACKEND, lambda: self.queue.wait(waiter))

    def test_idle_owner_wakes_for_the_first_request_that_waits(self) -> None:
        owner = self.node.service._owner
        idle = gevent.spawn(owner.wait_for_queued, 60.0)
        gevent.sleep(0)
        self.assertFalse(idle.ready())
        run = mock.Mock(deadline=Deadline.after_ms(60_000))
        waiter = gevent.spawn(owner._acquire, run, self.demand)
        self.addCleanup(waiter.kill)
        idle.join(10.0)
        self.assertTrue(idle.successful())

    def test_owner_of_ejected_back_ends_offers_no_slots_but_still_serves(self) -> None:
        owner = self.node.service._owner
        backend = self.queue.wait(self.running[0])
        for _ in range(FAILURES_TO_EJECT):
            backend.outlier.record_failure(time.monotonic())
        self.assertEqual([summary.slots for summary in owner.summaries()], [0])
        self.assertTrue(owner._backends.could_serve(self.demand))

    def test_counts_return_to_zero(self) -> None:
        self.enter()
        self.queue.refuse_all(ErrorCode.NODE_LEAVING, "")
        for _ in range(2):
            self.release()
        self.assertEqual((self.queue.in_flight, len(self.queue)), (0, 0))
