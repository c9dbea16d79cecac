"""Tests of the copy of a kind of documents: compaction, outages, hanging watches, ordering."""

import unittest
from unittest import mock

import gevent

from runkeel.api.documents import (
    Document,
    DocumentChange,
    DocumentChanges,
    DocumentKind,
    DocumentPage,
    Freshness,
    UnreadableDocumentError,
)
from runkeel.clock import steady_seconds
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.state.observed_store import MIN_OUTAGE_SECONDS, ObservedStore
from runkeel_lab.standins.document_store import MemoryDocumentStore
from tests.garbage_collection import suspend_garbage_collection

KIND = DocumentKind.BACKEND
WAIT_TIMEOUT_SECONDS = 10.0


class DocumentWatcherTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryDocumentStore()
        self.changes = []
        self.watcher = DocumentWatcher(self.store, KIND, self._record_change)
        self.addCleanup(self.watcher.stop)

    def _record_change(self, document, removed):
        self.changes.append((document.name, removed))

    def _wait_until(self, condition):
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline, self.changes)
            gevent.sleep(0.01)

    def test_list_is_followed_by_changes(self):
        self.store.put(KIND, "a", 1)
        self.watcher.start()
        self._wait_until(lambda: self.changes == [("a", False)])
        self.store.put(KIND, "b", 1)
        self.store.remove(KIND, "a")
        self._wait_until(lambda: self.changes[1:] == [("b", False), ("a", True)])

    def _start_with_stale_list(self):
        self.watcher = DocumentWatcher(
            self.store,
            KIND,
            self._record_change,
            first_list_freshness=Freshness.STALE_ALLOWED,
            watch_seconds=lambda: 0.2,
        )
        self.addCleanup(self.watcher.stop)
        self.watcher.start()

    def test_watch_updates_a_stale_first_list(self):
        self.store.put(KIND, "a", 1)
        self.store.put(KIND, "gone", 1)
        self.store.snapshot_for_stale_reads()
        self.store.put(KIND, "b", 1)
        self.store.remove(KIND, "gone")
        self._start_with_stale_list()
        self._wait_until(lambda: sorted(self.watcher.documents) == ["a", "b"])
        self.assertEqual(self.store.calls["list_any_age"], 1)
        self.assertNotIn("list", self.store.calls)

    def test_stale_first_list_does_not_confirm_freshness(self):
        self.store.call_seconds = 0.05
        self.store.snapshot_for_stale_reads()
        self.store.put(KIND, "a", 1)
        self._start_with_stale_list()
        self.watcher.first_list_applied.wait(WAIT_TIMEOUT_SECONDS)
        self.assertEqual(self.watcher.current_as_of, 0.0)
        self._wait_until(lambda: self.watcher.current_as_of)
        self.assertEqual(sorted(self.watcher.documents), ["a"])

    def test_late_answer_to_a_watch_that_did_not_wait_confirms_only_its_start(self):
        """Guards against a replaced coordinator that counts as confirmed for a second too long."""
        self.watcher = DocumentWatcher(
            self.store, KIND, self._record_change, watch_seconds=lambda: 0.7
        )
        self.addCleanup(self.watcher.stop)
        self.watcher.start()
        self._wait_until(lambda: self.watcher.current_as_of)
        self.store.down = True
        self._wait_until(lambda: not self.watcher.reachable)
        self.store.call_seconds = 1.0
        started = steady_seconds()
        self.store.down = False
        self._wait_until(lambda: self.watcher.reachable)
        self.assertGreater(steady_seconds() - started, 0.9)
        self.assertLess(self.watcher.current_as_of - started, 0.9)

    def _step_with_late_answer(self, held_seconds):
        """Watch once; the answer is held back, and a document is written while it is on its way.

        Returns the steady time of that write.
        """
        written_at = []
        watch = self.store.watch

        def hold_back(*arguments):
            changes = watch(*arguments)
            self.store.put(KIND, "later", 1)
            written_at.append(steady_seconds())
            gevent.sleep(held_seconds)
            return changes

        with mock.patch.object(self.store, "watch", hold_back):
            self.watcher._step()
        self.assertNotIn("later", self.watcher.documents)
        return written_at[0]

    def test_late_answer_with_a_change_does_not_confirm_what_was_written_meanwhile(self):
        """Guards against a copy that counts as current although it lacks a change."""
        for held_seconds in (0.3, 0.6):
            with self.subTest(held_seconds=held_seconds):
                self.watcher = DocumentWatcher(
                    self.store, KIND, self._record_change, watch_seconds=lambda: 0.7
                )
                self.watcher._step()
                gevent.spawn_later(0.05, self.store.put, KIND, "a", held_seconds)
                written_at = self._step_with_late_answer(held_seconds)
                self.assertLess(self.watcher.current_as_of, written_at)
                self.store.remove(KIND, "later")

    def test_late_answer_without_a_change_confirms_no_more_than_its_wait(self):
        """Guards against a copy that counts as current although it lacks a change."""
        self.watcher = DocumentWatcher(
            self.store, KIND, self._record_change, watch_seconds=lambda: 0.2
        )
        self.watcher._step()
        started = steady_seconds()
        written_at = self._step_with_late_answer(0.3)
        self.assertLess(self.watcher.current_as_of, written_at)
        self.assertGreaterEqual(self.watcher.current_as_of, started + 0.2)

    def test_empty_answer_before_the_end_of_the_wait_confirms_only_its_start(self):
        """A store may end a watch early, and the answer may then be delayed."""
        self.watcher = DocumentWatcher(
            self.store, KIND, self._record_change, watch_seconds=lambda: 0.7
        )
        self.watcher._step()
        answer = DocumentChanges((), self.store.revision)
        with mock.patch.object(self.store, "watch", lambda *arguments: answer):
            started = steady_seconds()
            self.watcher._step()
        self.assertLess(self.watcher.current_as_of, started + 0.6)

    def test_copy_is_confirmed_within_the_interval_after_a_late_change(self):
        """Guards against a copy that ages by a watch, a pause and another watch in a row."""
        suspend_garbage_collection(self)
        interval = 0.5
        self.watcher = DocumentWatcher(
            self.store,
            KIND,
            self._record_change,
            pause_seconds=lambda: 0.4,
            watch_seconds=lambda: interval,
            confirmation_interval_seconds=lambda: interval,
        )
        self.addCleanup(self.watcher.stop)
        self.watcher.start()
        self._wait_until(lambda: self.watcher.current_as_of)
        gevent.sleep(0.4)
        self.store.put(KIND, "a", 1)
        self._wait_until(lambda: self.changes)
        for _ in range(100):
            gevent.sleep(0.01)
            self.assertLess(steady_seconds() - self.watcher.current_as_of, 1.0)

    def test_confirmations_of_two_kinds_coincide(self):
        """Guards against replies of the feed that confirm one kind but not the others."""
        suspend_garbage_collection(self)
        watchers = []
        for kind in (KIND, DocumentKind.ROUTING):
            watcher = DocumentWatcher(
                self.store,
                kind,
                self._record_change,
                watch_seconds=lambda: 0.5,
                confirmation_interval_seconds=lambda: 0.5,
            )
            self.addCleanup(watcher.stop)
            watcher.start()
            watchers.append(watcher)
            gevent.sleep(0.2)
        gevent.sleep(1.0)
        first, second = (watcher.current_as_of for watcher in watchers)
        self.assertLess(abs(first - second), 0.1)
        calls = self.store.calls["watch"]
        gevent.sleep(2.0)
        self.assertLessEqual(self.store.calls["watch"] - calls, 10)

    def test_current_list_follows_if_history_after_a_stale_list_is_compacted(self):
        self.store.snapshot_for_stale_reads()
        self.store.put(KIND, "a", 1)
        self.store.compact()
        self._start_with_stale_list()
        self._wait_until(lambda: sorted(self.watcher.documents) == ["a"])
        self.assertEqual(self.store.calls["list"], 1)

    def test_compaction_causes_a_new_list(self):
        self.store.put(KIND, "a", 1)
        self.watcher.start()
        self._wait_until(lambda: self.changes)
        self.store.remove(KIND, "a")
        self.store.put(KIND, "b", 1)
        self.store.compact()
        self._wait_until(lambda: sorted(self.watcher.documents) == ["b"])
        self.assertIn(("a", True), self.changes)

    def test_copy_is_retained_during_an_outage(self):
        self.store.put(KIND, "a", 1)
        self.watcher.start()
        self._wait_until(lambda: self.changes)
        self.store.down = True
        self.store.compact()
        self._wait_until(lambda: not self.watcher.reachable)
        self.assertEqual(list(self.watcher.documents), ["a"])
        self.store.down = False
        self._wait_until(lambda: self.watcher.reachable)

    def test_older_revision_is_ignored(self):
        self.store.put(KIND, "a", 1)
        newer = self.store.put(KIND, "a", 2)
        self.watcher.start()
        self._wait_until(lambda: self.changes)
        self.watcher._apply(Document(KIND, "a", newer.revision - 1, 1), removed=False)
        self.assertEqual(self.watcher.documents["a"].content, 2)

    def test_failing_listener_does_not_end_the_watch(self):
        def reject(document, removed):
            self.changes.append(document.name)
            raise (KeyError("field") if document.name == "a" else AttributeError("get"))

        watcher = DocumentWatcher(self.store, KIND, reject)
        self.addCleanup(watcher.stop)
        watcher.start()
        self.store.put(KIND, "a", 1)
        self.store.put(KIND, "b", 1)
        self._wait_until(lambda: sorted(self.changes) == ["a", "b"])

    def test_unexpected_listener_exceptions_do_not_end_the_watch(self):
        """A malformed entry of one server must not stop updates of all the others."""
        errors = [
            OverflowError("x"),
            RecursionError(),
            IndexError(),
            UnicodeError(),
            MemoryError(),
        ]

        def reject(document, removed):
            self.changes.append((document.name, removed))
            if document.content == "bad":
                raise errors.pop()

        watcher = DocumentWatcher(self.store, KIND, reject)
        self.addCleanup(watcher.stop)
        unreadable = []
        watcher.on_unreadable(lambda document, reason: unreadable.append(document.name))
        watcher.start()
        names = [f"bad-{number}" for number in range(len(errors))]
        for name in names:
            self.store.put(KIND, name, "bad")
        self.store.put(KIND, "good", 1)
        self._wait_until(lambda: ("good", False) in self.changes)
        self.assertEqual(unreadable, names)

    def test_unexpected_store_error_does_not_end_the_watch(self):
        class MalformedOnceStore(MemoryDocumentStore):
            malformed = True

            def list(self, kind, **more):
                if self.malformed:
                    self.malformed = False
                    raise KeyError("Metadata")
                return super().list(kind, **more)

        store = MalformedOnceStore()
        watcher = DocumentWatcher(store, KIND, self._record_change)
        self.addCleanup(watcher.stop)
        watcher.start()
        store.put(KIND, "a", 1)
        self._wait_until(lambda: self.changes == [("a", False)])

    def test_unreadable_document_is_reported_once_per_reason(self):
        reasons = []

        def reject(document, removed):
            if not removed and document.content != "good":
                raise UnreadableDocumentError(document.content)

        watcher = DocumentWatcher(self.store, KIND, reject)
        watcher.on_unreadable(lambda document, reason: reasons.append(reason))
        contents = ["Slots", "Slots", "Slots", "State", "State", "good", "State"]
        for revision, content in enumerate(contents, 1):
            watcher._apply(Document(KIND, "a", revision, content), removed=False)
        self.assertEqual(reasons, ["Slots", "State", "State"])

    def test_page_of_another_copy_is_applied(self):
        self.watcher.merge_page(self._page(5, ("a", 3), ("b", 5), whole=True))
        self.assertTrue(self.watcher.first_list_applied.is_set())
        self.watcher.merge_page(self._page(8, ("b", 8), removed=("a",)))
        self.assertEqual(self.changes, [("a", False), ("b", False), ("a", True), ("b", False)])
        self.assertEqual(self.watcher.revision, 8)

    def test_page_of_an_older_copy_is_ignored(self):
        self.watcher.merge_page(self._page(8, ("b", 8), whole=True))
        self.watcher.merge_page(self._page(7, ("a", 3), ("b", 5), whole=True))
        self.assertEqual(list(self.watcher.documents), ["b"])
        self.assertEqual(self.watcher.revision, 8)

    def test_late_watch_response_does_not_restore_removed_documents(self):
        self.watcher.merge_page(self._page(5, ("a", 3), whole=True))
        late_response = DocumentChanges((DocumentChange(Document(KIND, "a", 4, 1), False),), 4)
        self.watcher.merge_page(self._page(6, removed=("a",)))
        self.watcher._take_changes(late_response)
        self.assertEqual(self.watcher.documents, {})
        self.assertEqual(self.watcher.revision, 6)

    def test_store_is_not_called_unless_needed(self):
        needed = gevent.event.Event()
        watcher = DocumentWatcher(self.store, KIND, self._record_change, store_needed=needed)
        self.addCleanup(watcher.stop)
        watcher.start()
        gevent.sleep(0.05)
        self.assertEqual(self.store.calls, {})
        self.store.put(KIND, "a", 1)
        needed.set()
        self._wait_until(lambda: self.changes == [("a", False)])

    def test_failed_store_is_rarely_probed_while_not_needed(self):
        """Nodes that follow the feed must not load a failing store with probes."""
        needed = gevent.event.Event()
        needed.set()
        watcher = DocumentWatcher(
            self.store,
            KIND,
            self._record_change,
            store_needed=needed,
            idle_probe_interval_seconds=60.0,
        )
        self.addCleanup(watcher.stop)
        self.store.down = True
        watcher.start()
        self._wait_until(lambda: not watcher.reachable)
        needed.clear()
        gevent.sleep(1.0)
        calls = sum(self.store.calls.values())
        gevent.sleep(1.0)
        self.assertEqual(sum(self.store.calls.values()), calls)
        self.store.down = False
        needed.set()
        self._wait_until(lambda: watcher.reachable)

    def _page(self, revision, *documents, whole=False, removed=()):
        listed = tuple(Document(KIND, name, at, 1) for name, at in documents)
        return DocumentPage(KIND, revision, whole, listed, removed)

    def _recover_with_missing_documents(
        self, expiry_grace_seconds, outage_seconds, compacted=False
    ):
        """Remove documents during an outage; returns the watcher once the store has recovered."""
        observed = ObservedStore(self.store, lambda: 0.01)
        watcher = DocumentWatcher(
            observed,
            KIND,
            self._record_change,
            watch_seconds=lambda: 0.02,
            expiry_grace_seconds=expiry_grace_seconds,
            recovered_at=lambda: observed.recovered_at,
        )
        self.addCleanup(watcher.stop)
        for name in ("a", "b"):
            self.store.put(KIND, name, 1)
        watcher.start()
        self._wait_until(watcher.first_list_applied.is_set)
        self.store.down = True
        self._wait_until(lambda: not watcher.reachable)
        observed.failing_since -= outage_seconds
        self.store.remove(KIND, "a")
        self.store.remove(KIND, "b")
        if compacted:
            self.store.compact()
        self.store.down = False
        self._wait_until(lambda: watcher.reachable)
        return watcher

    def test_documents_expired_in_an_outage_are_retained_for_the_grace_period(self):
        for compacted in (False, True):
            with self.subTest(compacted=compacted):
                watcher = self._recover_with_missing_documents(0.4, MIN_OUTAGE_SECONDS, compacted)
                self.changes.clear()
                self.assertEqual(sorted(watcher.documents), ["a", "b"])
                self.store.put(KIND, "b", 2)
                self._wait_until(lambda: ("a", True) in self.changes)
                self.assertEqual(sorted(watcher.documents), ["b"])
                self.assertIn(("a", True), self.changes)
                self.assertNotIn(("b", True), self.changes)
                watcher.stop()

    def test_removals_after_the_grace_period_are_recorded_for_other_copies(self):
        watcher = self._recover_with_missing_documents(0.05, MIN_OUTAGE_SECONDS)
        known = watcher.revision
        self._wait_until(lambda: not watcher.documents)
        self.assertEqual(list(watcher.removals), [])
        self.store.put(KIND, "c", 1)
        self._wait_until(lambda: "c" in watcher.documents)
        self.assertEqual([name for at, name in watcher.removals if at > known], ["a", "b"])

    def test_removal_during_a_short_failure_is_applied_immediately(self):
        watcher = self._recover_with_missing_documents(10.0, 0.0)
        self._wait_until(lambda: not watcher.documents)

    def test_page_of_another_copy_removes_retained_documents(self):
        watcher = self._recover_with_missing_documents(10.0, MIN_OUTAGE_SECONDS)
        watcher.merge_page(self._page(watcher.revision + 1, removed=("a", "b")))
        self.assertEqual(watcher.documents, {})

    def test_refresh_cancels_a_hanging_watch(self):
        self.watcher.start()
        self._wait_until(self.watcher.first_list_applied.is_set)
        self.store._changed = gevent.event.Event()
        self.watcher.refresh("test")
        self.store.put(KIND, "a", 1)
        self._wait_until(lambda: self.changes == [("a", False)])


if __name__ == "__main__":
    unittest.main()
