import gzip
import json
import unittest

import gevent
from gevent.server import StreamServer

from runkeel.api.machines import Address, MachineKind
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.platform.machine_list import MachineListClient
from runkeel.platform.object_api import ObjectApiClient, ObjectContent

CONTENT = ObjectContent(1, {"default_deadline_ms": 5}, command_ids=("c1",), changed_by="ana")


class PlatformClientTest(unittest.TestCase):
    """Each test gives the raw bytes that the server answers; None closes without an answer."""

    def serve(self, answer, close_listener=False):
        self.requests = []

        def handle(sock, _address):
            if close_listener:
                server.stop_accepting()
                server.socket.close()
            received = b""
            while b"\r\n\r\n" not in received:
                received += sock.recv(65_536)
            self.requests.append(received)
            if answer == "hang":
                gevent.sleep(5)
            elif answer is not None:
                sock.sendall(answer)

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        self.addCleanup(server.stop)
        return Address("127.0.0.1", server.server_port)

    def answer(self, status, body):
        data = json.dumps(body).encode()
        return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(data), data)

    def write(self, address, timeout_seconds=2.0):
        return ObjectApiClient(address).write("service", "a b/ç", CONTENT, 7, timeout_seconds)

    def write_error(self, address, timeout_seconds=2.0) -> Verdict:
        with self.assertRaises(RunkeelError) as caught:
            self.write(address, timeout_seconds)
        self.assertEqual(caught.exception.code, ErrorCode.STORE_UNAVAILABLE)
        return caught.exception.verdict

    def test_refused_connection_proves_that_nothing_ran(self):
        server = StreamServer(("127.0.0.1", 0), lambda *_: None)
        server.start()
        address = Address("127.0.0.1", server.server_port)
        server.stop()
        self.assertEqual(self.write_error(address), Verdict.NOT_RUN)

    def test_connection_refused_on_a_resend_proves_nothing(self):
        address = self.serve(None, close_listener=True)
        self.assertEqual(self.write_error(address), Verdict.MAY_HAVE_RUN)
        self.assertEqual(len(self.requests), 1)

    def test_silence_cut_answers_and_garbage_may_have_run(self):
        cut = self.answer(200, {"kind": "service"})[:-5]
        garbage = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{x}"
        for raw in (None, cut, garbage, b"\x00\xff\r\n\r\n", self.answer(200, {"kind": 1})):
            with self.subTest(raw):
                self.assertEqual(self.write_error(self.serve(raw)), Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.write_error(self.serve("hang"), 0.2), Verdict.MAY_HAVE_RUN)

    def test_server_errors_may_have_run_and_refusals_have_not(self):
        expected = {500: Verdict.MAY_HAVE_RUN, 429: Verdict.MAY_HAVE_RUN, 400: Verdict.NOT_RUN}
        for status, verdict in expected.items():
            with self.subTest(status):
                address = self.serve(self.answer(status, {}))
                self.assertEqual(self.write_error(address), verdict)

    def test_write_is_conditional_and_quotes_the_name(self):
        stored = {"kind": "service", "name": "x", "revision": 9, "content": CONTENT.to_json()}
        result = self.write(self.serve(self.answer(200, stored)))
        self.assertTrue(result.accepted)
        self.assertEqual((result.stored.revision, result.stored.content), (9, CONTENT))
        line = self.requests[0].split(b"\r\n")[0]
        self.assertEqual(line, b"PUT /v1/objects/service/a%20b%2F%C3%A7?expect=7 HTTP/1.1")
        conflict = self.write(self.serve(self.answer(409, {"object": stored})))
        self.assertEqual((conflict.accepted, conflict.stored.revision), (False, 9))

    def test_object_of_another_form_has_no_content(self):
        item = {"kind": "service", "name": "x", "revision": 2, "content": {"free": "text"}}
        body = {"revision": 3, "items": [item], "reset": True}
        result = ObjectApiClient(self.serve(self.answer(200, body))).watch(1, 0.1)
        self.assertEqual((result.items[0].content, result.reset), (None, True))

    def test_machine_list_keeps_readable_entries(self):
        good = {
            "id": "e1",
            "kind": "engine",
            "zone": "hobart-a",
            "pool": "settlement",
            "addresses": {"http": "127.0.0.1:8000"},
            "state": "live",
            "version": 4,
        }
        bad = {"id": "e2", "version": 5, "kind": "mystery"}
        body = {"version": 5, "machines": [good, bad]}
        listed = MachineListClient(self.serve(self.answer(200, body))).poll(0, 0.0)
        parsed = [item.parse() for item in listed.items]
        self.assertEqual(parsed[0].machine.kind, MachineKind.ENGINE)
        self.assertIsNone(parsed[1])

    def test_compressed_answers_are_read_and_cut_ones_refused(self):
        data = gzip.compress(json.dumps({"version": 5, "machines": []}).encode())
        head = b"HTTP/1.1 200 X\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
        client = MachineListClient(self.serve(head % len(data) + data))
        self.assertEqual(client.poll(0, 0.0).version, 5)
        for broken in (data[:-9], b"not gzip"):
            client = MachineListClient(self.serve(head % len(broken) + broken))
            with self.subTest(broken), self.assertRaises(RunkeelError):
                client.poll(0, 0.0)
