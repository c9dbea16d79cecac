import random
import unittest
from unittest import mock

from runkeel.errors import RunkeelError
from runkeel.platform.machine_list import ListedMachine, MachineList
from runkeel.platform.object_api import ObjectContent, StoredObject
from runkeel.state import watchers as watchers_module
from runkeel.state.replicated_state import RecordSource
from runkeel.state.versioned_record import MACHINE_KIND, VersionedRecord
from runkeel.state.watchers import MAX_BACKOFF_SECONDS, Backoff, Watchers
from tests.state.fakes import FakeCluster, FakeMachineList, FakeStore, machine_entry, machine_list


class WatchersTest(unittest.TestCase):
    def setUp(self):
        for name, value in (("SETTLE_SECONDS", (0.0, 0.0)), ("RESET_JITTER_SECONDS", 0.0)):
            patch = mock.patch.object(watchers_module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.store = FakeStore()
        self.machine_list = FakeMachineList()
        self.cluster = FakeCluster(self.store)
        self.addCleanup(self.cluster.close)
        for index in range(10):
            self.cluster.add(f"n{index}", "ab"[index % 2])
        self.watchers = {
            node_id: Watchers(
                node.state, node.spread, node.membership, self.store, self.machine_list
            )
            for node_id, node in self.cluster.nodes.items()
        }
        self.node = self.cluster.nodes["n0"]
        self.watcher = self.watchers["n0"]

    def put(self, name, generation, spec=None):
        present = self.store.objects.get(("service", name))
        content = ObjectContent(generation, spec or {})
        self.store.write("service", name, content, present.revision if present else 0, 1.0)

    def generation(self, name, node_id="n1"):
        held = self.cluster.nodes[node_id].state.get("service", name)
        return held.generation if held is not None else 0

    def selected(self):
        return {node_id for node_id in self.cluster.nodes if self.watchers[node_id].selected}

    def test_two_nodes_of_each_zone_read_and_a_dead_one_is_replaced(self):
        first = self.selected()
        self.assertEqual(sorted(self.cluster.zones[node] for node in first), ["a", "a", "b", "b"])
        dead = min(first)
        self.cluster.remove(dead)
        self.assertEqual(len(self.selected()), 4)
        self.assertLessEqual(first - {dead}, self.selected())

    def test_event_reaches_nodes_that_do_not_watch(self):
        self.watcher.poll_objects()
        self.put("tariff", 1)
        self.watcher.poll_objects()
        self.cluster.settle()
        self.assertEqual(self.generation("tariff"), 1)

    def test_reset_lists_again_and_puts_back_what_the_store_lost(self):
        self.put("tariff", 1)
        backup = self.store.backup()
        self.put("tariff", 2)
        self.put("lookup", 1)
        self.watcher.poll_objects()
        self.store.restore(backup)
        self.watcher.poll_objects()
        self.watcher.poll_objects()
        generations = {key[1]: item.content.generation for key, item in self.store.objects.items()}
        self.assertEqual(generations, {"tariff": 2, "lookup": 1})
        self.assertEqual(self.generation("tariff", "n0"), 2)

    def test_repair_that_fails_is_tried_again_at_the_next_list(self):
        self.put("tariff", 1)
        self.watcher.poll_objects()
        self.store.restore({})
        self.watcher.poll_objects()
        self.store.operations_until_down = 2
        self.watcher.poll_objects()
        self.assertEqual(self.store.objects, {})
        self.store.operations_until_down, self.store.down = None, False
        with mock.patch.object(watchers_module.time, "monotonic", lambda: float("inf")):
            self.watcher.poll_objects()
        self.assertEqual(self.store.objects[("service", "tariff")].content.generation, 1)

    def test_foreign_objects_are_ignored(self):
        self.store.objects[("service", "odd")] = StoredObject("service", "odd", 1, None)
        invented = ObjectContent(99, {"kind": "node"})
        self.store.objects[(MACHINE_KIND, "m")] = StoredObject(MACHINE_KIND, "m", 2, invented)
        self.watcher.poll_objects()
        self.assertEqual(len(self.node.state), 0)

    def test_what_was_accepted_stays_while_the_store_is_down(self):
        self.put("tariff", 1)
        self.watcher.poll_objects()
        self.cluster.settle()
        self.store.down = True
        with self.assertRaises(RunkeelError):
            self.watcher.poll_objects()
        restarted = self.cluster.add("n1", "b")
        restarted.spread.anti_entropy.synchronize("n3")
        self.assertEqual(self.generation("tariff"), 1)

    def test_vanished_machine_becomes_deleted_and_an_older_list_does_not_bring_it_back(self):
        engine, other = machine_entry("e1", version=1), machine_entry("e2", version=2)
        self.machine_list.listed = machine_list(2, engine, other)
        self.watcher.poll_machines()
        self.machine_list.listed = machine_list(3, other)
        self.watcher.poll_machines()
        held = self.node.state.get(MACHINE_KIND, "e1")
        self.assertEqual((held.deleted, held.generation), (True, 3))
        self.machine_list.listed = machine_list(2, engine, other)
        self.watchers["n2"].poll_machines()
        self.watcher.poll_machines()
        self.cluster.settle()
        self.assertTrue(self.node.state.get(MACHINE_KIND, "e1").deleted)

    def test_machine_newer_than_an_old_list_is_not_deleted(self):
        new = VersionedRecord(MACHINE_KIND, "e9", 9, b"{}")
        self.node.state.apply([new], RecordSource.PUSH)
        self.machine_list.listed = machine_list(8)
        self.watcher.poll_machines()
        self.assertFalse(self.node.state.get(MACHINE_KIND, "e9").deleted)

    def test_entry_that_cannot_be_read_is_not_taken_for_gone(self):
        self.machine_list.listed = machine_list(1, machine_entry("e1"))
        self.watcher.poll_machines()
        self.machine_list.listed = MachineList(2, (ListedMachine("e1", 2, {"kind": "?"}),))
        self.watcher.poll_machines()
        self.assertFalse(self.node.state.get(MACHINE_KIND, "e1").deleted)


class BackoffTest(unittest.TestCase):
    def test_delays_grow_to_a_cap_and_differ_between_nodes(self):
        one, other = Backoff(random.Random(1)), Backoff(random.Random(2))
        delays = [one.next_delay() for _ in range(200)]
        self.assertLessEqual(max(delays), MAX_BACKOFF_SECONDS)
        self.assertGreater(sum(delays) / len(delays), MAX_BACKOFF_SECONDS / 3)
        self.assertNotEqual(delays[:5], [other.next_delay() for _ in range(5)])
