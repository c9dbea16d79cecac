"""The state part of several nodes against the stand-ins over HTTP."""

import random
import unittest
from unittest import mock

import gevent

from runkeel.api.configuration import ObjectKind
from runkeel.api.machines import MachineKind
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.platform.machine_list import MachineListClient
from runkeel.platform.object_api import ObjectApiClient, ObjectContent
from runkeel.state import watchers
from runkeel.state.changes import ConfigurationWriter
from runkeel.state.configuration import ConfigurationView
from runkeel.state.machine_view import ReplicatedMachineView
from runkeel.state.ownership import RendezvousOwnership
from runkeel.state.replicated_state import ReplicatedState
from runkeel.state.spread import Spread
from runkeel.state.watchers import Watchers
from runkeel_lab.standins.faults import Fault
from runkeel_lab.standins.machine_list import MachineList
from runkeel_lab.standins.object_api import ObjectApi
from runkeel_lab.standins.server import StandInSettings
from tests.state.fakes import FakeCluster, FakeMembership, FakePeers

ZONES = {"a0": "a", "a1": "a", "a2": "a", "b0": "b", "b1": "b", "b2": "b"}
WAIT_STEPS = 3_000


class ServiceNode:
    """A node as FakeCluster keeps it, around the whole state part."""

    def __init__(self, cluster, node_id, zone, store_address, list_address):
        self.membership = FakeMembership(cluster, node_id, zone)
        self.peers = FakePeers(cluster, node_id)
        store, listed = ObjectApiClient(store_address), MachineListClient(list_address)
        source = random.Random(node_id)
        self.state = ReplicatedState()
        self.spread = Spread(self.state, self.membership, self.peers, self.peers, source)
        self.watchers = Watchers(self.state, self.spread, self.membership, store, listed, source)
        self.writer = ConfigurationWriter(self.state, self.spread, store, source)
        self.configuration = ConfigurationView(self.state)
        self.machines = ReplicatedMachineView(self.state)
        self.ownership = RendezvousOwnership(self.membership, self.machines, self.configuration)

    def start(self):
        self.spread.start()
        self.watchers.start()

    def stop(self):
        self.watchers.close()
        self.spread.close()


