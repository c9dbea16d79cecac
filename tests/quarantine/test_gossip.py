"""News of crashes between nodes: who is told, what is told again, who catches up."""

import unittest

import gevent

from runkeel.clock import steady_seconds
from runkeel.quarantine import gossip
from runkeel.quarantine.crash_ledger import MAXIMUM_RECORDS, CrashLedger
from runkeel.quarantine.gossip import QuarantineGossip
from runkeel_lab.standins.peer_network import MemoryNetwork

LONGEST_WAIT_SECONDS = 5.0


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.neighbours = {"a": ["b"], "b": ["c"], "c": ["a"], "d": ["a"]}
        self.coordinator = None
        self.ledgers = {name: CrashLedger() for name in self.neighbours}
        self.gossips = {name: self.gossip(name) for name in self.neighbours}

    def gossip(self, name):
        made = QuarantineGossip(
            self.network.node(name),
            "fleet",
            self.ledgers[name],
            lambda: self.neighbours[name],
            lambda: self.coordinator if self.coordinator != name else None,
        )
        self.addCleanup(made.stop)
        return made

    def end_servers(self, name, *servers, fingerprint="f"):
        for server in servers:
            self.ledgers[name].note_ended(fingerprint, "ledger", server)

    def ended(self, name):
        record = self.ledgers[name].get("f")
        return set(record.ended) if record is not None else set()

    def wait(self, condition):
        deadline = steady_seconds() + LONGEST_WAIT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline, "waited too long")
            gevent.sleep(0.01)

    def test_news_are_passed_on_by_nodes_that_did_not_know_them(self):
        self.end_servers("a", "s1", "s2")
        self.wait(lambda: self.ended("b") == self.ended("c") == {"s1", "s2"})

    def test_ends_seen_at_different_nodes_add_up(self):
        for name, server in (("a", "s1"), ("b", "s2"), ("c", "s3")):
            self.end_servers(name, server)
        self.wait(lambda: all(self.ledgers[one].get("f").held for one in "abc"))

    def test_coordinator_is_told_at_once_of_what_a_node_has_found(self):
        self.coordinator = "d"
        self.end_servers("a", "s1")
        self.wait(lambda: self.ended("d") == {"s1"})

    def test_neighbour_that_is_cut_off_is_told_later(self):
        self.network.cut("a", "b")
        self.end_servers("a", "s1")
        gevent.sleep(2 * gossip.RETRY_SECONDS)
        self.assertEqual(self.ended("b"), set())
        self.network.heal()
        self.wait(lambda: self.ended("b") == {"s1"})

    def test_node_that_was_started_anew_catches_up(self):
        self.end_servers("a", "s1", "s2", "s3")
        self.wait(lambda: self.ended("c"))
        self.ledgers["b"] = CrashLedger()
        fresh = self.gossip("b")
        fresh.exchange("c")
        self.assertTrue(self.ledgers["b"].get("f").held)

    def test_ledgers_that_differ_for_a_while_are_exchanged(self):
        self.network.cut("a", "b")
        self.end_servers("a", "s1")
        self.end_servers("d", "s2")
        self.gossips["c"].note_digest("d", self.ledgers["d"].digest)
        gevent.sleep(gossip.DIFFERENT_SECONDS + 0.1)
        self.assertIn("s2", self.ended("c"))
        self.assertIn("s1", self.ended("d") | self.ended("a"))

    def test_news_on_their_way_are_waited_for(self):
        calls = []
        self.gossips["b"].exchange = calls.append
        self.end_servers("a", "s1")
        self.gossips["b"].note_digest("a", self.ledgers["a"].digest)
        gevent.sleep(gossip.DIFFERENT_SECONDS + 0.1)
        self.assertEqual((calls, self.ended("b")), ([], {"s1"}))

    def test_many_records_go_out_in_bounded_messages(self):
        sizes = []
        receive = self.gossips["b"]._receive

        def counted(peer, message):
            sizes.append(len(message.records))
            return receive(peer, message)

        self.network.register("b", gossip.MessageType.QUARANTINE_NEWS, counted)
        for number in range(3 * gossip.BATCH):
            self.end_servers("a", "s", fingerprint=f"f{number}")
        self.wait(lambda: len(self.ledgers["c"]) == 3 * gossip.BATCH)
        self.assertLessEqual(max(sizes), gossip.BATCH)

    def test_loss_of_a_zone_is_told_within_bounds(self):
        """4,200 requests at 700 servers: no more is sent than a ledger holds, and not at once."""
        messages = []
        receive = self.gossips["b"]._receive

        def counted(peer, message):
            messages.append((steady_seconds(), len(message.records)))
            return receive(peer, message)

        self.network.register("b", gossip.MessageType.QUARANTINE_NEWS, counted)
        for number in range(4_200):
            self.end_servers("a", f"s{number % 700}", fingerprint=f"f{number}")
        self.assertLessEqual(len(self.gossips["a"]._untold["b"]), 2 * MAXIMUM_RECORDS)
        self.wait(lambda: not self.gossips["a"]._untold)
        self.assertLessEqual(sum(size for _, size in messages), 2 * MAXIMUM_RECORDS)
        seconds = messages[-1][0] - messages[0][0]
        self.assertGreaterEqual(seconds, gossip.MESSAGE_PAUSE_SECONDS * (len(messages) - 1))
        self.assertEqual(len(self.ledgers["c"]), MAXIMUM_RECORDS)


if __name__ == "__main__":
    unittest.main()
