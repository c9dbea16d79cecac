"""The copy of a kind of documents: compaction, outages, mute watches, no way back."""

import unittest

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
from runkeel.state.observed_store import OUTAGE_SECONDS, ObservedStore
from runkeel_lab.standins.document_store import MemoryDocumentStore

KIND = DocumentKind.BACKEND
LONGEST_WAIT_SECONDS = 10.0


class DocumentWatcherTest(unittest.TestCase):
    def setUp(self):
        self.store = MemoryDocumentStore()
        self.changes = []
        self.watcher = DocumentWatcher(self.store, KIND, self._note)
        self.addCleanup(self.watcher.stop)

    def _note(self, document, removed):
        self.changes.append((document.name, removed))

    def _wait(self, condition):
        deadline = steady_seconds() + LONGEST_WAIT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline, self.changes)
            gevent.sleep(0.01)

    def test_list_then_changes(self):
        self.store.put(KIND, "a", 1)
        self.watcher.start()
        self._wait(lambda: self.changes == [("a", False)])
        self.store.put(KIND, "b", 1)
        self.store.remove(KIND, "a")
        self._wait(lambda: self.changes[1:] == [("b", False), ("a", True)])

    def _watch_from_an_old_list(self):
        self.watcher = DocumentWatcher(
            self.store, KIND, self._note, first_list=Freshness.ANY_AGE, watch_seconds=lambda: 0.2
        )
        self.addCleanup(self.watcher.stop)
        self.watcher.start()

    def test_old_first_list_is_brought_up_to_date_by_the_watch(self):
        self.store.put(KIND, "a", 1)
        self.store.put(KIND, "gone", 1)
        self.store.age()
        self.store.put(KIND, "b", 1)
        self.store.remove(KIND, "gone")
        self._watch_from_an_old_list()
        self._wait(lambda: sorted(self.watcher.documents) == ["a", "b"])
        self.assertEqual(self.store.calls["list_any_age"], 1)
        self.assertNotIn("list", self.store.calls)

    def test_old_first_list_confirms_nothing(self):
        self.store.call_seconds = 0.05
        self.store.age()
        self.store.put(KIND, "a", 1)
        self._watch_from_an_old_list()
        self.watcher.listed.wait(LONGEST_WAIT_SECONDS)
        self.assertEqual(self.watcher.fresh_at, 0.0)
        self._wait(lambda: self.watcher.fresh_at)
        self.assertEqual(sorted(self.watcher.documents), ["a"])

    def test_old_first_list_whose_history_is_gone_is_followed_by_a_current_one(self):
        self.store.age()
        self.store.put(KIND, "a", 1)
        self.store.compact()
        self._watch_from_an_old_list()
        self._wait(lambda: sorted(self.watcher.documents) == ["a"])
        self.assertEqual(self.store.calls["list"], 1)

    def test_compaction_is_made_good_by_a_list(self):
        self.store.put(KIND, "a", 1)
        self.watcher.start()
        self._wait(lambda: self.changes)
        self.store.remove(KIND, "a")
        self.store.put(KIND, "b", 1)
        self.store.compact()
        self._wait(lambda: sorted(self.watcher.documents) == ["b"])
        self.assertIn(("a", True), self.changes)

    def test_outage_forgets_nothing(self):
        self.store.put(KIND, "a", 1)
        self.watcher.start()
        self._wait(lambda: self.changes)
        self.store.down = True
        self.store.compact()
        self._wait(lambda: not self.watcher.reachable)
        self.assertEqual(list(self.watcher.documents), ["a"])
        self.store.down = False
        self._wait(lambda: self.watcher.reachable)

    def test_older_revision_is_passed_over(self):
        self.store.put(KIND, "a", 1)
        newer = self.store.put(KIND, "a", 2)
        self.watcher.start()
        self._wait(lambda: self.changes)
        self.watcher._apply(Document(KIND, "a", newer.revision - 1, 1), removed=False)
        self.assertEqual(self.watcher.documents["a"].content, 2)

    def test_listener_that_cannot_read_a_document_does_not_end_the_watch(self):
        def refuse(document, removed):
            self.changes.append(document.name)
            raise (KeyError("field") if document.name == "a" else AttributeError("get"))

        watcher = DocumentWatcher(self.store, KIND, refuse)
        self.addCleanup(watcher.stop)
        watcher.start()
        self.store.put(KIND, "a", 1)
        self.store.put(KIND, "b", 1)
        self._wait(lambda: sorted(self.changes) == ["a", "b"])

    def test_no_exception_of_a_reader_ends_the_watch(self):
        """An OverflowError of one server's entry had ended the watch of all servers, for good."""
        problems = [
            OverflowError("x"),
            RecursionError(),
            IndexError(),
            UnicodeError(),
            MemoryError(),
        ]

        def refuse(document, removed):
            self.changes.append((document.name, removed))
            if document.content == "bad":
                raise problems.pop()

        watcher = DocumentWatcher(self.store, KIND, refuse)
        self.addCleanup(watcher.stop)
        unreadable = []
        watcher.on_unreadable(lambda document, reason: unreadable.append(document.name))
        watcher.start()
        names = [f"bad-{number}" for number in range(len(problems))]
        for name in names:
            self.store.put(KIND, name, "bad")
        self.store.put(KIND, "good", 1)
        self._wait(lambda: ("good", False) in self.changes)
        self.assertEqual(unreadable, names)

    def test_answer_that_was_not_foreseen_does_not_end_the_watch(self):
        class OddStore(MemoryDocumentStore):
            odd = True

            def list(self, kind, **more):
                if self.odd:
                    self.odd = False
                    raise KeyError("Metadata")
                return super().list(kind, **more)

        store = OddStore()
        watcher = DocumentWatcher(store, KIND, self._note)
        self.addCleanup(watcher.stop)
        watcher.start()
        store.put(KIND, "a", 1)
        self._wait(lambda: self.changes == [("a", False)])

    def test_document_that_stays_unreadable_is_told_once_for_each_cause(self):
        reasons = []

        def refuse(document, removed):
            if not removed and document.content != "good":
                raise UnreadableDocumentError(document.content)

        watcher = DocumentWatcher(self.store, KIND, refuse)
        watcher.on_unreadable(lambda document, reason: reasons.append(reason))
        contents = ["Slots", "Slots", "Slots", "State", "State", "good", "State"]
        for revision, content in enumerate(contents, 1):
            watcher._apply(Document(KIND, "a", revision, content), removed=False)
        self.assertEqual(reasons, ["Slots", "State", "State"])

    def test_another_copy_brings_the_news(self):
        self.watcher.take(self._page(5, ("a", 3), ("b", 5), whole=True))
        self.assertTrue(self.watcher.listed.is_set())
        self.watcher.take(self._page(8, ("b", 8), removed=("a",)))
        self.assertEqual(self.changes, [("a", False), ("b", False), ("a", True), ("b", False)])
        self.assertEqual(self.watcher.revision, 8)

    def test_older_copy_is_passed_over(self):
        self.watcher.take(self._page(8, ("b", 8), whole=True))
        self.watcher.take(self._page(7, ("a", 3), ("b", 5), whole=True))
        self.assertEqual(list(self.watcher.documents), ["b"])
        self.assertEqual(self.watcher.revision, 8)

    def test_late_answer_of_the_store_does_not_bring_back_what_is_gone(self):
        self.watcher.take(self._page(5, ("a", 3), whole=True))
        late = DocumentChanges((DocumentChange(Document(KIND, "a", 4, 1), False),), 4)
        self.watcher.take(self._page(6, removed=("a",)))
        self.watcher._take_changes(late)
        self.assertEqual(self.watcher.documents, {})
        self.assertEqual(self.watcher.revision, 6)

    def test_rests_while_the_store_need_not_be_asked(self):
        needed = gevent.event.Event()
        watcher = DocumentWatcher(self.store, KIND, self._note, needed=needed)
        self.addCleanup(watcher.stop)
        watcher.start()
        gevent.sleep(0.05)
        self.assertEqual(self.store.calls, {})
        self.store.put(KIND, "a", 1)
        needed.set()
        self._wait(lambda: self.changes == [("a", False)])

    def test_store_that_fails_is_tried_seldom_while_it_need_not_be_asked(self):
        """kitami-grown trouble-1: 25 refused nodes made 561 calls while they followed the feed."""
        needed = gevent.event.Event()
        needed.set()
        watcher = DocumentWatcher(
            self.store, KIND, self._note, needed=needed, resting_probe_seconds=60.0
        )
        self.addCleanup(watcher.stop)
        self.store.down = True
        watcher.start()
        self._wait(lambda: not watcher.reachable)
        needed.clear()
        gevent.sleep(1.0)
        calls = sum(self.store.calls.values())
        gevent.sleep(1.0)
        self.assertEqual(sum(self.store.calls.values()), calls)
        self.store.down = False
        needed.set()
        self._wait(lambda: watcher.reachable)

    def _page(self, revision, *documents, whole=False, removed=()):
        listed = tuple(Document(KIND, name, at, 1) for name, at in documents)
        return DocumentPage(KIND, revision, whole, listed, removed)

    def _come_back_without(self, lapse_seconds, outage_seconds, compacted=False):
        """Let documents vanish in an outage; returns the watcher once the store is back."""
        observed = ObservedStore(self.store, lambda: 0.01)
        watcher = DocumentWatcher(
            observed,
            KIND,
            self._note,
            watch_seconds=lambda: 0.02,
            lapse_seconds=lapse_seconds,
            returned_at=lambda: observed.returned_at,
        )
        self.addCleanup(watcher.stop)
        for name in ("a", "b"):
            self.store.put(KIND, name, 1)
        watcher.start()
        self._wait(watcher.listed.is_set)
        self.store.down = True
        self._wait(lambda: not watcher.reachable)
        observed.failing_since -= outage_seconds
        self.store.remove(KIND, "a")
        self.store.remove(KIND, "b")
        if compacted:
            self.store.compact()
        self.store.down = False
        self._wait(lambda: watcher.reachable)
        return watcher

    def test_what_lapsed_in_an_outage_is_kept_for_a_while_unless_it_comes_back(self):
        for compacted in (False, True):
            with self.subTest(compacted=compacted):
                watcher = self._come_back_without(0.4, OUTAGE_SECONDS, compacted)
                self.changes.clear()
                self.assertEqual(sorted(watcher.documents), ["a", "b"])
                self.store.put(KIND, "b", 2)
                self._wait(lambda: ("a", True) in self.changes)
                self.assertEqual(sorted(watcher.documents), ["b"])
                self.assertIn(("a", True), self.changes)
                self.assertNotIn(("b", True), self.changes)
                watcher.stop()

    def test_other_copies_hear_of_what_was_given_up(self):
        watcher = self._come_back_without(0.05, OUTAGE_SECONDS)
        known = watcher.revision
        self._wait(lambda: not watcher.documents)
        self.assertEqual(list(watcher.removals), [])
        self.store.put(KIND, "c", 1)
        self._wait(lambda: "c" in watcher.documents)
        self.assertEqual([name for at, name in watcher.removals if at > known], ["a", "b"])

    def test_what_is_removed_after_a_short_failure_goes_at_once(self):
        watcher = self._come_back_without(10.0, 0.0)
        self._wait(lambda: not watcher.documents)

    def test_word_of_another_copy_removes_what_lapsed(self):
        watcher = self._come_back_without(10.0, OUTAGE_SECONDS)
        watcher.take(self._page(watcher.revision + 1, removed=("a", "b")))
        self.assertEqual(watcher.documents, {})

    def test_refresh_gives_up_a_mute_watch(self):
        self.watcher.start()
        self._wait(self.watcher.listed.is_set)
        self.store._changed = gevent.event.Event()
        self.watcher.refresh("test")
        self.store.put(KIND, "a", 1)
        self._wait(lambda: self.changes == [("a", False)])


if __name__ == "__main__":
    unittest.main()