class StoreOverHttpTest(unittest.TestCase):
    def setUp(self):
        shortened = {
            "SETTLE_SECONDS": (0.0, 0.01),
            "POLL_SPACING_SECONDS": (0.0, 0.01),
            "FIRST_READ_JITTER_SECONDS": 0.0,
            "MAX_BACKOFF_SECONDS": 0.1,
            "CATCH_UP_SECONDS": 0.05,
            "RESET_JITTER_SECONDS": 0.0,
        }
        for name, value in shortened.items():
            patch = mock.patch.object(watchers, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.store = ObjectApi(StandInSettings("store"))
        machine = {"kind": "engine", "zone": "a", "addresses": {"http": "127.0.0.1:9"}}
        machines = [{"id": name, "pool": "m", **machine} for name in ("e1", "e2")]
        self.machine_list = MachineList(
            StandInSettings("list", options={"lag_ms": 0, "machines": machines})
        )
        for standin in (self.store, self.machine_list):
            standin.start()
            self.addCleanup(standin.stop)
        self.cluster = FakeCluster()
        for node_id in ZONES:
            self.add(node_id)
        self.addCleanup(self.stop_nodes)

    def add(self, node_id):
        if node_id in self.cluster.nodes:
            self.cluster.nodes[node_id].stop()
        self.cluster.zones[node_id] = ZONES[node_id]
        node = ServiceNode(
            self.cluster, node_id, ZONES[node_id], self.store.address, self.machine_list.address
        )
        self.cluster.nodes[node_id] = node
        node.start()
        return node

    def stop_nodes(self):
        for node in self.cluster.nodes.values():
            node.stop()

    def fault(self, kind, **fields):
        self.store.set_fault(Fault(kind=kind, **fields))

    def change(self, node_id, value, command_id, timeout_seconds=3.0):
        writer = self.cluster.nodes[node_id].writer
        return writer.change(
            ObjectKind.SERVICE,
            "tariff",
            lambda spec: {"max_in_flight": value},
            command_id,
            "ana",
            timeout_seconds=timeout_seconds,
        )

    def wait_for(self, condition):
        for _ in range(WAIT_STEPS):
            if condition():
                return
            gevent.sleep(0.01)
        self.fail("condition not reached")

    def in_force(self, value):
        specs = [node.configuration.service("tariff") for node in self.cluster.nodes.values()]
        return all(spec is not None and spec.max_in_flight == value for spec in specs)

    def assert_refused(self, verdict, code, command_id):
        with self.assertRaises(RunkeelError) as caught:
            self.change("a0", 9, command_id, timeout_seconds=0.5)
        self.assertEqual((caught.exception.verdict, caught.exception.code), (verdict, code))

    def test_lost_answers_are_settled_and_the_change_is_in_force_everywhere(self):
        self.fault("lose_answers")
        self.assertEqual(self.change("a0", 5, "c1").generation, 1)
        self.wait_for(lambda: self.in_force(5))
        self.assertEqual(self.change("b1", 5, "c1").generation, 1)
        self.assertEqual(self.store.store.revision, 1)

    def test_store_down_keeps_what_is_in_force_and_gives_true_verdicts(self):
        self.change("a0", 5, "c1")
        self.wait_for(lambda: self.in_force(5))
        for fields in ({"kind": "down"}, {"kind": "down", "mode": "unavailable"}, {"kind": "hang"}):
            with self.subTest(**fields):
                self.fault(**fields)
                self.assert_refused(Verdict.NOT_RUN, ErrorCode.STORE_UNAVAILABLE, "c2")
                self.add("b2")
                self.wait_for(lambda: self.in_force(5))
                self.fault("clear")
        self.assertEqual(self.store.store.revision, 1)
        self.assertEqual(self.change("b0", 6, "c3").generation, 2)
        self.wait_for(lambda: self.in_force(6))

    def test_change_by_another_writer_reaches_all_through_few_watchers(self):
        client = ObjectApiClient(self.store.address)
        content = ObjectContent(1, {"max_in_flight": 7}, command_ids=("x",))
        self.assertTrue(client.write("service", "tariff", content, 0, 2.0).accepted)
        self.wait_for(lambda: self.in_force(7))
        self.assertLessEqual(self.store.fault_state()["max_watchers"], 4)

    def test_store_restored_older_is_repaired_and_nothing_reverts(self):
        self.change("a0", 5, "c1")
        self.change("b0", 6, "c2")
        self.wait_for(lambda: self.in_force(6))
        reverted = []
        for node in self.cluster.nodes.values():
            node.configuration.on_change(lambda _kind, name: reverted.append(name))
        self.fault("restore_older", revision=1)
        self.wait_for(lambda: self.stored_value() == 6)
        self.assertEqual(reverted, [])
        self.assertEqual(self.change("b2", 7, "c3").generation, 3)

    def test_write_after_a_restore_with_the_same_revisions_is_based_on_the_newest(self):
        self.change("a0", 5, "c1")
        self.change("b0", 6, "c2")
        self.wait_for(lambda: self.in_force(6))
        self.fault("restore_older", revision=1, reuse_revisions=True)
        self.assertEqual(self.change("b2", 7, "c3").generation, 3)
        self.wait_for(lambda: self.in_force(7))

    def stored_value(self):
        item = self.store.store.get("service", "tariff")
        return item.content["spec"]["max_in_flight"]

    def test_machine_list_reaches_all_nodes(self):
        def shown(*names):
            views = [node.machines for node in self.cluster.nodes.values()]
            ids = [[m.machine_id for m in view.machines(MachineKind.ENGINE)] for view in views]
            return ids == [list(names)] * len(views)

        self.wait_for(lambda: shown("e1", "e2"))
        self.machine_list._show({"e1": None})
        self.wait_for(lambda: shown("e2"))
        views = list(self.cluster.nodes.values())
        self.assertTrue(all(view.machines.is_leaving("e1") for view in views))
        owners = {view.ownership.owner_of("e2") for view in views}
        self.assertEqual(len(owners), 1)
