"""Fuzzes copies and journals of partial outputs; mutants prove that it finds the target faults."""

import os
import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from runkeel.jobs import partial_output_journal, partial_output_replication
from tests.fuzzing import find_violation
from tests.jobs.partial_output_machine import PartialOutputMachine

FREE_RUNNING = "RUNKEEL_FUZZ_EXAMPLES" in os.environ
EXAMPLES = int(os.environ.get("RUNKEEL_FUZZ_EXAMPLES", "60"))
MUTANT_EXAMPLES = 100
STEPS = 30


def fuzz_settings(examples):
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=not FREE_RUNNING,
        database=None,
        deadline=None,
        phases=[Phase.generate, Phase.shrink] if FREE_RUNNING else [Phase.generate],
    )


def continues_with_gap(output, update):
    """Mutant of _continues that does not detect pieces lost with a message."""
    return output.revision == update.generation


def update_of_any_run(item_id, output, sent):
    """Mutant of make_update that sends a restarted output as a continuation of the previous one."""
    known = replace(sent, revision=output.revision) if sent is not None else None
    return make_update(item_id, output, known)


make_update = partial_output_replication.make_update


class PartialOutputFuzzTest(unittest.TestCase):
    def test_contract_holds(self):
        run_state_machine_as_test(PartialOutputMachine, settings=fuzz_settings(EXAMPLES))

    def check_found(self, target, name, mutant):
        with mock.patch.object(target, name, mutant):
            violation = find_violation(PartialOutputMachine, fuzz_settings(MUTANT_EXAMPLES))
        self.assertIsNotNone(violation)

    def test_joined_runs_are_found(self):
        with mock.patch.object(partial_output_replication, "_continues", continues_with_gap):
            self.check_found(partial_output_replication, "make_update", update_of_any_run)

    def test_gaps_are_found(self):
        self.check_found(partial_output_replication, "_continues", continues_with_gap)

    def test_contract_holds_without_checksums(self):
        def ignore_checksum(body, clock):
            return 0

        with mock.patch.object(partial_output_journal, "_checksum", ignore_checksum):
            # Decompression still detects a truncated record.
            run_state_machine_as_test(PartialOutputMachine, settings=fuzz_settings(EXAMPLES // 3))


if __name__ == "__main__":
    unittest.main()
