"""Who gets copies of what a coordinator runs."""

import unittest

from runkeel.coordination.peers import PeerRegistry
from runkeel.wire.generated.jobs.ttypes import NodeAddress


class CopyHoldersTest(unittest.TestCase):
    def setUp(self):
        self.peers = PeerRegistry("near")

    def _ping(self, name, zone, preferred):
        self.peers.note(name, NodeAddress(name, "127.0.0.1:1", zone), preferred)

    def test_first_in_rank_and_a_node_of_another_kind_in_the_own_zone(self):
        self._ping("edge-far", "far", False)
        self._ping("edge-near", "near", False)
        self._ping("storage-1", "far", True)
        self._ping("storage-2", "near", True)
        self.assertEqual(self.peers.copy_holders(), ["storage-1", "edge-near"])

    def test_keeper_of_another_zone_where_the_own_has_none(self):
        self._ping("storage-1", "far", True)
        self._ping("edge-far", "far", False)
        self.assertEqual(self.peers.copy_holders(), ["storage-1", "edge-far"])

    def test_without_preferred_nodes_two_others(self):
        self._ping("edge-far", "far", False)
        self._ping("edge-near", "near", False)
        self.assertEqual(self.peers.copy_holders(), ["edge-near", "edge-far"])


if __name__ == "__main__":
    unittest.main()
