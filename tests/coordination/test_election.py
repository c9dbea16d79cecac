"""Election and succession of the coordinator.

The delays named in :data:`SCALED` are a tenth of their usual values and the timeout of a watch is
0.1 s; all other delays have their usual values unless a test sets them. Nodes called ``disk-N`` are
preferred, nodes called ``edge-N`` are not.
"""

import contextlib
import unittest
from unittest import mock

import gevent

from runkeel.api.documents import Document, DocumentConflictError, DocumentKind
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.coordination import election as election_module
from runkeel.coordination import pings, succession
from runkeel.coordination.election import Candidate, Election
from runkeel.coordination.tentative_term import TentativeTerm
from runkeel.errors import ErrorCode, may_have_run
from runkeel.state import document_watcher
from runkeel.wire.generated.jobs.ttypes import CoordinatorPong, NodeAddress
from runkeel_lab.standins.document_store import MemoryDocumentStore, StoreFault
from runkeel_lab.standins.peer_network import MemoryNetwork

SCALED = {
    election_module: (
        "PING_INTERVAL_SECONDS",
        "FIRST_RANK_PING_INTERVAL_SECONDS",
        "UNRANKED_PING_INTERVAL_SECONDS",
        "START_JITTER_SECONDS",
        "NOT_PREFERRED_START_DELAY_SECONDS",
        "WITNESS_TIMEOUT_SECONDS",
    ),
    pings: ("PING_TIMEOUT_SECONDS",),
    succession: (
        "SILENCE_TIMEOUT_SECONDS",
        "RANK_DELAY_SECONDS",
        "NOT_PREFERRED_DELAY_SECONDS",
        "STORE_LOSS_TIMEOUT_SECONDS",
        "TENTATIVE_DELAY_SECONDS",
    ),
}
SCALE = 0.1
WAIT_TIMEOUT_SECONDS = 10.0
SETTLE_SECONDS = 1.0


class CutStore:
    """A store proxy whose connection can be cut for one node."""

    def __init__(self, store):
        self._store = store
        self.cut = False

    def __getattr__(self, name):
        method = getattr(self._store, name)

        def call(*arguments, **named):
            if self.cut:
                raise document_watcher.RunkeelError("store_unavailable", "cut")
            return method(*arguments, **named)

        return call


class DelayingStore:
    """A store proxy whose link can be cut: calls time out, and writes arrive once it heals."""

    def __init__(self, store):
        self._store = store
        self._late_writes = []
        self.cut = False
        self.reachable = True

    def get(self, kind, name, timeout_seconds=1.0, *arguments):
        return self._call(timeout_seconds, self._store.get, kind, name)

    def list(self, kind, timeout_seconds=1.0, *arguments, **named):
        return self._call(timeout_seconds, self._store.list, kind)

    def watch(self, kind, revision, wait_seconds):
        return self._call(29.0 * SCALE, self._store.watch, kind, revision, wait_seconds)

    def replace(self, kind, name, content, expected_revision, timeout_seconds=1.0):
        arguments = (kind, name, content, expected_revision)
        if self.cut:
            self._late_writes.append(arguments)
        return self._call(timeout_seconds, self._store.replace, *arguments)

    def heal(self):
        self.cut = False
        for arguments in self._late_writes:
            with contextlib.suppress(DocumentConflictError):
                self._store.replace(*arguments)

    def _call(self, timeout_seconds, method, *arguments):
        if self.cut:
            gevent.sleep(timeout_seconds)
            self.reachable = False
            raise may_have_run(ErrorCode.STORE_OUTCOME_UNKNOWN, "no answer")
        self.reachable = True
        return method(*arguments)


def time_out(node_id, message_type, message, reply_class, timeout_seconds):
    """A call into a partition, whose packets are dropped."""
    gevent.sleep(timeout_seconds)
    raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, "no answer")


class NoLease:
    """An order lease without a confirmation."""

    confirmation = (0, 0.0)

    def observe(self, revision, age_seconds):
        pass


class RecordedTerms:
    """Records the terms that a node begins and ends."""

    def __init__(self, name, terms, tentative, ended):
        self._name = name
        self._terms = terms
        self._tentative = tentative
        self._ended = ended

    def begin_term(self, epoch):
        self._terms.append((self._name, epoch))

    def begin_tentative_term(self, epoch):
        self._tentative.append((self._name, epoch))

    def end_term(self):
        self._ended.append(self._name)


