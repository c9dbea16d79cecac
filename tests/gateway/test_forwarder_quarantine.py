"""Which requests the forwarders still send after servers have crashed while running them."""

import unittest
from dataclasses import replace

import gevent
from gevent.event import Event

from runkeel.api.backend_protocol import ForwardedRequest
from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.backends.http_connection import Reachability
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.gateway.backends import BackendState
from runkeel.gateway.forwarder import Forwarder
from runkeel.gateway.streams import StreamForwarder
from runkeel.quarantine.crash_detector import LostConnection
from runkeel.quarantine.trials import TrialAnswer
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
from tests.gateway.test_forwarder import REQUEST, make_route
from tests.standalone_quarantine import RETRY_SECONDS, standalone_quarantine


class CrashedPool(ScriptedPool):
    """Refuses connections when probed."""

    reachability = Reachability.REFUSED


def crashing_pools(*names):
    return {name: CrashedPool(lost()) for name in names}


class QuarantineCase(unittest.TestCase):
    def setUp(self):
        self.granted = False
        self.trial_requests = 0
        self.quarantine = standalone_quarantine(self.ask_trial)
        self.ledger = self.quarantine.ledger

    def ask_trial(self, record):
        self.trial_requests += 1
        return TrialAnswer(self.granted, 0.0 if self.granted else RETRY_SECONDS)

    def forward(self, route, pools, request=REQUEST, disconnected=None):
        meter = UsageMeter(5.0, lambda: 1_000.0)
        self.directory = directory_of(**pools)
        forwarder = Forwarder(self.directory, StatusProtocol(), "here", meter, self.quarantine)
        return forwarder.forward(request, route, SERVICE, steady_seconds() + 2.0, disconnected)

    def failure(self, route, pools, request=REQUEST):
        with self.assertRaises(RunkeelError) as caught:
            self.forward(route, pools, request)
        return caught.exception

    def quarantine_request(self):
        fingerprint = self.quarantine.fingerprinter.of_forwarded_request(REQUEST)
        for name in ("x", "y", "z"):
            self.ledger.record_crash(fingerprint, SERVICE, name)
        return fingerprint

    def requests(self, pools):
        return sum(pool.requests for pool in pools.values())


