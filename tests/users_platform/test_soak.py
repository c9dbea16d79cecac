"""Short fault soaks with fixed seeds; ``runkeel-lab soak`` runs longer ones."""

import tempfile
import unittest
from pathlib import Path

from runkeel_lab.users_platform.soak import Soak
from runkeel_lab.users_platform.trace import read_trace, write_trace

SECONDS = 8.0


class SoakTest(unittest.TestCase):
    def _soak(self, seed):
        report = Soak(seed, SECONDS).run()
        self.assertEqual(report.violations, [])
        self.assertGreater(report.accepted, 0)
        self.assertGreater(report.completed_items, 0)
        self.assertGreater(report.answered, 0)

    def test_recorded_soak_can_be_replayed(self):
        soak = Soak(4, 4.0)
        self.assertEqual(soak.run().violations, [])
        trace = soak.trace()
        self.assertTrue({"job", "request"} < {event.act for event in trace.events})
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            write_trace(path, trace)
            lines = path.read_text().splitlines()
            read = read_trace(path)
        self.assertEqual(len(lines), len(trace.events) + 1)
        self.assertEqual(read.sizes, trace.sizes)
        self.assertEqual(set(map(repr, read.events)), set(map(repr, trace.events)))

    def test_seed_1(self):
        self._soak(1)

    def test_seed_2(self):
        self._soak(2)

    def test_seed_3(self):
        self._soak(3)


if __name__ == "__main__":
    unittest.main()
