from unittest import mock

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from runkeel.api.machines import MemberStatus
from runkeel.membership.heartbeats import Heartbeats
from tests.membership.simulation import SimulationTestCase, summary


class ZoneTest(SimulationTestCase):
    """Nodes of one zone."""

    def test_killed_node_is_known_dead_everywhere_within_three_seconds(self):
        for seed in range(8):
            self.simulation = self.new_simulation(seed)
            self.cluster(1, 8)
            self.simulation.run(5.0 + seed / 8)
            self.simulation.kill("0-3")
            self.run_until_all_see(7, 3.0)
            self.assertIs(self.simulation.nodes["0-0"].member("0-3").status, MemberStatus.DEAD)

    def test_two_nodes_killed_at_once(self):
        self.cluster(1, 8)
        self.simulation.kill("0-3")
        self.simulation.kill("0-4")
        self.run_until_all_see(6, 6.0)

    def test_killed_node_rejoins_with_a_higher_incarnation_and_a_new_address(self):
        nodes = self.cluster(1, 4)
        self.simulation.kill("0-3")
        self.run_until_all_see(3, 3.0)
        again = self.simulation.add("0-3", "zone-0", incarnation=100)
        self.run_until_all_see(4, 5.0)
        self.assertEqual(nodes["0-0"].member("0-3").gossip, again.gossip_address)

    def test_restart_with_a_lower_incarnation_is_raised_above_the_old_one(self):
        nodes = self.cluster(1, 3)
        self.simulation.kill("0-2")
        self.run_until_all_see(2, 3.0)
        raised = []
        self.simulation.add("0-2", "zone-0", incarnation=0).on_incarnation(raised.append)
        self.run_until_all_see(3, 5.0)
        self.assertEqual(raised, [2])
        self.assertEqual(nodes["0-0"].member("0-2").incarnation, 2)

    def test_paused_node_takes_a_new_incarnation_before_it_goes_on(self):
        nodes = self.cluster(1, 4)
        raised = []
        nodes["0-1"].on_incarnation(lambda value: raised.append((value, self.simulation.now)))
        self.simulation.pause("0-1")
        self.simulation.run(5.0)
        self.assertFalse(nodes["0-0"].is_live("0-1"))
        self.simulation.resume("0-1")
        self.assertEqual(raised[0], (2, self.simulation.now))
        self.run_until_all_see(4, 3.0)
        self.assertGreater(nodes["0-0"].member("0-1").incarnation, 1)

    def test_pause_is_noticed_without_being_told(self):
        nodes = self.cluster(1, 3)
        raised = []
        nodes["0-1"].on_incarnation(raised.append)
        self.simulation.pause("0-1")
        self.simulation.run(1.8)
        self.simulation.paused["0-1"].clear()
        self.simulation.resume("0-1")
        sent = nodes["0-1"].traffic.datagrams_sent
        nodes["0-1"].on_incarnation(
            lambda value: self.assertEqual(nodes["0-1"].traffic.datagrams_sent, sent)
        )
        nodes["0-1"]._tick()
        self.assertEqual(raised, [2])

    def test_differing_state_is_noticed_by_probes_alone(self):
        nodes = self.cluster(1, 6)
        reported = []
        for node in nodes.values():
            node.publish_state_digest(1)
            node.on_state_mismatch(reported.append)
        nodes["0-3"].publish_state_digest(2)
        with mock.patch.object(Heartbeats, "tick"):
            self.simulation.run(4.0)
        gevent.sleep(0)  # The callbacks run in tasks of their own.
        self.assertIn("0-3", reported)

    def test_pause_of_the_whole_zone_kills_nobody(self):
        nodes = self.cluster(1, 4)
        for node_id in nodes:
            self.simulation.pause(node_id)
        self.simulation.run(10.0)
        for node_id in nodes:
            self.simulation.resume(node_id)
        for _ in range(50):
            self.simulation.run(0.1)
            self.assertTrue(all(len(node.live_members()) == 4 for node in nodes.values()))

    def test_leave_is_known_at_once_and_is_no_death(self):
        nodes = self.cluster(2, 3)
        nodes["0-2"].leave()
        self.simulation.run(0.1)
        for node_id in ("0-0", "0-1", "0-2"):
            self.assertFalse(nodes[node_id].is_live("0-2"))
        self.assertIs(nodes["0-0"].member("0-2").status, MemberStatus.LEFT)
        self.run_until_all_see(5, 3.0)

    def test_loss_duplicates_and_reordering_kill_nobody(self):
        nodes = self.cluster(2, 4)
        self.simulation.loss = 0.1
        self.simulation.duplication = 0.3
        self.simulation.jitter_seconds = 0.1
        for _ in range(300):
            self.simulation.run(0.1)
            for node in nodes.values():
                self.assertEqual(len(node.live_members()), 8)

    def test_garbage_and_strangers_change_nothing(self):
        nodes = self.cluster(1, 2)
        target = nodes["0-0"].gossip_address
        stranger = self.simulation.add("stranger", "zone-0", key=b"other", seeds=[target])
        captured = []
        self.simulation.deliver = lambda data, source, to: captured.append(data)
        nodes["0-1"]._tick()
        self.simulation.run(2.0)
        del self.simulation.deliver
        for data in [b"", b"\x01", b"\x00" * 1_500, *captured]:
            for damaged in (data[:-1], data + b"\x00", b"\x02" + data[1:]):
                self.simulation.send_raw(damaged, stranger.gossip_address, target)
        self.simulation.run(2.0)
        self.assertEqual(len(nodes["0-0"].live_members()), 2)
        self.assertEqual(len(stranger.live_members()), 1)


