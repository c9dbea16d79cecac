import gevent
from gevent.event import Event

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.wire.codec import decode
from runkeel.wire.generated.common.ttypes import HttpHeader
from runkeel.wire.streams import WINDOW_CREDIT
from tests.wire.cluster import CALL, CHUNK, STREAM, NetworkTestCase, echo

FIRST = HttpHeader("first", "message")


class StreamTest(NetworkTestCase):
    def setUp(self):
        super().setUp()
        self.a = self.network("a")
        self.b = self.network("b")

    def for_each_target(self):
        """Yield a remote peer and the node itself as targets."""
        for target, server in (("b", self.b), ("a", self.a)):
            with self.subTest(target=target):
                yield target, server

    def test_stream_delivers_all_then_the_end(self):
        def produce(stream, first):
            for number in range(1_000):
                stream.send(CHUNK, HttpHeader(first.name, str(number)))

        for target, server in self.for_each_target():
            server.on_stream(STREAM, HttpHeader, produce)
            stream = self.a.open_stream(target, STREAM, FIRST)
            numbers = []
            while True:
                message_type, body = stream.receive(5)
                if not message_type:
                    break
                numbers.append(int(decode(HttpHeader, body).value))
            self.assertEqual(numbers, list(range(1_000)))

    def test_slow_reader_blocks_only_its_own_stream(self):
        for target, server in self.for_each_target():
            sent = []

            def produce(stream, first, sent=sent):
                for number in range(1_000):
                    stream.send(CHUNK, HttpHeader("n", "v"))
                    sent.append(number)

            server.on_stream(STREAM, HttpHeader, produce)
            server.on_call(CALL, HttpHeader, echo)
            stream = self.a.open_stream(target, STREAM, FIRST)
            for _ in range(20):
                self.a.call(target, CALL, FIRST, HttpHeader, 5)
            self.assertEqual(len(sent), WINDOW_CREDIT)
            stream.cancel()

    def test_large_frames_cost_more_credit(self):
        sent = []

        def produce(stream, first):
            for number in range(1_000):
                stream.send(CHUNK, HttpHeader("n", "v" * 160_000))
                sent.append(number)

        self.b.on_stream(STREAM, HttpHeader, produce)
        self.b.on_call(CALL, HttpHeader, echo)
        stream = self.a.open_stream("b", STREAM, FIRST)
        for _ in range(20):
            self.a.call("b", CALL, FIRST, HttpHeader, 5)
        self.assertLess(len(sent), 10)
        stream.cancel()

    def test_cancel_reaches_a_blocked_sender_and_a_blocked_reader(self):
        for target, server in self.for_each_target():
            codes = []
            ready = Event()

            def blocked(stream, first, codes=codes, ready=ready):
                ready.set()
                try:
                    if first.name == "send":
                        for _ in range(10_000):
                            stream.send(CHUNK, FIRST)
                    stream.receive(10)
                except RunkeelError as error:
                    codes.append((error.code, stream.cancelled))

            server.on_stream(STREAM, HttpHeader, blocked)
            for number, name in enumerate(("send", "receive"), start=1):
                ready.clear()
                stream = self.a.open_stream(target, STREAM, HttpHeader(name, ""))
                ready.wait(5)
                stream.cancel()
                self.wait_until(lambda n=number, codes=codes: len(codes) == n)
            self.assertEqual(codes, [(ErrorCode.CANCELLED, True)] * 2)

    def test_return_of_the_handler_unblocks_a_blocked_sender(self):
        for target, server in self.for_each_target():
            server.on_stream(STREAM, HttpHeader, lambda stream, first: gevent.sleep(0.05))
            stream = self.a.open_stream(target, STREAM, FIRST)
            with self.assertRaises(RunkeelError) as caught:
                for _ in range(10_000):
                    stream.send(CHUNK, FIRST)
            self.assertIs(caught.exception.code, ErrorCode.CANCELLED)
            self.assertEqual(stream.receive(5), (0, b""))

    def test_error_arrives_after_messages_sent_before_it(self):
        def fail(stream, first):
            stream.send(CHUNK, FIRST)
            raise RunkeelError(ErrorCode.BACKEND_LOST, "gone")

        for target, server in self.for_each_target():
            server.on_stream(STREAM, HttpHeader, fail)
            stream = self.a.open_stream(target, STREAM, FIRST)
            self.assertEqual(stream.receive(5)[0], CHUNK)
            with self.assertRaises(RunkeelError) as caught:
                stream.receive(5)
            self.assertIs(caught.exception.code, ErrorCode.BACKEND_LOST)

    def test_loss_of_the_peer_ends_the_stream(self):
        ready = Event()

        def hang(stream, first):
            ready.set()
            gevent.sleep(30)

        self.b.on_stream(STREAM, HttpHeader, hang)
        stream = self.a.open_stream("b", STREAM, FIRST)
        ready.wait(5)
        self.b.stop()
        with self.assertRaises(RunkeelError) as caught:
            stream.receive(5)
        self.assertIs(caught.exception.code, ErrorCode.PEER_LOST)
        self.assertTrue(stream.cancelled)

    def test_finished_streams_are_removed(self):
        self.b.on_stream(STREAM, HttpHeader, lambda stream, first: stream.receive(5))
        for _ in range(50):
            stream = self.a.open_stream("b", STREAM, FIRST)
            stream.finish()
            stream.receive(5)
        connections = [*self.b._accepted, *self.a._dialer.connections()]
        self.assertEqual(len(connections), 2)
        self.wait_until(lambda: not any(each._streams for each in connections))
