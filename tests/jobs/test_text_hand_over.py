"""A node that keeps copies hands them to a coordinator that has none."""

import unittest

import gevent

from runkeel.clock import steady_seconds
from runkeel.jobs.text_hand_over import TextHandOver
from runkeel.jobs.text_replication import TextCopies, TextSender
from runkeel_lab.standins.peer_network import MemoryNetwork
from tests.jobs.test_text_replication import make_text

LONGEST_WAIT_SECONDS = 5.0


class _Receiver:
    """A scheduler that wants some items' texts."""

    def __init__(self, *wanted):
        self.wanted = wanted
        self.adopted = {}
        self.offered = {}

    def lacks_text(self, item_id, precedence):
        self.offered[item_id] = precedence
        return item_id in self.wanted

    def adopt_text(self, item_id, text):
        self.adopted[item_id] = text


class TextHandOverTest(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.receiver = _Receiver("i", "j")
        self.keeper = self._node("edge", lambda: None)
        self._node("next", lambda: self.receiver)
        texts = {name: make_text("x", "y", versions=(1, 2)) for name in ("i", "j", "k")}
        TextSender(
            self.network.node("first"), "fleet", 3, lambda: texts, lambda: ["edge"]
        ).send_once()

    def _node(self, name, receiver):
        peers = self.network.node(name)
        return TextHandOver(peers, "fleet", TextCopies(peers), receiver)

    def _wait(self, condition):
        deadline = steady_seconds() + LONGEST_WAIT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline)
            gevent.sleep(0.01)

    def test_texts_that_are_wanted_are_handed_over_whole(self):
        self.keeper.offer("next", 4)
        self._wait(lambda: len(self.receiver.adopted) == 2)
        text = self.receiver.adopted["i"]
        self.assertEqual((text.pieces, text.last_event_id), (["x", "y"], "2"))
        self.assertEqual((text.versions, text.whole), ([1, 2], False))
        self.assertNotIn("k", self.receiver.adopted)
        self.assertEqual(self.receiver.offered, dict.fromkeys("ijk", (1, 2)))

    def test_texts_are_offered_to_the_coordinator_after_one_that_was_lost_at_once(self):
        """kitami scale-1, seed 22: a coordinator was killed 0.1 s after it had got all copies."""
        self.network.silent.add("next")
        self.keeper.offer("next", 4)
        gevent.sleep(0.05)
        self.assertEqual(self.receiver.adopted, {})
        self._node("third", lambda: self.receiver)
        self.keeper.offer("third", 5)
        self._wait(lambda: len(self.receiver.adopted) == 2)

    def test_offer_that_a_lost_connection_cut_is_made_again(self):
        """shifted trouble-2: 49 running texts were offered to a restarted coordinator and lost."""
        self.network.silent.add("next")
        self.keeper.offer("next", 4)
        gevent.sleep(0.05)
        self.assertEqual(self.receiver.adopted, {})
        self.network.silent.discard("next")
        self._wait(lambda: len(self.receiver.adopted) == 2)

    def test_a_coordinator_is_offered_the_texts_once(self):
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

    def test_node_that_does_not_coordinate_takes_nothing(self):
        self.receiver = None
        self.keeper.offer("next", 4)
        gevent.sleep(0.05)
        self.assertIsNone(self.receiver)


if __name__ == "__main__":
    unittest.main()
