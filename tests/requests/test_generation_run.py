"""What a generation asks of the engine."""

from __future__ import annotations

import unittest

from runkeel.requests.generation_run import GenerationRun
from runkeel.wire.generated.requests.ttypes import ModelRequest, RequestEnvelope


class PriorityTest(unittest.TestCase):
    def test_callers_keep_their_priority_and_rollouts_share_one(self):
        for rank, expected in ((10, 10), (999, 999), (1_000, 1_000), (1_001, 1_000)):
            envelope = RequestEnvelope(request_id="r", attempt=1, priority_rank=rank, pool="m")
            request = ModelRequest(envelope=envelope, prompt="p", max_tokens=1)
            run = GenerationRun(None, request, lambda: None)
            with self.subTest(rank=rank):
                self.assertEqual(run._completion_request().priority, expected)
