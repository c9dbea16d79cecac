"""Tests of outage detection and of shared probing while the store fails."""

import unittest

import gevent

from runkeel.api.documents import CALL_TIMEOUT_SECONDS, DocumentKind
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.state.observed_store import (
    MAX_FAILURE_AGE_SECONDS,
    MAX_UNNOTICED_OUTAGE_SECONDS,
    MIN_FAILURE_SPAN_SECONDS,
    MIN_OUTAGE_SECONDS,
    NOT_PREFERRED_PROBE_INTERVAL_SECONDS,
    ObservedStore,
)
from runkeel_lab.standins.document_store import MemoryDocumentStore


class ObservedStoreTest(unittest.TestCase):
    def setUp(self):
        self.memory = MemoryDocumentStore()
        self.store = ObservedStore(self.memory)

    def _fail(self):
        self.memory.down = True
        with self.assertRaises(RunkeelError):
            self.store.get(DocumentKind.JOB, "x")

    def test_failure_and_recovery_are_detected(self):
        self.assertTrue(self.store.reachable)
        self._fail()
        self.assertFalse(self.store.reachable)
        self.memory.down = False
        self.store.get(DocumentKind.JOB, "x")
        self.assertTrue(self.store.reachable)

    def _recover_after(self, seconds, quiet_seconds=0.0, ended_ago=0.0):
        """Simulate an outage and a response; returns whether the recovery was recorded.

        Args:
            seconds: length of the outage.
            quiet_seconds: time between the last failure and the end of the outage.
            ended_ago: time between the end of the outage and the response.
        """
        self._fail()
        now = steady_seconds()
        self.store.failing_since = now - ended_ago - seconds
        self.store._failed_at = now - ended_ago - quiet_seconds
        self.memory.down = False
        self.store.get(DocumentKind.JOB, "x")
        return self.store.recovered_at >= now

    def test_recovery_after_an_outage_is_recorded(self):
        self.assertTrue(self._recover_after(MIN_OUTAGE_SECONDS))

    def _recover_after_late_notice(self, confirmed_ago):
        """Simulate one failure a second before the response of a store that was confirmed before.

        Args:
            confirmed_ago: time between the last confirmation of the copies and the failure.
        """
        now = steady_seconds()
        self.store = ObservedStore(self.memory, confirmed_at=lambda: now - confirmed_ago)
        self._fail()
        self.store.failing_since -= 1.0
        self.store._failed_at -= 1.0
        self.memory.down = False
        self.store.get(DocumentKind.JOB, "x")
        return self.store.recovered_at >= now

    def test_outage_that_a_node_noticed_late_counts_from_the_last_confirmation(self):
        """Guards against servers that a node drops after an outage of which it saw only the end."""
        self.assertTrue(self._recover_after_late_notice(MIN_OUTAGE_SECONDS - 1.0))

    def test_failure_of_a_node_whose_copies_are_recent_is_no_outage(self):
        self.assertFalse(self._recover_after_late_notice(0.3))

    def test_old_confirmation_does_not_make_a_failure_an_outage(self):
        self.assertFalse(self._recover_after_late_notice(MAX_UNNOTICED_OUTAGE_SECONDS + 1.0))

    def test_outage_with_few_probes_is_recorded(self):
        """A node may have seen only two failures, the last one 2.4 s before the response."""
        quiet_seconds = NOT_PREFERRED_PROBE_INTERVAL_SECONDS + CALL_TIMEOUT_SECONDS - 0.1
        self.assertTrue(
            self._recover_after(quiet_seconds + MIN_FAILURE_SPAN_SECONDS, quiet_seconds)
        )

    def test_short_failure_is_not_an_outage(self):
        self.assertFalse(self._recover_after(MIN_OUTAGE_SECONDS - 0.1))

    def test_failures_all_at_once_are_not_an_outage(self):
        self.assertFalse(self._recover_after(MIN_OUTAGE_SECONDS, quiet_seconds=MIN_OUTAGE_SECONDS))

    def test_recovery_with_an_old_last_failure_is_not_recorded(self):
        self.assertFalse(
            self._recover_after(MIN_OUTAGE_SECONDS, ended_ago=MAX_FAILURE_AGE_SECONDS + 0.1)
        )

    def test_conflict_counts_as_a_response(self):
        self._fail()
        self.memory.down = False
        self.memory.put(DocumentKind.JOB, "x", 1)
        with self.assertRaises(RunkeelError):
            self.store.create(DocumentKind.JOB, "x", 1)
        self.assertTrue(self.store.reachable)

    def test_probe_interval_limits_calls(self):
        """Many followers must not load a failing store with probes."""
        attempts = 0
        store = ObservedStore(self.memory, lambda: 0.6)
        self.memory.down = True
        with self.assertRaises(RunkeelError):
            store.get(DocumentKind.JOB, "x")

        def probe_repeatedly():
            nonlocal attempts
            while True:
                store.await_turn()
                attempts += 1

        task = gevent.spawn(probe_repeatedly)
        gevent.sleep(1.4)
        task.kill()
        self.assertLessEqual(attempts, 3)

    def test_watchers_share_probes_during_an_outage(self):
        """The watchers of a node must not each probe a failing store."""
        kinds = list(DocumentKind)
        watchers = [DocumentWatcher(self.store, kind, lambda *change: None) for kind in kinds]
        for watcher in watchers:
            watcher.start()
            self.addCleanup(watcher.stop)
        gevent.sleep(0.1)
        self.memory.down = True
        self.memory.compact()
        gevent.sleep(0.1)
        before = sum(self.memory.calls.values())
        gevent.sleep(2.0)
        made = sum(self.memory.calls.values()) - before
        self.assertLess(made, 2 * len(kinds))
        self.memory.down = False
        gevent.sleep(1.2)
        self.assertTrue(all(watcher.reachable for watcher in watchers))


if __name__ == "__main__":
    unittest.main()
