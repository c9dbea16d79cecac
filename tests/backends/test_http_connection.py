"""Verdicts of backend connections, tested against scripted servers."""

from __future__ import annotations

import time
import unittest

import gevent
import gevent.socket
from gevent.queue import Queue
from gevent.server import StreamServer

from runkeel.api.machines import Address
from runkeel.backends.http_connection import (
    HttpConnectionPool,
    HttpResponseStream,
    OutgoingRequest,
)
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict, not_run

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
NO_RESPONSE = b""


class ScriptedServer:
    """Responds to the n-th request of each connection with the n-th item, then closes it."""

    def __init__(self, *responses: bytes) -> None:
        self.responses = responses
        self.connections = 0
        self.ends_after_response = False
        """Whether it stops listening before the connection ends, as a crashed process does."""
        self.requests: list[bytes] = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        self._server.stop(timeout=0.005)

    def _serve(self, sock, _address) -> None:
        self.connections += 1
        for response in self.responses:
            data = b""
            while b"\r\n\r\n" not in data:
                received = sock.recv(65_536)
                if not received:
                    return
                data += received
            self.requests.append(data)
            if self.ends_after_response:
                self._server.close()
            sock.sendall(response)


def _observe_end(sock) -> str:
    """Send part of a response, then return how the client ends the connection."""
    sock.recv(65_536)
    sock.sendall(COMPLETE_RESPONSE[:-1])
    try:
        while sock.recv(65_536):
            pass
    except ConnectionResetError:
        return "reset"
    return "closed"


