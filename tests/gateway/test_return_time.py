"""When a caller that found no room is told to come back."""

import unittest

import gevent

from runkeel.api.backend_protocol import PlainRequest
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel.gateway.backends import BASE_EJECTION_SECONDS
from runkeel.gateway.forwarder import Forwarder
from runkeel.gateway.return_time import (
    JITTER,
    LONGEST_SECONDS,
    NO_SERVER_SECONDS,
    SHORTEST_SECONDS,
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
from tests.open_quarantine import open_quarantine

REQUEST = PlainRequest("r", "POST", "/p", "h", (), b"")
DRAWS = 50


class ReturnTimeTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory_of(a=ScriptedPool(), b=ScriptedPool())
        self.servers = self.directory.of_service(SERVICE)

    def drawn(self, servers=None):
        now = steady_seconds()
        known = self.servers if servers is None else servers
        return [estimate_retry_after(known, now) for _ in range(DRAWS)]

    def test_full_servers_have_room_after_about_one_request(self):
        for state, seconds in zip(self.servers, (0.4, 0.25), strict=True):
            state.record_response_time(seconds)
            state.refused()
        for wait in self.drawn():
            self.assertTrue(0.25 <= wait <= 0.25 * (1 + JITTER), wait)

    def test_lost_servers_are_asked_again_after_their_pause(self):
        for state in self.servers:
            state.failed()
        for wait in self.drawn():
            self.assertGreater(wait, 0.9 * BASE_EJECTION_SECONDS)
            self.assertLessEqual(wait, BASE_EJECTION_SECONDS * (1 + JITTER))

    def test_no_server_or_only_such_as_have_ended(self):
        for state in self.servers:
            state.note_ended()
        for wait in [*self.drawn(), *self.drawn(servers=[])]:
            self.assertTrue(NO_SERVER_SECONDS <= wait <= NO_SERVER_SECONDS * (1 + JITTER))

    def test_never_too_soon_nor_too_late(self):
        self.servers[0].record_response_time(0.001)
        self.assertGreaterEqual(min(self.drawn()), SHORTEST_SECONDS)
        for state in self.servers:
            for _ in range(20):
                state.failed()
        self.assertLessEqual(max(self.drawn()), LONGEST_SECONDS)

    def test_callers_come_back_spread_over_some_time(self):
        self.assertGreater(len({round(wait, 4) for wait in self.drawn()}), DRAWS // 2)

    def test_answer_times_follow_a_server_that_turns_slow(self):
        state = self.servers[0]
        state.record_response_time(0.02)
        for _ in range(5):
            state.record_response_time(0.2)
        self.assertGreater(state.average_response_seconds, 0.15)


class ReturningCallersTest(unittest.TestCase):
    """Callers with one retry, while all servers of their service start again.

    Of 20 callers that come while the servers are down, the retry served: 0 when told to come back
    after 0.1 s, as all were before; 20 when told what the servers' pause says.
    """

    CALLERS = 20
    DOWN_SECONDS = 0.4

    def setUp(self):
        self.up = False
        self.pools = {name: _Restarting(self) for name in ("a", "b")}
        self.directory = directory_of(**self.pools)
        meter = UsageMeter(5.0, lambda: 1_000.0)
        self.forwarder = Forwarder(
            self.directory, StatusProtocol(), "here", meter, open_quarantine()
        )

    def served(self, told):
        """Return how many callers are served by their one retry."""
        counted = []

        def call():
            error = self.try_once()
            if error is None:
                return
            self.assertIs(error.verdict, Verdict.NOT_RUN)
            gevent.sleep(told if told is not None else error.retry_after_seconds)
            if self.try_once() is None:
                counted.append(1)

        callers = [gevent.spawn(call) for _ in range(self.CALLERS)]
        gevent.sleep(self.DOWN_SECONDS)
        self.up = True
        gevent.joinall(callers, raise_error=True)
        return len(counted)

    def try_once(self):
        try:
            self.forwarder.forward(REQUEST, make_route(), SERVICE, steady_seconds() + 2.0)
        except RunkeelError as error:
            return error
        return None

    def test_told_what_the_servers_pause_says(self):
        self.assertEqual(self.served(None), self.CALLERS)

    def test_told_the_same_whatever_the_load(self):
        self.assertEqual(self.served(0.1), 0)


class _Restarting(ScriptedPool):
    """A server that refuses connections until it is up."""

    def __init__(self, test):
        super().__init__()
        self.test = test

    def _next(self, deadline):
        self.requests += 1
        if not self.test.up:
            raise unreachable()
        return 200


if __name__ == "__main__":
    unittest.main()