class ElectionTest(unittest.TestCase):
    def setUp(self):
        for module in (election_module, pings, succession):
            for name in SCALED[module]:
                patch = mock.patch.object(module, name, getattr(module, name) * SCALE)
                patch.start()
                self.addCleanup(patch.stop)
        watch = mock.patch.object(document_watcher, "WATCH_TIMEOUT_SECONDS", 0.1)
        watch.start()
        self.addCleanup(watch.stop)
        self.store = MemoryDocumentStore()
        self.network = MemoryNetwork()
        self.terms = []
        self.tentative_terms = []
        self.ended_terms = []
        self.stores = {}

    def _node(self, name, preferred=True):
        self.stores[name] = CutStore(self.store)
        node = Election(
            self.stores[name],
            self.network.node(name),
            Candidate(name, "zone", "fleet", preferred),
            NoLease(),
            RecordedTerms(name, self.terms, self.tentative_terms, self.ended_terms),
            lambda: not self.stores[name].cut,
        )
        node.start(Address("127.0.0.1", 1))
        self.addCleanup(node.stop)
        return node

    def _nodes(self, *names, preferred=True):
        return [self._node(name, preferred) for name in names]

    def _wait(self, condition):
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline, f"terms so far: {self.terms}")
            gevent.sleep(0.01)

    def _coordinator(self, nodes):
        self._wait(lambda: sum(node.coordinating for node in nodes) == 1)
        gevent.sleep(SETTLE_SECONDS / 2)
        return next(node for node in nodes if node.coordinating)

    def test_one_of_several_is_elected(self):
        nodes = self._nodes("a", "b", "c")
        self._coordinator(nodes)
        self.assertEqual(len(self.terms), 1)

    def test_preferred_node_is_elected(self):
        nodes = [*self._nodes("edge-1", "edge-2", preferred=False), *self._nodes("disk-1")]
        self.assertEqual(self._coordinator(nodes).node_id, "disk-1")

    def test_preferred_node_is_elected_after_all_have_restarted(self):
        """A node that is not preferred must leave a silent coordinator to preferred ones."""
        content = {"node": "x", "address": "127.0.0.1:1", "zone": "zone", "epoch": 1}
        self.store.put(DocumentKind.COORDINATOR, "fleet", content)
        with mock.patch.object(succession, "NOT_PREFERRED_DELAY_SECONDS", WAIT_TIMEOUT_SECONDS):
            nodes = self._nodes("edge-1", "edge-2", preferred=False)
            gevent.sleep(SETTLE_SECONDS / 2)
            nodes += self._nodes("disk-1")
            self.assertEqual(self._coordinator(nodes).node_id, "disk-1")

    def test_restarted_coordinator_is_elected_again(self):
        """Another node must not take over first: it would have to wait before its first order."""
        content = {"node": "b", "address": "127.0.0.1:1", "zone": "zone", "epoch": 1}
        self.store.put(DocumentKind.COORDINATOR, "fleet", content)
        with mock.patch.object(succession, "RECLAIM_TIMEOUT_SECONDS", 4.0):
            nodes = self._nodes("a", "b", "c")
            self.assertEqual(self._coordinator(nodes).node_id, "b")
        self.assertEqual(self.terms, [("b", 2)])

    def test_takeover_delay_by_reported_state(self):
        silent = succession.takeover_delay_seconds(None)
        for reaches_store, expected in ((True, succession.RECLAIM_TIMEOUT_SECONDS), (False, 0.0)):
            pong = CoordinatorPong(False, 0, 0, reaches_store, [], 0, 0, [], 0)
            self.assertEqual(succession.takeover_delay_seconds(pong), expected)
        pong = CoordinatorPong(True, 0, 0, True, [], 0, 0, [], 1)
        self.assertEqual(succession.takeover_delay_seconds(pong), silent)

    def test_dead_coordinator_is_replaced_once(self):
        """Several nodes must not take over one after another, each from the one before."""
        nodes = self._nodes("a", "b", "c", "d")
        first = self._coordinator(nodes)
        self.network.unreachable.add(first.node_id)
        first.stop()
        others = [node for node in nodes if node is not first]
        self._coordinator(others)
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(len(self.terms), 2, self.terms)

    def test_coordinator_that_witnesses_reach_is_not_replaced(self):
        """A cut between two nodes must not make them replace each other in turn."""
        nodes = [*self._nodes("a", "b"), *self._nodes("e", "f", preferred=False)]
        first = self._coordinator(nodes)
        other = next(node for node in nodes[:2] if node is not first)
        gevent.sleep(SETTLE_SECONDS)
        self.network.cut(first.node_id, other.node_id)
        gevent.sleep(2 * SETTLE_SECONDS)
        self.assertEqual(len(self.terms), 1, self.terms)

    def test_replaced_coordinator_that_is_cut_off_does_not_come_back(self):
        """A replaced coordinator that is cut off from most nodes must not reclaim its term."""
        nodes = [*self._nodes("a", "b"), *self._nodes("e", "f", preferred=False)]
        first = self._coordinator(nodes)
        other = next(node for node in nodes[:2] if node is not first)
        gevent.sleep(SETTLE_SECONDS)
        self.stores[first.node_id].cut = True
        self.network.cut(first.node_id, "e")
        self._wait(lambda: other.coordinating and not first.coordinating)
        self.network.cut(first.node_id, other.node_id)
        self.stores[first.node_id].cut = False
        gevent.sleep(2 * SETTLE_SECONDS)
        self.assertEqual(len(self.terms), 2, self.terms)

    def test_replaced_coordinator_does_not_count_as_verified_by_a_late_answer(self):
        """Guards against readers that are told that a replaced coordinator's listing is current."""
        (node,) = self._nodes("a")
        self._coordinator([node])
        written_at = []

        def hold_back(*arguments):
            if written_at:
                gevent.sleep(WAIT_TIMEOUT_SECONDS)
            changes = self.store.watch(*arguments)
            content = {"node": "b", "address": "127.0.0.1:1", "zone": "zone", "epoch": 9}
            self.store.put(DocumentKind.COORDINATOR, "fleet", content)
            written_at.append(steady_seconds())
            gevent.sleep(0.6)
            return changes

        self.stores["a"].watch = hold_back
        node.watcher.restart_watch()
        gevent.sleep(0.05)
        self.store.put(DocumentKind.COORDINATOR, "other", {})
        self._wait(lambda: written_at)
        self._wait(
            lambda: steady_seconds() > written_at[0] + election_module.VERIFICATION_VALID_SECONDS
        )
        self.assertEqual((node.coordinating, node.verified), (True, False))

    def test_late_answer_to_a_claim_does_not_verify_the_term(self):
        """Guards against a term that counts as confirmed although it has ended meanwhile."""
        create = self.store.create
        claimed_at = []

        def hold_back(*arguments, **named):
            claimed_at.append(steady_seconds())
            document = create(*arguments, **named)
            self.store.watch = lambda *arguments: gevent.sleep(WAIT_TIMEOUT_SECONDS)
            gevent.sleep(0.3)
            return document

        self.store.create = hold_back
        (node,) = self._nodes("a")
        self._wait(lambda: node.coordinating)
        self.assertTrue(node.verified)
        self._wait(
            lambda: steady_seconds() > claimed_at[0] + election_module.VERIFICATION_VALID_SECONDS
        )
        self.assertEqual((node.coordinating, node.verified), (True, False))

    def test_coordinator_cut_from_the_store_is_replaced(self):
        nodes = self._nodes("a", "b", "c")
        first = self._coordinator(nodes)
        self.stores[first.node_id].cut = True
        self._wait(lambda: any(node.coordinating for node in nodes if node is not first))
        self._wait(lambda: not first.coordinating)

    def test_replaced_coordinator_knows_its_successor_without_the_store(self):
        nodes = self._nodes("a", "b", "c")
        first = self._coordinator(nodes)
        self.stores[first.node_id].cut = True
        self._wait(lambda: first.known_successor is not None)
        successor = next(node for node in nodes if node.coordinating)
        self.assertEqual(first.known_successor.node_id, successor.node_id)
        self.assertEqual(first.known_successor.epoch, 2)

    def test_unranked_nodes_learn_of_a_successor_without_the_store(self):
        """Unranked nodes must not all have to read the store after a change of coordinator."""
        disks = self._nodes("disk-1", "disk-2", "disk-3")
        edges = self._nodes("edge-1", "edge-2", preferred=False)
        first = self._coordinator([*disks, *edges])
        gevent.sleep(SETTLE_SECONDS)
        for edge in edges:
            self.stores[edge.node_id].cut = True
        self.network.unreachable.add(first.node_id)
        first.stop()
        self._wait(lambda: all(edge.coordinator.epoch == 2 for edge in edges))
        successor = next(node for node in disks if node.coordinating and node is not first)
        for edge in edges:
            self.assertEqual(edge.coordinator.node_id, successor.node_id)

    def test_update_of_a_replaced_coordinator_is_ignored(self):
        (node,) = self._nodes("a")
        self._coordinator([node])
        node.note_successor(NodeAddress("z", "127.0.0.1:1", "zone"), 7)
        self.assertFalse(node.coordinating)
        content = {"node": "b", "address": "127.0.0.1:1", "zone": "zone", "epoch": 6}
        document = Document(DocumentKind.COORDINATOR, "fleet", 99, content)
        node._on_document_changed(document, removed=False)
        self.assertEqual(node.coordinator.node_id, "z")

    def test_planned_stop_hands_over_at_the_next_ping(self):
        """The successor of a node that is being drained must not wait for the silence timeout."""
        with mock.patch.object(succession, "SILENCE_TIMEOUT_SECONDS", 60.0):
            nodes = self._nodes("a", "b")
            first = self._coordinator(nodes)
            first.leave()
            self._wait(lambda: any(node.coordinating for node in nodes if node is not first))

    def test_preferred_node_takes_over_after_an_outage_of_the_store(self):
        """The delay of nodes that are not preferred must hold again after a store outage."""
        edges = self._nodes("edge-1", "edge-2", preferred=False)
        disks = self._nodes("disk-1", "disk-2")
        first = self._coordinator([*edges, *disks])
        for name in ("disk-1", "disk-2", "edge-1", "edge-2"):
            self.stores[name].cut = True
        self.network.unreachable.add(first.node_id)
        first.stop()
        gevent.sleep(4 * SETTLE_SECONDS)
        self.assertEqual(len(self.terms), 1, self.terms)
        for name in ("edge-1", "edge-2", "disk-1", "disk-2"):
            self.stores[name].cut = False
        others = [node for node in [*edges, *disks] if node is not first]
        self.assertIn(self._coordinator(others).node_id, ("disk-1", "disk-2"))

    def _cut_all(self, cut):
        for store in self.stores.values():
            store.cut = cut

    def _store_outage_without_coordinator(self, nodes):
        """Cut all nodes from the store and stop the coordinator; returns the coordinator."""
        first = self._coordinator(nodes)
        gevent.sleep(SETTLE_SECONDS)
        self._cut_all(True)
        gevent.sleep(SETTLE_SECONDS)
        self.network.unreachable.add(first.node_id)
        first.stop()
        return first

    def test_one_node_begins_a_tentative_term_in_a_store_outage(self):
        """Items must keep running when the coordinator is lost during a store outage."""
        nodes = self._nodes("a", "b", "c", "d")
        first = self._store_outage_without_coordinator(nodes)
        others = [node for node in nodes if node is not first]
        self._wait(lambda: any(node.tentative for node in others))
        gevent.sleep(2 * SETTLE_SECONDS)
        (tentative,) = [node for node in others if node.tentative]
        self.assertFalse(any(node.coordinating for node in others))
        self.assertEqual(self.tentative_terms, [(tentative.node_id, 2)])
        self._cut_all(False)
        self._wait(lambda: tentative.coordinating)
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(self.terms[1:], [(tentative.node_id, 2)])
        self.assertEqual(self.ended_terms, [])

    def test_tentative_term_ends_when_the_coordinator_serves_again(self):
        nodes = self._nodes("a", "b", "c")
        first = self._coordinator(nodes)
        gevent.sleep(SETTLE_SECONDS)
        self._cut_all(True)
        gevent.sleep(SETTLE_SECONDS)
        self.network.unreachable.add(first.node_id)
        others = [node for node in nodes if node is not first]
        self._wait(lambda: any(node.tentative for node in others))
        self.network.unreachable.clear()
        self._wait(lambda: not any(node.tentative for node in others))
        # A coordinator without the store would be replaced by a node that reaches it.
        self.stores[first.node_id].cut = False
        self._wait(first._reaches_store)
        gevent.sleep(SETTLE_SECONDS)
        self._cut_all(False)
        gevent.sleep(SETTLE_SECONDS)
        self.assertTrue(first.coordinating)
        self.assertEqual(len(self.terms), 1, self.terms)
        self.assertEqual(len(self.ended_terms), 1, self.ended_terms)

    def _partition(self, nodes, inside):
        """Cut nodes off from the others and from the store."""
        for node in inside:
            self.stores[node.node_id].cut = True
            for other in nodes:
                if other not in inside:
                    self.network.cut(node.node_id, other.node_id)

    def _heal(self, inside):
        """End the partition; the connections across it are not used until they are replaced."""
        self.network.heal_without_reconnecting()
        for node in inside:
            self.stores[node.node_id].cut = False

    def test_node_with_a_tentative_term_does_not_replace_a_healthy_coordinator(self):
        """Guards against running all items again when a partition heals."""
        nodes = self._nodes("a", "b", "c", "d")
        first = self._coordinator(nodes)
        gevent.sleep(SETTLE_SECONDS)
        inside = [node for node in nodes if node is not first][:2]
        self._partition(nodes, inside)
        self._wait(lambda: any(node.tentative for node in inside))
        self._heal(inside)
        self._wait(lambda: not any(node.tentative for node in inside))
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(len(self.terms), 1, self.terms)

    def test_node_that_was_cut_off_does_not_replace_a_healthy_coordinator(self):
        """Guards against running all items again when a partition heals."""
        nodes = self._nodes("a", "b", "c", "d")
        first = self._coordinator(nodes)
        gevent.sleep(SETTLE_SECONDS)
        inside = [next(node for node in nodes if node is not first)]
        self._partition(nodes, inside)
        with mock.patch.object(TentativeTerm, "may_begin", lambda *arguments: False):
            gevent.sleep(SETTLE_SECONDS)
            self._heal(inside)
            gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(len(self.terms), 1, self.terms)

    def test_claim_sent_into_a_partition_does_not_replace_a_healthy_coordinator(self):
        """Guards against a claim that the store receives only once the partition has healed."""
        store = DelayingStore(self.store)
        nodes = self._nodes("a", "b", "c", "d")
        first = self._coordinator(nodes)
        gevent.sleep(SETTLE_SECONDS)
        inside = min(
            (one for one in nodes if one is not first), key=lambda one: one._succession._rank
        )
        self.assertEqual(inside._succession._rank, 0)
        inside._store = inside._watcher._store = store
        inside._store_reachable = lambda: store.reachable
        gevent.sleep(SETTLE_SECONDS)
        with (
            mock.patch.object(election_module, "STORE_PROBE_TIMEOUT_SECONDS", 0.5 * SCALE),
            mock.patch.object(election_module, "CLAIM_TIMEOUT_SECONDS", 0.6 * SCALE),
            mock.patch.object(election_module, "PING_RETRY_SECONDS", 0.05 * SCALE),
            mock.patch.object(TentativeTerm, "may_begin", lambda *arguments: False),
        ):
            store.cut = True
            inside._network.call = time_out
            gevent.sleep(SETTLE_SECONDS)
            del inside._network.call
            store.heal()
            gevent.sleep(SETTLE_SECONDS)
        self.assertEqual(len(self.terms), 1, self.terms)

    def test_simultaneous_tentative_terms(self):
        """Of two nodes that began tentative terms at the same time, only one may remain."""
        nodes = self._nodes("a", "b", "c")
        first = self._store_outage_without_coordinator(nodes)
        others = [node for node in nodes if node is not first]
        self._wait(lambda: any(node.tentative for node in others))
        for node in others:
            if not node.tentative:
                node._tentative.begin(node.coordinator)
        self._wait(lambda: sum(node.tentative for node in others) == 1)
        (remaining,) = [node for node in others if node.tentative]
        self.assertEqual(remaining.node_id, min(node.node_id for node in others))

    def test_claim_whose_answer_was_lost_confirms_the_term(self):
        nodes = self._nodes("a", "b", "c")
        first = self._coordinator(nodes)
        gevent.sleep(SETTLE_SECONDS)
        self.network.unreachable.add(first.node_id)
        first.stop()
        others = [node for node in nodes if node is not first]
        self.store.fail_next_write(StoreFault.RESPONSE_LOST, 1)
        self._wait(lambda: any(node.coordinating for node in others))
        gevent.sleep(SETTLE_SECONDS)
        self.assertEqual([epoch for _, epoch in self.terms], [1, 2], self.terms)

    def test_no_tentative_term_while_another_node_reaches_the_store(self):
        nodes = [*self._nodes("a", "b", "c")]
        first = self._coordinator(nodes)
        gevent.sleep(SETTLE_SECONDS)
        others = [node for node in nodes if node is not first]
        self.stores[others[0].node_id].cut = True
        self.network.unreachable.add(first.node_id)
        first.stop()
        self._wait(lambda: others[1].coordinating)
        self.assertEqual(self.tentative_terms, [])

    def test_nobody_takes_over_while_the_store_is_down(self):
        nodes = self._nodes("a", "b", "c")
        self._coordinator(nodes)
        self.store.down = True
        gevent.sleep(2 * SETTLE_SECONDS)
        self.assertEqual(len(self.terms), 1, self.terms)


if __name__ == "__main__":
    unittest.main()
