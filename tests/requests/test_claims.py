"""Requests that must not run twice."""

from __future__ import annotations

import gevent

from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.requests import claim as claim_module
from runkeel.requests.claim import claim_key
from runkeel.wire.generated.common.ttypes import MessageType
from tests.requests.fakes import LinkFaults
from tests.requests.test_applications import ClusterCase


class ClaimsTest(ClusterCase):
    def reserve(self, node=None, key="k1", body=b"rice", **headers):
        node = node or self.node
        return node.call_service(
            "ledger",
            "/reserve",
            "POST",
            body,
            idempotency_key=key,
            x_runkeel_repeatable="false",
            **headers,
        )

    def assert_reserve_fails(self, code: ErrorCode, verdict: Verdict, **arguments) -> None:
        with self.assertRaises(RunkeelError) as caught:
            self.reserve(**arguments)
        self.assertEqual((caught.exception.code, caught.exception.verdict), (code, verdict))

    def test_retry_gets_the_recorded_answer_through_any_node(self) -> None:
        first = self.reserve()
        for node in (self.node, self.other):
            self.assertEqual(self.reserve(node).body, first.body)
        self.assertEqual(self.runs(), 1)

    def test_retry_waits_for_the_request_in_progress(self) -> None:
        for application in self.applications.values():
            application.delay_seconds = 0.1
        running = [gevent.spawn(self.reserve, node) for node in (self.node, self.other) * 3]
        gevent.joinall(running, raise_error=True)
        self.assertEqual(len({task.value.body for task in running}), 1)
        self.assertEqual(self.runs(), 1)

    def test_retry_after_a_lost_answer_is_told_may_have_run(self) -> None:
        lost = LinkFaults(before=["lost"])
        self.node.peers.faults[MessageType.APPLICATION_REQUEST] = lost
        self.assert_reserve_fails(ErrorCode.PEER_LOST, Verdict.MAY_HAVE_RUN)
        for node in (self.node, self.other):
            self.assert_reserve_fails(ErrorCode.PEER_LOST, Verdict.MAY_HAVE_RUN, node=node)
        self.assertEqual(self.runs(), 1)

    def test_death_of_the_claimant_leaves_the_outcome_unknown(self) -> None:
        self.reserve()
        self.cluster.dead.add("node-a")
        self.assert_reserve_fails(ErrorCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, node=self.other)
        self.assertEqual(self.runs(), 1)

    def test_restarted_claimant_knows_nothing_and_says_so(self) -> None:
        self.reserve()
        self.node.service._claims._answers._answers.clear()
        for node in (self.node, self.other):
            self.assert_reserve_fails(ErrorCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, node=node)
        self.assertEqual(self.runs(), 1)

    def test_request_that_did_not_run_may_be_tried_again_with_its_key(self) -> None:
        self.cluster.configuration.draining.update(self.applications)
        self.assert_reserve_fails(ErrorCode.NO_BACKEND, Verdict.NOT_RUN)
        self.cluster.configuration.draining.clear()
        self.assertEqual(self.reserve(self.other).status, 200)
        self.assertEqual(self.reserve().status, 200)
        self.assertEqual(self.runs(), 1)

    def test_records_unavailable_means_not_run(self) -> None:
        self.cluster.records.unavailable = True
        self.assert_reserve_fails(ErrorCode.RECORDS_UNAVAILABLE, Verdict.NOT_RUN)
        self.assertEqual(self.runs(), 0)

    def test_claim_decided_after_the_time_out_is_never_dispatched(self) -> None:
        self.cluster.records.unavailable = self.cluster.records.decides_anyway = True
        self.assert_reserve_fails(ErrorCode.RECORDS_UNAVAILABLE, Verdict.NOT_RUN)
        self.cluster.records.unavailable = False
        self.assertEqual(self.reserve(self.other).status, 200)
        self.assertEqual(self.runs(), 1)

    def test_pause_between_claim_and_dispatch(self) -> None:
        decide = self.cluster.records.decide

        def slow_decide(key, value, timeout_seconds):
            decided = decide(key, value, timeout_seconds)
            gevent.sleep(0.1)
            return decided

        self.cluster.records.decide = slow_decide
        self.assert_reserve_fails(
            ErrorCode.DEADLINE_EXCEEDED, Verdict.NOT_RUN, x_runkeel_deadline_ms="50"
        )
        self.assertEqual(self.runs(), 0)

    def test_key_used_for_another_request(self) -> None:
        self.reserve()
        self.assert_reserve_fails(ErrorCode.CONFLICT, Verdict.NOT_RUN, body=b"beans")
        self.assertEqual(self.reserve(x_runkeel_member="other", body=b"beans").status, 200)

    def test_caller_without_a_key_is_given_one(self) -> None:
        answer = self.node.call_service("ledger", x_runkeel_repeatable="false")
        key = dict(answer.headers)["Idempotency-Key"]
        again = self.node.call_service("ledger", x_runkeel_repeatable="false", idempotency_key=key)
        self.assertEqual((again.body, self.runs()), (answer.body, 1))

    def test_parts_of_the_record_name_do_not_run_into_each_other(self) -> None:
        self.assertNotEqual(claim_key("a", "b/c", "d"), claim_key("a", "b", "c/d"))

    def test_recorded_answers_are_bounded(self) -> None:
        answers = claim_module.RecordedAnswers()
        for number in range(claim_module.MAXIMUM_ANSWERS + 10):
            answers.finish(answers.begin(str(number)))
        self.assertLessEqual(len(answers), claim_module.MAXIMUM_ANSWERS)
        self.assertIsNone(answers.get("0"))
