"""Opening, resuming and aborting relayed streams."""

import unittest

from gevent.event import Event

from runkeel.api.backend_protocol import ForwardedRequest
from runkeel.api.fleet import Route, RouteKind, ServiceShare
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel.gateway.event_order import MAX_EVENT_BYTES
from runkeel.gateway.streams import StreamForwarder
from runkeel.http.frontend import ResponseAbortedError
from runkeel.usage.meter import UsageMeter
from tests.gateway.scripted_servers import (
    SERVICE,
    CloseDelimited,
    ScriptedPool,
    StatusProtocol,
    directory_of,
    lost,
    unreachable,
)
from tests.standalone_quarantine import standalone_quarantine

REQUEST = ForwardedRequest("r", "POST", "/p", "h", (), b"", tenant="parish")


def make_route(resumable=True, attempts=3):
    shares = (ServiceShare(SERVICE, 1.0),)
    return Route(
        "r", "h", "/", RouteKind.STREAM, shares, max_attempts=attempts, resumable=resumable
    )


class StreamForwarderTest(unittest.TestCase):
    def setUp(self):
        self.protocol = StatusProtocol()
        self.meter = UsageMeter(5.0, lambda: 1_000.0)
        self.disconnected = Event()

    def open(self, route, last=(), **pools):
        """Open a stream; the servers in ``last`` are chosen after all others."""
        self.directory = directory_of(**pools)
        for name in last:
            self.directory.get(name).record_call_failure()
        forwarder = StreamForwarder(
            self.directory, self.protocol, "here", self.meter, standalone_quarantine()
        )
        return forwarder.open(REQUEST, route, SERVICE, steady_seconds() + 5.0, self.disconnected)

    @property
    def counted(self):
        return sum(counts.get("parish", 0) for counts in self.meter.windows().values())

    def in_flight(self):
        return sum(state.in_flight for state in self.directory.all())

    def test_events_are_relayed_and_the_slot_is_released(self):
        stream = self.open(make_route(), a=ScriptedPool(200, [b"1\n\n2\n", b"\n3\n\n"]))
        self.assertEqual(b"".join(stream.body), b"1\n\n2\n\n3\n\n")
        self.assertEqual((self.in_flight(), self.counted), (0, 1))

    def test_resumable_stream_continues_after_the_last_complete_event(self):
        broken = ScriptedPool(200, [b"1\n\n2\n\n3", lost()])
        pools = {"a": broken, "b": ScriptedPool(200, [b"3\n\n4\n\n"])}
        stream = self.open(make_route(), last=["b"], **pools)
        self.assertEqual(b"".join(stream.body), b"1\n\n2\n\n3\n\n4\n\n")
        self.assertEqual(self.protocol.resumed_after, [None, "2"])

    def test_stream_without_a_length_that_ends_inside_an_event_is_resumed(self):
        """Guards against half an event, and a stream that ends as whole, after a server crashed."""
        crashed = ScriptedPool(200, CloseDelimited([b"1\n\n2\n\n3"]))
        pools = {"a": crashed, "b": ScriptedPool(200, CloseDelimited([b"3\n\n4\n", b"\n"]))}
        stream = self.open(make_route(), last=["b"], **pools)
        self.assertEqual(b"".join(stream.body), b"1\n\n2\n\n3\n\n4\n\n")
        self.assertEqual(self.protocol.resumed_after, [None, "2"])

    def test_stream_without_a_length_that_ends_inside_an_event_never_ends_as_whole(self):
        for resumable in (True, False):
            for chunks in ([b"1\n\n2"], [b"1\n\n", b"2\n"], [b"1"], []):
                with self.subTest(chunks, resumable=resumable):
                    pool = ScriptedPool(200, CloseDelimited(chunks))
                    stream = self.open(make_route(resumable, attempts=1), a=pool)
                    with self.assertRaises(ResponseAbortedError):
                        list(stream.body)

    def test_stream_without_a_length_that_ends_between_events_is_whole(self):
        for resumable in (True, False):
            for chunks in ([b"1\n\n2\n\n"], [b"1\n", b"\n", b"2\n", b"\n"]):
                with self.subTest(chunks, resumable=resumable):
                    pool = ScriptedPool(200, CloseDelimited(chunks))
                    stream = self.open(make_route(resumable, attempts=1), a=pool)
                    self.assertEqual(b"".join(stream.body), b"1\n\n2\n\n")

    def test_event_without_an_end_is_given_up_at_a_bound_in_bytes(self):
        """Guards against a node whose memory one server fills."""
        flood = [b"1\n\n"] + [b"x" * 65_536] * (2 * MAX_EVENT_BYTES // 65_536)
        pools = {"a": ScriptedPool(200, flood), "b": ScriptedPool(200, [b"2\n\n"])}
        stream = self.open(make_route(), last=["b"], **pools)
        self.assertEqual(b"".join(stream.body), b"1\n\n2\n\n")

    def test_stream_that_cannot_resume_is_aborted_after_the_last_complete_event(self):
        pool = ScriptedPool(200, [b"1\n\n2\n\n3", lost()])
        stream = self.open(make_route(attempts=1), a=pool)
        relayed = []
        with self.assertRaises(ResponseAbortedError):
            relayed.extend(stream.body)
        self.assertEqual(b"".join(relayed), b"1\n\n2\n\n")
        self.assertEqual(self.in_flight(), 0)

    def test_event_out_of_sequence_is_not_relayed(self):
        stream = self.open(make_route(attempts=1), a=ScriptedPool(200, [b"1\n\n3\n\n"]))
        relayed = []
        with self.assertRaises(ResponseAbortedError):
            relayed.extend(stream.body)
        self.assertEqual(relayed, [b"1\n\n"])

    def test_server_is_not_left_at_work_after_a_response_to_another_request(self):
        """Guards against a stream that goes on elsewhere while this server still runs it."""
        pools = {"a": ScriptedPool(299, [b"late"]), "b": ScriptedPool(200, [b"1\n\n"])}
        stream = self.open(make_route(attempts=2), last=["b"], **pools)
        self.assertEqual(b"".join(stream.body), b"1\n\n")
        self.assertTrue(pools["a"].stream.aborted)
        self.assertEqual(self.in_flight(), 0)

    def test_non_resumable_stream_is_not_resumed(self):
        pools = {name: ScriptedPool(200, [b"x", lost()]) for name in ("a", "b")}
        stream = self.open(make_route(resumable=False), **pools)
        with self.assertRaises(ResponseAbortedError):
            list(stream.body)
        self.assertEqual(sum(pool.requests for pool in pools.values()), 1)

    def test_request_that_no_server_accepts_did_not_run(self):
        with self.assertRaises(RunkeelError) as caught:
            self.open(make_route(), a=ScriptedPool(503), b=ScriptedPool(unreachable()))
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual((self.in_flight(), self.counted), (0, 0))

    def test_non_resumable_stream_that_may_have_started_is_not_retried(self):
        pools = {name: ScriptedPool(lost()) for name in ("a", "b")}
        with self.assertRaises(RunkeelError) as caught:
            self.open(make_route(resumable=False), **pools)
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(sum(pool.requests for pool in pools.values()), 1)

    def test_failure_response_is_relayed(self):
        stream = self.open(make_route(attempts=1), a=ScriptedPool(500, [b"why"]))
        self.assertEqual((stream.status, stream.body), (500, b"why"))

    def test_stream_is_not_resumed_after_a_client_disconnect(self):
        broken = ScriptedPool(200, [b"1\n\n", lost()])
        stream = self.open(make_route(), last=["b"], a=broken, b=ScriptedPool())
        self.disconnected.set()
        with self.assertRaises(ResponseAbortedError):
            list(stream.body)
        self.assertEqual(self.directory.get("b").pool.requests, 0)


if __name__ == "__main__":
    unittest.main()
