"""The sample log after kills, torn writes, broken bytes and a full bound."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

from runkeel.errors import RunkeelError
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample_log import SampleLog
from tests.rollouts.sample_log_writer import OPTIONS, make_sample

WRITER = Path(__file__).with_name("sample_log_writer.py")
LINES_BEFORE_KILL = 500


class SampleLogTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def open_log(self, options: RolloutOptions = OPTIONS) -> SampleLog:
        log = SampleLog(self.folder, "n", options, lambda: 200.0, lambda: 150.0)
        self.addCleanup(log.close)
        return log

    def recovered(self) -> list[int]:
        log = self.open_log()
        samples = log.recover()
        log.close()
        return [int(sample.task_id[1:]) for sample in samples]

    def segments(self) -> list[Path]:
        return sorted(self.folder.glob("samples-*.log"))

    def test_kill_loses_no_acknowledged_sample(self):
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        command = [sys.executable, str(WRITER), str(self.folder)]
        with subprocess.Popen(command, stdout=subprocess.PIPE, env=environment) as writer:
            lines = [writer.stdout.readline() for _ in range(LINES_BEFORE_KILL)]
            writer.kill()
            lines += writer.stdout.readlines()
        words = [line.decode().split() for line in lines if line.endswith(b"\n")]
        held = {int(number) for word, number in words if word == "held"}
        released = {int(number) for word, number in words if word == "released"}
        self.assertGreater(len(self.segments()), 3)
        recovered = self.recovered()
        missing = held - released - set(recovered)
        # The kill may fall between the writing of a release and its line.
        self.assertLessEqual(missing, {max(held)} if max(held) % 10 == 9 else set())
        self.assertFalse(released & set(recovered))
        self.assertEqual(recovered, sorted(recovered))

    def test_torn_tail_at_every_byte_leaves_a_prefix(self):
        log = self.open_log()
        log.recover()
        log.append(make_sample(0, tokens=3))
        whole = self.segments()[0].stat().st_size
        log.append(make_sample(1, tokens=3))
        log.close()
        data = self.segments()[0].read_bytes()
        path = self.segments()[0]
        for length in range(whole, len(data)):
            path.write_bytes(data[:length])
            self.assertEqual(self.recovered(), [0])
        for position in range(whole, len(data)):
            flipped = bytes([data[position] ^ 0x40])
            path.write_bytes(data[:position] + flipped + data[position + 1 :])
            self.assertEqual(self.recovered(), [0])

    def test_appends_after_a_torn_tail_are_recovered(self):
        log = self.open_log()
        log.recover()
        log.append(make_sample(0))
        log.close()
        path = self.segments()[0]
        path.write_bytes(path.read_bytes() + b"\x07garbage")
        log = self.open_log()
        self.assertEqual(len(log.recover()), 1)
        log.append(make_sample(1))
        log.close()
        self.assertEqual(self.recovered(), [0, 1])

    def test_failed_write_is_cut_off_and_does_not_hide_later_samples(self):
        log = self.open_log()
        log.recover()
        log.append(make_sample(0))
        real_write = os.write
        with mock.patch("os.write", lambda file, data: real_write(file, data[:20])):
            log.append(make_sample(1))
        log.append(make_sample(2))
        log.close()
        self.assertEqual(self.recovered(), [0, 2])

    def test_size_is_bounded_and_released_segments_are_deleted(self):
        log = self.open_log(replace(OPTIONS, log_maximum_bytes=16_384))
        log.recover()
        for number in range(500):
            log.append(make_sample(number))
            total = sum(path.stat().st_size for path in self.segments())
            self.assertLessEqual(total, 16_384)
        log.release([make_sample(number).digest for number in range(500)])
        self.assertLessEqual(len(self.segments()), 1)
        log.close()
        self.assertEqual(self.recovered(), [])

    def test_age_goes_on_while_the_node_is_down(self):
        log = SampleLog(self.folder, "n", OPTIONS, lambda: 105.0, lambda: 105.0)
        log.recover()
        log.append(make_sample(0))
        log.close()
        sample = self.open_log().recover()[0]
        self.assertEqual(sample.age_seconds(200.0, 150.0), 50.0)

    def test_folder_in_use_is_refused(self):
        self.open_log()
        with self.assertRaises(RunkeelError):
            SampleLog(self.folder, "other", OPTIONS)


if __name__ == "__main__":
    unittest.main()
