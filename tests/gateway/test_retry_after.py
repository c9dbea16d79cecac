"""Retry-After of requests that found no free slot."""

import time
import unittest
from collections import Counter
from unittest import mock

import gevent

from runkeel.api.backend_protocol import ForwardedRequest
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel.gateway.backends import BASE_EJECTION_SECONDS
from runkeel.gateway.forwarder import Forwarder
from runkeel.gateway.retry_after import (
    JITTER_FRACTION,
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    RESTART_SECONDS,
    estimate_retry_after,
)
from runkeel.usage.meter import UsageMeter
from tests.gateway.scripted_servers import (
    SERVICE,
    ScriptedPool,
    StatusProtocol,
    directory_of,
    unreachable,
)
from tests.gateway.test_forwarder import make_route
from tests.standalone_quarantine import standalone_quarantine

REQUEST = ForwardedRequest("r", "POST", "/p", "h", (), b"")
DRAWS = 50
UNREACHED_SECONDS = 3_600.0
"""Longer than any test takes."""


class RetryAfterTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory_of(a=ScriptedPool(), b=ScriptedPool())
        self.servers = self.directory.of_service(SERVICE)

    def estimates(self, servers=None):
        now = steady_seconds()
        known = self.servers if servers is None else servers
        return [estimate_retry_after(known, now) for _ in range(DRAWS)]

    def test_full_servers_have_a_free_slot_after_about_one_request(self):
        for state, seconds in zip(self.servers, (0.4, 0.25), strict=True):
            state.record_response_time(seconds)
            state.record_call_refusal()
        for wait in self.estimates():
            self.assertTrue(0.25 <= wait <= 0.25 * (1 + JITTER_FRACTION), wait)

    def test_failed_servers_are_retried_after_their_ejection(self):
        for state in self.servers:
            state.record_call_failure()
        for wait in self.estimates():
            self.assertGreater(wait, 0.9 * BASE_EJECTION_SECONDS)
            self.assertLessEqual(wait, BASE_EJECTION_SECONDS * (1 + JITTER_FRACTION))

    def test_no_server_or_only_ended_servers(self):
        for state in self.servers:
            state.mark_ended()
        for wait in [*self.estimates(), *self.estimates(servers=[])]:
            self.assertTrue(RESTART_SECONDS <= wait <= RESTART_SECONDS * (1 + JITTER_FRACTION))

    def test_estimate_is_bounded(self):
        self.servers[0].record_response_time(0.001)
        self.assertGreaterEqual(min(self.estimates()), MIN_RETRY_SECONDS)
        for state in self.servers:
            for _ in range(20):
                state.record_call_failure()
        self.assertLessEqual(max(self.estimates()), MAX_RETRY_SECONDS)

    def test_retries_are_spread(self):
        self.assertGreater(len({round(wait, 4) for wait in self.estimates()}), DRAWS // 2)

    def test_average_follows_a_server_that_becomes_slow(self):
        state = self.servers[0]
        state.record_response_time(0.02)
        for _ in range(5):
            state.record_response_time(0.2)
        self.assertGreater(state.average_response_seconds, 0.15)


class ReturningCallersTest(unittest.TestCase):
    """Callers with a single retry while all servers of their service restart.

    Guards against a Retry-After that expires before the servers are back. The steady clock moves
    only when the test moves it, so a stall of the process changes nothing.
    """

    CALLERS = 20
    DOWN_SECONDS = 0.4

    def setUp(self):
        self.now = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.up_at = self.now + self.DOWN_SECONDS
        patch = mock.patch("time.clock_gettime", self._clock_gettime(time.clock_gettime))
        patch.start()
        self.addCleanup(patch.stop)
        self.pools = {name: _Restarting(self) for name in ("a", "b")}
        self.directory = directory_of(**self.pools)
        meter = UsageMeter(5.0, lambda: 1_000.0)
        self.forwarder = Forwarder(
            self.directory, StatusProtocol(), "here", meter, standalone_quarantine()
        )

    def served(self, retry_seconds):
        """Return how many callers succeed with their single retry."""
        errors = self.try_all(self.CALLERS)
        callers_by_wait = Counter()
        for error in errors:
            self.assertIsNotNone(error, "a first attempt succeeded while the servers were down")
            self.assertIs(error.verdict, Verdict.NOT_RUN)
            wait = retry_seconds if retry_seconds is not None else error.retry_after_seconds
            callers_by_wait[wait] += 1
        started = self.now
        served = 0
        for wait, callers in sorted(callers_by_wait.items()):
            self.now = started + wait
            served += self.try_all(callers).count(None)
        return served

    def try_all(self, callers):
        """Try once for each caller, all at the same time; return their errors, None if served."""
        tasks = [gevent.spawn(self.try_once) for _ in range(callers)]
        gevent.joinall(tasks, raise_error=True)
        return [task.value for task in tasks]

    def try_once(self):
        # The forwarder's waits end by real time, so they are made too long for a stall to end one.
        route = make_route(target=UNREACHED_SECONDS)
        try:
            self.forwarder.forward(REQUEST, route, SERVICE, steady_seconds() + UNREACHED_SECONDS)
        except RunkeelError as error:
            return error
        return None

    def test_retry_after_follows_the_ejection_of_the_servers(self):
        self.assertEqual(self.served(None), self.CALLERS)

    def test_fixed_retry_after_fails_during_a_restart(self):
        self.assertEqual(self.served(0.1), 0)

    def _clock_gettime(self, clock_gettime):
        return lambda clock: self.now if clock == time.CLOCK_BOOTTIME else clock_gettime(clock)


class _Restarting(ScriptedPool):
    """A server that refuses connections until the test's clock reaches ``up_at``."""

    def __init__(self, test):
        super().__init__()
        self.test = test

    def _next(self, deadline):
        self.requests += 1
        if self.test.now < self.test.up_at:
            raise unreachable()
        return 200


if __name__ == "__main__":
    unittest.main()
