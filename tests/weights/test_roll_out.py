"""Roll-outs over several nodes, with the failures that they are meant to survive."""

import unittest

import gevent

from runkeel.api.configuration import EngineRoleSpec, ObjectKind
from runkeel.backends.engine_orders import EngineOrder
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.weights.fences import Fence
from runkeel.weights.reconciler import RolloutState
from tests.weights.fakes import (
    MODEL,
    Cluster,
    FakeWeightStore,
    fast_timings,
    wait_until,
)

ZONES = {"node-a": "zone-1", "node-b": "zone-2", "node-c": "zone-3"}
ENGINE_ZONES = ["zone-1", "zone-2", "zone-3", "zone-1"]


class RollOutTest(unittest.TestCase):
    def setUp(self):
        timings = fast_timings()
        timings.__enter__()
        self.addCleanup(timings.__exit__, None, None, None)
        self.store = FakeWeightStore()
        self.cluster = Cluster(ZONES, ENGINE_ZONES, self.store)
        self.cluster.configuration.deploy(1)
        self.cluster.start()
        self.addCleanup(self.cluster.stop)

    def progress(self):
        return [item for node in self.cluster.nodes.values() for item in node.roll_out.progress()]

    def test_new_version_and_roll_back_reach_all_engines(self):
        self.cluster.configuration.deploy(2)
        self.assertTrue(wait_until(lambda: self.cluster.at_version(2)))
        self.assertEqual(1, self.store.maximum_running, "swap_fraction of 4 engines is 1")
        self.cluster.configuration.deploy(1)
        self.assertTrue(wait_until(lambda: self.cluster.at_version(1)))
        self.assertEqual(2 * len(ENGINE_ZONES), self.store.attempts)
        self.assertTrue(
            wait_until(lambda: {item.state for item in self.progress()} == {RolloutState.DONE})
        )

    def test_newer_deploy_overtakes_one_under_way(self):
        self.cluster.configuration.deploy(2, swap_fraction=1.0)
        self.assertTrue(wait_until(lambda: self.store.running > 0))
        self.cluster.configuration.deploy(3, swap_fraction=1.0)
        self.assertTrue(wait_until(lambda: self.cluster.at_version(3)))
        for engine in self.cluster.engines:
            self.assertEqual(sorted(engine.generations()), engine.generations())

    def test_role_change_is_ordered(self):
        self.cluster.configuration.put(
            ObjectKind.ENGINE_ROLE, "engine-1", EngineRoleSpec(role="rollout")
        )
        self.assertTrue(wait_until(lambda: self.cluster.engines[1].role == "rollout"))

    def test_failed_swaps_are_retried(self):
        self.cluster.engines[0].failures_to_come = 2
        self.cluster.configuration.deploy(2)
        self.assertTrue(wait_until(lambda: self.cluster.at_version(2)))

    def test_engine_that_keeps_failing_is_held_until_it_succeeds(self):
        engine = self.cluster.engines[0]
        engine.failures_to_come = 10_000
        monitor = self.cluster.nodes["node-a"].monitor
        self.cluster.configuration.deploy(2)
        self.assertTrue(wait_until(lambda: monitor.is_held("engine-0")))
        self.assertFalse(monitor.in_service("engine-0"))
        self.assertTrue(wait_until(lambda: all(e.version == 2 for e in self.cluster.engines[1:])))
        engine.failures_to_come = 0
        self.assertTrue(wait_until(lambda: self.cluster.at_version(2)))
        self.assertTrue(wait_until(lambda: monitor.in_service("engine-0")))

    def test_bad_version_leaves_all_engines_in_service(self):
        self.store.versions.discard(66)
        self.cluster.configuration.deploy(66)
        self.assertTrue(wait_until(lambda: self.store.attempts >= 12))
        for engine_id, node_id in self.cluster.nodes["node-a"].ownership.owners.items():
            self.assertTrue(self.cluster.nodes[node_id].monitor.in_service(engine_id))
        self.cluster.configuration.deploy(1)
        self.assertTrue(
            wait_until(lambda: {item.state for item in self.progress()} == {RolloutState.DONE})
        )

    def test_store_outage_draws_one_attempt_at_a_time_and_no_herd_after(self):
        self.store.down = True
        self.cluster.configuration.deploy(2, swap_fraction=1.0)
        gevent.sleep(0.6)
        # One probe each PROBE_SPACING_SECONDS (0.05 here), whatever the number of engines.
        self.assertLessEqual(self.store.attempts, 0.6 / 0.05 + 4)
        self.store.down = False
        self.assertTrue(wait_until(lambda: self.cluster.at_version(2)))
        self.assertEqual(0, self.store.refused, "the store's limit was kept to")

    def test_lost_coordinator_is_replaced(self):
        node = next(n for n in self.cluster.nodes.values() if n.coordinator.coordinating)
        lost = node.membership.node_id
        self.cluster.peers.cut.add(lost)
        zones = self.cluster.nodes["node-a"].membership.zones
        survivor = next(node_id for node_id in sorted(zones) if node_id != lost)
        del zones[lost]
        for node in self.cluster.nodes.values():
            node.ownership.owners.update(dict.fromkeys(node.ownership.owners, survivor))
            node.membership.changed()
            node.ownership.changed()
        self.cluster.configuration.deploy(2)
        self.assertTrue(wait_until(lambda: self.cluster.at_version(2)))

    def test_leaving_engine_gets_no_order(self):
        self.cluster.machines.leaving.add("engine-0")
        self.cluster.configuration.deploy(2)
        self.assertTrue(wait_until(lambda: all(e.version == 2 for e in self.cluster.engines[1:])))
        self.assertEqual([], self.cluster.engines[0].accepted)


