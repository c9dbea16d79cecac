import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.state import spread as spread_module
from runkeel.state.push_tree import PAGE_BYTES, tree_children
from runkeel.state.replicated_state import RecordSource
from runkeel.state.versioned_record import VersionedRecord
from runkeel.wire.generated.state.ttypes import StatePush
from tests.state.fakes import FakeCluster


def record(name: str, generation: int = 1, size: int = 100) -> VersionedRecord:
    return VersionedRecord("service", name, generation, b'"' + b"x" * size + b'"')


class PushTreeTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 90), st.data())
    def test_tree_reaches_every_member_once(self, size, data):
        members = [f"n{index:02}" for index in range(size)]
        root = data.draw(st.sampled_from(members))
        reached = [root]
        for node_id in reached:
            reached.extend(tree_children(members, root, node_id))
        self.assertEqual(sorted(reached), members)


class SpreadTest(unittest.TestCase):
    def setUp(self):
        self.cluster = FakeCluster()
        self.addCleanup(self.cluster.close)
        for zone in "abc":
            for index in range(12):
                self.cluster.add(f"{zone}{index:02}", zone)
        self.nodes = self.cluster.nodes

    def accept(self, node_id, *records):
        node = self.nodes[node_id]
        node.spread.push(node.state.apply(records, RecordSource.WRITE))
        self.cluster.settle()

    def holders(self, generation=1):
        return {
            node_id
            for node_id, node in self.nodes.items()
            if (held := node.state.get("service", "tariff")) and held.generation == generation
        }

    def test_push_reaches_all_zones_with_one_message_a_node(self):
        self.accept("a03", record("tariff"))
        self.assertEqual(self.holders(), set(self.nodes))
        requests = self.cluster.calls / 2
        self.assertEqual(requests, len(self.nodes) - 1)

    def test_subtree_of_a_dead_child_is_reached_without_it(self):
        self.cluster.silent = {"a04", "a05", "b01", "b02", "b03"}
        self.accept("a03", record("tariff"))
        reached = self.holders()
        self.assertLessEqual({f"a{index:02}" for index in range(12)} - {"a04", "a05"}, reached)

    def test_push_that_comes_late_reverts_nothing(self):
        self.accept("a00", record("tariff", 2))
        self.accept("b00", record("tariff", 1))
        self.assertEqual(self.holders(2), set(self.nodes))

    def test_healed_cut_is_relayed_inside_the_zone_by_one_exchange(self):
        self.cluster.isolated = {node_id for node_id in self.nodes if node_id[0] == "c"}
        self.accept("a00", record("tariff"))
        self.accept("c00", record("lookup"))
        self.cluster.isolated.clear()
        for node in self.nodes.values():
            node.spread.mark_caught_up()
        self.nodes["c05"].spread.anti_entropy.synchronize("a07")
        self.cluster.settle()
        self.assertEqual(self.holders(), set(self.nodes))
        self.assertIsNotNone(self.nodes["a01"].state.get("service", "lookup"))

    def test_new_node_takes_all_from_a_peer_in_bounded_messages(self):
        records = [record(f"s{index}", size=400) for index in range(3_000)]
        self.nodes["a00"].state.apply(records, RecordSource.STORE)
        for index in range(1, 12):
            self.cluster.remove(f"a{index:02}")
        new = self.cluster.add("a20", "a")
        new.spread.start()
        self.assertTrue(new.spread.wait_caught_up(20.0))
        self.assertEqual(new.state.digest, self.nodes["a00"].state.digest)
        self.assertLess(self.cluster.largest_message, PAGE_BYTES + 1_024)

    def test_exchange_moves_only_what_differs_both_ways(self):
        common = [record(f"s{index}") for index in range(2_000)]
        one, other = self.nodes["a00"], self.nodes["a01"]
        one.state.apply([*common, record("mine"), record("s7", 2)], RecordSource.STORE)
        other.state.apply([*common, record("yours"), record("s8", 3)], RecordSource.STORE)
        one.spread.anti_entropy.synchronize("a01")
        self.assertEqual(one.state.digest, other.state.digest)
        self.assertEqual(other.state.get("service", "s7").generation, 2)
        self.assertLess(self.cluster.sent_bytes["a00"] + self.cluster.sent_bytes["a01"], 10_000)

    def test_mismatch_reported_by_heartbeats_is_mended(self):
        self.addCleanup(setattr, spread_module, "MISMATCH_JITTER_SECONDS", 0.3)
        spread_module.MISMATCH_JITTER_SECONDS = 0.0
        self.nodes["b00"].state.apply([record("tariff")], RecordSource.STORE)
        node = self.nodes["b01"]
        node.spread.mark_caught_up()
        node.spread.start()
        for callback in node.membership.mismatch_callbacks:
            callback("b00")
        for _ in range(100):
            gevent.sleep(0.01)
            if node.state.get("service", "tariff"):
                break
        self.assertEqual(node.membership.digest, self.nodes["b00"].membership.digest)
        self.assertNotEqual(node.membership.digest, 0)

    def test_record_that_lacks_fields_is_refused_and_changes_nothing(self):
        page = [record("tariff").to_wire()]
        page[0].payload = None
        with self.assertRaises(RunkeelError) as caught:
            self.nodes["a00"].spread._serve_push("a01", StatePush(page, "a01", 1))
        self.assertEqual(caught.exception.code, ErrorCode.PROTOCOL_ERROR)
        self.assertEqual(len(self.nodes["a00"].state), 0)

    def test_peer_that_dies_during_an_exchange_is_reported(self):
        self.cluster.silent = {"a01"}
        self.assertFalse(self.nodes["a00"].spread._synchronize("a01"))
