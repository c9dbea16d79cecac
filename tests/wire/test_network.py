import socket

import gevent
from gevent.event import Event

from runkeel.api.machines import Address
from runkeel.errors import ErrorCode, RunkeelError, Verdict, not_run
from runkeel.wire.codec import decode
from runkeel.wire.generated.common.ttypes import HttpHeader
from tests.wire.cluster import CALL, CHUNK, STREAM, NetworkTestCase, ScriptedLinkPolicy, echo


class CallTest(NetworkTestCase):
    def setUp(self):
        super().setUp()
        self.a = self.network("a")
        self.b = self.network("b")

    def call(self, target="b", value="x", timeout=5.0, caller=None):
        message = HttpHeader("name", value)
        return (caller or self.a).call(target, CALL, message, HttpHeader, timeout)

    def assert_fails(self, code, verdict, action):
        with self.assertRaises(RunkeelError) as caught:
            action()
        self.assertEqual((caught.exception.code, caught.exception.verdict), (code, verdict))

    def test_reply_of_a_peer_and_of_this_node(self):
        self.b.on_call(CALL, HttpHeader, echo)
        self.a.on_call(CALL, HttpHeader, echo)
        self.assertEqual(self.call(), HttpHeader("a", "x"))
        self.assertEqual(self.call("a"), HttpHeader("a", "x"))

    def test_large_message(self):
        self.b.on_call(CALL, HttpHeader, echo)
        value = "x" * 9_000_000
        self.assertEqual(self.call(value=value).value, value)

    def test_too_large_message_is_not_run(self):
        self.b.on_call(CALL, HttpHeader, echo)
        action = lambda: self.call(value="x" * 17 * 1024 * 1024)  # noqa: E731
        self.assert_fails(ErrorCode.PROTOCOL_ERROR, Verdict.NOT_RUN, action)

    def test_concurrent_calls_get_their_own_replies(self):
        def slow_echo(peer, request):
            gevent.sleep(0.01 if int(request.value) % 2 else 0.0)
            return echo(peer, request)

        self.b.on_call(CALL, HttpHeader, slow_echo)
        tasks = [gevent.spawn(self.call, value=str(number)) for number in range(200)]
        gevent.joinall(tasks, timeout=10, raise_error=True)
        self.assertEqual([int(task.value.value) for task in tasks], list(range(200)))

    def test_errors_of_the_handler_keep_code_verdict_and_retry_after(self):
        def refuse(peer, request):
            raise not_run(ErrorCode.QUEUE_FULL, "full", 1.5)

        for network in (self.a, self.b):
            network.on_call(CALL, HttpHeader, refuse)
        for target in ("a", "b"):
            with self.assertRaises(RunkeelError) as caught:
                self.call(target)
            self.assertIs(caught.exception.code, ErrorCode.QUEUE_FULL)
            self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
            self.assertEqual(caught.exception.retry_after_seconds, 1.5)

    def test_crash_of_the_handler_may_have_run(self):
        self.b.on_call(CALL, HttpHeader, lambda peer, request: 1 / 0)
        self.assert_fails(ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, self.call)

    def test_message_type_without_a_handler_is_not_run(self):
        self.assert_fails(ErrorCode.PROTOCOL_ERROR, Verdict.NOT_RUN, self.call)

    def test_timeout_after_the_send_may_have_run(self):
        release = Event()
        for network in (self.a, self.b):
            network.on_call(CALL, HttpHeader, lambda peer, request: release.wait(5) and echo)
        for target in ("a", "b"):
            action = lambda target=target: self.call(target, timeout=0.1)  # noqa: E731
            self.assert_fails(ErrorCode.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, action)

    def test_unreachable_peer_is_not_run_and_fails_fast_in_backoff(self):
        unused = socket.create_server(("127.0.0.1", 0))
        address = Address("127.0.0.1", unused.getsockname()[1])
        unused.close()
        self.addresses["gone"] = (address, "zone-1")
        for target in ("gone", "gone", "unknown"):
            action = lambda target=target: self.call(target)  # noqa: E731
            self.assert_fails(ErrorCode.PEER_UNREACHABLE, Verdict.NOT_RUN, action)

    def test_reconnecting_does_not_wait_for_the_backoff(self):
        """Guards against a peer that seems silent for seconds after a partition."""
        address = self.b.address
        self.b.stop()
        for _ in range(8):
            self._dial_without_backoff()
        restarted = self.network("b", address=address)
        restarted.on_call(CALL, HttpHeader, echo)
        self.assert_fails(ErrorCode.PEER_UNREACHABLE, Verdict.NOT_RUN, self.call)
        self.a.reconnect("b")
        self.assertEqual(self.call().value, "x")

    def test_call_that_waits_for_a_discarded_dial_uses_the_new_connection(self):
        """Guards against calls that fail with a dial into a partition although it has healed."""
        self.b.on_call(CALL, HttpHeader, echo)
        stalled = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(stalled.close)
        address = self.addresses["b"]
        self.addresses["b"] = (Address("127.0.0.1", stalled.getsockname()[1]), "zone-1")
        waiting = gevent.spawn(self.call, timeout=1.0)
        gevent.sleep(0.1)
        self.addresses["b"] = address
        self.a.reconnect("b")
        self.assertEqual(self.call().value, "x")
        self.assertEqual(waiting.get(timeout=5.0).value, "x")

    def _dial_without_backoff(self):
        """Make a dial that fails, so that the next backoff is longer."""
        self.a._dialer.reset_backoff("b")
        self.assert_fails(ErrorCode.PEER_UNREACHABLE, Verdict.NOT_RUN, self.call)

    def test_peer_loss_after_the_send_may_have_run_and_calls_work_after_its_restart(self):
        started = Event()

        def hang(peer, request):
            started.set()
            gevent.sleep(30)

        self.b.on_call(CALL, HttpHeader, hang)
        task = gevent.spawn(self.call)
        started.wait(5)
        address = self.b.address
        self.b.stop()
        self.assert_fails(ErrorCode.PEER_LOST, Verdict.MAY_HAVE_RUN, lambda: task.get(timeout=5))
        restarted = self.network("b", address=address)
        restarted.on_call(CALL, HttpHeader, echo)
        self.wait_until(lambda: self._reachable())

    def _reachable(self):
        try:
            return self.call().value == "x"
        except RunkeelError as error:
            self.assertIs(error.verdict, Verdict.NOT_RUN)
            return False

    def test_wrong_key_wrong_node_and_garbage_are_refused(self):
        self.b.on_call(CALL, HttpHeader, echo)
        other_key_node = self.network("stranger", key=b"other")
        action = lambda: self.call(caller=other_key_node)  # noqa: E731
        self.assert_fails(ErrorCode.PEER_UNREACHABLE, Verdict.NOT_RUN, action)
        self.addresses["c"] = self.addresses["b"]
        action = lambda: self.call("c")  # noqa: E731
        self.assert_fails(ErrorCode.PEER_UNREACHABLE, Verdict.NOT_RUN, action)
        with socket.create_connection((self.b.address.host, self.b.address.port)) as garbage:
            garbage.sendall(b"GET / HTTP/1.1\r\n\r\n" * 10)
            garbage.settimeout(5)
            self.assertFalse(garbage.recv(1))
        self.assertEqual(self.call().value, "x")


