import unittest
from unittest import mock

from runkeel.pauses import PAUSE_THRESHOLD_SECONDS, PauseDetector

SETTLE_SECONDS = 2.0


class PauseDetectorTest(unittest.TestCase):
    def test_a_jump_of_the_clock_unsettles_for_a_while(self):
        clock = mock.Mock(return_value=100.0)
        detector = PauseDetector(clock)
        self.assertTrue(detector.settled(SETTLE_SECONDS))
        clock.return_value += PAUSE_THRESHOLD_SECONDS / 2
        self.assertTrue(detector.settled(SETTLE_SECONDS))
        clock.return_value += PAUSE_THRESHOLD_SECONDS * 2
        self.assertFalse(detector.settled(SETTLE_SECONDS))
        for _ in range(int(SETTLE_SECONDS / PAUSE_THRESHOLD_SECONDS) + 1):
            clock.return_value += PAUSE_THRESHOLD_SECONDS
            detector.epoch()
        self.assertTrue(detector.settled(SETTLE_SECONDS))
        self.assertEqual(1, detector.epoch())