class FencingTest(unittest.TestCase):
    def setUp(self):
        timings = fast_timings()
        timings.__enter__()
        self.addCleanup(timings.__exit__, None, None, None)
        self.store = FakeWeightStore(concurrent_loads=4)
        self.cluster = Cluster(ZONES, ["zone-1"], self.store)
        self.engine = self.cluster.engines[0]
        self.cluster.configuration.deploy(1)
        self.addCleanup(self.cluster.stop)

    def test_two_owners_racing_load_once(self):
        for node in self.cluster.nodes.values():
            node.ownership.owners["engine-0"] = node.membership.node_id
        self.cluster.start()
        self.cluster.configuration.deploy(2)
        self.assertTrue(wait_until(lambda: self.cluster.at_version(2)))
        self.assertEqual(1, self.store.attempts)

    def test_paused_owner_withholds_orders_until_settled(self):
        node = self.cluster.nodes["node-a"]
        node.pause_detector.value = False
        self.cluster.start()
        self.cluster.configuration.deploy(2)
        gevent.sleep(0.1)
        self.assertEqual([], self.engine.accepted)
        node.pause_detector.value = True
        self.assertTrue(wait_until(lambda: self.cluster.at_version(2)))

    def test_owner_that_lost_the_engine_while_deciding_does_not_order(self):
        node = self.cluster.nodes["node-a"]
        self.cluster.start()
        node.ownership.owners["engine-0"] = "node-b"  # No callback: it has not heard yet.
        self.cluster.configuration.deploy(2)
        gevent.sleep(0.1)
        self.assertEqual([], self.engine.accepted)

    def test_refused_order_is_repeated_only_after_reading_the_engine_again(self):
        overtaking = EngineOrder("other", Fence(2, 0, 5, 1).to_number(), "load", MODEL, 2)

        def overtake(order):
            self.engine.before_order = None
            self.engine.take(overtaking)

        self.engine.before_order = overtake
        self.cluster.start()
        self.cluster.configuration.deploy(2)
        self.assertTrue(wait_until(lambda: self.cluster.at_version(2)))
        self.assertTrue(wait_until(lambda: self.engine.refused))
        self.assertEqual([overtaking], self.engine.accepted)

    def test_owner_with_older_configuration_leaves_the_engine_alone(self):
        self.engine.version = 7
        self.engine.fence = Fence(9, 0, 1, 1).to_number()
        self.cluster.start()
        node = self.cluster.nodes["node-a"]
        self.assertTrue(
            wait_until(lambda: node.roll_out.progress()[0].state is RolloutState.BEHIND)
        )
        self.assertEqual([], self.engine.accepted)

    def test_lost_answer_of_an_order_is_settled_by_asking(self):
        def lose_answer(order):
            self.engine.before_order = None
            self.engine.take(order)
            raise RunkeelError(ErrorCode.BACKEND_UNREACHABLE, "reset")

        self.engine.before_order = lose_answer
        self.cluster.start()
        self.cluster.configuration.deploy(2)
        self.assertTrue(wait_until(lambda: self.cluster.at_version(2)))
        self.assertEqual(1, self.store.attempts)


if __name__ == "__main__":
    unittest.main()
