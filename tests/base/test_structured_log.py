"""The structured log is rate-limited and never blocks on its reader."""

import json
import os
import unittest

from runkeel.clock import steady_seconds
from runkeel.structured_log import ByteTokenBucket, LineWriter

LINE_COUNT = 5_000


class DecisionLogTest(unittest.TestCase):
    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)

    def _writer(self, rate=1e9, burst=1e9, reserve=0.0):
        return LineWriter(self.write_end, ByteTokenBucket(rate, burst, reserve))

    def _lines(self):
        os.set_blocking(self.read_end, False)
        return [json.loads(line) for line in os.read(self.read_end, 1 << 20).splitlines()]

    def test_line_is_one_json_object(self):
        self._writer().write({"code": "start", "n": 1}, important=False)
        self.assertEqual(self._lines(), [{"code": "start", "n": 1}])

    def test_slow_reader_does_not_block_writer(self):
        writer = self._writer()
        started = steady_seconds()
        for number in range(LINE_COUNT):
            writer.write({"code": "x" * 100, "n": number}, important=False)
        self.assertLess(steady_seconds() - started, 5.0)

    def test_dropped_lines_are_counted(self):
        writer = self._writer()
        for number in range(LINE_COUNT):
            writer.write({"code": "x" * 100, "n": number}, important=False)
        received = len(os.read(self.read_end, 1 << 20).splitlines())
        writer.write({"code": "after"}, important=False)
        writer.write({"code": "after"}, important=False)
        dropped = sum(line.get("dropped_before", 0) for line in self._lines()[-2:])
        self.assertGreater(dropped, LINE_COUNT - received - 5)

    def test_output_is_limited_to_the_burst(self):
        writer = self._writer(rate=0.0, burst=5_000.0)
        for number in range(LINE_COUNT):
            writer.write({"code": "x" * 100, "n": number}, important=False)
        self.assertLess(len(os.read(self.read_end, 1 << 20)), 5_000)

    def test_warnings_may_use_the_reserve(self):
        writer = self._writer(rate=0.0, burst=5_000.0, reserve=2_000.0)
        for number in range(LINE_COUNT):
            writer.write({"code": "x" * 100, "n": number}, important=False)
        self._lines()
        writer.write({"code": "warning"}, important=True)
        self.assertEqual(self._lines()[-1]["code"], "warning")


if __name__ == "__main__":
    unittest.main()