class HttpConnectionPoolTest(unittest.TestCase):
    def serve(self, *responses: bytes) -> ScriptedServer:
        self.server = ScriptedServer(*responses)
        self.addCleanup(self.server.stop)
        self.pool = HttpConnectionPool(self.server.address, max_response_bytes=100_000)
        self.addCleanup(self.pool.close)
        return self.server

    def get(self, before_send=None, seconds=1.0, method="GET", target="/", accept=None):
        deadline = steady_seconds() + seconds
        return self.pool.request(
            OutgoingRequest(method, target, [("A", "b")]), deadline, before_send, accept
        )

    def assert_fails(self, code: ErrorCode, verdict=Verdict.MAY_HAVE_RUN, **arguments) -> None:
        with self.assertRaises(RunkeelError) as caught:
            self.get(**arguments)
        self.assertEqual((caught.exception.code, caught.exception.verdict), (code, verdict))

    def test_keep_alive_connection_is_reused(self) -> None:
        server = self.serve(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        for _ in range(3):
            self.assertEqual(self.get().body, b"hello")
        self.assertEqual(server.connections, 1)
        self.assertIn(b"A: b\r\n", server.requests[0])

    def test_connection_closed_while_idle_is_replaced(self) -> None:
        server = self.serve(COMPLETE_RESPONSE)
        self.get()
        time.sleep(0.02)
        self.assertEqual(self.get().body, b"hello")
        self.assertEqual(server.connections, 2)

    def test_refused_connection_proves_not_run(self) -> None:
        self.serve(COMPLETE_RESPONSE).stop()
        self.assert_fails(ErrorCode.BACKEND_UNREACHABLE, Verdict.NOT_RUN)

    def test_error_before_send_writes_nothing(self) -> None:
        server = self.serve(COMPLETE_RESPONSE)

        def refuse() -> None:
            raise not_run(ErrorCode.WITHDRAWN)

        self.assert_fails(ErrorCode.WITHDRAWN, Verdict.NOT_RUN, before_send=refuse)
        time.sleep(0.02)
        self.assertEqual(server.requests, [])

    def test_connection_lost_before_the_response(self) -> None:
        self.serve(NO_RESPONSE)
        self.assert_fails(ErrorCode.BACKEND_LOST)

    def test_reused_connection_lost_after_the_send_may_have_run(self) -> None:
        self.serve(COMPLETE_RESPONSE, NO_RESPONSE)
        self.get()
        self.assert_fails(ErrorCode.BACKEND_LOST)

    def test_truncated_bodies_are_never_a_short_success(self) -> None:
        for response in (
            COMPLETE_RESPONSE[:-1],
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nhello without any length",
        ):
            with self.subTest(response):
                self.serve(response)
                self.assert_fails(ErrorCode.TRUNCATED_ANSWER)

    def test_close_delimited_response_where_allowed(self) -> None:
        server = self.serve(b"HTTP/1.1 200 OK\r\n\r\nhello without any length")
        self.pool = HttpConnectionPool(server.address, allow_close_delimited=True)
        for _ in range(2):
            self.assertEqual(self.get().body, b"hello without any length")
        # The connection that shows that the server still runs carries the next request.
        self.assertEqual(len(server.requests), 2)
        self.assertLessEqual(server.connections, 3)

    def test_response_delimited_by_the_close_of_a_crashed_server_is_truncated(self) -> None:
        """Guards against half a response that counts as whole after its server crashed."""
        for call in ("request", "stream"):
            with self.subTest(call):
                server = self.serve(b"HTTP/1.1 200 OK\r\n\r\nhello without any length")
                server.ends_after_response = True
                self.pool = HttpConnectionPool(server.address, allow_close_delimited=True)
                if call == "request":
                    self.assert_fails(ErrorCode.TRUNCATED_ANSWER)
                    continue
                deadline = steady_seconds() + 1.0
                stream = self.pool.open_stream(OutgoingRequest("GET", "/"), deadline)
                received = []
                with self.assertRaises(RunkeelError) as caught:
                    received.extend(stream.chunks(deadline))
                self.assertIs(caught.exception.code, ErrorCode.TRUNCATED_ANSWER)
                self.assertEqual(b"".join(received), b"hello without any length")
                stream.close()

    def test_truncated_response_where_close_delimited_is_allowed(self) -> None:
        server = self.serve(COMPLETE_RESPONSE[:-1])
        self.pool = HttpConnectionPool(server.address, allow_close_delimited=True)
        self.assert_fails(ErrorCode.TRUNCATED_ANSWER)

    def test_rejected_response_resets_its_connection(self) -> None:
        server = self.serve(COMPLETE_RESPONSE)
        for _ in range(2):
            self.assert_fails(ErrorCode.BACKEND_LOST, accept=lambda status, headers: False)
        self.assertEqual(server.connections, 2)

    def test_idle_connection_is_discarded_before_the_server_closes_it(self) -> None:
        response = COMPLETE_RESPONSE.replace(b"OK\r\n", b"OK\r\nKeep-Alive: timeout=0\r\n", 1)
        server = self.serve(response, response)
        self.get()
        self.get()
        self.assertEqual(server.connections, 2)

    def test_connection_is_not_reused_after_a_truncated_response(self) -> None:
        server = self.serve(COMPLETE_RESPONSE[:-1])
        for _ in range(2):
            self.assert_fails(ErrorCode.TRUNCATED_ANSWER)
        self.assertEqual(server.connections, 2)

    def test_bytes_after_a_response_never_become_the_next_response(self) -> None:
        next_response = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nWRONG"
        self.serve(COMPLETE_RESPONSE + next_response, COMPLETE_RESPONSE)
        self.assert_fails(ErrorCode.BACKEND_LOST)
        server = self.serve(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        self.get()
        # An idle connection without unread bytes is reused.
        self.pool._idle[0][0].settimeout(1)
        self.assertEqual(self.get().body, b"hello")
        self.assertEqual(server.connections, 1)

    def test_malformed_and_oversized_responses(self) -> None:
        self.serve(b"SSH-2.0-x\r\n\r\n")
        self.assert_fails(ErrorCode.BACKEND_LOST)
        self.serve(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 300_000)
        self.assert_fails(ErrorCode.BACKEND_LOST)

    def test_status_that_http_does_not_define_is_no_response(self) -> None:
        """Guards against waiting for a final response after 000, and returning 600 as one."""
        for status in (b"000", b"001", b"099", b"600", b"999"):
            for length in (b"Content-Length: 5\r\n\r\nhello", b"Content-Length: 0\r\n\r\n"):
                with self.subTest(status, length=length):
                    # With a second response to come, the server keeps the connection open.
                    self.serve(b"HTTP/1.1 " + status + b" Odd\r\n" + length, COMPLETE_RESPONSE)
                    self.assert_fails(ErrorCode.BACKEND_LOST)

    def test_interim_responses_are_skipped_and_every_final_status_is_returned(self) -> None:
        for status in (200, 299, 301, 404, 500, 599):
            with self.subTest(status):
                self.serve(
                    b"HTTP/1.1 199 Wait\r\nA: b\r\n\r\n"
                    + COMPLETE_RESPONSE.replace(b"200", str(status).encode())
                )
                self.assertEqual(self.get().status, status)

    def test_no_response_before_the_deadline(self) -> None:
        server = self.serve(b"HTTP/1.1 100 Continue\r\n\r\n", COMPLETE_RESPONSE)
        self.assert_fails(ErrorCode.DEADLINE_EXCEEDED, seconds=0.05)
        server.stop()
        self.assert_fails(ErrorCode.DEADLINE_EXCEEDED, Verdict.NOT_RUN, seconds=-1)

    def test_connection_of_an_abandoned_request_is_reset(self) -> None:
        listener = gevent.socket.socket()
        self.addCleanup(listener.close)
        listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.pool = HttpConnectionPool(Address("127.0.0.1", listener.getsockname()[1]))
        self.addCleanup(self.pool.close)
        body = b"x" * 4_000_000
        request = OutgoingRequest("POST", "/", [], body)
        with self.assertRaises(RunkeelError):
            self.pool.request(request, steady_seconds() + 0.05)
        accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        received = 0
        with self.assertRaises(ConnectionResetError):
            while data := accepted.recv(65_536):
                received += len(data)
        self.assertLess(received, len(body) // 2)

    def test_connection_of_an_abandoned_stream_is_reset(self) -> None:
        observed_ends = Queue()
        server = StreamServer(
            ("127.0.0.1", 0), lambda sock, _: observed_ends.put(_observe_end(sock))
        )
        server.start()
        self.addCleanup(server.stop, 0.005)
        pool = HttpConnectionPool(Address("127.0.0.1", server.server_port))
        for give_up in (HttpResponseStream.close, HttpResponseStream.abort):
            with self.subTest(give_up):
                request = OutgoingRequest("GET", "/")
                give_up(pool.open_stream(request, steady_seconds() + 1.0))
                self.assertEqual(observed_ends.get(timeout=10.0), "reset")

    def test_line_breaks_cannot_inject_headers(self) -> None:
        self.serve(COMPLETE_RESPONSE)
        self.assert_fails(ErrorCode.BAD_REQUEST, Verdict.NOT_RUN, target="/ HTTP/1.1\r\nX: y")
        self.assert_fails(ErrorCode.BAD_REQUEST, Verdict.NOT_RUN, target="/\u2603")

    def test_head_and_empty_responses(self) -> None:
        self.serve(
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\n\r\n",
        )
        self.assertEqual(self.get(method="HEAD").status, 200)
        self.assertEqual(self.get().status, 204)
        self.assertEqual(self.server.connections, 1)


if __name__ == "__main__":
    unittest.main()
