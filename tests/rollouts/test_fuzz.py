"""Stateful fuzzing of exactly-once delivery, and proof that it sees what it is meant to see."""

from __future__ import annotations

import os
import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from runkeel.rollouts.delivery import DeliveryLog
from runkeel.rollouts.generation import TokenAccumulator
from runkeel.rollouts.hand_over import StepDelivery
from runkeel.rollouts.staleness_manager import StalenessManager
from tests.fuzzing import find_violation
from tests.rollouts.fuzz_machine import RolloutMachine

EXAMPLES = int(os.environ.get("RUNKEEL_FUZZ_EXAMPLES", "150"))
MUTANT_EXAMPLES = 1_500
STEPS = 40


def fuzz_settings(examples: int, phases: tuple[Phase, ...]) -> settings:
    return settings(
        derandomize="RUNKEEL_FUZZ_EXAMPLES" not in os.environ,
        deadline=None,
        max_examples=examples,
        stateful_step_count=STEPS,
        phases=phases,
        database=None,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )


def skip_without_learning(self, cursor: int) -> list[str]:
    """Go on at a cursor without knowing what stands before it."""
    self._entries += [None] * (cursor - self.next_cursor)
    return []


class FuzzTest(unittest.TestCase):
    def test_each_task_once_and_fresh_under_faults(self):
        options = fuzz_settings(EXAMPLES, (Phase.generate, Phase.shrink))
        run_state_machine_as_test(RolloutMachine, settings=options)


class MutantTest(unittest.TestCase):
    """Faults put into the code on purpose, which the machine must find."""

    def assert_found(self, owner, name: str, replacement) -> None:
        with mock.patch.object(owner, name, replacement):
            options = fuzz_settings(MUTANT_EXAMPLES, (Phase.generate,))
            self.assertIsNotNone(find_violation(RolloutMachine, options))

    def test_handing_over_before_the_entry_is_decided(self):
        self.assert_found(DeliveryLog, "_decide", lambda self, proposal: proposal)

    def test_no_staleness_check_at_hand_over(self):
        self.assert_found(StalenessManager, "is_fresh", lambda self, sample, version: True)

    def test_a_new_owner_that_does_not_learn_the_entries(self):
        with mock.patch.object(DeliveryLog, "learn", lambda self: []):
            self.assert_found(DeliveryLog, "skip_to", skip_without_learning)

    def test_a_new_owner_that_forgets_what_expired_entries_named(self):
        self.assert_found(DeliveryLog, "skip_to", skip_without_learning)

    def test_tokens_taken_whatever_their_position(self):
        def add(self, chunk):
            self._extend(chunk.token_ids, chunk.weight_version)
            self.finish_reason = chunk.finish_reason

        self.assert_found(TokenAccumulator, "add", add)

    def test_an_entry_served_without_its_lost_samples(self):
        def serve(self, pull):
            entry = self._log.entry(pull.cursor)
            return self._hand_over(pull, list(self._fetch(entry).values()))

        self.assert_found(StepDelivery, "_serve", serve)


if __name__ == "__main__":
    unittest.main()
