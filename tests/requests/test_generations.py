"""Generations: whole and streamed answers, cuts, resumption and cancellation."""

from __future__ import annotations

import json
import unittest
from collections import Counter

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from runkeel.api.configuration import EngineRoleSpec, ModelSpec
from runkeel.api.machines import Address, EngineStatus, MachineKind
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.requests.backend_choice import ROLLOUTS_WAITING_PER_ENGINE, Demand, PoolId
from runkeel.wire.generated.requests.ttypes import ModelRequest, RequestEnvelope
from tests.requests.fakes import FakeCluster, machine

TOKENS = 8


class _CuttingHandler(WSGIHandler):
    """Closes the connection on an error, which is raised on purpose here, without a traceback."""

    def handle_error(self, *_arguments) -> None:
        self.close_connection = True


class FakeEngine:
    """Generates the numbers of positions; may cut its streams after some tokens."""

    def __init__(self, version: int) -> None:
        self.version = version
        self.step_seconds = 0.002
        self.cut_after: int | None = None
        self.status = "200 OK"
        self.started: Counter[str] = Counter()
        self.priorities: list[int] = []
        self.cancelled: set[str] = set()
        self._server = WSGIServer(
            ("127.0.0.1", 0), self._answer, log=None, handler_class=_CuttingHandler
        )
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        self._server.stop(timeout=0.005)

    def _answer(self, environ, start_response):
        if environ["REQUEST_METHOD"] == "DELETE":
            self.cancelled.add(environ["PATH_INFO"].rpartition("/")[2])
            start_response("200 OK", [])
            return [b'{"state": "cancelled", "kv_handle": ""}']
        request = json.loads(environ["wsgi.input"].read())
        start_response(self.status, [("Content-Type", "text/event-stream")])
        if self.status != "200 OK":
            return [b"no"]
        self.started[request["request_id"]] += 1
        self.priorities.append(request["priority"])
        return self._events(request)

    def _events(self, request):
        first = len(request["prior_token_ids"])
        for position in range(first, request["max_tokens"]):
            gevent.sleep(self.step_seconds)
            if position - first == self.cut_after:
                raise OSError("cut")
            if request["request_id"] in self.cancelled:
                yield self._event(request, position, [], "cancelled") + b"data: [DONE]\n\n"
                return
            last = position == request["max_tokens"] - 1
            yield self._event(request, position, [position], "length" if last else None)
        yield b"data: [DONE]\n\n"

    def _event(self, request, position, tokens, reason):
        event = {
            "request_id": request["request_id"],
            "position": position,
            "token_ids": tokens,
            "text": "x" * len(tokens),
            "weight_version": self.version,
            "finish_reason": reason,
        }
        return b"data: " + json.dumps(event).encode() + b"\n\n"


def engine_status(version: int, role: str = "mixed") -> EngineStatus:
    return EngineStatus(1, 0.0, 0, 0, 4, 0, 9, True, "draft", version, role, 1, "idle", "")


