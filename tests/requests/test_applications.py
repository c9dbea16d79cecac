"""Requests to applications: from the entry's HTTP face to a back end and back."""

from __future__ import annotations

import json
import unittest

import gevent

from runkeel.api.configuration import MemberLimitSpec, PriorityClassSpec, ServiceSpec
from runkeel.api.machines import MachineKind
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.wire.generated.common.ttypes import MessageType
from tests.requests.fakes import FakeApplication, FakeCluster, LinkFaults, machine


class ClusterCase(unittest.TestCase):
    """Two nodes, each owning one back end of the service ``ledger``."""

    def setUp(self) -> None:
        self.cluster = FakeCluster(("node-a", "node-b"))
        self.cluster.configuration.services["ledger"] = ServiceSpec(max_in_flight_per_backend=2)
        self.cluster.configuration.classes["urgent"] = PriorityClassSpec(rank=1, contract_p99_ms=9)
        self.applications = {}
        for name, owner in (("app-a", "node-a"), ("app-b", "node-b")):
            application = FakeApplication()
            self.addCleanup(application.stop)
            self.applications[name] = application
            self.cluster.machines.add(
                machine(name, MachineKind.APPLICATION, "ledger", application.address), owner
            )
        self.node = self.cluster.nodes["node-a"]
        self.other = self.cluster.nodes["node-b"]
        self.cluster.start()
        self.addCleanup(self.cluster.stop)

    def runs(self) -> int:
        return sum(sum(app.runs.values()) for app in self.applications.values())

    def assert_fails(self, code: ErrorCode, verdict: Verdict, **arguments) -> RunkeelError:
        node = arguments.pop("node", self.node)
        with self.assertRaises(RunkeelError) as caught:
            node.call_service("ledger", **arguments)
        self.assertEqual((caught.exception.code, caught.exception.verdict), (code, verdict))
        return caught.exception


class PassThroughTest(ClusterCase):
    def test_caller_gets_own_answer(self) -> None:
        answers = [self.node.call_service("ledger", f"/lookup/{n}?x=1") for n in range(10)]
        for number, answer in enumerate(answers):
            content = json.loads(answer.body)
            self.assertEqual(content["path"], f"/lookup/{number}")
            self.assertIn(("X-Runkeel-Request-Id", content["request_id"]), answer.headers)
        self.assertEqual(self.runs(), 10)

    def test_both_owners_get_work(self) -> None:
        for _ in range(20):
            self.node.call_service("ledger")
        self.assertTrue(all(sum(app.runs.values()) for app in self.applications.values()))


