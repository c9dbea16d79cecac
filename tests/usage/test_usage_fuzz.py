"""Fuzz test of usage reports, with mutants that prove it detects the faults it targets."""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from runkeel.usage import usage_aggregator
from runkeel.usage.ledger import UsageLedger
from runkeel.usage.usage_aggregator import UsageAggregator
from tests.coordination.test_feed_fuzz import EXAMPLES, MUTANT_EXAMPLES, fuzz_settings
from tests.fuzzing import find_violation
from tests.usage.usage_machine import UsageMachine


def merge_by_addition(self, window, source, counts):
    """Mutant of merge: counts sent again are added again."""
    if window <= self.decided_through:
        return False
    known = self.open.setdefault(window, {}).setdefault(source, {})
    for tenant, count in counts.items():
        known[tenant] = known.get(tenant, 0) + count
    return True


def decide_before_persisting(self):
    """Mutant of _decide_due: decisions are reported before they are persisted."""
    decided = decide_due(self)
    self._queue_reports()
    return decided


decide_due = UsageAggregator._decide_due


def resolve_conflict_by_overwriting(self, conflict):
    """Mutant of _resolve_conflict: the conflicting write is overwritten."""
    self._revision = conflict.current.revision
    self._write()


def adopt_without_open_counts(self, document):
    """Mutant of _adopt: counts of previous terms are discarded."""
    adopt(self, document)
    self._ledger.open.clear()


adopt = UsageAggregator._adopt


class UsageFuzzTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(usage_aggregator.gevent, "sleep", lambda seconds: None)
        patch.start()
        self.addCleanup(patch.stop)

    def test_contract_holds(self):
        run_state_machine_as_test(UsageMachine, settings=fuzz_settings(EXAMPLES))

    def assert_detected(self, target, name, mutant):
        with mock.patch.object(target, name, mutant):
            violation = find_violation(UsageMachine, fuzz_settings(MUTANT_EXAMPLES))
        self.assertIsNotNone(violation)

    def test_double_counting_is_detected(self):
        self.assert_detected(UsageLedger, "merge", merge_by_addition)

    def test_unpersisted_reports_are_detected(self):
        self.assert_detected(UsageAggregator, "_decide_due", decide_before_persisting)

    def test_overwritten_decisions_are_detected(self):
        self.assert_detected(UsageAggregator, "_resolve_conflict", resolve_conflict_by_overwriting)

    def test_lost_counts_are_detected(self):
        self.assert_detected(UsageAggregator, "_adopt", adopt_without_open_counts)


if __name__ == "__main__":
    unittest.main()
