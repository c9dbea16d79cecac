"""Responses without end: bounded in bytes and time, and other tasks run meanwhile.

Other tasks are checked where the flood is read up to the deadline.
"""

import unittest

import gevent

from runkeel.api.machines import Address
from runkeel.backends.http_connection import HttpConnectionPool, OutgoingRequest
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError
from tests.backends.flooding_server import FloodingServer

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
ENDLESS_HEADS = {
    "header line": (STATUS_LINE + b"A: ", b"x"),
    "header lines": (STATUS_LINE, b"A: b\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
}
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_BODIES = {
    "body without a length": (STATUS_LINE + b"\r\n", b"x"),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
    "chunk extension": (CHUNKED + b"1;a=", b"x"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"A: b\r\n"),
}
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_SENT_BYTES = 64 * 1024 * 1024
DEADLINE_SECONDS = 2.0
MIN_TURNS = 3


class EndlessResponseTest(unittest.TestCase):
    def setUp(self):
        self.turns = 0
        ticker = gevent.spawn(self._tick)
        self.addCleanup(ticker.kill)
        gevent.sleep(0)

    def _tick(self):
        while True:
            self.turns += 1
            gevent.sleep(0.001)

    def serve(self, head, endless):
        self.server = FloodingServer(head, endless)
        self.addCleanup(self.server.stop)
        address = Address("127.0.0.1", self.server.port)
        pool = HttpConnectionPool(address, allow_close_delimited=True)
        self.addCleanup(pool.close)
        return pool

    def assert_given_up(self, read):
        """Check that a read fails for the size or the deadline, not when the server closes."""
        with self.assertRaises(RunkeelError) as caught:
            read(steady_seconds() + DEADLINE_SECONDS)
        error = caught.exception
        self.assertIn(error.code, (ErrorCode.BACKEND_LOST, ErrorCode.DEADLINE_EXCEEDED))
        self.assertNotIn("closed by the backend", error.detail)
        return error

    def test_endless_head_is_given_up_at_a_bound_in_bytes(self):
        """Guards against a node that is stopped for good by one server."""
        for name, parts in ENDLESS_HEADS.items():
            for call in ("request", "open_stream"):
                with self.subTest(name, call=call):
                    pool = self.serve(*parts)
                    error = self.assert_given_up(
                        lambda deadline, pool=pool, call=call: getattr(pool, call)(
                            OutgoingRequest("GET", "/"), deadline
                        )
                    )
                    self.assertIs(error.code, ErrorCode.BACKEND_LOST)
                    self.assertLess(self.server.sent_bytes, MAX_SENT_BYTES)

    def test_endless_body_of_a_request_is_given_up(self):
        for name, parts in ENDLESS_BODIES.items():
            with self.subTest(name):
                pool = self.serve(*parts)
                self.assert_given_up(
                    lambda deadline, pool=pool: pool.request(OutgoingRequest("GET", "/"), deadline)
                )

    def test_endless_body_of_a_stream_is_read_no_longer_than_the_deadline(self):
        for name, parts in ENDLESS_BODIES.items():
            with self.subTest(name):
                pool = self.serve(*parts)

                def read(deadline, pool=pool):
                    stream = pool.open_stream(OutgoingRequest("GET", "/"), deadline)
                    try:
                        for _ in stream.chunks(deadline):
                            pass
                    finally:
                        stream.close()

                turns = self.turns
                error = self.assert_given_up(read)
                if error.code is ErrorCode.DEADLINE_EXCEEDED:
                    self.assertGreaterEqual(self.turns - turns, MIN_TURNS)

    def test_endless_body_of_a_failure_is_bounded_in_bytes(self):
        pool = self.serve(b"HTTP/1.1 500 Oops\r\n\r\n", b"x")
        stream = pool.open_stream(OutgoingRequest("GET", "/"), steady_seconds() + DEADLINE_SECONDS)
        error = self.assert_given_up(lambda deadline: stream.read_body(deadline, MAX_BODY_BYTES))
        self.assertIs(error.code, ErrorCode.BACKEND_LOST)
        stream.close()

    def test_data_that_arrived_before_the_deadline_is_read_after_it(self):
        """Guards against responses lost because this process did not run for a while."""
        pool = self.serve(STATUS_LINE + b"\r\n", b"x")
        stream = pool.open_stream(OutgoingRequest("GET", "/"), steady_seconds() + DEADLINE_SECONDS)
        self.addCleanup(stream.close)
        while not self.server.sent_bytes:
            gevent.sleep(0.01)
        past = steady_seconds() - 1.0
        self.assertTrue(stream.read_chunk(past))
        with self.assertRaises(RunkeelError) as caught:
            # The first chunk may have come with the head, without a read of its own.
            for _ in range(2):
                stream.read_chunk(past)
        self.assertIs(caught.exception.code, ErrorCode.DEADLINE_EXCEEDED)


if __name__ == "__main__":
    unittest.main()
