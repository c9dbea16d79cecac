"""Nodes follow the coordinator's copy and read the store only when they can't."""

import unittest
import unittest.mock
from types import SimpleNamespace

import gevent

from runkeel.api.documents import DocumentKind
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.coordination import document_feed, feed_follower
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.coordination.document_feed import DocumentFeed
from runkeel.coordination.feed_follower import FeedFollower
from runkeel.errors import ErrorCode, not_run
from runkeel.state import document_watcher
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.jobs.ttypes import FeedReadReply, FeedState
from runkeel_lab.standins.document_store import MemoryDocumentStore
from runkeel_lab.standins.peer_network import MemoryNetwork
from tests.garbage_collection import suspend_garbage_collection

KIND = DocumentKind.BACKEND
WAIT_TIMEOUT_SECONDS = 10.0
WATCH_SECONDS = 0.2
GRACE_SECONDS = 1.0
PROPAGATION_SECONDS = 3.0
EXPIRY_SECONDS = 0.1


class _Node:
    """The feed as a fleet node uses it; the test sets who coordinates."""

    def __init__(self, network, store, name, grace=0.0, retention=0.0):
        self.name = name
        self.recovered_at = 0.0
        self.coordinator = None
        self.since = None
        self.successor = None
        self.reported = []
        peers = network.node(name)
        self.follower = FeedFollower(
            peers,
            "fleet",
            lambda: self.coordinator,
            grace_seconds=grace,
            on_successor=lambda address, epoch: self.reported.append((address.node_id, epoch)),
        )
        self.watcher = DocumentWatcher(
            store,
            KIND,
            self._changed,
            watch_seconds=lambda: WATCH_SECONDS,
            store_needed=self.follower.store_needed,
            expiry_grace_seconds=retention,
            recovered_at=lambda: self.recovered_at,
        )
        self.feed = DocumentFeed(
            peers, [self.watcher], lambda: self.since, successor=lambda: self.successor
        )
        self.insignificant = set()

    def _changed(self, document, removed):
        if document.content not in self.insignificant:
            self.feed.record_change(document, removed)

    def start(self):
        self.watcher.start()
        self.follower.start([self.watcher])

    def coordinate(self):
        self.since = steady_seconds()
        self.coordinator = None
        self.follower.use_store("coordinates")
        self.watcher.restart_watch()

    def stop(self):
        self.follower.stop()
        self.watcher.stop()

    @property
    def following(self):
        return not self.follower.store_needed.is_set()

    @property
    def content(self):
        return {name: one.content for name, one in self.watcher.documents.items()}


