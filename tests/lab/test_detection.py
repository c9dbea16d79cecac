"""A node that breaks its promises is found out, from real stand-ins' journals."""

import json
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from gevent.pywsgi import WSGIServer

from runkeel.api.machines import Address
from runkeel_lab.http_client import HttpClient
from runkeel_lab.journals import Journals
from runkeel_lab.load.caller import Caller, NodeTarget
from runkeel_lab.load.classes import CallerClass
from runkeel_lab.load.plans import plan_calls
from runkeel_lab.load.records import CallRecord, Outcome
from runkeel_lab.standins.application import Application
from runkeel_lab.standins.server import StandInSettings
from runkeel_lab.verify_callers import CallerVerifier
from runkeel_lab.violations import ViolationKind

Reply = tuple[str, str, bytes]


class DetectionTest(unittest.TestCase):
    """The fake node passes requests on to one application, and then lies in some way."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        options = {"journal": str(self.folder / "ledger-1.jsonl")}
        self.application = Application(StandInSettings("ledger-1", options=options))
        self.application.start()
        self.addCleanup(self.application.stop)
        self.backend = HttpClient(self.application.address)
        self.behave: Callable[[dict], Reply] = self._forward
        self.requests = 0
        node = WSGIServer(("127.0.0.1", 0), self._serve, log=None)
        node.start()
        self.addCleanup(node.stop, 0)
        self.client = HttpClient(Address("127.0.0.1", node.server_port))
        self.addCleanup(self.client.close)

    def _serve(self, environ, start_response):
        self.requests += 1
        status, content_type, body = self.behave(environ)
        identity = ("X-Runkeel-Request-Id", f"request-{self.requests}")
        start_response(status, [("Content-Type", content_type), identity])
        return [body]

    def _forward(self, environ) -> Reply:
        headers = {"X-Request-Id": f"request-{self.requests}", "X-Emulated-Ms": "1"}
        if "HTTP_IDEMPOTENCY_KEY" in environ:
            headers["Idempotency-Key"] = environ["HTTP_IDEMPOTENCY_KEY"]
        path = environ["PATH_INFO"].removeprefix("/v1/services/ledger")
        body = environ["wsgi.input"].read() or None
        answer = self.backend.request(environ["REQUEST_METHOD"], path, body, headers)
        return "200 OK", "application/json", answer.body

    def _problem(self, status: str, verdict: str) -> Reply:
        content = {"code": "x", "verdict": verdict, "request_id": f"request-{self.requests}"}
        return status, "application/problem+json", json.dumps(content).encode()

    def _run(self, kind: str) -> tuple[CallRecord, list[ViolationKind]]:
        caller_class = CallerClass(
            name=f"c-{kind}", kind=kind, pool="ledger", rate=50, attempts=2, retry_wait_ms=0
        )
        call = next(plan_calls(caller_class, 1, 10.0))
        record = Caller([NodeTarget("node", self.client)], 0.0).run(call, 0, 0.0)
        runs = Journals.read(self.folder).executions(["ledger-1"])
        return record, [each.kind for each in CallerVerifier(runs).verify([record])]

    def test_an_honest_node(self):
        for kind in ("lookup", "reserve", "rate"):
            record, kinds = self._run(kind)
            self.assertEqual((record.outcome, kinds), (Outcome.ANSWERED, []), kind)

    def test_a_node_that_sends_twice(self):
        self.behave = lambda environ: (self._forward(dict(environ)), self._forward(environ))[1]
        self.assertEqual(self._run("lookup")[1], [])
        self.assertEqual(self._run("reserve")[1], [ViolationKind.DOUBLED])

    def test_a_node_that_runs_it_and_says_not_run(self):
        def behave(environ) -> Reply:
            self._forward(environ)
            return self._problem("503 Busy", "not_run")

        self.behave = behave
        kinds = self._run("rate")[1]
        self.assertEqual(kinds.count(ViolationKind.FALSE_NOT_RUN), 2)
        self.assertIn(ViolationKind.DOUBLED, kinds)

    def test_a_node_that_forgets_the_key_after_an_unknown_outcome(self):
        def behave(environ) -> Reply:
            reply = self._forward(environ)
            return self._problem("504 Late", "may_have_run") if self.requests == 1 else reply

        self.behave = behave
        self.assertEqual(self._run("reserve")[1], [ViolationKind.DOUBLED])

    def test_a_node_that_invents_an_answer(self):
        def behave(environ) -> Reply:
            key = environ["PATH_INFO"].rpartition("/")[2]
            return "200 OK", "application/json", json.dumps({"key": key}).encode()

        self.behave = behave
        self.assertEqual(self._run("lookup")[1], [ViolationKind.NEVER_RAN])

    def test_a_node_that_crosses_answers(self):
        def behave(environ) -> Reply:
            self._forward(environ)
            other = self.backend.request("GET", "/lookup/another")
            return "200 OK", "application/json", other.body

        self.behave = behave
        self.assertEqual(self._run("lookup")[1], [ViolationKind.CROSSED])