class LinkPolicyTest(NetworkTestCase):
    def setUp(self):
        super().setUp()
        self.policy = ScriptedLinkPolicy()
        self.a = self.network("a", "zone-1", policy=self.policy)
        self.b = self.network("b", "zone-2", policy=self.policy)
        self.b.on_call(CALL, HttpHeader, echo)

    def test_partition_before_the_send_is_not_run_and_recovers(self):
        message = HttpHeader("n", "v")
        self.a.call("b", CALL, message, HttpHeader, 5)
        self.policy.partitioned = True
        with self.assertRaises(RunkeelError) as caught:
            self.a.call("b", CALL, message, HttpHeader, 5)
        self.assertIs(caught.exception.code, ErrorCode.PEER_UNREACHABLE)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.policy.partitioned = False
        self.wait_until(lambda: self._reachable(message))

    def _reachable(self, message):
        try:
            return self.a.call("b", CALL, message, HttpHeader, 1)
        except RunkeelError:
            return False

    def test_withdrawn_call_never_runs(self):
        message = HttpHeader("n", "v")
        ran = []
        self.b.on_call(CALL, HttpHeader, lambda peer, request: ran.append(1) or echo(peer, request))
        self.a.call("b", CALL, message, HttpHeader, 5)
        self.policy.partitioned = True
        with self.assertRaises(RunkeelError) as caught:
            self.a.call("b", CALL, message, HttpHeader, 0.2)
        self.assertIs(caught.exception.code, ErrorCode.DEADLINE_EXCEEDED)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.policy.partitioned = False
        self.wait_until(lambda: self._reachable(message))
        self.assertEqual(len(ran), 2)

    def test_delayed_frames_keep_their_order(self):
        self.policy.delay = 0.02
        seen = []

        def collect(stream, first):
            while True:
                message_type, body = stream.receive(5)
                if not message_type:
                    return
                seen.append(int(decode(HttpHeader, body).value))

        self.b.on_stream(STREAM, HttpHeader, collect)
        stream = self.a.open_stream("b", STREAM, HttpHeader("n", "v"))
        for number in range(50):
            stream.send(CHUNK, HttpHeader("n", str(number)))
        stream.finish()
        self.assertEqual(stream.receive(5), (0, b""))
        self.assertEqual(seen, list(range(50)))
