"""Clusters of memberships in one process, with links that can be cut."""

import unittest

import gevent

from runkeel.api.machines import Address, PoolSummary
from runkeel.membership.gossip import GossipMembership
from runkeel.wire.links import LinkPolicy

ANY = Address("127.0.0.1", 0)
KEY = b"key"


class Links:
    """Zones that are cut off from all others."""

    def __init__(self):
        self.cut_zones = set()

    def policy(self, zone):
        return _Policy(self, zone)


class _Policy(LinkPolicy):
    def __init__(self, links, zone):
        self.links = links
        self.zone = zone

    def is_cut(self, zone):
        return (self.zone in self.links.cut_zones) != (zone in self.links.cut_zones)


class ClusterTestCase(unittest.TestCase):
    def setUp(self):
        self.links = Links()
        self.nodes = []
        self.addCleanup(lambda: [node.stop() for node in self.nodes])

    def node(self, node_id, zone, seeds=None, incarnation=1, key=KEY):
        if seeds is None:
            seeds = [node.gossip_address for node in self.nodes[:1]]
        node = GossipMembership(
            node_id, zone, "test", key, incarnation, ANY, ANY, ANY, seeds, self.links.policy(zone)
        )
        node.start()
        self.nodes.append(node)
        return node

    def cluster(self, zones, nodes_per_zone):
        """Start ``zone-Z`` with nodes ``Z-N`` and wait until all know all."""
        for zone in range(zones):
            for number in range(nodes_per_zone):
                self.node(f"{zone}-{number}", f"zone-{zone}")
        self.wait_until_all_see(zones * nodes_per_zone)
        return self.nodes

    def stop(self, node):
        node.stop()
        self.nodes.remove(node)

    def wait_until(self, condition, seconds=20.0):
        with gevent.Timeout(seconds):
            while not condition():
                gevent.sleep(0.02)

    def wait_until_all_see(self, count):
        self.wait_until(lambda: all(len(node.live_members()) == count for node in self.nodes))


def summary(node_id, sequence=1, pool="pool", wait=0):
    return PoolSummary(node_id, pool, sequence, 1, 2, 3, 4, wait, 5, 7)
