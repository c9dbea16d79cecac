"""How the end of an engine's stream decides whether a generation is complete."""

import contextlib
import unittest

import gevent
from gevent.event import AsyncResult
from gevent.server import StreamServer

from runkeel.api.backend_protocol import GenerationEvent, GenerationRequest, ResponseClass
from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.backends.http_connection import OutgoingRequest
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendState
from runkeel.gateway.event_order import MAX_EVENT_BYTES
from runkeel.jobs.generation_run import (
    MAX_OUTPUT_BYTES,
    GenerationRun,
    PartialOutput,
    RunOutcome,
)
from tests.standalone_quarantine import standalone_quarantine

SERVICE = "engines"
RUN_SECONDS = 5.0
FOREIGN_STATUS = 299
"""Status of responses that belong to another request."""


class LineProtocol:
    """An event's text is both its id and its data."""

    def encode_generation(self, request, backend, remaining_seconds):
        return OutgoingRequest("POST", request.path, [], request.body)

    def classify(self, request_id, status, headers):
        if status == FOREIGN_STATUS:
            return ResponseClass.FOREIGN
        return ResponseClass.SUCCESS if status == 200 else ResponseClass.FAILURE

    def is_failed_attempt(self, status):
        return status == 500

    def weight_version(self, headers):
        return 1

    def parse_event(self, block):
        text = block.decode()
        return GenerationEvent(text, text, 0, bool(text))


def _wait_for_end(sock):
    """Return how the client ends the connection."""
    try:
        return "closed" if not sock.recv(65_536) else "reused"
    except ConnectionResetError:
        return "reset"


class GenerationRunTest(unittest.TestCase):
    def run_against(self, *chunks, partial=None, pause=0.01, watch_end=False):
        """Run against an engine that sends the chunks and closes the connection."""

        def send(sock, _address):
            sock.recv(65_536)
            with contextlib.suppress(OSError):
                for chunk in chunks:
                    sock.sendall(chunk)
                    gevent.sleep(pause)
                if watch_end:
                    self.connection_end.set(_wait_for_end(sock))

        server = StreamServer(("127.0.0.1", 0), send)
        server.start()
        self.addCleanup(server.stop, 0.005)
        address = Address("127.0.0.1", server.server_port)
        engine = BackendState(Backend("e", SERVICE, address, "z", 8))
        self.addCleanup(engine.pool.close)
        request = GenerationRequest("i", "/p", "h", (), b"")
        watched = standalone_quarantine().watch(lambda: "fingerprint", SERVICE, "i")
        self.partial = partial or PartialOutput()
        self.generation = GenerationRun(
            LineProtocol(), engine, request, watched, self.partial, 1, False
        )
        return self.generation.run(steady_seconds() + RUN_SECONDS)

    def test_engine_is_not_left_at_work_after_a_response_to_another_request(self):
        """Guards against an item that goes on elsewhere while this engine still runs it."""
        self.connection_end = AsyncResult()
        extra = b"HTTP/1.1 299 Late\r\nContent-Length: 3\r\n\r\n1\n\n"
        self.assertIs(self.run_against(extra, watch_end=True), RunOutcome.BROKEN)
        self.assertEqual(self.connection_end.get(timeout=RUN_SECONDS), "reset")

    def test_stream_that_ends_inside_an_event_is_not_complete(self):
        """Guards against half a text that is listed as completed after an engine crashed."""
        for length in (b"", b"Content-Length: 7\r\n"):
            with self.subTest(length):
                head = b"HTTP/1.1 200 OK\r\n" + length + b"\r\n"
                self.assertIs(self.run_against(head, b"1\n\n2\n\n", b"3"), RunOutcome.BROKEN)
                self.assertEqual(self.partial.pieces, ["1", "2"])
                self.assertFalse(self.partial.complete)

    def test_stream_that_ends_between_events_is_complete(self):
        outcome = self.run_against(b"HTTP/1.1 200 OK\r\n\r\n", b"1\n\n2\n", b"\n")
        self.assertIs(outcome, RunOutcome.COMPLETE)
        self.assertEqual(self.partial.pieces, ["1", "2"])

    def test_connection_that_ends_before_any_event_is_not_a_complete_generation(self):
        self.assertIs(self.run_against(b"HTTP/1.1 200 OK\r\n\r\n"), RunOutcome.BROKEN)
        resumed = PartialOutput(["1"], "1", [1])
        outcome = self.run_against(b"HTTP/1.1 200 OK\r\n\r\n", partial=resumed)
        self.assertIs(outcome, RunOutcome.COMPLETE)

    def test_event_without_an_end_is_given_up_at_a_bound_in_bytes(self):
        """Guards against a node whose memory one engine fills."""
        flood = [b"x" * 65_536] * (2 * MAX_EVENT_BYTES // 65_536)
        outcome = self.run_against(b"HTTP/1.1 200 OK\r\n\r\n", b"1\n\n", *flood, pause=0.0)
        self.assertIs(outcome, RunOutcome.BROKEN)
        self.assertIn(str(MAX_EVENT_BYTES), self.generation.detail)
        self.assertEqual(self.partial.pieces, ["1"])

    def test_output_that_could_not_be_stored_is_discarded(self):
        """Guards against an engine that sends events without end."""
        events = [b"x" * 65_536 + b"\n\n"] * (2 * MAX_OUTPUT_BYTES // 65_536)
        outcome = self.run_against(b"HTTP/1.1 200 OK\r\n\r\n", *events, pause=0.0)
        self.assertIs(outcome, RunOutcome.BROKEN)
        self.assertIn(str(MAX_OUTPUT_BYTES), self.generation.detail)
        self.assertEqual(self.partial.pieces, [])


if __name__ == "__main__":
    unittest.main()
