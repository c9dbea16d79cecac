"""Fuzzing of the reports of usage, and proof that it finds the faults it is meant for."""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from runkeel.usage import duty as usage_duty
from runkeel.usage.duty import UsageDuty
from runkeel.usage.ledger import UsageLedger
from tests.coordination.test_feed_fuzz import EXAMPLES, MUTANT_EXAMPLES, fuzz_settings
from tests.fuzzing import find_violation
from tests.usage.usage_machine import UsageMachine


def merge_by_adding(self, window, source, counts):
    """The mutant of merge: what is told again counts again."""
    if window <= self.decided_through:
        return False
    known = self.open.setdefault(window, {}).setdefault(source, {})
    for tenant, count in counts.items():
        known[tenant] = known.get(tenant, 0) + count
    return True


def decide_without_the_store(self):
    """The mutant of _decide_due: what is decided is reported before it stands in the store."""
    decided = decide_due(self)
    self._confirm()
    return decided


decide_due = UsageDuty._decide_due


def settle_by_overwriting(self, conflict):
    """The mutant of _settle: the other write is replaced by this node's."""
    self._revision = conflict.current.revision
    self._write()


def adopt_without_what_was_open(self, document):
    """The mutant of _adopt: counts of the terms before are forgotten."""
    adopt(self, document)
    self._ledger.open.clear()


adopt = UsageDuty._adopt


class UsageFuzzTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(usage_duty.gevent, "sleep", lambda seconds: None)
        patch.start()
        self.addCleanup(patch.stop)

    def test_contract_holds(self):
        run_state_machine_as_test(UsageMachine, settings=fuzz_settings(EXAMPLES))

    def check_found(self, target, name, mutant):
        with mock.patch.object(target, name, mutant):
            violation = find_violation(UsageMachine, fuzz_settings(MUTANT_EXAMPLES))
        self.assertIsNotNone(violation)

    def test_counts_that_are_added_twice_are_found(self):
        self.check_found(UsageLedger, "merge", merge_by_adding)

    def test_reports_of_what_is_not_decided_yet_are_found(self):
        self.check_found(UsageDuty, "_decide_due", decide_without_the_store)

    def test_overwritten_decisions_are_found(self):
        self.check_found(UsageDuty, "_settle", settle_by_overwriting)

    def test_forgotten_counts_are_found(self):
        self.check_found(UsageDuty, "_adopt", adopt_without_what_was_open)


if __name__ == "__main__":
    unittest.main()
