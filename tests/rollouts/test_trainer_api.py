"""What the routes for trainers accept and refuse."""

from __future__ import annotations

import json
import unittest

from runkeel.api.http import HttpRequest
from runkeel.errors import ErrorCode, RunkeelError, Verdict, not_run
from runkeel.http.problems import problem_response
from tests.rollouts.fakes import MODEL, FakeCluster

TASK = {"task_id": "t1", "group": "g", "prompt": "p", "max_tokens": 2}
STEP = {"step_id": "s1", "tasks": [TASK], "version": 1}


class TrainerApiTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records_error: RunkeelError | None = None
        cluster = FakeCluster(gate=self.fail_records)
        self.addCleanup(cluster.stop)
        self.routes = {}
        cluster.nodes["b1"].service.register(self)

    def add(self, method, pattern, handler) -> None:
        self.routes[method] = handler

    def fail_records(self, _node_id, _when) -> None:
        if self.records_error is not None:
            raise self.records_error

    def submit(self, body, model=MODEL):
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.routes["POST"](HttpRequest("POST", "", "", {}, {}, body, {"model": model}))

    def pull(self, cursor="0", step="s1", **query):
        parameters = {"model": MODEL, "step": step, "cursor": cursor}
        return self.routes["GET"](HttpRequest("GET", "", "", query, {}, b"", parameters))

    def refusal(self, call, *arguments, **named) -> ErrorCode:
        with self.assertRaises(RunkeelError) as caught:
            call(*arguments, **named)
        self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
        return caught.exception.code

    def test_step_is_delivered_in_the_documented_form(self):
        self.submit(STEP)
        batch = json.loads(self.pull(version="1", wait_ms="5000").body)
        sample = batch["samples"][0]
        self.assertEqual((batch["cursor"], batch["last"], len(sample["token_ids"])), (0, True, 2))
        self.assertEqual(sample["versions"], [{"version": 1, "first": 0, "count": 2}])
        self.assertEqual(sample["score"], 2.0)
        end = json.loads(self.pull("1", version="1").body)
        self.assertEqual(end, {"cursor": 1, "samples": [], "last": True})

    def test_pull_tells_for_how_long_the_records_refuse(self):
        self.submit(STEP)
        self.records_error = not_run(ErrorCode.RECORDS_UNAVAILABLE, "retention wait", 42.0)
        with self.assertRaises(RunkeelError) as caught:
            self.pull(version="1", wait_ms="5000")
        answer = problem_response(caught.exception)
        self.assertEqual(answer.status, 503)
        self.assertIn(("Retry-After", "42"), answer.headers)
        self.assertEqual(json.loads(answer.body)["code"], "records_unavailable")
        self.records_error = None
        self.assertEqual(len(json.loads(self.pull(version="1", wait_ms="5000").body)["samples"]), 1)

    def test_broken_submissions_are_refused(self):
        broken = [
            b"\xff",
            b"[]",
            {**STEP, "tasks": []},
            {**STEP, "step_id": "a/b"},
            {**STEP, "version": -1},
            {**STEP, "unknown": 1},
            {**STEP, "tasks": [TASK, TASK]},
            {**STEP, "tasks": [{**TASK, "max_tokens": "2"}]},
        ]
        for body in broken:
            with self.subTest(body=body):
                self.assertEqual(self.refusal(self.submit, body), ErrorCode.BAD_REQUEST)
        self.assertEqual(self.refusal(self.submit, STEP, model="x"), ErrorCode.UNKNOWN_MODEL)
        too_large = b" " * (9 * 1024 * 1024)
        self.assertEqual(self.refusal(self.submit, too_large), ErrorCode.BODY_TOO_LARGE)

    def test_broken_pulls_are_refused(self):
        self.assertEqual(self.refusal(self.pull, version="1"), ErrorCode.UNKNOWN_STEP)
        self.assertEqual(self.refusal(self.pull), ErrorCode.BAD_REQUEST)
        self.assertEqual(self.refusal(self.pull, version="²"), ErrorCode.BAD_REQUEST)
        self.assertEqual(self.refusal(self.pull, "-1", version="1"), ErrorCode.BAD_CURSOR)


if __name__ == "__main__":
    unittest.main()
