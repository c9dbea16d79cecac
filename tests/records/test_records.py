"""Scenarios of the record service on the simulated network."""

import unittest
from dataclasses import replace

from runkeel.errors import ErrorCode, Verdict
from runkeel.wire.generated.common.ttypes import MessageType
from tests.records.simulation import GROUP, OPTIONS, Simulation


class SimulationTestCase(unittest.TestCase):
    def simulate(self, **arguments):
        simulation = Simulation(**arguments)
        self.addCleanup(simulation.stop)
        self.addCleanup(lambda: self.assertEqual(simulation.violations, []))
        return simulation


class DecideTest(SimulationTestCase):
    def test_first_value_wins_and_is_read_everywhere(self):
        simulation = self.simulate()
        self.assertEqual(simulation.voting(), ["a", "b", "c"])
        first = simulation.decide("a", "k")
        simulation.settle()
        second = simulation.decide("b", "k")
        read = simulation.read("c", "k")
        simulation.settle()
        self.assertEqual(first.value, b"a0")
        self.assertEqual(second.value, b"a0")
        self.assertEqual(read.value, b"a0")

    def test_unknown_key_reads_as_none(self):
        simulation = self.simulate()
        read = simulation.read("a", "k")
        simulation.settle()
        self.assertTrue(read.successful())
        self.assertIsNone(read.value)

    def test_racing_claims_get_one_value(self):
        simulation = self.simulate(nodes=5)
        tasks = [simulation.decide(name, "k") for name in "abcde"]
        simulation.settle(rounds=40)
        self.assertEqual(len({task.value for task in tasks}), 1)

    def test_second_decision_takes_one_round_trip(self):
        simulation = self.simulate()
        simulation.decide("a", "k")
        simulation.settle()
        task = simulation.decide("a", "l")
        asked = {call.message_type for call in simulation.pending}
        simulation.settle()
        self.assertEqual(asked, {MessageType.RECORD_ACCEPT})
        self.assertEqual(task.value, b"a1")

    def test_missing_vote_of_a_fast_ballot_costs_a_second_round_only(self):
        simulation = self.simulate()
        simulation.decide("a", "k")
        simulation.settle()
        simulation.kill("c")
        task = simulation.decide("a", "l")
        simulation.settle()
        self.assertEqual(task.value, b"a1")
        simulation.decide("a", "m")
        self.assertIn(
            MessageType.RECORD_PREPARE, {call.message_type for call in simulation.pending}
        )
        simulation.settle()

    def test_one_dead_zone_does_not_stop_decisions(self):
        simulation = self.simulate()
        simulation.kill("c")
        task = simulation.decide("a", "k")
        simulation.settle()
        self.assertEqual(task.value, b"a0")

    def test_store_down_does_not_stop_decisions(self):
        simulation = self.simulate()
        simulation.store.up = False
        task = simulation.decide("a", "k")
        simulation.settle()
        self.assertEqual(task.value, b"a0")

    def test_full_table_refuses_new_keys_and_keeps_old_ones(self):
        simulation = self.simulate(options=replace(OPTIONS, max_records=2))
        for key in "kl":
            simulation.decide("a", key)
        simulation.settle()
        refused = simulation.decide("a", "m")
        kept = simulation.read("b", "k")
        simulation.settle()
        self.assertIs(refused.value.code, ErrorCode.RECORDS_UNAVAILABLE)
        self.assertIs(refused.value.verdict, Verdict.NOT_RUN)
        self.assertEqual(kept.value, b"a0")

    def test_record_is_forgotten_after_retention(self):
        simulation = self.simulate()
        simulation.decide("a", "k")
        simulation.settle()
        simulation.now += OPTIONS.retention_seconds + 1
        self.assertEqual(simulation.replica("b").table.get("k"), None)
        self.assertEqual(simulation.replica("b").table.bytes, 0)


class RestartTest(SimulationTestCase):
    def test_restarted_replica_recovers_before_it_votes(self):
        simulation = self.simulate()
        for number in range(20):
            simulation.decide("a", f"k{number}")
        simulation.settle()
        simulation.restart("c")
        self.assertEqual(simulation.voting(), ["a", "b"])
        simulation.settle()
        self.assertEqual(simulation.voting(), ["a", "b", "c"])
        self.assertEqual(simulation.replica("c").table.count, 20)

    def test_restart_of_every_node_in_turn_keeps_records(self):
        simulation = self.simulate()
        simulation.decide("a", "k")
        simulation.settle()
        for name in "abcabc":
            simulation.restart(name)
            simulation.settle()
        read = simulation.read("a", "k")
        simulation.settle()
        self.assertEqual(read.value, b"a0")

    def test_incarnation_grows_although_the_clock_goes_back(self):
        simulation = self.simulate()
        incarnations = [simulation.replica("b").incarnation]
        for _ in range(4):
            simulation.restart("b")
            simulation.settle()
            incarnations.append(simulation.replica("b").incarnation)
        self.assertEqual(incarnations, sorted(set(incarnations)))

    def test_total_loss_refuses_decisions_for_the_retention(self):
        simulation = self.simulate()
        simulation.decide("a", "k")
        simulation.settle()
        for name in "abc":
            simulation.kill(name)
        for name in "abc":
            simulation.start(name)
        simulation.settle()
        self.assertEqual(simulation.store.views[GROUP].spec.epoch, 2)
        refused = simulation.decide("b", "k")
        simulation.settle()
        self.assertIs(refused.value.code, ErrorCode.RECORDS_UNAVAILABLE)
        self.assertIs(refused.value.verdict, Verdict.NOT_RUN)
        self.assertGreater(refused.value.retry_after_seconds, 800)
        simulation.now += OPTIONS.retention_seconds + 1
        simulation.decided.clear()
        accepted = simulation.decide("b", "k")
        simulation.settle()
        self.assertEqual(accepted.value, b"b2")


