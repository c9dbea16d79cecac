"""A caller against a server that misbehaves in each way that a caller must notice."""

import json
import unittest

from gevent.pywsgi import WSGIServer

from runkeel.api.machines import Address
from runkeel_lab.http_client import HttpClient
from runkeel_lab.load.caller import Caller, NodeTarget
from runkeel_lab.load.classes import CallerClass
from runkeel_lab.load.plans import plan_calls
from runkeel_lab.load.records import CallRecord, Outcome
from runkeel_lab.processes import free_ports
from runkeel_lab.tokens import token_at


def planned(kind: str):
    caller_class = CallerClass(
        name="c", kind=kind, pool="p", rate=50, attempts=2, retry_wait_ms=0, deadline_ms=1000
    )
    return next(plan_calls(caller_class, 1, 10.0))


class CallerTest(unittest.TestCase):
    def setUp(self):
        self.requests: list[dict] = []
        self.answers: list[tuple[str, str, list[bytes]]] = []
        self._server = WSGIServer(("127.0.0.1", 0), self._serve, log=None)
        self._server.start()
        self.addCleanup(self._server.stop, 0)
        self.target = NodeTarget("n", HttpClient(Address("127.0.0.1", self._server.server_port)))
        self.addCleanup(self.target.client.close)

    def _serve(self, environ, start_response):
        self.requests.append(environ)
        status, content_type, body = self.answers[min(len(self.requests), len(self.answers)) - 1]
        start_response(status, [("Content-Type", content_type)])
        return body

    def _run(self, kind: str, *targets: NodeTarget) -> CallRecord:
        return Caller(targets or (self.target,), 0.0).run(planned(kind), 0, 0.0)

    def _json(self, content: dict, status: str = "200 OK", kind: str = "application/json"):
        self.answers.append((status, kind, [json.dumps(content).encode()]))

    def _problem(self, status: str, code: str, verdict: str):
        content = {"code": code, "verdict": verdict, "request_id": "r"}
        self._json(content, status, "application/problem+json")

    def _stream(self, tokens: list[int], version: int, done: bool = True, own: bool = True):
        text = [
            {"request_id": "r", "position": 0, "token_ids": tokens[:1], "finish_reason": None},
            {
                "request_id": "r" if own else "other",
                "position": 1,
                "token_ids": tokens[1:],
                "finish_reason": "stop",
                "versions": [{"version": version, "first": 0, "count": len(tokens)}],
            },
        ]
        events = [f"data: {json.dumps(event)}\n\n".encode() for event in text]
        self.answers.append(("200 OK", "text/event-stream", events + [b"data: [DONE]\n\n"] * done))

    def _tokens(self, version: int) -> list[int]:
        prompt = planned("draft_stream").prompt
        length = int(prompt.partition("[stop=")[2].rstrip("]"))
        return [token_at("p", version, prompt, position) for position in range(length)]

    def test_own_answer(self):
        self._json({"key": planned("lookup").nonce})
        record = self._run("lookup")
        self.assertEqual((record.outcome, record.crossed), (Outcome.ANSWERED, False))

    def test_crossed_answer(self):
        self._json({"key": "another's"})
        self.assertTrue(self._run("lookup").crossed)

    def test_answer_that_is_no_json(self):
        self.answers.append(("200 OK", "application/json", [b'{"key": ']))
        self.assertTrue(self._run("lookup").incomplete)

    def test_retry_carries_the_same_key(self):
        self._problem("503 Busy", "queue_full", "not_run")
        self._json({"key": planned("reserve").nonce})
        record = self._run("reserve")
        self.assertEqual((record.outcome, len(record.attempts)), (Outcome.ANSWERED, 2))
        keys = {environ["HTTP_IDEMPOTENCY_KEY"] for environ in self.requests}
        self.assertEqual(keys, {record.nonce})

    def test_proof_about_the_last_attempt_does_not_settle_an_earlier_one(self):
        self._problem("504 Late", "deadline_exceeded", "may_have_run")
        self._problem("503 Busy", "queue_full", "not_run")
        self.assertEqual(self._run("reserve").outcome, Outcome.MAY_HAVE_RUN)

    def test_refused_throughout(self):
        self._problem("503 Busy", "queue_full", "not_run")
        self.assertEqual(self._run("reserve").outcome, Outcome.NOT_RUN)

    def test_nobody_listens(self):
        port = free_ports(1)[0]
        nobody = NodeTarget("nobody", HttpClient(Address("127.0.0.1", port)))
        self.assertEqual(self._run("reserve", nobody).outcome, Outcome.NOT_RUN)

    def test_error_status_without_a_verdict(self):
        self.answers.append(("500 Oops", "text/plain", [b"oops"]))
        self.assertEqual(self._run("lookup").outcome, Outcome.REFUSED)

    def test_whole_stream(self):
        self._stream(self._tokens(3), 3)
        record = self._run("draft_stream")
        faults = (record.crossed, record.incomplete, record.wrong_tokens)
        self.assertEqual((record.outcome, faults), (Outcome.ANSWERED, (False, False, False)))
        self.assertEqual(record.versions, [3])

    def test_stream_without_its_end_is_lost(self):
        self._stream(self._tokens(3), 3, done=False)
        self.assertEqual(self._run("draft_stream").outcome, Outcome.LOST)

    def test_short_stream_with_a_good_end_is_incomplete(self):
        self._stream(self._tokens(3)[:-1], 3)
        self.assertTrue(self._run("draft_stream").incomplete)

    def test_stream_with_another_version_than_it_claims(self):
        self._stream(self._tokens(3), 4)
        self.assertTrue(self._run("draft_stream").wrong_tokens)

    def test_stream_with_another_requests_event(self):
        self._stream(self._tokens(3), 3, own=False)
        self.assertTrue(self._run("draft_stream").crossed)
