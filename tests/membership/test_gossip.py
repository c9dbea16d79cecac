import gevent

from runkeel.api.machines import MemberStatus
from tests.membership.cluster import ClusterTestCase, summary


class ZoneTest(ClusterTestCase):
    """Nodes of one zone."""

    def test_killed_node_is_found_dead_and_rejoins(self):
        nodes = self.cluster(1, 4)
        killed = nodes[-1]
        changes = []
        nodes[0].on_change(lambda: changes.append(len(nodes[0].live_members())))
        self.stop(killed)
        self.wait_until_all_see(3)
        self.assertIs(nodes[0].member(killed.node_id).status, MemberStatus.DEAD)
        self.wait_until(lambda: changes[-1:] == [3])
        rejoined = self.node(killed.node_id, killed.zone, incarnation=100)
        self.wait_until_all_see(4)
        self.assertEqual(nodes[0].member(killed.node_id).gossip, rejoined.gossip_address)

    def test_restart_with_a_lower_incarnation_is_raised_above_the_old_one(self):
        nodes = self.cluster(1, 2)
        incarnations = []
        self.stop(nodes[1])
        self.wait_until_all_see(1)
        rejoined = self.node("0-1", "zone-0", incarnation=0)
        rejoined.on_incarnation(incarnations.append)
        self.wait_until_all_see(2)
        self.assertEqual(incarnations, [2])
        self.assertEqual(nodes[0].member("0-1").incarnation, 2)

    def test_leave_is_no_death(self):
        nodes = self.cluster(1, 3)
        leaving = nodes[2]
        leaving.leave()
        self.wait_until(lambda: not nodes[0].is_live("0-2") and not nodes[1].is_live("0-2"))
        self.assertIs(nodes[0].member("0-2").status, MemberStatus.LEFT)
        self.assertFalse(leaving.is_live("0-2"))


class ZonesTest(ClusterTestCase):
    """Nodes of several zones."""

    def test_cut_zone_is_unreachable_and_comes_back(self):
        nodes = self.cluster(3, 2)
        self.links.cut_zones.add("zone-1")
        self.wait_until(lambda: all(len(node.live_members()) == 4 for node in self.outside(1)))
        self.wait_until(lambda: all(len(node.live_members()) == 2 for node in self.inside(1)))
        killed = nodes[2]
        self.stop(killed)
        self.wait_until(lambda: len(self.inside(1)[0].live_members()) == 1)
        self.links.cut_zones.clear()
        self.wait_until_all_see(5)
        self.assertFalse(any(node.is_live(killed.node_id) for node in nodes))

    def inside(self, zone):
        return [node for node in self.nodes if node.zone == f"zone-{zone}"]

    def outside(self, zone):
        return [node for node in self.nodes if node.zone != f"zone-{zone}"]

    def test_one_node_a_zone(self):
        nodes = self.cluster(3, 1)
        for node in nodes:
            node.publish_summaries([summary(node.node_id)])
        self.wait_until(lambda: all(len(node.pool_summaries("pool")) == 3 for node in nodes))
        found = {each.node_id: each for each in nodes[0].pool_summaries("pool")}
        self.assertEqual(found["1-0"], summary("1-0"))
        self.stop(nodes[2])
        self.wait_until_all_see(2)
        self.assertEqual(len(nodes[0].pool_summaries("pool")), 2)

    def test_differing_state_is_reported_one_node_at_a_time(self):
        nodes = self.cluster(2, 2)
        running, reported, overlaps = [], set(), []

        def report(node_id):
            overlaps.extend(running)
            running.append(node_id)
            gevent.sleep(0.1)
            running.remove(node_id)
            reported.add(node_id)

        nodes[0].on_state_mismatch(report)
        for node in nodes:
            node.publish_state_digest(2**64 - 1)
        nodes[0].publish_state_digest(7)
        self.wait_until(lambda: {"0-1"} < reported)
        self.assertEqual(overlaps, [])
        self.assertNotIn("0-0", reported)