class DocumentFeedTest(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.objects = MemoryDocumentStore()
        self.objects.put(KIND, "s1", "ready")
        self.coordinator = self._node("c", self.objects)
        self.coordinator.coordinate()
        self.wait(lambda: self.coordinator.content)

    def _node(self, name, store, grace=0.0):
        node = _Node(self.network, store, name, grace)
        node.start()
        self.addCleanup(node.stop)
        return node

    def follow(self, node, coordinator):
        node.coordinator = SimpleNamespace(node_id=coordinator.name, epoch=1)

    def follower(self, name="n", grace=0.0):
        """Return a node that follows the feed, and its connection to the store."""
        store = _StoreConnection(self.objects)
        node = self._node(name, store, grace)
        self.follow(node, self.coordinator)
        self.wait(lambda: node.following)
        return node, store

    def wait(self, condition, seconds=WAIT_TIMEOUT_SECONDS):
        deadline = steady_seconds() + seconds
        while not condition():
            self.assertLess(steady_seconds(), deadline, "timed out")
            gevent.sleep(0.01)

    def test_changes_arrive_without_calls_to_the_store(self):
        node, store = self.follower()
        gevent.sleep(2 * WATCH_SECONDS)
        before = store.calls
        self.objects.put(KIND, "s1", "draining")
        self.objects.put(KIND, "s2", "ready")
        self.wait(lambda: node.content == {"s1": "draining", "s2": "ready"})
        self.objects.remove(KIND, "s1")
        self.wait(lambda: node.content == {"s2": "ready"})
        self.assertEqual(store.calls, before)

    def test_node_that_the_store_refuses_gets_updates(self):
        node, store = self.follower()
        store.refused = True
        self.objects.put(KIND, "s1", "draining")
        self.wait(lambda: node.content == {"s1": "draining"})

    def test_store_is_read_when_the_coordinator_is_silent(self):
        node, _ = self.follower()
        self.network.unreachable.add("c")
        self.objects.put(KIND, "s1", "draining")
        self.wait(lambda: node.content == {"s1": "draining"}, 2.0)
        self.assertFalse(node.following)

    def test_store_is_read_when_the_coordinator_is_stale(self):
        """The coordinator's copy is no longer confirmed, while others reach the store."""
        node, _ = self.follower()
        self.coordinator.watcher.stop()
        self.objects.put(KIND, "s1", "draining")
        self.wait(
            lambda: node.content == {"s1": "draining"},
            document_feed.MAX_COPY_AGE_SECONDS + WATCH_SECONDS,
        )

    def test_store_is_not_read_during_the_grace_period(self):
        """A short loss of the feed must not make all nodes read the store."""
        node, store = self.follower(grace=GRACE_SECONDS)
        gevent.sleep(2 * WATCH_SECONDS)
        before = store.calls
        self.network.unreachable.add("c")
        gevent.sleep(GRACE_SECONDS / 2)
        self.network.unreachable.clear()
        self.objects.put(KIND, "s1", "draining")
        self.wait(lambda: node.content == {"s1": "draining"})
        gevent.sleep(GRACE_SECONDS)
        self.assertEqual((store.calls, node.following), (before, True))

    def test_store_is_read_after_the_grace_period(self):
        """The age of the copy plus the grace period must stay below the propagation time."""
        propagation = 4.0
        max_copy_age = document_feed.max_copy_age_seconds(propagation)
        held = feed_follower.max_hold_seconds(propagation) + feed_follower.ANSWER_TIMEOUT_SECONDS
        grace = feed_follower.grace_seconds(propagation, max_copy_age)
        self.assertGreater(grace, 1.0)
        self.assertLess(
            max(max_copy_age, held) + grace + feed_follower.RETRY_SECONDS, propagation - 0.9
        )
        node, _ = self.follower(grace=GRACE_SECONDS)
        self.network.unreachable.add("c")
        self.objects.put(KIND, "s1", "draining")
        self.wait(lambda: node.content == {"s1": "draining"}, GRACE_SECONDS + 1.5)
        self.assertFalse(node.following)

    def test_retry_at_a_silent_coordinator_does_not_outlast_the_grace_period(self):
        """Changes would reach this node later than the propagation time allows."""
        node, _ = self.follower(grace=GRACE_SECONDS)
        self.wait(lambda: node.follower.following)
        timeouts = []

        def record_timeout(*arguments):
            timeouts.append(arguments[-1])
            return call(*arguments)

        call = node.follower._network.call
        with unittest.mock.patch.object(node.follower._network, "call", record_timeout):
            self.network.unresponsive.add("c")
            self.wait(lambda: not node.following)
        retries = timeouts[1:]
        self.assertGreater(len(retries), 0)
        self.assertLessEqual(sum(retries), GRACE_SECONDS)

    def follower_for_propagation_time(self):
        max_copy_age = document_feed.max_copy_age_seconds(PROPAGATION_SECONDS)
        node, _ = self.follower(
            grace=feed_follower.grace_seconds(PROPAGATION_SECONDS, max_copy_age)
        )
        self.wait(lambda: node.follower.following)
        return node

    def check_change_arrives_in_time(self, node, written_at):
        deadline = written_at + PROPAGATION_SECONDS
        self.wait(lambda: node.content.get("s1") == "draining", deadline - steady_seconds())

    def test_change_arrives_in_time_if_a_coordinator_that_lost_the_store_falls_silent(self):
        """Its last reply passes for a fresh one, although its copy is as old as it may be."""
        node = self.follower_for_propagation_time()
        call = node.follower._network.call
        written_at = []

        def reply_once_from_an_old_copy(*arguments):
            if self.network.unresponsive:
                return call(*arguments)
            self.objects.put(KIND, "s1", "draining")
            written_at.append(steady_seconds())
            gevent.sleep(feed_follower.max_hold_seconds(PROPAGATION_SECONDS))
            self.network.unresponsive.add("c")
            return FeedReadReply(FeedState.CURRENT, [], None, 0)

        with unittest.mock.patch.object(
            node.follower._network, "call", reply_once_from_an_old_copy
        ):
            self.wait(lambda: self.network.unresponsive)
            self.check_change_arrives_in_time(node, written_at[0])

    def test_change_arrives_in_time_if_the_coordinator_falls_silent_after_a_late_reply(self):
        """A reply that a link held back passes for a fresh one."""
        node = self.follower_for_propagation_time()
        call = node.follower._network.call
        written_at = []

        def delay_one_reply(*arguments):
            if self.network.unresponsive:
                return call(*arguments)
            gevent.spawn_later(0.1, self.objects.put, KIND, "s2", "ready")
            reply = call(*arguments)
            self.objects.put(KIND, "s1", "draining")
            written_at.append(steady_seconds())
            gevent.sleep(arguments[-1] - 0.2)
            self.network.unresponsive.add("c")
            return reply

        with unittest.mock.patch.object(node.follower._network, "call", delay_one_reply):
            self.wait(lambda: self.network.unresponsive)
            self.check_change_arrives_in_time(node, written_at[0])

    def test_reply_says_when_the_store_last_confirmed_the_copy(self):
        """Guards against followers that take an old copy for a fresh one."""
        self.wait(lambda: self.coordinator.feed.read({}, 0.0).state == FeedState.CURRENT)
        self.coordinator.watcher.stop()
        gevent.sleep(WATCH_SECONDS)
        started = steady_seconds()
        reply = self.coordinator.feed.read({}, 0.0)
        latest = self.coordinator.watcher.current_as_of - started
        self.assertLess(reply.confirmed_after_ms, 0)
        self.assertLessEqual(reply.confirmed_after_ms / 1000.0, latest)
        self.assertGreater(reply.confirmed_after_ms / 1000.0, latest - 0.1)

    def test_held_reply_counts_from_the_last_confirmation_while_it_was_held(self):
        self.wait(lambda: self.coordinator.feed.read({}, 0.0).state == FeedState.CURRENT)
        revisions = {str(KIND): self.coordinator.watcher.revision}
        reply = self.coordinator.feed.read(revisions, 3 * WATCH_SECONDS)
        self.assertGreater(reply.confirmed_after_ms, 0)

    def test_confirmation_of_the_copy_ends_the_hold_of_a_reply(self):
        """Guards against nodes that all read the store when a coordinator falls silent.

        They would know only of a confirmation from before the hold.
        """
        self.wait(lambda: self.coordinator.feed.read({}, 0.0).state == FeedState.CURRENT)
        revisions = {str(KIND): self.coordinator.watcher.revision}
        started = steady_seconds()
        reply = self.coordinator.feed.read(revisions, 2 * WAIT_TIMEOUT_SECONDS)
        self.assertLess(steady_seconds() - started, document_feed.MAX_HOLD_SECONDS / 2)
        self.assertEqual((reply.state, reply.pages), (FeedState.CURRENT, []))

    def test_successor_is_read_at_once_while_a_reply_of_the_predecessor_is_awaited(self):
        """Guards against nodes that wait for a silent coordinator until they read the store."""
        node, store = self.follower(grace=GRACE_SECONDS)
        successor, _ = self.follower("d")
        self.wait(lambda: node.follower.following and successor.content)
        self.network.unresponsive.add("c")
        gevent.sleep(3 * WATCH_SECONDS)
        before = store.calls
        successor.coordinate()
        self.follow(node, successor)
        node.follower.on_coordinator_changed()
        self.objects.put(KIND, "s1", "draining")
        self.wait(lambda: node.content == {"s1": "draining"}, 3 * WATCH_SECONDS)
        self.assertEqual((store.calls, node.following), (before, True))

    def replace_replies_by_those_of_an_older_build(self, node):
        """Remove the field that an older build does not send; count the reads of the feed."""
        call = node.follower._network.call
        reads = []

        def call_older_build(*arguments):
            reads.append(steady_seconds())
            reply = call(*arguments)
            reply.confirmed_after_ms = None
            return reply

        patch = unittest.mock.patch.object(node.follower._network, "call", call_older_build)
        patch.start()
        self.addCleanup(patch.stop)
        return reads

    def test_nodes_do_not_read_the_store_while_the_coordinator_is_of_an_older_build(self):
        """Guards against an upgrade in which all nodes read the store."""
        suspend_garbage_collection(self)
        for propagation in (2.0, PROPAGATION_SECONDS):
            with self.subTest(propagation=propagation):
                max_copy_age = document_feed.max_copy_age_seconds(propagation)
                node, store = self.follower(
                    f"n{propagation}", feed_follower.grace_seconds(propagation, max_copy_age)
                )
                self.wait(lambda node=node: node.follower.following)
                reads = self.replace_replies_by_those_of_an_older_build(node)
                gevent.sleep(2 * feed_follower.MAX_HOLD_SECONDS)
                before = store.calls, len(reads)
                self.objects.put(KIND, "s1", f"draining {propagation}")
                self.wait(
                    lambda node=node: node.content["s1"] == self.objects.get(KIND, "s1").content
                )
                gevent.sleep(3.0)
                self.assertEqual((store.calls, node.following), (before[0], True))
                self.assertLess(len(reads) - before[1], 3.0 / feed_follower.MIN_HOLD_SECONDS)

    def test_older_build_understands_a_reply_with_the_age_of_the_copy(self):
        reply = self.coordinator.feed.read({}, 0.0)
        reply.confirmed_after_ms = -300
        older = decode(_OlderFeedReadReply, encode(reply))
        self.assertEqual((older.state, older.pages), (reply.state, reply.pages))

    def test_feed_is_followed_after_an_unexpected_error_of_a_listener(self):
        node, _ = self.follower()
        changed = []

        def fail_once(document, removed):
            changed.append(document.name)
            assert len(changed) > 1, "a bug"

        node.watcher.on_change(fail_once)
        self.objects.put(KIND, "s2", "ready")
        self.wait(lambda: changed)
        self.objects.put(KIND, "s3", "ready")
        self.wait(lambda: "s3" in node.content)

    def test_no_grace_period_for_a_short_propagation_time(self):
        self.assertEqual(
            feed_follower.grace_seconds(2.0, document_feed.max_copy_age_seconds(2.0)), 0.0
        )

    def test_replaced_coordinator_reports_its_successor(self):
        """Otherwise each node would read the store to find the new coordinator."""
        node, _ = self.follower(grace=WAIT_TIMEOUT_SECONDS)
        address = Address("127.0.0.1", 1)
        self.coordinator.successor = Coordinator("d", address, "zone", 2)
        self.coordinator.since = None
        self.coordinator.feed.wake()
        self.wait(lambda: ("d", 2) in node.reported)

    def test_coordinator_of_a_new_term_is_stale_until_the_store_has_confirmed_its_copy(self):
        node = self._node("d", self.objects)
        self.wait(lambda: node.content)
        node.watcher.stop()
        node.since = steady_seconds()
        self.assertEqual(node.feed.read({}, 0.0).state, FeedState.STALE)

    def test_node_that_does_not_coordinate_says_so_at_once(self):
        node, _ = self.follower()
        self.coordinator.since = None
        self.coordinator.feed.wake()
        self.wait(lambda: not node.following, 1.0)

    def test_revision_of_an_unchanged_copy_advances(self):
        """A watch from a revision that the store has compacted would require a list."""
        node, _ = self.follower()
        latest = self.objects.put(DocumentKind.JOB, "another kind", 1).revision
        self.wait(lambda: node.watcher.revision >= latest)

    def test_starting_node_does_not_read_the_store_if_the_coordinator_answers(self):
        store = _StoreConnection(self.objects)
        node = _Node(self.network, store, "n")
        self.follow(node, self.coordinator)
        node.start()
        self.addCleanup(node.stop)
        self.wait(lambda: node.content)
        self.assertEqual(store.calls, 0)

    def test_starting_node_soon_reads_the_store_if_the_coordinator_hangs(self):
        """The node refuses clients until it has documents."""
        self.network.unresponsive.add("c")
        node = _Node(self.network, self.objects, "n")
        self.follow(node, self.coordinator)
        with unittest.mock.patch.object(
            feed_follower, "ANSWER_TIMEOUT_SECONDS", WAIT_TIMEOUT_SECONDS
        ):
            node.start()
            self.addCleanup(node.stop)
            self.wait(lambda: node.content, WAIT_TIMEOUT_SECONDS / 2)

    def test_insignificant_changes_are_not_sent(self):
        node, _ = self.follower()
        gevent.sleep(2 * WATCH_SECONDS)
        self.coordinator.insignificant.add("heartbeat")
        self.objects.put(KIND, "s1", "heartbeat")
        self.objects.put(KIND, "s2", "ready")
        self.wait(lambda: "s2" in node.content)
        self.assertEqual(node.content["s1"], "ready")

    def test_page_for_a_current_copy_is_empty(self):
        self.objects.put(DocumentKind.JOB, "other kinds raise the revision", 1)
        revision = self.coordinator.watcher.revision
        self.objects.put(KIND, "s3", "heartbeat")
        self.coordinator.insignificant.add("heartbeat")
        self.wait(lambda: self.coordinator.watcher.revision > revision)
        (page,) = self.coordinator.feed.read({str(KIND): revision}, 0.0).pages
        self.assertEqual((page.whole, page.documents, page.removed), (False, [], []))

    def test_next_coordinator_continues_from_the_known_revision(self):
        node, _ = self.follower()
        successor, _ = self.follower("d")
        self.objects.put(KIND, "s2", "ready")
        self.wait(lambda: "s2" in node.content and "s2" in successor.content)
        successor.coordinate()
        revision = successor.watcher.revision
        self.coordinator.since = None
        self.follow(node, successor)
        self.objects.remove(KIND, "s1")
        self.wait(lambda: node.following and node.content == {"s2": "ready"})
        pages = successor.feed.read({str(KIND): revision}, 0.0).pages
        self.assertEqual([(page.whole, page.removed) for page in pages], [(False, ["s1"])])

    def test_server_removed_in_a_gap_of_the_history_is_dropped(self):
        """The next coordinator lists after a gap in its history and never knew the server."""
        revision = self.coordinator.watcher.revision
        self.objects.put(KIND, "s7", "ready")
        known = self.objects.revision
        self.objects.remove(KIND, "s7")
        successor = _Node(self.network, self.objects, "d")
        successor.watcher.revision = revision
        self.objects.compact()
        successor.coordinate()
        successor.start()
        self.addCleanup(successor.stop)
        self.wait(lambda: successor.content)
        (page,) = successor.feed.read({str(KIND): known}, 0.0).pages
        self.assertTrue(page.whole or "s7" in page.removed)

    def test_unknown_removals_make_the_page_whole(self):
        revision = self.coordinator.watcher.revision
        with unittest.mock.patch.object(document_watcher, "MAX_REMOVALS", 1):
            for name in ("s5", "s6"):
                self.objects.put(KIND, name, "ready")
                self.wait(lambda name=name: name in self.coordinator.content)
                self.objects.remove(KIND, name)
                self.wait(lambda name=name: name not in self.coordinator.content)
        (page,) = self.coordinator.feed.read({str(KIND): revision}, 0.0).pages
        self.assertTrue(page.whole)


class ExpiredDocumentsTest(unittest.TestCase):
    """Documents that expire during a store outage and are written again afterwards.

    A coordinator that kept them through the outage sees no change when they are written again; a
    node that read the store itself and dropped them must be notified all the same.
    """

    def start(self):
        self.store = MemoryDocumentStore()
        self.network = MemoryNetwork()
        self.store.put(KIND, "s1", "ready")
        self.coordinator = self.node("c", WAIT_TIMEOUT_SECONDS)
        self.coordinator.since = 0.0
        self.follower = self.node("n", EXPIRY_SECONDS)
        for node in (self.coordinator, self.follower):
            node.watcher._step()

    def node(self, name, retention):
        return _ServerNode(self.network, self.store, name, retention=retention)

    def expire(self, *nodes):
        """Let the document expire; the given nodes notice the outage and read the store."""
        self.store.remove(KIND, "s1")
        for node in nodes:
            node.see_outage()
            node.watcher._step()

    def read_feed(self):
        """Have the follower read the feed once."""
        revision = self.follower.watcher.revision
        self.follower.follower._watchers = {KIND: self.follower.watcher}
        for page in self.coordinator.feed.read({str(KIND): revision}, 0.0).pages:
            self.follower.follower._apply_page(page)

    def expire_until_it_is_dropped(self):
        self.expire(self.coordinator, self.follower)
        gevent.sleep(2 * EXPIRY_SECONDS)
        self.assertEqual(self.follower.content, {})

    def expire_until_it_is_about_to_be_dropped(self):
        self.expire(self.coordinator, self.follower)
        self.assertEqual(self.follower.content, {"s1": "ready"})

    def expire_in_an_unseen_outage(self):
        self.expire(self.coordinator)
        self.follower.watcher._step()
        self.assertEqual(self.follower.content, {})

    def test_reappearance_is_sent_to_a_node_that_dropped_the_document(self):
        for expire_document in (
            self.expire_until_it_is_dropped,
            self.expire_until_it_is_about_to_be_dropped,
            self.expire_in_an_unseen_outage,
        ):
            with self.subTest(expire_document.__name__):
                self.start()
                expire_document()
                self.assertEqual(self.coordinator.content, {"s1": "ready"})
                self.store.put(KIND, "s1", "ready")
                self.coordinator.watcher._step()
                self.read_feed()
                gevent.sleep(2 * EXPIRY_SECONDS)
                self.assertEqual(self.follower.content, {"s1": "ready"})

    def test_reappearance_in_a_list_is_sent(self):
        """The coordinator, whose history is lost, lists only after the document is back."""
        self.start()
        self.expire_until_it_is_dropped()
        self.store.put(KIND, "s1", "ready")
        self.store.compact()
        self.coordinator.watcher._list_due = True
        self.coordinator.watcher._step()
        self.read_feed()
        self.assertEqual(self.follower.content, {"s1": "ready"})


class _ServerNode(_Node):
    """A node whose feed, as for servers, omits documents that are rewritten without a change."""

    def _changed(self, document, removed):
        states = self.__dict__.setdefault("states", {})
        before = states.pop(document.name, None)
        if not removed:
            states[document.name] = document.content
        if removed or before != document.content:
            self.feed.record_change(document, removed)

    def see_outage(self):
        """Make this node see the end of a store outage now."""
        self.recovered_at = steady_seconds()


class _OlderFeedReadReply:
    """The reply as a build knows it that does not have the age of the copy."""

    thrift_spec = FeedReadReply.thrift_spec[:6]

    def __init__(self, state=None, pages=None, successor=None, successor_epoch=None, copies=None):
        self.state = state
        self.pages = pages
        self.successor = successor
        self.successor_epoch = successor_epoch
        self.copies = copies

    def read(self, protocol):
        protocol._fast_decode(self, protocol, [type(self), self.thrift_spec])


class _StoreConnection:
    """One node's connection to the store: counts calls and refuses them on demand."""

    def __init__(self, store):
        self._store = store
        self.refused = False
        self.calls = 0

    def __getattr__(self, name):
        method = getattr(self._store, name)

        def call(*arguments, **named):
            self.calls += 1
            if self.refused:
                raise not_run(ErrorCode.STORE_UNAVAILABLE, "refused")
            return method(*arguments, **named)

        return call


if __name__ == "__main__":
    unittest.main()