class VerdictTest(ClusterCase):
    def test_no_backend_in_service(self) -> None:
        self.cluster.configuration.draining.update(self.applications)
        error = self.assert_fails(ErrorCode.NO_BACKEND, Verdict.NOT_RUN)
        self.assertIsNotNone(error.retry_after_seconds)
        self.assertTrue(error.request_id)
        self.assertEqual(self.runs(), 0)

    def test_dead_backend_is_avoided(self) -> None:
        self.applications["app-a"].stop()
        for _ in range(10):
            self.assertEqual(self.node.call_service("ledger").status, 200)
        self.assertEqual(sum(self.applications["app-b"].runs.values()), 10)

    def test_owner_whose_only_backend_is_ejected_offers_no_slots(self) -> None:
        owner = self.node.service._owner
        self.assertEqual([summary.slots for summary in owner.summaries()], [2])
        self.applications["app-a"].stop()
        with gevent.Timeout(5.0):
            while any(summary.slots for summary in owner.summaries()):
                self.assertEqual(self.node.call_service("ledger").status, 200)
        self.node.membership.publish_summaries(owner.summaries())
        asked = self.node.peers.calls[MessageType.APPLICATION_REQUEST]
        for _ in range(10):
            self.node.call_service("ledger")
        self.assertEqual(self.node.peers.calls[MessageType.APPLICATION_REQUEST] - asked, 10)

    def test_deadline_in_the_queue_proves_not_run(self) -> None:
        self.slow(0.3)
        running = [gevent.spawn(self.node.call_service, "ledger") for _ in range(4)]
        gevent.sleep(0.02)
        self.assert_fails(
            ErrorCode.DEADLINE_EXCEEDED, Verdict.NOT_RUN, **{"x_runkeel_deadline_ms": "50"}
        )
        gevent.joinall(running, raise_error=True)
        self.assertEqual(self.runs(), 4)

    def test_deadline_at_the_backend_may_have_run(self) -> None:
        self.slow(0.3)
        self.assert_fails(
            ErrorCode.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, **{"x_runkeel_deadline_ms": "50"}
        )
        self.assertEqual(self.runs(), 1)

    def test_peer_lost_after_the_send(self) -> None:
        faults = LinkFaults(before=["lost"])
        self.node.peers.faults[MessageType.APPLICATION_REQUEST] = faults
        self.assert_fails(
            ErrorCode.PEER_LOST,
            Verdict.MAY_HAVE_RUN,
            x_runkeel_repeatable="false",
            method="POST",
        )
        self.assertEqual(self.runs(), 1)

    def test_lost_answer_of_a_repeatable_request_is_asked_for_again(self) -> None:
        faults = LinkFaults(before=["lost"])
        self.node.peers.faults[MessageType.APPLICATION_REQUEST] = faults
        self.assertEqual(self.node.call_service("ledger").status, 200)
        self.assertEqual(self.runs(), 2)

    def test_one_unknown_attempt_outweighs_a_later_proof(self) -> None:
        faults = LinkFaults(before=["lost", "unreachable"])
        self.node.peers.faults[MessageType.APPLICATION_REQUEST] = faults
        self.assert_fails(ErrorCode.PEER_UNREACHABLE, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.runs(), 1)

    def test_unreachable_peer_proves_not_run_and_is_retried(self) -> None:
        faults = LinkFaults(before=["unreachable"])
        self.node.peers.faults[MessageType.APPLICATION_REQUEST] = faults
        answer = self.node.call_service("ledger", x_runkeel_repeatable="false")
        self.assertEqual((answer.status, self.runs()), (200, 1))

    def test_owner_paused_drops_what_was_queued(self) -> None:
        self.slow(0.1)
        self.cluster.configuration.draining.add("app-b")
        running = [gevent.spawn(self.node.call_service, "ledger") for _ in range(2)]
        gevent.sleep(0.02)
        queued = gevent.spawn(self.node.call_service, "ledger", x_runkeel_repeatable="false")
        gevent.sleep(0.02)
        pauses = self.node.pauses
        clock = pauses._clock
        pauses._clock = lambda: clock() + 5.0
        gevent.joinall(running)
        with self.assertRaises(RunkeelError) as caught:
            queued.get()
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(self.runs(), 2)

    def slow(self, seconds: float) -> None:
        for application in self.applications.values():
            application.delay_seconds = seconds


class PriorityTest(ClusterCase):
    def test_urgent_requests_overtake(self) -> None:
        self.cluster.configuration.draining.add("app-b")
        self.applications["app-a"].delay_seconds = 0.05
        order = []

        def call(name: str, priority: str) -> None:
            self.node.call_service("ledger", x_runkeel_priority=priority)
            order.append(name)

        first = [gevent.spawn(call, "first", "standard") for _ in range(2)]
        gevent.sleep(0.01)
        rest = [gevent.spawn(call, "standard", "standard") for _ in range(2)]
        gevent.sleep(0.01)
        rest += [gevent.spawn(call, "urgent", "urgent") for _ in range(2)]
        gevent.joinall(first + rest, raise_error=True)
        self.assertEqual(order[2:4], ["urgent", "urgent"])

    def test_one_member_cannot_take_all(self) -> None:
        self.cluster.configuration.limit = MemberLimitSpec(max_in_flight=1)
        self.applications["app-a"].delay_seconds = 0.05
        self.applications["app-b"].delay_seconds = 0.05
        running = gevent.spawn(self.node.call_service, "ledger", x_runkeel_member="greedy")
        gevent.sleep(0.01)
        self.assert_fails(ErrorCode.MEMBER_LIMIT, Verdict.NOT_RUN, x_runkeel_member="greedy")
        self.assertEqual(self.node.call_service("ledger", x_runkeel_member="b").status, 200)
        running.get()


