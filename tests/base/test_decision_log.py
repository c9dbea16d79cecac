"""The decision log is bounded and never waits for its reader."""

import json
import os
import unittest

from runkeel.clock import steady_seconds
from runkeel.decision_log import LineBudget, LineWriter

MANY = 5_000


class DecisionLogTest(unittest.TestCase):
    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)

    def _writer(self, rate=1e9, burst=1e9, reserve=0.0):
        return LineWriter(self.write_end, LineBudget(rate, burst, reserve))

    def _lines(self):
        os.set_blocking(self.read_end, False)
        return [json.loads(line) for line in os.read(self.read_end, 1 << 20).splitlines()]

    def test_line_is_one_json_object(self):
        self._writer().write({"code": "start", "n": 1}, important=False)
        self.assertEqual(self._lines(), [{"code": "start", "n": 1}])

    def test_reader_that_does_not_read_holds_nothing_up(self):
        writer = self._writer()
        started = steady_seconds()
        for number in range(MANY):
            writer.write({"code": "x" * 100, "n": number}, important=False)
        self.assertLess(steady_seconds() - started, 5.0)

    def test_lines_left_out_are_counted(self):
        writer = self._writer()
        for number in range(MANY):
            writer.write({"code": "x" * 100, "n": number}, important=False)
        read = len(os.read(self.read_end, 1 << 20).splitlines())
        writer.write({"code": "after"}, important=False)
        writer.write({"code": "after"}, important=False)
        told = sum(line.get("dropped_before", 0) for line in self._lines()[-2:])
        self.assertGreater(told, MANY - read - 5)

    def test_budget_bounds_the_bytes(self):
        writer = self._writer(rate=0.0, burst=5_000.0)
        for number in range(MANY):
            writer.write({"code": "x" * 100, "n": number}, important=False)
        self.assertLess(len(os.read(self.read_end, 1 << 20)), 5_000)

    def test_warnings_have_a_reserve(self):
        writer = self._writer(rate=0.0, burst=5_000.0, reserve=2_000.0)
        for number in range(MANY):
            writer.write({"code": "x" * 100, "n": number}, important=False)
        self._lines()
        writer.write({"code": "warning"}, important=True)
        self.assertEqual(self._lines()[-1]["code"], "warning")


if __name__ == "__main__":
    unittest.main()
