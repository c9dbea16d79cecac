"""The handover of copied partial outputs to a new coordinator."""

import unittest

import gevent

from runkeel.clock import steady_seconds
from runkeel.jobs.partial_output_handover import PartialOutputHandover
from runkeel.jobs.partial_output_replication import PartialOutputCopies, PartialOutputSender
from runkeel_lab.standins.peer_network import MemoryNetwork
from tests.jobs.test_partial_output_replication import make_output

WAIT_TIMEOUT_SECONDS = 5.0


class _Receiver:
    """A scheduler that wants the outputs of some items."""

    def __init__(self, *wanted):
        self.wanted = wanted
        self.adopted = {}
        self.offered = {}

    def needs_output(self, item_id, precedence):
        self.offered[item_id] = precedence
        return item_id in self.wanted

    def adopt_output(self, item_id, output):
        self.adopted[item_id] = output


class PartialOutputHandoverTest(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.receiver = _Receiver("i", "j")
        self.keeper = self._node("edge", lambda: None)
        self._node("next", lambda: self.receiver)
        outputs = {name: make_output("x", "y", versions=(1, 2)) for name in ("i", "j", "k")}
        PartialOutputSender(
            self.network.node("first"), "fleet", 3, lambda: outputs, lambda: ["edge"]
        ).send_once()

    def _node(self, name, receiver):
        peers = self.network.node(name)
        return PartialOutputHandover(peers, "fleet", PartialOutputCopies(peers), receiver)

    def _wait(self, condition):
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline)
            gevent.sleep(0.01)

    def test_wanted_outputs_are_handed_over_in_full(self):
        self.keeper.offer("next", 4)
        self._wait(lambda: len(self.receiver.adopted) == 2)
        output = self.receiver.adopted["i"]
        self.assertEqual((output.pieces, output.last_event_id), (["x", "y"], "2"))
        self.assertEqual((output.versions, output.complete), ([1, 2], False))
        self.assertNotIn("k", self.receiver.adopted)
        self.assertEqual(self.receiver.offered, dict.fromkeys("ijk", (1, 2)))

    def test_outputs_are_offered_again_to_a_later_coordinator(self):
        """Guards against losing all copies with a coordinator that fails after a handover."""
        self.network.unreachable.add("next")
        self.keeper.offer("next", 4)
        gevent.sleep(0.05)
        self.assertEqual(self.receiver.adopted, {})
        self._node("third", lambda: self.receiver)
        self.keeper.offer("third", 5)
        self._wait(lambda: len(self.receiver.adopted) == 2)

    def test_failed_offer_is_retried(self):
        """Guards against losing an offer on a stale connection to a restarted coordinator."""
        self.network.unreachable.add("next")
        self.keeper.offer("next", 4)
        gevent.sleep(0.05)
        self.assertEqual(self.receiver.adopted, {})
        self.network.unreachable.discard("next")
        self._wait(lambda: len(self.receiver.adopted) == 2)

    def test_a_coordinator_is_offered_the_outputs_once(self):
        self.keeper.offer("next", 4)
        self._wait(lambda: len(self.receiver.adopted) == 2)
        self.receiver.offered.clear()
        self.keeper.offer("next", 4)
        gevent.sleep(0.05)
        self.assertEqual(self.receiver.offered, {})

    def test_coordinator_of_the_same_epoch_is_offered_nothing(self):
        self.keeper.offer("next", 3)
        gevent.sleep(0.05)
        self.assertEqual(self.receiver.adopted, {})

    def test_node_that_does_not_coordinate_adopts_nothing(self):
        self.receiver = None
        self.keeper.offer("next", 4)
        gevent.sleep(0.05)
        self.assertIsNone(self.receiver)


if __name__ == "__main__":
    unittest.main()
