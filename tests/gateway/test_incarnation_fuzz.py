"""Fuzz test of server restarts; the test detects a directory that keeps outdated state."""

import unittest
from unittest import mock

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from runkeel.gateway import backends
from runkeel.gateway.incarnation_tracker import IncarnationTracker
from tests.fuzzing import find_violation
from tests.gateway.incarnation_machine import IncarnationMachine

OPTIONS = settings(max_examples=150, stateful_step_count=25, deadline=None, derandomize=True)
FEW = settings(max_examples=60, stateful_step_count=25, deadline=None, derandomize=True)


class IncarnationFuzzTest(unittest.TestCase):
    def test_only_the_current_start_counts(self):
        run_state_machine_as_test(IncarnationMachine, settings=OPTIONS)

    def test_keeping_the_state_of_a_previous_start_is_detected(self):
        with mock.patch.object(backends, "_is_replacement", lambda known, backend: False):
            self.assertIsNotNone(find_violation(IncarnationMachine, FEW))

    def test_accepting_an_update_of_a_previous_start_is_detected(self):
        resolve = IncarnationTracker.resolve

        def resolve_without_history(starts, backend, revision):
            for known in starts._known.values():
                known.previous.clear()
            return resolve(starts, backend, revision)

        with mock.patch.object(IncarnationTracker, "resolve", resolve_without_history):
            self.assertIsNotNone(find_violation(IncarnationMachine, FEW))


if __name__ == "__main__":
    unittest.main()