class MemberChangeTest(SimulationTestCase):
    def members(self, simulation):
        return set(simulation.store.views[GROUP].spec.members)

    def pass_replacement_time(self, simulation):
        simulation.settle()
        simulation.now += OPTIONS.replace_after_seconds + 1
        simulation.settle()

    def test_dead_member_is_replaced_within_its_zone_and_records_stay(self):
        simulation = self.simulate(spares=3)
        before = self.members(simulation)
        dead = sorted(before)[0]
        simulation.decide("d", "k")
        simulation.settle()
        simulation.kill(dead)
        self.pass_replacement_time(simulation)
        (new,) = self.members(simulation) - before
        self.assertEqual(simulation.zones[new], simulation.zones[dead])
        self.assertEqual(simulation.replica(new).phase, "voting")
        self.assertEqual(simulation.replica(new).table.get("k").value, b"d0")

    def test_member_that_was_replaced_while_cut_off_decides_nothing(self):
        simulation = self.simulate(spares=3)
        lost = sorted(self.members(simulation))[0]
        simulation.suspected = simulation.cut = {lost}
        simulation.store.lagging = {lost}
        self.pass_replacement_time(simulation)
        self.assertNotIn(lost, self.members(simulation))
        self.assertEqual(simulation.replica(lost).phase, "voting")
        simulation.cut = set()
        stale = simulation.decide(lost, "k")
        fresh = simulation.decide("f", "k")
        simulation.settle()
        self.assertFalse(stale.ready())
        self.assertTrue(fresh.successful())
        simulation.store.lagging = set()
        simulation.settle()
        self.assertEqual(stale.value, fresh.value)
        self.assertEqual(simulation.replica(lost).phase, "outside")

    def test_zone_without_a_replica_gets_one(self):
        simulation = self.simulate(nodes=4, dead_at_start="d")
        self.assertEqual(self.members(simulation), set("abc"))
        simulation.decide("a", "k")
        simulation.settle()
        simulation.start("d")
        self.pass_replacement_time(simulation)
        self.assertEqual(self.members(simulation), set("abcd"))
        self.assertEqual(simulation.replica("d").table.get("k").value, b"a0")

    def test_node_that_sees_all_others_dead_changes_nothing(self):
        simulation = self.simulate(spares=3)
        before = self.members(simulation)
        simulation.cut = {"a"}
        simulation.suspected = set(simulation.zones) - {"a"}
        self.pass_replacement_time(simulation)
        simulation.now += OPTIONS.abandon_after_seconds
        simulation.settle()
        self.assertEqual(self.members(simulation), before)

    def test_group_whose_majority_died_for_good_is_formed_anew_after_long(self):
        for deaths in (2, 3):
            simulation = self.simulate(spares=3)
            before = sorted(self.members(simulation))
            for name in before[:deaths]:
                simulation.kill(name)
            self.pass_replacement_time(simulation)
            self.assertEqual(self.members(simulation), set(before))
            simulation.now += OPTIONS.abandon_after_seconds
            simulation.settle()
            self.assertFalse(self.members(simulation) & set(before[:deaths]))
            self.assertEqual(
                self.members(simulation) & set(simulation.voting()), self.members(simulation)
            )
            refused = simulation.decide(simulation.voting()[0], "k")
            simulation.settle()
            self.assertIs(refused.value.code, ErrorCode.RECORDS_UNAVAILABLE)
            simulation.now += OPTIONS.retention_seconds
            accepted = simulation.decide(simulation.voting()[0], "k")
            simulation.settle()
            self.assertTrue(isinstance(accepted.value, bytes))


class RetentionWaitTest(SimulationTestCase):
    """A group whose majority was lost says how long it refuses."""

    def setUp(self):
        self.simulation = self.simulate()
        for name in "abc":
            self.simulation.kill(name)
        for name in "abc":
            self.simulation.start(name)
        self.simulation.settle()

    def test_refusal_names_the_longest_remaining_wait(self):
        self.simulation.now += 100
        refused = self.simulation.decide("a", "k")
        self.simulation.settle()
        self.assertIs(refused.value.verdict, Verdict.NOT_RUN)
        self.assertEqual(refused.value.retry_after_seconds, OPTIONS.retention_seconds - 100)

    def test_read_is_refused_with_the_same_wait(self):
        refused = self.simulation.read("a", "k")
        self.simulation.settle()
        self.assertIs(refused.value.code, ErrorCode.RECORDS_UNAVAILABLE)
        self.assertEqual(refused.value.retry_after_seconds, OPTIONS.retention_seconds)

    def test_status_tells_it_until_it_is_over(self):
        status = self.simulation.services["b"].statuses()[0]
        self.assertEqual(status.refuses_seconds, OPTIONS.retention_seconds)
        self.assertIn("refuses new records for 900 s", status.notice())
        self.simulation.now += OPTIONS.retention_seconds
        self.assertIsNone(self.simulation.services["b"].statuses()[0].notice())

    def test_status_tells_of_a_recovery(self):
        self.simulation.now += OPTIONS.retention_seconds
        self.simulation.restart("c")
        self.assertIn("recovering", self.simulation.services["c"].statuses()[0].notice())
