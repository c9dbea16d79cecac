"""Fuzzing of the feed against an oracle, and mutants that the fuzzing has to find."""

import os
import unittest
from unittest import mock

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from runkeel.coordination.document_feed import _KindFeed
from runkeel.state.document_watcher import DocumentWatcher
from tests.coordination.feed_machine import FeedMachine
from tests.fuzzing import find_violation

FREE_RUNNING = "RUNKEEL_FUZZ_EXAMPLES" in os.environ
EXAMPLES = int(os.environ.get("RUNKEEL_FUZZ_EXAMPLES", "150"))
MUTANT_EXAMPLES = 600
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


def take_any_page(self, page, remove):
    """Mutant of _take_page: applies pages that are older than the copy."""
    self.revision = 0
    take_page(self, page, remove)


take_page = DocumentWatcher._take_page


def take_all_changes(self, changes):
    """Mutant of _take_changes: applies late answers completely."""
    self.revision = max(self.revision, changes.revision)
    for change in changes.changes:
        self._apply(change.document, change.removed)


def page_that_knows_all_removals(self, revision, even_if_empty):
    """Mutant of page_after: assumes that removals in the gap before a list are known."""
    self.watcher.contiguous_since = 1
    return page_after(self, revision, even_if_empty)


page_after = _KindFeed.page_after


def page_without_removals(self, revision, even_if_empty):
    """Mutant of page_after: omits removals."""
    page = page_after(self, revision, even_if_empty)
    if page is not None:
        page.removed = []
    return page


class FeedFuzzTest(unittest.TestCase):
    def test_contract_holds(self):
        run_state_machine_as_test(FeedMachine, settings=fuzz_settings(EXAMPLES))

    def check_found(self, target, name, mutant):
        with mock.patch.object(target, name, mutant):
            violation = find_violation(FeedMachine, fuzz_settings(MUTANT_EXAMPLES))
        self.assertIsNotNone(violation)

    def test_older_pages_are_found(self):
        self.check_found(DocumentWatcher, "_take_page", take_any_page)

    def test_completely_applied_late_answers_are_found(self):
        self.check_found(DocumentWatcher, "_take_changes", take_all_changes)

    def test_unknown_removals_are_found(self):
        self.check_found(_KindFeed, "page_after", page_that_knows_all_removals)

    def test_omitted_removals_are_found(self):
        self.check_found(_KindFeed, "page_after", page_without_removals)


if __name__ == "__main__":
    unittest.main()