class HedgingTest(ClusterCase):
    def test_slow_lookup_is_answered_by_the_second_copy(self) -> None:
        for _ in range(60):
            self.node.call_service("ledger")
        # The first copy alone would be answered after the deadline.
        self.applications["app-a"].delay_seconds = 60.0
        before = self.runs()
        for _ in range(4):
            response = self.node.call_service("ledger", x_runkeel_deadline_ms="10000")
            self.assertEqual(response.status, 200)
        self.assertLessEqual(self.runs() - before, 8)

    def test_not_repeatable_request_is_never_hedged(self) -> None:
        for _ in range(60):
            self.node.call_service("ledger")
        for application in self.applications.values():
            application.delay_seconds = 0.1
        before = self.runs()
        self.node.call_service("ledger", x_runkeel_repeatable="false")
        self.assertEqual(self.runs() - before, 1)


class LeavingTest(ClusterCase):
    def test_drained_and_leaving_backends_get_no_new_work(self) -> None:
        self.cluster.configuration.draining.add("app-a")
        for _ in range(10):
            self.node.call_service("ledger")
        self.assertEqual(sum(self.applications["app-a"].runs.values()), 0)
        self.cluster.configuration.draining.clear()
        self.cluster.machines.leaving.add("app-b")
        for _ in range(10):
            self.node.call_service("ledger")
        self.assertEqual(sum(self.applications["app-b"].runs.values()), 10)

    def test_planned_stop_cuts_nothing_and_loses_nothing(self) -> None:
        for application in self.applications.values():
            application.delay_seconds = 0.05
        callers = [gevent.spawn(self.node.call_service, "ledger") for _ in range(12)]
        gevent.sleep(0.02)
        self.assertTrue(self.other.service.drain(2.0))
        callers += [gevent.spawn(self.node.call_service, "ledger") for _ in range(4)]
        gevent.joinall(callers, raise_error=True)
        self.assertEqual(self.runs(), 16)
        self.assert_fails(ErrorCode.NODE_LEAVING, Verdict.NOT_RUN, node=self.other)


class BadInputTest(ClusterCase):
    def test_coded_refusals(self) -> None:
        for code, headers in (
            (ErrorCode.BAD_DEADLINE, {"x_runkeel_deadline_ms": "-5"}),
            (ErrorCode.BAD_DEADLINE, {"x_runkeel_deadline_ms": "0"}),
            (ErrorCode.BAD_DEADLINE, {"x_runkeel_deadline_ms": "1e3"}),
            (ErrorCode.BAD_DEADLINE, {"x_runkeel_deadline_ms": "\u0665"}),
            (ErrorCode.BAD_IDEMPOTENCY_KEY, {"idempotency_key": ""}),
            (ErrorCode.BAD_IDEMPOTENCY_KEY, {"idempotency_key": "k" * 201}),
            (ErrorCode.BAD_IDEMPOTENCY_KEY, {"idempotency_key": "\u00e9"}),
            (ErrorCode.UNKNOWN_PRIORITY_CLASS, {"x_runkeel_priority": "vip"}),
            (ErrorCode.BAD_REQUEST, {"x_runkeel_repeatable": "maybe"}),
            (ErrorCode.BAD_REQUEST, {"x_runkeel_member": "m" * 201}),
            (ErrorCode.BAD_REQUEST, {"path": "/caf\u00e9"}),
            (ErrorCode.BODY_TOO_LARGE, {"body": b"x" * (8 * 1024 * 1024 + 1)}),
        ):
            with self.subTest(code, headers=str(headers)[:60]):
                self.assert_fails(code, Verdict.NOT_RUN, **headers)
        with self.assertRaises(RunkeelError) as caught:
            self.node.call_service("nothing")
        self.assertEqual(caught.exception.code, ErrorCode.UNKNOWN_SERVICE)
        self.node.service._entry._is_ready = lambda: False
        with self.assertRaises(RunkeelError) as caught:
            self.node.call_service("nothing")
        self.assertEqual(caught.exception.code, ErrorCode.NODE_NOT_READY)
        self.assertEqual(self.runs(), 0)


if __name__ == "__main__":
    unittest.main()
