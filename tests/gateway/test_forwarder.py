"""Attempts, retries, hedging and deadlines of plain requests."""

import unittest

import gevent
from gevent.event import Event

from runkeel.api.backend_protocol import ForwardedRequest
from runkeel.api.fleet import Route, RouteKind, ServiceShare
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.gateway.forwarder import Forwarder
from runkeel.usage.meter import UsageMeter
from tests.gateway.scripted_servers import (
    SERVICE,
    ScriptedPool,
    StatusProtocol,
    after,
    directory_of,
    lost,
    unreachable,
    unresponsive,
)
from tests.standalone_quarantine import standalone_quarantine

REQUEST = ForwardedRequest("r", "POST", "/p", "h", (), b"", tenant="parish")


def make_route(kind=RouteKind.REPEATABLE, attempts=3, target=10.0):
    shares = (ServiceShare(SERVICE, 1.0),)
    return Route("r", "h", "/", kind, shares, max_attempts=attempts, target_latency_seconds=target)


class ForwarderTest(unittest.TestCase):
    def setUp(self):
        self.meter = UsageMeter(5.0, lambda: 1_000.0)

    def forward(self, route, seconds=2.0, disconnected=None, **pools):
        forwarder = Forwarder(
            directory_of(**pools), StatusProtocol(), "here", self.meter, standalone_quarantine()
        )
        return forwarder.forward(REQUEST, route, SERVICE, steady_seconds() + seconds, disconnected)

    def failure(self, route, seconds=2.0, disconnected=None, **pools):
        with self.assertRaises(RunkeelError) as caught:
            self.forward(route, seconds, disconnected, **pools)
        return caught.exception

    @property
    def counted(self):
        return sum(counts.get("parish", 0) for counts in self.meter.windows().values())

    def test_response_is_returned_and_counted_once(self):
        self.assertEqual(self.forward(make_route(), a=ScriptedPool(200)).status, 200)
        self.assertEqual(self.counted, 1)

    def test_repeatable_request_is_retried_after_a_lost_response(self):
        first, second = ScriptedPool(lost(), 200), ScriptedPool(200, 200)
        response = self.forward(make_route(), a=first, b=second)
        self.assertEqual(response.status, 200)
        self.assertLessEqual(first.requests + second.requests, 2)
        self.assertEqual(self.counted, 1)

    def test_non_repeatable_request_is_not_retried_after_a_lost_response(self):
        pools = {"a": ScriptedPool(lost()), "b": ScriptedPool(lost())}
        error = self.failure(make_route(RouteKind.NOT_REPEATABLE), **pools)
        self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(sum(pool.requests for pool in pools.values()), 1)
        self.assertEqual(self.counted, 1)

    def test_non_repeatable_request_is_retried_if_it_did_not_run(self):
        for proof in (503, 421, unreachable()):
            pools = {"a": ScriptedPool(proof, 200), "b": ScriptedPool(200, 200)}
            pools["b"].script[0] = proof
            pools["c"] = ScriptedPool(200)
            route = make_route(RouteKind.NOT_REPEATABLE)
            self.assertEqual(self.forward(route, **pools).status, 200)

    def test_requests_refused_by_all_servers_did_not_run_and_are_not_counted(self):
        error = self.failure(make_route(), a=ScriptedPool(503), b=ScriptedPool(503))
        self.assertEqual((error.code, error.verdict), (ErrorCode.QUEUE_FULL, Verdict.NOT_RUN))
        self.assertIsNotNone(error.retry_after_seconds)
        self.assertEqual(self.counted, 0)

    def test_no_servers(self):
        error = self.failure(make_route())
        self.assertEqual((error.code, error.verdict), (ErrorCode.NO_BACKEND, Verdict.NOT_RUN))

    def test_no_more_attempts_than_the_route_allows(self):
        pools = {name: ScriptedPool(lost()) for name in ("a", "b", "c", "d")}
        self.failure(make_route(attempts=2), **pools)
        self.assertEqual(sum(pool.requests for pool in pools.values()), 2)

    def test_failure_response_is_returned_if_no_server_succeeds(self):
        response = self.forward(make_route(attempts=2), a=ScriptedPool(500), b=ScriptedPool(500))
        self.assertEqual(response.status, 500)

    def test_unresponsive_server_is_hedged_and_the_request_counted_once(self):
        pools = {
            "a": ScriptedPool(unresponsive),
            "b": ScriptedPool(unresponsive),
            "c": ScriptedPool(200),
        }
        response = self.forward(make_route(target=0.1), **pools)
        self.assertEqual(response.status, 200)
        self.assertEqual(self.counted, 1)

    def test_non_repeatable_request_is_not_hedged(self):
        pools = {"a": ScriptedPool(after(0.1, 200)), "b": ScriptedPool(after(0.1, 200))}
        self.forward(make_route(RouteKind.NOT_REPEATABLE, target=0.02), **pools)
        self.assertEqual(sum(pool.requests for pool in pools.values()), 1)

    def test_deadline_exceeded(self):
        error = self.failure(make_route(attempts=1), seconds=0.1, a=ScriptedPool(unresponsive))
        self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.counted, 1)

    def test_client_disconnect_cancels_the_attempt(self):
        disconnected = Event()
        gevent.spawn_later(0.05, disconnected.set)
        error = self.failure(
            make_route(attempts=1), 60.0, disconnected, a=ScriptedPool(unresponsive)
        )
        self.assertEqual(error.code, ErrorCode.CANCELLED)

    def test_failed_server_is_chosen_last(self):
        directory = directory_of(a=ScriptedPool(lost(), 200), b=ScriptedPool(200, 200, 200))
        forwarder = Forwarder(
            directory, StatusProtocol(), "here", self.meter, standalone_quarantine()
        )
        directory.get("a").record_call_failure()
        for _ in range(3):
            forwarder.forward(REQUEST, make_route(), SERVICE, steady_seconds() + 2.0)
        self.assertEqual(directory.get("a").pool.requests, 0)


if __name__ == "__main__":
    unittest.main()
