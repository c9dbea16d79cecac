"""Which scorer answers count as failed attempts, and the timeout of a call."""

import base64
import unittest

from runkeel.api.fleet import Route, RouteKind, RoutingConfiguration, ServiceShare
from runkeel.api.jobs import ScorerCall
from runkeel.backends.http_connection import HttpResponse
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, may_have_run
from runkeel.gateway.backends import BackendDirectory
from runkeel.gateway.deferrable_calls import DeferrableCalls
from runkeel.gateway.routing import RoutingTable
from runkeel.jobs.scorer import (
    MIN_CALL_SECONDS,
    Scorer,
    ScoringFailedError,
    ScoringUnfinishedError,
)
from tests.gateway.scripted_servers import StatusProtocol

CALL = ScorerCall("score-1", "h", "/score/1", base64.b64encode(b"text").decode())


class ScorerProtocol(StatusProtocol):
    def encode_score_request(self, request_id, host, path, body):
        return request_id

    def response_signature(self, headers):
        return "stamp"

    def is_failed_attempt(self, status):
        return status == 500


class ScriptedForwarder:
    """Returns the statuses in order and repeats the last one."""

    def __init__(self, *statuses):
        self.statuses = list(statuses)
        self.calls = 0
        self.limits = []

    def forward(self, request, route, service, deadline):
        self.calls += 1
        self.limits.append(deadline - steady_seconds())
        status = self.statuses.pop(0) if len(self.statuses) > 1 else self.statuses[0]
        if isinstance(status, Exception):
            raise status
        return HttpResponse(status, [], b"")


class ScorerTest(unittest.TestCase):
    def score(self, *statuses, seconds=5.0, attempts=3, target=0.2):
        route = Route(
            "score",
            "h",
            "/score/",
            RouteKind.REPEATABLE,
            (ServiceShare("scorers", 1.0),),
            max_attempts=attempts,
            target_latency_seconds=target,
        )
        routing = RoutingTable()
        routing.apply(RoutingConfiguration(1, (route,)))
        self.forwarder = ScriptedForwarder(*statuses)
        calls = DeferrableCalls(BackendDirectory())
        scorer = Scorer(self.forwarder, routing, ScorerProtocol(), calls)
        return scorer.score(CALL, steady_seconds() + seconds)

    def test_success(self):
        self.assertEqual(self.score(200), "stamp")

    def test_answered_failures_use_the_attempts_up(self):
        with self.assertRaises(ScoringFailedError):
            self.score(500, 500, 500, 200)
        self.assertEqual(self.forwarder.calls, 3)

    def test_timed_out_answer_is_no_failed_attempt(self):
        """Guards against counting the 504 of a slow scorer as a failed attempt."""
        self.assertEqual(self.score(504, 504, 504, 504, 200), "stamp")

    def test_no_other_answer_counts(self):
        for status in (400, 404, 422, 501, 502, 503, 504, 599):
            with self.subTest(status):
                self.assertEqual(self.score(status, status, 500, 500, 200), "stamp")

    def test_lost_answers_do_not_count(self):
        lost = may_have_run(ErrorCode.BACKEND_LOST, "reset")
        self.assertEqual(self.score(500, lost, 500, lost, lost, 200), "stamp")

    def test_exceeded_deadline_is_no_failure(self):
        with self.assertRaises(ScoringUnfinishedError):
            self.score(504, seconds=0.3)

    def test_timeout_scales_with_the_target_latency(self):
        """Guards against a fixed timeout that every call to a slow scorer exceeds."""
        self.score(200, target=0.8)
        self.assertGreater(self.forwarder.limits[0], 1.5)
        self.score(200, target=0.05)
        self.assertAlmostEqual(self.forwarder.limits[0], MIN_CALL_SECONDS, 1)


if __name__ == "__main__":
    unittest.main()
