"""Tests of crash record gossip: forwarding, retries, catching up and message limits."""

import unittest

import gevent

from runkeel.clock import steady_seconds
from runkeel.quarantine import gossip
from runkeel.quarantine.crash_ledger import MAX_RECORDS, CrashLedger
from runkeel.quarantine.gossip import QuarantineGossip
from runkeel_lab.standins.peer_network import MemoryNetwork

WAIT_TIMEOUT_SECONDS = 5.0


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.neighbours = {"a": ["b"], "b": ["c"], "c": ["a"], "d": ["a"]}
        self.coordinator = None
        self.ledgers = {name: CrashLedger() for name in self.neighbours}
        self.gossips = {name: self.gossip(name) for name in self.neighbours}

    def gossip(self, name):
        created = QuarantineGossip(
            self.network.node(name),
            "fleet",
            self.ledgers[name],
            lambda: self.neighbours[name],
            lambda: self.coordinator if self.coordinator != name else None,
        )
        self.addCleanup(created.stop)
        return created

    def crash_servers(self, name, *servers, fingerprint="f"):
        for server in servers:
            self.ledgers[name].record_crash(fingerprint, "tariff", server)

    def ended(self, name):
        record = self.ledgers[name].get("f")
        return set(record.crashed_servers) if record is not None else set()

    def wait_until(self, condition):
        deadline = steady_seconds() + WAIT_TIMEOUT_SECONDS
        while not condition():
            self.assertLess(steady_seconds(), deadline, "condition not met in time")
            gevent.sleep(0.01)

    def test_updates_are_forwarded_by_nodes_to_which_they_are_new(self):
        self.crash_servers("a", "s1", "s2")
        self.wait_until(lambda: self.ended("b") == self.ended("c") == {"s1", "s2"})

    def test_crashes_observed_by_different_nodes_accumulate(self):
        for name, server in (("a", "s1"), ("b", "s2"), ("c", "s3")):
            self.crash_servers(name, server)
        self.wait_until(lambda: all(self.ledgers[one].get("f").quarantined for one in "abc"))

    def test_coordinator_is_notified_directly_of_local_changes(self):
        self.coordinator = "d"
        self.crash_servers("a", "s1")
        self.wait_until(lambda: self.ended("d") == {"s1"})

    def test_partitioned_neighbour_is_updated_after_the_partition_heals(self):
        self.network.cut("a", "b")
        self.crash_servers("a", "s1")
        gevent.sleep(2 * gossip.RETRY_DELAY_SECONDS)
        self.assertEqual(self.ended("b"), set())
        self.network.heal()
        self.wait_until(lambda: self.ended("b") == {"s1"})

    def test_restarted_node_catches_up(self):
        self.crash_servers("a", "s1", "s2", "s3")
        self.wait_until(lambda: self.ended("c"))
        self.ledgers["b"] = CrashLedger()
        fresh = self.gossip("b")
        fresh.exchange("c")
        self.assertTrue(self.ledgers["b"].get("f").quarantined)

    def test_ledgers_that_stay_different_are_exchanged(self):
        self.network.cut("a", "b")
        self.crash_servers("a", "s1")
        self.crash_servers("d", "s2")
        self.gossips["c"].compare_digest("d", self.ledgers["d"].digest)
        gevent.sleep(gossip.DIGEST_MISMATCH_SECONDS + 0.1)
        self.assertIn("s2", self.ended("c"))
        self.assertIn("s1", self.ended("d") | self.ended("a"))

    def test_no_exchange_if_updates_in_transit_make_ledgers_equal(self):
        calls = []
        self.gossips["b"].exchange = calls.append
        self.crash_servers("a", "s1")
        self.gossips["b"].compare_digest("a", self.ledgers["a"].digest)
        gevent.sleep(gossip.DIGEST_MISMATCH_SECONDS + 0.1)
        self.assertEqual((calls, self.ended("b")), ([], {"s1"}))

    def test_messages_are_bounded_in_records(self):
        sizes = []
        receive = self.gossips["b"]._receive

        def counting_receive(peer, message):
            sizes.append(len(message.records))
            return receive(peer, message)

        self.network.register("b", gossip.MessageType.QUARANTINE_NEWS, counting_receive)
        for number in range(3 * gossip.MAX_BATCH_RECORDS):
            self.crash_servers("a", "s", fingerprint=f"f{number}")
        self.wait_until(lambda: len(self.ledgers["c"]) == 3 * gossip.MAX_BATCH_RECORDS)
        self.assertLessEqual(max(sizes), gossip.MAX_BATCH_RECORDS)

    def test_loss_of_a_zone_sends_bounded_records_and_rate(self):
        """700 servers crash with 4,200 requests: evicted records are not sent, messages paced."""
        messages = []
        receive = self.gossips["b"]._receive

        def counting_receive(peer, message):
            messages.append((steady_seconds(), len(message.records)))
            return receive(peer, message)

        self.network.register("b", gossip.MessageType.QUARANTINE_NEWS, counting_receive)
        for number in range(4_200):
            self.crash_servers("a", f"s{number % 700}", fingerprint=f"f{number}")
        self.assertLessEqual(len(self.gossips["a"]._pending["b"]), 2 * MAX_RECORDS)
        self.wait_until(lambda: not self.gossips["a"]._pending)
        self.assertLessEqual(sum(size for _, size in messages), 2 * MAX_RECORDS)
        seconds = messages[-1][0] - messages[0][0]
        self.assertGreaterEqual(seconds, gossip.MIN_MESSAGE_INTERVAL_SECONDS * (len(messages) - 1))
        self.assertEqual(len(self.ledgers["c"]), MAX_RECORDS)


if __name__ == "__main__":
    unittest.main()
