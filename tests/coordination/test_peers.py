"""Ranks of the nodes that ping a coordinator, and the holders of copies of its items."""

import unittest
from unittest import mock

from runkeel.coordination import peers
from runkeel.coordination.peers import PeerRegistry
from runkeel.wire.generated.jobs.ttypes import NodeAddress


class CopyHoldersTest(unittest.TestCase):
    def setUp(self):
        self.peers = PeerRegistry("near")

    def _ping(self, name, zone, preferred):
        self.peers.record_ping(name, NodeAddress(name, "127.0.0.1:1", zone), preferred)

    def test_first_in_rank_and_a_node_not_preferred_in_the_same_zone(self):
        self._ping("edge-far", "far", False)
        self._ping("edge-near", "near", False)
        self._ping("storage-1", "far", True)
        self._ping("storage-2", "near", True)
        self.assertEqual(self.peers.copy_holders(), ["storage-1", "edge-near"])

    def test_keeper_of_another_zone_if_the_same_zone_has_none(self):
        self._ping("storage-1", "far", True)
        self._ping("edge-far", "far", False)
        self.assertEqual(self.peers.copy_holders(), ["storage-1", "edge-far"])

    def test_without_preferred_nodes_two_others(self):
        self._ping("edge-far", "far", False)
        self._ping("edge-near", "near", False)
        self.assertEqual(self.peers.copy_holders(), ["edge-near", "edge-far"])


class RankTest(unittest.TestCase):
    def setUp(self):
        self.peers = PeerRegistry("near")
        self.now = 100.0
        patch = mock.patch.object(peers, "steady_seconds", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)

    def _ping(self, name):
        return self.peers.record_ping(name, NodeAddress(name, "127.0.0.1:1", "near"), True)

    def test_order_of_the_first_ping(self):
        self.assertEqual([self._ping(name) for name in ("a", "b", "c")], [0, 1, 2])
        self.assertEqual(self._ping("b"), 1)

    def test_silent_node_ranks_after_those_that_ping(self):
        """The first in rank may be restarting at the moment at which the coordinator is lost."""
        for name in ("a", "b", "c"):
            self._ping(name)
        self.now += peers.RECENT_PING_SECONDS + 0.1
        self.assertEqual([self._ping(name) for name in ("b", "c")], [0, 1])
        self.assertEqual(self.peers.copy_holders(), ["b"])
        self.assertEqual(self._ping("a"), 0)

    def test_silent_nodes_are_counted_until_they_expire(self):
        self._ping("a")
        self._ping("b")
        self.assertEqual(self.peers.count_silent(2.2), 0)
        self.now += 2.3
        self._ping("b")
        self.assertEqual(self.peers.count_silent(2.2), 1)
        self.now += peers.PEER_EXPIRY_SECONDS
        self.assertEqual(self.peers.count_silent(2.2), 0)


if __name__ == "__main__":
    unittest.main()
