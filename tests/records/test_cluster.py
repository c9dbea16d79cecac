"""The record service over real sockets: claims that race, restarts, cuts and paused claimants."""

import gevent
from gevent.event import Event

from runkeel.errors import ErrorCode, RunkeelError
from tests.records.cluster import PATIENCE_SECONDS, RecordClusterTestCase


class ClusterTest(RecordClusterTestCase):
    def decide(self, name, key, value, timeout=PATIENCE_SECONDS):
        return self.services[name].decide(key, value, timeout)

    def test_racing_claimants_agree_on_one(self):
        for number in range(20):
            key = f"claim-{number}"
            tasks = [gevent.spawn(self.decide, name, key, name.encode()) for name in "abc"]
            gevent.joinall(tasks, timeout=PATIENCE_SECONDS, raise_error=True)
            self.assertEqual(len({task.value for task in tasks}), 1)
            self.assertIn(tasks[0].value, (b"a", b"b", b"c"))

    def test_records_survive_the_restart_of_every_node_in_turn(self):
        self.decide("a", "k", b"v")
        for name in "abc":
            self.kill(name)
            self.start(name)
            self.wait_until(lambda: len(self.voting()) == 3, PATIENCE_SECONDS)
        for name in "abc":
            self.assertEqual(self.services[name].read("k", PATIENCE_SECONDS), b"v")

    def test_zone_that_is_cut_off_decides_nothing_and_the_others_go_on(self):
        self.policies["a"].cut = True
        self.assertEqual(self.decide("b", "k", b"majority"), b"majority")
        with self.assertRaises(RunkeelError) as caught:
            self.decide("a", "k", b"minority", timeout=0.3)
        self.assertIs(caught.exception.code, ErrorCode.RECORDS_UNAVAILABLE)
        self.policies["a"].cut = False
        self.assertEqual(self.decide("a", "k", b"minority"), b"majority")

    def test_claimant_paused_before_its_claim_finds_the_claim_of_another(self):
        """A node that wakes late must not dispatch: what it gets back is not its own claim."""
        resume = Event()

        def paused_claim():
            resume.wait(PATIENCE_SECONDS)
            return self.decide("a", "claim", b"a")

        paused = gevent.spawn(paused_claim)
        self.assertEqual(self.decide("b", "claim", b"b"), b"b")
        resume.set()
        self.assertEqual(paused.get(timeout=PATIENCE_SECONDS), b"b")

    def test_claim_of_a_claimant_that_died_is_found_by_the_retry(self):
        self.assertEqual(self.decide("a", "claim", b"a"), b"a")
        self.kill("a")
        self.assertEqual(self.decide("b", "claim", b"b"), b"a")
        self.assertEqual(self.services["c"].read("claim", PATIENCE_SECONDS), b"a")

    def test_of_two_that_stop_at_once_the_second_goes_when_the_first_is_back(self):
        self.decide("c", "k", b"v")
        leaving = {name: gevent.spawn(self.services[name].leave, PATIENCE_SECONDS) for name in "ab"}
        self.assertTrue(leaving["a"].get(timeout=PATIENCE_SECONDS))
        self.kill("a")
        self.assertEqual(self.decide("b", "l", b"v"), b"v")
        self.assertFalse(leaving["b"].ready())
        self.start("a")
        self.assertTrue(leaving["b"].get(timeout=PATIENCE_SECONDS))
        self.assertEqual(self.voting(), {"a", "b", "c"})
        self.kill("b")
        self.assertEqual(self.decide("a", "k", b"w"), b"v")