class GenerationTest(unittest.TestCase):
    """Two nodes, each owning one engine of the model ``draft``, at versions 1 and 2."""

    def setUp(self) -> None:
        self.cluster = FakeCluster(("node-a", "node-b"))
        self.cluster.configuration.models["draft"] = ModelSpec(max_in_flight_per_backend=4)
        self.engines = {}
        for version, name, owner in ((1, "engine-a", "node-a"), (2, "engine-b", "node-b")):
            engine = self.engines[name] = FakeEngine(version)
            self.addCleanup(engine.stop)
            self.cluster.machines.add(
                machine(name, MachineKind.ENGINE, "draft", engine.address), owner
            )
            self.cluster.nodes[owner].engines.statuses[name] = engine_status(version)
        self.node = self.cluster.nodes["node-a"]
        self.cluster.start()
        self.addCleanup(self.cluster.stop)

    def only(self, name: str) -> FakeEngine:
        """Leave one engine for new work."""
        self.cluster.configuration.draining = set(self.engines) - {name}
        return self.engines[name]

    def complete(self, **content):
        return self.node.complete("draft", {"prompt": "p", "max_tokens": TOKENS, **content})

    def request(self, rank: int = 500, repeatable: bool = True, minimum_version: int = 0):
        envelope = RequestEnvelope("r", 0, 5_000, rank, "standard", repeatable, "", "draft", "")
        return ModelRequest(envelope, "p", [], TOKENS, minimum_version, "", "", "")

    def test_whole_answer(self) -> None:
        content = json.loads(self.complete().body)
        self.assertEqual(content["token_ids"], list(range(TOKENS)))
        self.assertEqual(content["text"], "x" * TOKENS)
        self.assertEqual(content["finish_reason"], "length")
        self.assertEqual(sum(item["count"] for item in content["versions"]), TOKENS)

    def test_streamed_answer(self) -> None:
        lines = b"".join(self.complete(stream=True).body).split(b"\n\n")
        events = [json.loads(line[6:]) for line in lines[:-2]]
        self.assertEqual(lines[-2:], [b"data: [DONE]", b""])
        tokens = [token for event in events for token in event["token_ids"]]
        self.assertEqual(tokens, list(range(TOKENS)))
        self.assertEqual(events[-1]["versions"][0]["count"], TOKENS)

    def test_cut_stream_goes_on_elsewhere_with_true_versions(self) -> None:
        for engine in self.engines.values():
            engine.cut_after = 3
        content = json.loads(self.complete().body)
        self.assertEqual(content["token_ids"], list(range(TOKENS)))
        self.assertGreater(len(content["versions"]), 1)
        for item in content["versions"]:
            self.assertEqual(item["count"] % 3, 0 if item["first"] + item["count"] < TOKENS else 2)

    def test_cut_stream_of_a_not_repeatable_generation_is_an_error(self) -> None:
        for engine in self.engines.values():
            engine.cut_after = 3
        with self.assertRaises(RunkeelError) as caught:
            list(self.node.service.dispatcher.generate(self.request(repeatable=False)))
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(sum(sum(e.started.values()) for e in self.engines.values()), 1)

    def test_not_repeatable_generation_runs_once_for_its_key(self) -> None:
        headers = {"idempotency_key": "k", "x_runkeel_repeatable": "false"}
        content = {"prompt": "p", "max_tokens": TOKENS}
        answers = [n.complete("draft", content, **headers) for n in self.cluster.nodes.values()]
        self.assertEqual(answers[0].body, answers[1].body)
        self.assertEqual(sum(sum(e.started.values()) for e in self.engines.values()), 1)

    def test_failure_in_mid_stream_is_told_and_truncates(self) -> None:
        engine = self.only("engine-a")
        engine.cut_after = 3
        body = self.complete(stream=True).body
        received = [next(body)]
        engine.stop()
        self.cluster.configuration.draining = set(self.engines)
        with self.assertRaises(RunkeelError):
            for event in body:
                received.append(event)
        self.assertIn(b'event: error\ndata: {"code"', received[-1])
        self.assertIn(b'"verdict": "may_have_run"', received[-1])
        self.assertNotIn(b"[DONE]", b"".join(received))

    def test_client_that_goes_away_cancels_at_the_engine(self) -> None:
        engine = self.only("engine-b")
        engine.step_seconds = 0.02
        body = self.complete(stream=True).body
        next(body)
        body.close()
        gevent.sleep(0.1)
        self.assertEqual(engine.cancelled, set(engine.started))
        self.assertEqual(self.node.service._entry.in_flight, 0)
        self.assertEqual(self.cluster.nodes["node-b"].service._owner.in_flight, 0)

    def test_client_that_goes_away_while_queued_never_reaches_an_engine(self) -> None:
        engine = self.only("engine-a")
        engine.step_seconds = 0.02
        running = [gevent.spawn(self.complete) for _ in range(4)]
        gevent.sleep(0.03)
        queued = gevent.spawn(self.complete, stream=True)
        gevent.sleep(0.03)
        queued.kill()
        gevent.joinall(running, raise_error=True)
        gevent.sleep(0.05)
        self.assertEqual(sum(engine.started.values()), 4)

    def test_refusing_engine_is_avoided(self) -> None:
        self.engines["engine-a"].status = "503 Service Unavailable"
        for _ in range(6):
            self.assertEqual(self.complete().status, 200)

    def test_minimum_version_role_and_priority(self) -> None:
        dispatcher = self.node.service.dispatcher
        chunks = list(dispatcher.generate(self.request(rank=1_000, minimum_version=2)))
        self.assertEqual({chunk.weight_version for chunk in chunks}, {2})
        self.assertEqual(self.engines["engine-b"].priorities, [1_000])
        self.cluster.configuration.roles["engine-b"] = EngineRoleSpec(role="serve")
        request = self.request(rank=1_000, minimum_version=2)
        request.envelope.request_id = "other"
        with self.assertRaises(RunkeelError) as caught:
            list(dispatcher.generate(request))
        self.assertEqual(caught.exception.code, ErrorCode.NO_BACKEND)

    def test_rollouts_fill_the_slack_and_callers_do_not_wait_for_them(self) -> None:
        engine = self.only("engine-a")
        engine.step_seconds = 0.02
        dispatcher = self.node.service.dispatcher

        def roll_out(number: int) -> None:
            request = self.request(rank=1_000)
            request.envelope.request_id = f"rollout-{number}"
            list(dispatcher.generate(request))

        at_engine = 4 + ROLLOUTS_WAITING_PER_ENGINE
        rollouts = [gevent.spawn(roll_out, number) for number in range(at_engine + 2)]
        with gevent.Timeout(5.0):
            while len(engine.priorities) < at_engine:
                gevent.sleep(0.005)
        self.complete()
        self.assertEqual(engine.priorities[: at_engine + 1], [1_000] * at_engine + [500])
        gevent.joinall(rollouts, raise_error=True)

    def test_rollouts_keep_to_their_share_while_callers_are_present(self) -> None:
        backends = self.node.service._backends
        pool = PoolId(MachineKind.ENGINE, "draft")
        rollout, caller = Demand(pool, 1_000), Demand(pool, 500)
        for _ in range(3):
            backends.take(backends.choose(rollout, callers_present=True), rollout)
        self.assertIsNone(backends.choose(rollout, callers_present=True))
        self.assertIsNotNone(backends.choose(rollout, callers_present=False))
        for _ in range(4):
            backends.take(backends.choose(caller, callers_present=True), caller)
        self.assertIsNone(backends.choose(caller, callers_present=True))

    def test_bad_completions(self) -> None:
        for content in (
            b"{",
            b"\xff\xfe",
            b"[" * 100_000,
            b"[]",
            b"{}",
            {"prompt": 1},
            {"prompt": "p", "max_tokens": 0},
            {"prompt": "p", "max_tokens": True},
            {"prompt": "p", "max_tokens": 10**9},
            {"prompt": "p", "stream": "yes"},
            {"prompt": "p", "surprise": 1},
        ):
            with self.subTest(str(content)[:40]), self.assertRaises(RunkeelError) as caught:
                self.node.complete("draft", content)
            self.assertEqual(caught.exception.code, ErrorCode.BAD_REQUEST)
            self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
