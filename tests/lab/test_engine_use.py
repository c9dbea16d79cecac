"""Tests of the engines' use as their journals show it."""

from __future__ import annotations

import unittest

from runkeel_lab.journals import JournalEvent, Journals
from runkeel_lab.measurements.engine_use import engine_use


def event(at: float, kind: str, position: int, request: str = "r") -> JournalEvent:
    return JournalEvent(at, "e", kind, {"request_id": request, "position": position})


class EngineUseTest(unittest.TestCase):
    def test_only_the_span_counts(self):
        journals = Journals([event(0.0, "started", 0), event(10.0, "finished", 100)])
        use = engine_use(journals, ["e"], 1, 4.0, 6.0)
        self.assertEqual((use.slot_seconds, use.tokens), (2.0, 20.0))

    def test_a_preempted_sequence_is_not_in_the_batch(self):
        journals = Journals(
            [
                event(0.0, "started", 0),
                event(1.0, "preempted", 10),
                event(3.0, "resumed", 10),
                event(4.0, "cancelled", 20),
            ]
        )
        use = engine_use(journals, ["e"], 1, 0.0, 5.0)
        self.assertEqual((use.slot_seconds, use.tokens), (2.0, 20.0))

    def test_other_back_ends_are_left_out(self):
        journals = Journals([event(0.0, "started", 0), event(1.0, "finished", 5)])
        self.assertEqual(engine_use(journals, ["f"], 1, 0.0, 1.0).tokens, 0)
