"""Fuzzing of expired servers against an oracle, and mutants that the fuzzing has to find."""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from runkeel.coordination.copy_comparison import CopyComparison
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.state.expired_documents import ExpiredDocuments
from tests.coordination.expiry_machine import ExpiryMachine
from tests.coordination.test_feed_fuzz import EXAMPLES, MUTANT_EXAMPLES, fuzz_settings
from tests.fuzzing import find_violation


class ExpiryFuzzTest(unittest.TestCase):
    def test_contract_holds(self):
        run_state_machine_as_test(ExpiryMachine, settings=fuzz_settings(EXAMPLES))

    def check_found(self, target, name, mutant):
        with mock.patch.object(target, name, mutant):
            violation = find_violation(ExpiryMachine, fuzz_settings(MUTANT_EXAMPLES))
        self.assertIsNotNone(violation)

    def test_missing_notification_of_reappearances_is_found(self):
        self.check_found(DocumentWatcher, "on_reappearance", lambda self, listener: None)

    def test_missing_comparison_of_copies_is_found(self):
        self.check_found(CopyComparison, "compare", lambda self, watcher, theirs: None)

    def test_servers_that_are_never_dropped_are_found(self):
        self.check_found(ExpiredDocuments, "_expire", lambda self, ends_at: None)


if __name__ == "__main__":
    unittest.main()
