"""Seeded load and the checks that callers make of their answers."""

import json
import random
import unittest

from runkeel_lab.load.arrivals import LengthDistribution, poisson_arrivals
from runkeel_lab.load.classes import CallerClass
from runkeel_lab.load.plans import plan_calls
from runkeel_lab.tokens import VersionRange, expected_length, token_at, tokens_match

LOOKUPS = CallerClass(name="stock", kind="lookup", pool="ledger", rate=100)
RESERVATIONS = CallerClass(name="reserve", kind="reserve", pool="ledger", rate=100)
DRAFTS = CallerClass(name="draft", kind="draft_stream", pool="allocation", rate=100)


class PlanTest(unittest.TestCase):
    def test_same_seed_same_plan_other_seed_other_plan(self):
        first = list(plan_calls(DRAFTS, 1, 2.0))
        self.assertEqual(first, list(plan_calls(DRAFTS, 1, 2.0)))
        self.assertNotEqual(first, list(plan_calls(DRAFTS, 2, 2.0)))

    def test_only_what_may_not_repeat_carries_a_key(self):
        for call in plan_calls(LOOKUPS, 1, 1.0):
            self.assertNotIn("Idempotency-Key", call.headers)
            self.assertEqual(call.headers["X-Runkeel-Repeatable"], "true")
        calls = list(plan_calls(RESERVATIONS, 1, 1.0))
        keys = {call.headers["Idempotency-Key"] for call in calls}
        self.assertEqual(len(keys), len(calls))
        self.assertEqual({call.headers["X-Runkeel-Repeatable"] for call in calls}, {"false"})

    def test_prompts_are_distinct_and_state_their_length(self):
        calls = list(plan_calls(DRAFTS, 1, 2.0))
        self.assertEqual(len({call.prompt for call in calls}), len(calls))
        for call in calls:
            self.assertIn("[stop=", call.prompt)
            self.assertTrue(json.loads(call.body)["stream"])

    def test_arrivals_are_near_their_rate(self):
        count = len(list(poisson_arrivals(random.Random(1), 50.0, 100.0)))
        self.assertAlmostEqual(count, 5_000, delta=300)

    def test_tail_has_its_fraction_and_factor(self):
        lengths = LengthDistribution(median=10, sigma=0.1, tail_fraction=0.01, tail_factor=20)
        source = random.Random(1)
        long = sum(lengths.draw(source) == 200 for _ in range(20_000))
        self.assertAlmostEqual(long, 200, delta=60)


class TokensTest(unittest.TestCase):
    PROMPT = "rice [stop=4]"

    def _tokens(self, *versions: int) -> list[int]:
        return [token_at("m", version, self.PROMPT, i) for i, version in enumerate(versions)]

    def test_true_versions_match(self):
        ranges = (VersionRange(1, 0, 2), VersionRange(2, 2, 2))
        self.assertTrue(tokens_match("m", self.PROMPT, self._tokens(1, 1, 2, 2), ranges))

    def test_a_wrong_label_is_found(self):
        ranges = (VersionRange(1, 0, 3), VersionRange(2, 3, 1))
        self.assertFalse(tokens_match("m", self.PROMPT, self._tokens(1, 1, 2, 2), ranges))

    def test_gaps_overlaps_and_missing_labels_are_found(self):
        tokens = self._tokens(1, 1, 1, 1)
        for ranges in (
            (),
            (VersionRange(1, 0, 3),),
            (VersionRange(1, 0, 2), VersionRange(1, 3, 1)),
            (VersionRange(1, 0, 3), VersionRange(1, 2, 2)),
        ):
            self.assertFalse(tokens_match("m", self.PROMPT, tokens, ranges))

    def test_expected_length(self):
        self.assertEqual(expected_length(self.PROMPT, 100), 4)
        self.assertEqual(expected_length(self.PROMPT, 3), 3)
        self.assertEqual(expected_length("rice", 7), 7)