class ForwarderQuarantineTest(QuarantineCase):
    def test_at_most_three_servers_are_crashed_whatever_the_route_allows(self):
        pools = crashing_pools("a", "b", "c", "d", "e")
        error = self.failure(make_route(attempts=5), pools)
        self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.requests(pools), 3)

    def test_quarantined_request_is_rejected_as_not_run(self):
        fingerprint = self.quarantine_request()
        pools = {"a": ScriptedPool(200)}
        error = self.failure(make_route(), pools)
        self.assertEqual(error.code, ErrorCode.REQUEST_QUARANTINED)
        self.assertEqual((error.verdict, error.http_status), (Verdict.NOT_RUN, 503))
        self.assertEqual(error.retry_after_seconds, RETRY_SECONDS)
        self.assertIn(fingerprint, error.detail)
        self.assertEqual(self.requests(pools), 0)

    def test_coordinator_is_not_asked_for_each_quarantined_request(self):
        self.quarantine_request()
        for _ in range(50):
            error = self.failure(make_route(), {"a": ScriptedPool(200)})
        self.assertEqual(self.trial_requests, 1)
        self.assertAlmostEqual(error.retry_after_seconds, RETRY_SECONDS, delta=1.0)

    def test_coordinator_is_asked_again_after_another_crash(self):
        fingerprint = self.quarantine_request()
        self.failure(make_route(), {"a": ScriptedPool(200)})
        self.ledger.record_crash(fingerprint, SERVICE, "w")
        self.failure(make_route(), {"a": ScriptedPool(200)})
        self.assertEqual(self.trial_requests, 2)

    def test_other_requests_are_not_affected(self):
        self.quarantine_request()
        other = ForwardedRequest("r", "POST", "/p", "h", (), b"", tenant="school")
        self.assertEqual(self.forward(make_route(), {"a": ScriptedPool(200)}, other).status, 200)

    def test_trial_is_sent_to_one_server_only(self):
        self.granted = True
        self.quarantine_request()
        pools = crashing_pools("a", "b", "c")
        self.failure(make_route(), pools)
        self.assertEqual(self.requests(pools), 1)

    def test_successful_trial_releases_the_request(self):
        self.granted = True
        fingerprint = self.quarantine_request()
        self.assertEqual(self.forward(make_route(), {"a": ScriptedPool(200)}).status, 200)
        self.assertFalse(self.ledger.get(fingerprint).quarantined)

    def test_trial_refused_by_a_server_is_used_up(self):
        self.granted = True
        self.quarantine_request()
        pools = {"a": ScriptedPool(503), "b": ScriptedPool(503)}
        self.failure(make_route(), pools)
        self.assertEqual(self.trial_requests, self.requests(pools))

    def test_trial_that_reached_no_server_continues_and_is_returned(self):
        self.granted = True
        fingerprint = self.quarantine_request()
        self.ledger.record_trial(fingerprint)
        pools = {name: ScriptedPool(unreachable()) for name in ("a", "b")}
        self.failure(make_route(), pools)
        self.assertEqual((self.trial_requests, self.requests(pools)), (1, 2))
        self.assertEqual(self.ledger.get(fingerprint).trials_used, 0)

    def test_suspected_request_is_not_hedged(self):
        fingerprint = self.quarantine.fingerprinter.of_forwarded_request(REQUEST)
        self.ledger.record_crash(fingerprint, SERVICE, "x")
        pools = {name: ScriptedPool(after(0.1, 200)) for name in ("a", "b")}
        self.forward(make_route(target=0.02), pools)
        self.assertEqual(self.requests(pools), 1)

    def test_lost_connection_to_a_running_server_is_no_crash(self):
        pools = {"a": ScriptedPool(lost()), "b": ScriptedPool(lost())}
        self.failure(make_route(attempts=2), pools)
        self.assertEqual(len(self.ledger), 0)

    def test_unresponsive_server_that_disappears_has_crashed(self):
        self.failure(make_route(attempts=1), {"a": ScriptedPool(unresponsive)})
        self.assertEqual(len(self.ledger), 0)
        self.quarantine.crash_detector.backend_gone(self.directory.get("a"))
        self.assertEqual(len(self.ledger), 1)

    def test_server_that_disappears_after_a_client_disconnect_has_crashed(self):
        """A client that disconnects early must not hide which request crashes servers."""
        disconnected = Event()
        gevent.spawn_later(0.05, disconnected.set)
        with self.assertRaises(RunkeelError):
            self.forward(
                make_route(attempts=1), {"a": ScriptedPool(unresponsive)}, disconnected=disconnected
            )
        gevent.sleep(0)
        self.quarantine.crash_detector.backend_gone(self.directory.get("a"))
        self.assertEqual(len(self.ledger), 1)

    def test_server_restarted_under_the_same_id_has_crashed(self):
        """Guards against missing the crash of a server that restarts under the same id."""
        self.failure(make_route(attempts=1), {"a": ScriptedPool(lost())})
        before = self.directory.get("a")
        self.assertEqual(len(self.ledger), 0)
        before.pool.abort = lambda: None
        self.directory.on_incarnation_end(self.quarantine.crash_detector.backend_restarted)
        self.directory.put(replace(before.backend, start="2000"), 2)
        (record,) = self.ledger.records()
        self.assertEqual(record.crashed_servers, {"a"})

    def test_restart_of_a_drained_server_is_no_crash(self):
        self.failure(make_route(attempts=1), {"a": ScriptedPool(lost())})
        state = self.directory.get("a")
        state.backend = replace(state.backend, draining=True)
        self.quarantine.crash_detector.backend_restarted(state)
        self.assertEqual(len(self.ledger), 0)

    def test_connection_lost_after_the_restart_is_known(self):
        """The update of the directory may arrive before the connection closes."""
        fingerprint = self.quarantine.fingerprinter.of_forwarded_request(REQUEST)
        self.failure(make_route(attempts=1), {"a": ScriptedPool(unresponsive)})
        state = self.directory.get("a")
        state.replaced = True
        self.quarantine.crash_detector.classify(
            LostConnection("r", fingerprint, SERVICE, state, steady_seconds())
        )
        self.assertEqual(len(self.ledger), 1)

    def test_three_incarnations_of_one_id_count_as_three_servers(self):
        fingerprint = self.quarantine.fingerprinter.of_forwarded_request(REQUEST)
        for start in ("1000", "2000", "3000"):
            backend = Backend("a", SERVICE, Address("127.0.0.1", 1), "here", start=start)
            state = BackendState(backend)
            state.replaced = True
            self.quarantine.crash_detector.classify(
                LostConnection("r", fingerprint, SERVICE, state, steady_seconds())
            )
        self.assertTrue(self.ledger.get(fingerprint).quarantined)

    def test_server_that_responded_since_has_not_crashed(self):
        self.failure(make_route(attempts=1), {"a": ScriptedPool(lost())})
        state = self.directory.get("a")
        state.record_call_success()
        self.quarantine.crash_detector.backend_gone(state)
        self.assertEqual(len(self.ledger), 0)


class HedgeQuarantineTest(QuarantineCase):
    """Attempts that were cancelled because another attempt succeeded."""

    def test_server_that_disappears_after_a_successful_hedge_is_not_counted(self):
        pools = {name: ScriptedPool(unresponsive) for name in ("a", "b")}
        pools["c"] = ScriptedPool(200)
        self.forward(make_route(target=0.02), pools)
        gevent.sleep(0)
        for state in self.directory.all():
            self.quarantine.crash_detector.backend_gone(state)
        self.assertEqual(len(self.ledger), 0)


class StreamQuarantineTest(ForwarderQuarantineTest):
    """Runs the same tests for streams."""

    def forward(self, route, pools, request=REQUEST, disconnected=None):
        meter = UsageMeter(5.0, lambda: 1_000.0)
        self.directory = directory_of(**pools)
        forwarder = StreamForwarder(
            self.directory, StatusProtocol(), "here", meter, self.quarantine
        )
        deadline = steady_seconds() + 2.0
        stream = forwarder.open(request, route, SERVICE, deadline, disconnected or Event())
        if not isinstance(stream.body, bytes):
            list(stream.body)
        return stream


if __name__ == "__main__":
    unittest.main()
