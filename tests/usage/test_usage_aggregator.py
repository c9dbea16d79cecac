"""Tests of the coordinator's usage aggregator: ledger, one-time decisions and reports."""

import unittest

import gevent

from runkeel.api.documents import DocumentKind
from runkeel.api.usage import UsageSettings
from runkeel.coordination.order_lease import OrderLease
from runkeel.errors import ErrorCode, may_have_run
from runkeel.usage import usage_aggregator
from runkeel.usage.ledger import UsageLedger
from runkeel.usage.usage_aggregator import UsageAggregator
from runkeel.wire.generated.jobs.ttypes import UsageCounts, UsageWindow
from runkeel_lab.standins.document_store import MemoryDocumentStore, StoreFault

SHARD = "fleet"
SETTINGS = UsageSettings(5.0, 10.0)
FIRST = 200
"""Number of the window in which the tests begin."""


class Platform:
    """Records reports; loses the responses to the next ``responses_to_lose`` of them."""

    def __init__(self):
        self.reports = []
        self.responses_to_lose = 0

    def report_usage(self, report, holder, timeout_seconds, before_send):
        before_send()
        self.reports.append((report.window, dict(report.counts), holder.name, holder.fencing_token))
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise may_have_run(ErrorCode.BACKEND_LOST, "no answer")


class LedgerTest(unittest.TestCase):
    def test_merge_keeps_the_larger_count_of_a_source(self):
        ledger = UsageLedger(decided_through=FIRST - 1)
        self.assertTrue(ledger.merge(FIRST, "x", {"a": 2}))
        self.assertFalse(ledger.merge(FIRST, "x", {"a": 1}))
        self.assertTrue(ledger.merge(FIRST, "y", {"a": 1, "b": 1}))
        self.assertEqual(ledger.decide(FIRST), {"a": 3, "b": 1})

    def test_counts_after_the_decision_are_dropped(self):
        ledger = UsageLedger(decided_through=FIRST - 1)
        ledger.merge(FIRST, "x", {"a": 2})
        ledger.decide(FIRST)
        self.assertFalse(ledger.merge(FIRST, "x", {"a": 3}))
        self.assertEqual(ledger.decided[FIRST], {"a": 2})
        self.assertEqual(ledger.late_requests(FIRST, {"a": 3}), 1)

    def test_windows_are_decided_in_order(self):
        with self.assertRaises(ValueError):
            UsageLedger(decided_through=FIRST - 1).decide(FIRST + 1)

    def test_encoded_ledger_decodes_to_an_equal_one(self):
        ledger = UsageLedger(epoch=3, decided_through=FIRST - 1)
        ledger.merge(FIRST, "x", {"a": 2})
        ledger.merge(FIRST + 1, "x", {"b": 1})
        ledger.decide(FIRST)
        ledger.reported.add(FIRST)
        self.assertEqual(UsageLedger.decode(ledger.encode()), ledger)


class UsageAggregatorTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryDocumentStore()
        self.platform = Platform()
        self.now = FIRST * 5.0 + 1.0

    def aggregator(self, epoch, node="n"):
        aggregator = self.new_aggregator(epoch, node)
        aggregator.start()
        return aggregator

    def new_aggregator(self, epoch, node):
        lease = OrderLease(self.store, SHARD, node, 0.0)
        aggregator = UsageAggregator(
            self.store,
            SHARD,
            epoch,
            SETTINGS,
            self.platform,
            lease,
            node,
            lambda: self.now,
            lambda: 3,
        )
        self.addCleanup(aggregator.stop)
        return aggregator

    def send_counts(self, aggregator, source, windows, complete=None):
        usage_windows = [UsageWindow(number, counts) for number, counts in windows.items()]
        complete = self.now if complete is None else complete
        return aggregator.merge_counts(
            UsageCounts(SHARD, 1, source, usage_windows, int(complete * 1000))
        )

    def wait_until(self, condition):
        with gevent.Timeout(5.0):
            while not condition():
                gevent.sleep(0.01)

    def reported(self, window):
        return [counts for number, counts, *_ in self.platform.reports if number == window]

    def stored(self):
        document = self.store.get(DocumentKind.USAGE_LEDGER, SHARD)
        return UsageLedger.decode(document.content) if document is not None else UsageLedger()

    def test_window_is_reported_once_complete(self):
        aggregator = self.aggregator(1)
        self.send_counts(aggregator, "x", {FIRST + 1: {"a": 2}})
        self.send_counts(aggregator, "y", {FIRST + 1: {"b": 1}})
        self.now = (FIRST + 2) * 5.0 + 1.0
        self.send_counts(aggregator, "x", {}, self.now)
        gevent.sleep(0.3)
        self.assertEqual(self.reported(FIRST + 1), [])
        self.send_counts(aggregator, "y", {FIRST + 1: {"b": 2}}, self.now)
        self.wait_until(lambda: self.reported(FIRST + 1))
        self.assertEqual(self.reported(FIRST + 1), [{"a": 2, "b": 2}])
        # The first window began before the term, so it is decided only when due, without counts.
        self.assertEqual(self.reported(FIRST), [{}])

    def test_window_that_began_in_a_tentative_term_waits_for_unknown_sources(self):
        """Guards against an early decision without nodes that still send to the predecessor."""
        self.now = FIRST * 5.0 - 0.5
        aggregator = self.new_aggregator(2, "n")
        self.now = FIRST * 5.0 + 4.0
        aggregator.start()
        self.send_counts(aggregator, "x", {FIRST: {"a": 2}})
        self.now = (FIRST + 1) * 5.0 + 0.5
        self.send_counts(aggregator, "x", {})
        gevent.sleep(0.4)
        self.assertEqual(self.reported(FIRST), [])
        self.send_counts(aggregator, "y", {FIRST: {"a": 1}})
        self.now = (FIRST + 1) * 5.0 + 5.1
        self.wait_until(lambda: self.reported(FIRST))
        self.assertEqual(self.reported(FIRST), [{"a": 3}])

    def test_window_is_decided_in_time_despite_a_silent_source(self):
        aggregator = self.aggregator(1)
        self.send_counts(aggregator, "x", {FIRST: {"a": 2}})
        self.now = (FIRST + 1) * 5.0 + 5.1
        self.wait_until(lambda: self.reported(FIRST))
        self.assertEqual(self.reported(FIRST), [{"a": 2}])

    def test_counts_survive_loss_of_node_and_coordinator(self):
        aggregator = self.aggregator(1)
        self.send_counts(aggregator, "x", {FIRST: {"a": 2}})
        self.wait_until(lambda: FIRST in self.stored().open)
        aggregator.stop()
        aggregator = self.aggregator(2, "other")
        self.send_counts(aggregator, "y", {FIRST: {"a": 1}})
        self.now = (FIRST + 1) * 5.0 + 5.1
        self.wait_until(lambda: self.reported(FIRST))
        self.assertEqual(self.reported(FIRST), [{"a": 3}])

    def test_new_coordinator_reports_the_decided_counts(self):
        self.platform.responses_to_lose = 1_000
        aggregator = self.aggregator(1)
        self.send_counts(aggregator, "x", {FIRST: {"a": 2}})
        self.now = (FIRST + 1) * 5.0 + 5.1
        self.wait_until(lambda: self.reported(FIRST))
        aggregator.stop()
        self.platform.responses_to_lose = 0
        aggregator = self.aggregator(2, "other")
        self.send_counts(aggregator, "x", {FIRST: {"a": 5}})
        self.wait_until(lambda: self.platform.reports[-1][2] == "other")
        self.assertEqual({tuple(counts.items()) for counts in self.reported(FIRST)}, {(("a", 2),)})
        tokens = [token for *_, token in self.platform.reports]
        self.assertEqual(tokens, sorted(tokens))

    def test_lost_store_response_does_not_change_the_decision(self):
        aggregator = self.aggregator(1)
        self.send_counts(aggregator, "x", {FIRST: {"a": 2}})
        self.wait_until(lambda: FIRST in self.stored().open)
        self.store.fail_next_write(StoreFault.RESPONSE_LOST, 2)
        self.now = (FIRST + 1) * 5.0 + 5.1
        self.wait_until(lambda: self.stored().decided_through >= FIRST)
        self.send_counts(aggregator, "x", {FIRST: {"a": 9}})
        self.wait_until(lambda: self.reported(FIRST))
        self.assertEqual(self.reported(FIRST), [{"a": 2}])

    def test_only_persisted_decisions_are_reported(self):
        aggregator = self.aggregator(1)
        self.send_counts(aggregator, "x", {FIRST: {"a": 2}})
        self.wait_until(lambda: FIRST in self.stored().open)
        self.store.down = True
        self.now = (FIRST + 1) * 5.0 + 5.1
        gevent.sleep(0.5)
        self.assertEqual(self.platform.reports, [])
        self.store.down = False
        self.wait_until(lambda: self.reported(FIRST))

    def test_superseded_coordinator_reports_nothing(self):
        earlier = self.aggregator(1)
        self.send_counts(earlier, "x", {FIRST: {"a": 2}})
        self.wait_until(lambda: FIRST in self.stored().open)
        later = self.aggregator(2, "other")
        self.wait_until(lambda: self.stored().epoch == 2)
        self.send_counts(earlier, "x", {FIRST: {"a": 4}})
        self.now = (FIRST + 1) * 5.0 + 5.1
        self.wait_until(lambda: self.reported(FIRST))
        self.assertEqual({name for *_, name, _ in self.platform.reports}, {"other"})
        self.assertEqual(self.reported(FIRST), [later.ledger.decided[FIRST]])

    def test_large_fleet_sends_counts_less_often(self):
        aggregator = self.aggregator(1)
        aggregator._nodes = lambda: 2 * usage_aggregator.MAX_UPDATES_PER_SECOND
        self.assertEqual(self.send_counts(aggregator, "x", {}).pause_ms, 2_000)


if __name__ == "__main__":
    unittest.main()