class ZonesTest(SimulationTestCase):
    """Nodes of several zones."""

    def test_cut_zone_is_unreachable_within_three_seconds_and_comes_back(self):
        nodes = self.cluster(3, 3)
        inside = [node for node in nodes.values() if node.zone == "zone-1"]
        outside = [node for node in nodes.values() if node.zone != "zone-1"]
        self.simulation.run(5.0)
        self.simulation.cut_zones.add("zone-1")
        self.simulation.run_until(
            lambda: (
                all(len(node.live_members()) == 6 for node in outside)
                and all(len(node.live_members()) == 3 for node in inside)
            ),
            3.0,
        )
        self.simulation.run(60.0)
        before = sum(node.traffic.datagrams_sent for node in nodes.values())
        self.simulation.cut_zones.clear()
        self.run_until_all_see(9, 3.0)
        self.simulation.run(10.0)
        # No storm: a little more than the probes and heartbeats of thirteen seconds.
        sent = sum(node.traffic.datagrams_sent for node in nodes.values()) - before
        self.assertLess(sent, 9 * 13 * 12)

    def test_zone_wholly_replaced_during_a_cut_is_found_again(self):
        nodes = self.cluster(2, 2)
        self.simulation.cut_zones.add("zone-1")
        self.simulation.run(5.0)
        for node_id in ("1-0", "1-1"):
            self.simulation.kill(node_id)
        for node_id in ("1-2", "1-3"):
            self.simulation.add(node_id, "zone-1")
        self.simulation.run(5.0)
        self.simulation.cut_zones.clear()
        self.simulation.run_until(
            lambda: nodes["0-1"].is_live("1-2") and nodes["1-3"].is_live("0-0"), 30.0
        )

    def test_restart_with_the_incarnation_of_its_earlier_life_takes_a_higher_one(self):
        nodes = self.cluster(2, 1)
        self.simulation.kill("1-0")
        again = self.simulation.add("1-0", "zone-1", incarnation=1)
        self.simulation.run_until(
            lambda: nodes["0-0"].member("1-0").gossip == again.gossip_address, 5.0
        )
        self.assertGreater(again.local().incarnation, 1)

    def test_zones_that_forgot_each_other_are_told_by_a_third(self):
        first = self.cluster(3, 1)["0-0"]
        for node_id in ("1-0", "2-0"):
            self.simulation.kill(node_id)
        middle = self.simulation.add("1-0", "zone-1", incarnation=9, seeds=[])
        last = self.simulation.add("2-0", "zone-2", 9, seeds=[middle.gossip_address])
        self.simulation.run(5.0)
        self.assertIsNone(last.member("0-0"))
        middle._table.merge(first.local(), self.simulation.now)
        self.simulation.run_until(lambda: first.is_live("2-0") and last.is_live("0-0"), 15.0)

    def test_death_of_both_bridges_does_not_lose_the_zone(self):
        nodes = self.cluster(2, 5)
        bridges = [member.node_id for member in nodes["0-0"]._table.bridges("zone-1")]
        for node_id in bridges:
            self.simulation.kill(node_id)
        for _ in range(80):
            self.simulation.run(0.1)
            others = [node for node in nodes.values() if node.zone == "zone-0"]
            self.assertTrue(all(node.live_members("zone-1") for node in others))
        self.run_until_all_see(8, 3.0)

    def test_loads_reach_all_zones_and_those_of_dead_nodes_are_dropped(self):
        nodes = self.cluster(3, 2)
        for node in nodes.values():
            node.publish_summaries([summary(node.node_id)])
        self.simulation.run_until(
            lambda: all(len(node.pool_summaries("pool")) == 6 for node in nodes.values()), 8.0
        )
        self.assertIn(summary("2-1"), nodes["0-0"].pool_summaries("pool"))
        self.simulation.kill("0-1")
        self.simulation.run(4.0)
        self.assertNotIn("0-1", [each.node_id for each in nodes["0-0"].pool_summaries("pool")])

    @settings(derandomize=True, deadline=None, max_examples=12)
    @given(
        st.lists(
            st.tuples(st.sampled_from(["kill", "pause", "cut", "leave"]), st.integers(0, 5)),
            min_size=1,
            max_size=5,
        )
    )
    def test_all_agree_after_any_faults(self, faults):
        self.simulation = self.new_simulation()
        nodes = self.cluster(3, 2)
        gone = set()
        for kind, number in faults:
            node_id = f"{number // 2}-{number % 2}"
            self._inject(kind, node_id, gone)
            self.simulation.run(1.5)
        self.simulation.cut_zones.clear()
        for node_id in list(self.simulation.paused):
            self.simulation.resume(node_id)
        self.simulation.run(25.0)
        expected = {node_id for node_id in nodes if node_id not in gone}
        for node_id in expected:
            live = {member.node_id for member in nodes[node_id].live_members()}
            self.assertEqual(live, expected)

    def _inject(self, kind, node_id, gone):
        if node_id in gone or node_id not in self.simulation.nodes:
            return
        if kind == "cut":
            self.simulation.cut_zones ^= {f"zone-{node_id[0]}"}
        elif kind == "pause":
            self.simulation.pause(node_id)
        elif node_id not in self.simulation.paused:
            gone.add(node_id)
            if kind == "leave":
                self.simulation.nodes[node_id].leave()
            else:
                self.simulation.kill(node_id)

    def test_node_that_lost_its_welcome_is_told_of_its_zone_by_another_zone(self):
        self.cluster(2, 3)
        alone = self.simulation.add("1-9", "zone-1")
        receive = alone._transport._take
        # Only one record arrives: the node knows the seed and takes itself for its zone's bridge.
        alone._transport._take = lambda data, source: None
        self.simulation.run(3.0)
        alone._table.merge(self.simulation.nodes["0-0"].local(), self.simulation.now)
        alone._transport._take = receive
        self.run_until_all_see(7, 20.0)
