"""Memberships over real sockets; what does not need them is in test_simulation."""

import socket
import unittest

import gevent

from runkeel.api.machines import Address
from runkeel.membership.gossip import GossipMembership
from tests.membership.simulation import KEY, summary

ANY = Address("127.0.0.1", 0)


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.nodes = []
        for number in range(3):
            seeds = [node.gossip_address for node in self.nodes[:1]]
            node = GossipMembership(
                f"node-{number}", f"zone-{number}", "test", KEY, 1, ANY, ANY, ANY, seeds
            )
            node.start()
            self.addCleanup(node.stop)
            self.nodes.append(node)

    def wait_until(self, condition, seconds=20.0):
        with gevent.Timeout(seconds):
            while not condition():
                gevent.sleep(0.02)

    def wait_until_all_see(self, count, nodes):
        self.wait_until(lambda: all(len(node.live_members()) == count for node in nodes))

    def test_one_node_a_zone(self):
        changes = []
        self.nodes[0].on_change(lambda: changes.append(len(self.nodes[0].live_members())))
        for node in self.nodes:
            node.publish_summaries([summary(node.node_id)])
        self._send_garbage(self.nodes[0].gossip_address)
        self.wait_until_all_see(3, self.nodes)
        self.wait_until(lambda: all(len(node.pool_summaries("pool")) == 3 for node in self.nodes))
        self.assertIn(summary("node-1"), self.nodes[0].pool_summaries("pool"))
        self.nodes[2].stop()
        self.wait_until_all_see(2, self.nodes[:2])
        self.wait_until(lambda: changes[-1:] == [2])
        self.assertEqual(len(self.nodes[0].pool_summaries("pool")), 2)

    def _send_garbage(self, address):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as garbage:
            for size in (0, 1, 16, 1_200, 60_000):
                garbage.sendto(b"\x01" * size, (address.host, address.port))

    def test_differing_state_is_reported_one_node_at_a_time(self):
        running, reported, overlaps = [], set(), []

        def report(node_id):
            overlaps.extend(running)
            running.append(node_id)
            gevent.sleep(1.5)
            running.remove(node_id)
            reported.add(node_id)

        self.nodes[0].on_state_mismatch(report)
        self.nodes[0].publish_state_digest(7)
        for node in self.nodes[1:]:
            node.publish_state_digest(2**64 - 1)
        self.wait_until(lambda: len(reported) == 2)
        self.assertEqual(overlaps, [])
