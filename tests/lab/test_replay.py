"""A recorded trace against real nodes."""

import tempfile
import unittest
from pathlib import Path

from runkeel_lab.replay import replay_trace

TRACES = Path(__file__).parents[2] / "traces"


class ReplayTest(unittest.TestCase):
    def test_a_restarted_node_knows_its_services_from_the_first_call(self):
        """Found by this trace: its HTTP face answered before the configuration was read."""
        with tempfile.TemporaryDirectory() as folder:
            self.assertTrue(
                replay_trace(TRACES / "food-bank-node-restart.jsonl", Path(folder) / "replay")
            )
