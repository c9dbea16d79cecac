"""Planned stops of members: a group keeps its majority whoever wants to go, and when."""

import random
import unittest
from unittest import mock

import gevent

from runkeel.state.records.departure import PlannedDeparture, commit_in_order, voters_to_stay
from runkeel.wire.generated.records.ttypes import Departure
from tests.records.simulation import GROUP, Simulation
from tests.records.test_records import SimulationTestCase

RUNS = 60
STEPS = 300


class Stopper:
    """Stops nodes as planned, step by step on the simulated network."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.attempts = {}

    def ask(self, name):
        """Begin one attempt of a running node, unless one is under way."""
        if name in self.simulation.services and name not in self.attempts:
            departure = self.simulation.services[name]._managers[GROUP].departure
            self.attempts[name] = gevent.spawn(departure.commit)
            self.simulation.quiesce()

    def end(self, name):
        """End the node if its last attempt has allowed it; return whether it ended."""
        task = self.attempts.get(name)
        if task is None or not task.ready():
            return False
        del self.attempts[name]
        if task.value:
            self.simulation.kill(name)
        return bool(task.value)

    def kill_attempts(self):
        gevent.killall(list(self.attempts.values()))


def race(seed, nodes):
    """Let nodes want to go and come back at random; return whether the majority was ever lost."""
    draw = random.Random(seed)
    simulation = Simulation(nodes=nodes, seed=seed)
    stopper = Stopper(simulation)
    majority = nodes // 2 + 1
    try:
        for _ in range(STEPS):
            chance = draw.random()
            name = draw.choice(list(simulation.zones))
            if chance < 0.1:
                stopper.ask(name)
            elif chance < 0.3:
                stopper.end(name)
            elif chance < 0.33 and name not in simulation.services:
                simulation.start(name)
            elif chance < 0.36:
                simulation.wake(name)
            elif chance < 0.37 and name not in stopper.attempts:
                simulation.lose(draw.randrange(100))
            else:
                simulation.deliver(draw.randrange(100))
            if len(simulation.voting()) < majority:
                return True
        return False
    finally:
        stopper.kill_attempts()
        simulation.stop()


class RaceTest(unittest.TestCase):
    def test_majority_is_kept_whatever_the_order(self):
        for nodes in (3, 5):
            lost = [seed for seed in range(RUNS) if race(seed, nodes)]
            self.assertEqual(lost, [], f"{nodes} nodes")

    def test_race_finds_members_that_do_not_tell_that_they_go(self):
        with mock.patch.object(PlannedDeparture, "_enough", _enough_of_any):
            self.assertTrue(any(race(seed, 3) for seed in range(RUNS)))

    def test_race_finds_members_that_commit_after_they_have_asked(self):
        with mock.patch.object(PlannedDeparture, "commit", _commit_late):
            self.assertTrue(any(race(seed, 3) for seed in range(RUNS)))


def _enough_of_any(self, replies):
    voting = [reply for reply in replies.values() if reply.status == 1]
    return len(voting) >= voters_to_stay(len(self._replica.members))


def _commit_late(self):
    replies = self._ask_others()
    if self._must_yield(replies) or not self._enough(replies):
        self.withdraw()
        return False
    self._replica.departure = Departure.COMMITTED
    return True


class DepartureTest(SimulationTestCase):
    def attempt(self, simulation, *names):
        """Let nodes try at the same time; return those that may go."""
        stopper = Stopper(simulation)
        for name in names:
            stopper.ask(name)
        while simulation.pending:
            simulation.deliver(simulation.rng.randrange(len(simulation.pending)))
        return [name for name in names if stopper.end(name)]

    def test_member_goes_when_the_others_vote(self):
        self.assertEqual(self.attempt(self.simulate(), "b"), ["b"])

    def test_member_stays_and_votes_until_the_one_that_went_has_recovered(self):
        simulation = self.simulate()
        self.assertEqual(self.attempt(simulation, "a"), ["a"])
        self.assertEqual(self.attempt(simulation, "b"), [])
        simulation.start("a")
        self.assertEqual(simulation.replica("a").phase, "recovering")
        self.assertEqual(self.attempt(simulation, "b"), [])
        claim = simulation.decide("c", "k")
        simulation.settle()
        self.assertEqual(claim.value, b"c0")
        self.assertEqual(self.attempt(simulation, "b"), ["b"])

    def test_of_all_that_go_at_once_the_lowest_id_goes_first(self):
        simulation = self.simulate()
        went = []
        for _ in range(5):
            went += self.attempt(simulation, *"abc")
            self.assertEqual(len(simulation.voting()), 3 - len(went))
        self.assertEqual(went, ["a"])

    def test_two_of_five_may_go_and_a_third_may_not(self):
        simulation = self.simulate(nodes=5)
        went = []
        for _ in range(5):
            went += self.attempt(simulation, *"edcba")
        self.assertEqual(len(went), 2)

    def test_lone_member_goes_at_once(self):
        self.assertEqual(self.attempt(self.simulate(nodes=1), "a"), ["a"])

    def test_member_that_has_no_vote_goes_at_once(self):
        simulation = self.simulate(spares=1)
        self.assertEqual(self.attempt(simulation, "d"), ["d"])
        simulation.restart("c")
        self.assertEqual(self.attempt(simulation, "c"), ["c"])

    def test_time_out_ends_the_wait_and_says_so(self):
        simulation = self.simulate()
        simulation.kill("a")
        leaving = gevent.spawn(simulation.services["b"].leave, 0.01)
        self.assertFalse(leaving.get(timeout=5))

    def test_leaving_member_hands_over_to_a_node_outside_the_group(self):
        simulation = self.simulate(spares=1)
        members = simulation.replica("a").members
        spare = next(name for name in simulation.zones if name not in members)
        simulation.decide(members[0], "k")
        simulation.settle()
        leaver = members[0]
        leaving = gevent.spawn(simulation.services[leaver].leave, 60)
        simulation.quiesce()
        while not leaving.ready():
            simulation.deliver(0)
        self.assertTrue(leaving.value)
        self.assertIn(spare, simulation.store.views[GROUP].spec.members)
        self.assertNotIn(leaver, simulation.store.views[GROUP].spec.members)
        simulation.kill(leaver)
        simulation.settle()
        self.assertIn(spare, simulation.voting())
        read = simulation.read(spare, "k")
        simulation.settle()
        self.assertIsNotNone(read.value)


class FakeDeparture:
    def __init__(self, *answers):
        self.answers = list(answers)
        self.withdrawn = 0

    def commit(self):
        return self.answers.pop(0)

    def withdraw(self):
        self.withdrawn += 1


class SeveralGroupsTest(unittest.TestCase):
    def test_later_groups_are_let_go_while_an_earlier_one_is_waited_for(self):
        first, second, third = FakeDeparture(True), FakeDeparture(False), FakeDeparture()
        self.assertFalse(commit_in_order([first, second, third]))
        self.assertEqual([first.withdrawn, second.withdrawn, third.withdrawn], [0, 0, 1])

    def test_node_goes_when_all_groups_allow_it(self):
        self.assertTrue(commit_in_order([FakeDeparture(True), FakeDeparture(True)]))
