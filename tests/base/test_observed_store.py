"""While the store fails, one task of a node tries it at a time."""

import unittest

import gevent

from runkeel.api.documents import CALL_TIMEOUT_SECONDS, DocumentKind
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.state.observed_store import (
    CERTAIN_OUTAGE_SECONDS,
    FOLLOWER_PROBE_SECONDS,
    OUTAGE_SECONDS,
    RECENT_FAILURE_SECONDS,
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

    def test_failure_and_return_are_noticed(self):
        self.assertTrue(self.store.reachable)
        self._fail()
        self.assertFalse(self.store.reachable)
        self.memory.down = False
        self.store.get(DocumentKind.JOB, "x")
        self.assertTrue(self.store.reachable)

    def _fail_for(self, seconds, gap=0.0, ago=0.0):
        """Let the store fail for so long; its last failure was so long ago."""
        self._fail()
        now = steady_seconds()
        self.store.failing_since = now - ago - seconds
        self.store._failed_at = now - ago - gap
        self.memory.down = False
        self.store.get(DocumentKind.JOB, "x")
        return self.store.returned_at >= now

    def test_return_after_an_outage_is_noted_once_for_all_copies(self):
        """Copies that judged by their own tries disagreed: some dropped what others kept."""
        self.assertTrue(self._fail_for(OUTAGE_SECONDS))

    def test_outage_that_was_tried_seldom_counts(self):
        """A node that follows others may have failed twice only, 1.5 s before the answer."""
        gap = FOLLOWER_PROBE_SECONDS + CALL_TIMEOUT_SECONDS - 0.1
        self.assertTrue(self._fail_for(gap + CERTAIN_OUTAGE_SECONDS, gap))

    def test_short_failure_is_no_outage(self):
        self.assertFalse(self._fail_for(OUTAGE_SECONDS - 0.1))

    def test_lost_connection_that_is_noticed_late_is_no_outage(self):
        self.assertFalse(self._fail_for(OUTAGE_SECONDS, gap=OUTAGE_SECONDS))

    def test_return_that_may_have_been_long_ago_is_not_noted(self):
        self.assertFalse(self._fail_for(OUTAGE_SECONDS, ago=RECENT_FAILURE_SECONDS + 0.1))

    def test_conflict_is_an_answer(self):
        self._fail()
        self.memory.down = False
        self.memory.put(DocumentKind.JOB, "x", 1)
        with self.assertRaises(RunkeelError):
            self.store.create(DocumentKind.JOB, "x", 1)
        self.assertTrue(self.store.reachable)

    def test_node_that_follows_others_tries_less_often(self):
        """shifted trouble-3: 60 nodes made 1,166 calls in vain in an outage of 5.2 s."""
        tries = 0
        store = ObservedStore(self.memory, lambda: 0.6)
        self.memory.down = True
        with self.assertRaises(RunkeelError):
            store.get(DocumentKind.JOB, "x")

        def keep_trying():
            nonlocal tries
            while True:
                store.await_turn()
                tries += 1

        task = gevent.spawn(keep_trying)
        gevent.sleep(1.4)
        task.kill()
        self.assertLessEqual(tries, 3)

    def test_many_watchers_make_few_calls_during_an_outage(self):
        """sirca trouble-1: 2,639 calls, most of them refused ones of an outage of 4.2 s."""
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
