"""Scorers that fail, answer late, or answer for another sample."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace

import gevent
from gevent.pywsgi import WSGIServer

from runkeel.api.machines import Address, Machine, MachineState
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.platform.scorers import ScorerClient
from runkeel.rollouts.scoring import SampleScorer
from tests.rollouts.fakes import FAST
from tests.rollouts.sample_log_writer import make_sample


class ScoringTest(unittest.TestCase):
    def setUp(self) -> None:
        self.faults: list[str] = []
        self.server = WSGIServer(("127.0.0.1", 0), self.answer, log=None)
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def machines(self, kind, pool=None):
        http = Address("127.0.0.1", self.server.server_port)
        return (Machine("scorer-1", kind, "a", "", http, MachineState.LIVE, 1),)

    def answer(self, environ, start_response):
        request = json.loads(environ["wsgi.input"].read())
        answer = {"sample_id": request["sample_id"], "score": len(request["token_ids"])}
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "slow":
            gevent.sleep(5)
        if fault == "crossed":
            answer["sample_id"] = "another"
        if fault == "nan":
            answer["score"] = "nan"
        start_response("503 Busy" if fault == "busy" else "200 OK", [])
        return [b"{" if fault == "broken" else json.dumps(answer).encode()]

    def score(self, *faults: str) -> float:
        self.faults = list(faults)
        options = replace(FAST, scoring_timeout_seconds=0.2)
        scorer = SampleScorer(self, ScorerClient(), options)
        return scorer.score(make_sample(1), "prompt").score

    def test_each_fault_is_tried_again(self):
        for fault in ("busy", "crossed", "nan", "broken", "slow"):
            with self.subTest(fault=fault):
                self.assertEqual(self.score(fault), 50.0)

    def test_a_scorer_that_stays_broken_fails_the_attempt(self):
        with self.assertRaises(RunkeelError) as caught:
            self.score(*["busy"] * FAST.scoring_attempts)
        self.assertEqual(caught.exception.code, ErrorCode.SCORER_FAILED)


if __name__ == "__main__":
    unittest.main()
