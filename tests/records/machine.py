"""Stateful fuzzing of the record service against a dictionary (hypothesis)."""

import random
from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.records.simulation import OPTIONS, Simulation

KEYS = st.sampled_from(["k", "k", "l"])
INDEX = st.integers(0, 31)
SEEDS = st.integers(0, 2**32 - 1)
BURST_STEPS = 25
LONG_BURST_STEPS = 40
NODES = st.integers(0, 9)


FAST_OPTIONS = st.sampled_from(
    [
        replace(OPTIONS, fast_ballots=False),
        OPTIONS,
        # Does not wait for the votes: its fast ballots race with its own next ballots.
        replace(OPTIONS, fast_wait_seconds=0.0, fast_pause_seconds=0.0),
    ]
)


class RecordMachine(RuleBasedStateMachine):
    """Faults and operations in any order; the oracle is checked after each step."""

    size = 3
    spares = 2
    """Nodes that hold no replica; their proposals depend on other nodes' votes alone."""

    def __init__(self):
        super().__init__()
        self.simulation = None

    @initialize(seed=st.integers(0, 1000), options=FAST_OPTIONS)
    def form(self, seed, options):
        self.simulation = Simulation(
            nodes=self.size, options=options, seed=seed, spares=self.spares
        )
        self.started_at = self.simulation.now

    def name(self, index):
        names = list(self.simulation.zones)
        return names[index % len(names)]

    def running_voters(self):
        return set(self.simulation.voting()) - self.simulation.paused

    @rule(node=NODES, key=KEYS)
    def decide(self, node, key):
        self.simulation.decide(self.name(node), key)

    @rule(node=NODES, key=KEYS)
    def read(self, node, key):
        self.simulation.read(self.name(node), key)

    @rule(index=INDEX)
    def deliver(self, index):
        self.simulation.deliver(index)

    @rule(indices=st.lists(INDEX, max_size=8))
    def deliver_some(self, indices):
        for index in indices:
            self.simulation.deliver(index)

    @rule(index=INDEX)
    def deliver_twice(self, index):
        self.simulation.deliver(index, duplicate=True)

    @rule(index=INDEX)
    def lose(self, index):
        self.simulation.lose(index)

    @rule(node=NODES)
    def wake(self, node):
        self.simulation.wake(self.name(node))

    @precondition(lambda self: len(self.running_voters()) > self.size // 2 + 1)
    @rule(node=NODES)
    def restart_empty(self, node):
        self.simulation.restart(self.name(node))

    @rule(node=NODES)
    def restart_recover_deliver(self, node):
        """Restart a node and let it recover over a network that holds older messages back."""
        simulation = self.simulation
        if len(self.running_voters() - {self.name(node)}) * 2 <= self.size:
            return
        simulation.restart(self.name(node))
        simulation.recover(self.name(node))

    @rule(node=NODES)
    def pause(self, node):
        self.simulation.paused.add(self.name(node))

    @rule(node=NODES)
    def resume(self, node):
        self.simulation.paused.discard(self.name(node))

    @rule(node=NODES)
    def cut_off(self, node):
        self.simulation.cut = {self.name(node)}

    @rule()
    def heal(self):
        self.simulation.cut = set()

    @rule(seconds=st.integers(1, 5))
    def pass_time(self, seconds):
        self.simulation.now += seconds

    @rule(seed=SEEDS)
    def burst(self, seed):
        """Many steps drawn evenly, which a sequence of drawn rules is not."""
        draw = random.Random(seed)
        for _ in range(LONG_BURST_STEPS):
            chance = draw.random()
            if chance < 0.04:
                self.decide(draw.randrange(10), draw.choice("kkl"))
            elif chance < 0.07:
                self.read(draw.randrange(10), draw.choice("kkl"))
            elif chance < 0.94:
                self.simulation.deliver(draw.randrange(1000), duplicate=draw.random() < 0.1)
            elif chance < 0.96:
                self.simulation.lose(draw.randrange(1000))
            elif chance < 0.98:
                self.wake(draw.randrange(10))
            else:
                self.disturb(draw)

    def disturb(self, draw):
        """The rare fault of a burst."""
        self.restart_recover_deliver(draw.randrange(10))

    def check_oracle(self):
        assert self.simulation.violations == [], self.simulation.violations

    def teardown(self):
        if self.simulation is None:
            return
        try:
            self.check_oracle()
            self.finish()
            self.check_oracle()
        finally:
            self.simulation.stop()

    def finish(self):
        """Heal everything and read every key from every node."""
        simulation = self.simulation
        simulation.cut = set()
        simulation.paused.clear()
        simulation.store.lagging.clear()
        simulation.settle()
        for name in simulation.zones:
            for key in "kl":
                simulation.read(name, key)
        simulation.settle()


class MemberChangeMachine(RecordMachine):
    """The same while members are replaced, after deaths and false suspicions."""

    spares = 3

    @rule(node=NODES)
    def kill(self, node):
        others = self.running_voters() - {self.name(node)}
        if len(others) * 2 > self.size:
            self.simulation.kill(self.name(node))

    @rule(node=NODES)
    def start(self, node):
        if self.name(node) not in self.simulation.services:
            self.simulation.start(self.name(node))

    @rule(node=NODES)
    def suspect(self, node):
        self.simulation.suspected = {self.name(node)}

    @rule(node=NODES)
    def hear_nothing_of_the_store(self, node):
        self.simulation.store.lagging = {self.name(node)}

    @rule()
    def hear_of_the_store(self):
        self.simulation.store.lagging.clear()
        self.simulation.store.spread()

    def disturb(self, draw):
        if draw.random() < 0.5:
            self.replace(draw.randrange(10), draw.random() < 0.5, draw.random() < 0.5)
        else:
            self.start(draw.randrange(10))
            self.simulation.cut = set()
            self.hear_of_the_store()

    @rule(node=NODES, dies=st.booleans(), cut_off=st.booleans())
    def replace(self, node, dies, cut_off):
        """Let one node be taken for dead for long, while votes in flight are held back.

        The run stays within the retention of its records.
        """
        simulation = self.simulation
        name = self.name(node)
        if simulation.now - self.started_at > OPTIONS.retention_seconds / 2:
            return
        if len(self.running_voters() - {name}) * 2 <= self.size:
            return
        simulation.suspected = {name}
        if dies:
            simulation.kill(name)
        elif cut_off:
            simulation.cut = simulation.store.lagging = {name}
        for _ in range(2):
            for other in list(simulation.services):
                simulation.recover(other, rounds=2)
            simulation.now += OPTIONS.replace_after_seconds + 1
        for other in list(simulation.services):
            simulation.recover(other, rounds=2)


class HeldBackMachine(RuleBasedStateMachine):
    """Two outside proposers race for one key while replicas restart and recover.

    Messages move only one exchange at a time, all others being held back, so that runs come close
    to the orders in which a forgotten vote would matter.
    """

    def __init__(self):
        super().__init__()
        self.simulation = None
        self.key = "k"

    @initialize(options=FAST_OPTIONS)
    def form(self, options):
        self.simulation = Simulation(nodes=3, options=options, spares=3)
        self.members = self.simulation.replica("a").members
        self.outside = sorted(set(self.simulation.zones) - set(self.members))[:2]

    @rule(outside=st.integers(0, 1))
    def decide(self, outside):
        name = self.outside[outside]
        if all(task.ready() for task in self.simulation.operations[name]):
            self.simulation.decide(name, self.key)

    @rule(outside=st.integers(0, 1), member=st.integers(0, 2))
    def exchange(self, outside, member):
        self.simulation.exchange(self.outside[outside], self.members[member])

    @rule(seed=SEEDS)
    def burst(self, seed):
        """A race for a fresh key, in many steps drawn evenly."""
        self.race(random.Random(seed), restart_chance=0.2)

    @rule(seed=SEEDS)
    def burst_without_restarts(self, seed):
        """The same among replicas that stay; only then do fast ballots often succeed."""
        self.race(random.Random(seed), restart_chance=0.0)

    def race(self, draw, restart_chance):
        self.key = f"k{len(self.simulation.proposed)}"
        for _ in range(BURST_STEPS):
            chance = draw.random()
            if chance < 0.2:
                self.decide(draw.randrange(2))
            elif chance < 0.25:
                self.simulation.lose(draw.randrange(1000))
            elif chance < 1 - restart_chance:
                self.exchange(draw.randrange(2), draw.randrange(3))
            else:
                self.restart(draw.randrange(3))
        self.simulation.settle(rounds=3)

    @rule(member=st.integers(0, 2))
    def restart(self, member):
        if len(self.simulation.voting()) == len(self.members):
            self.simulation.restart(self.members[member])
            self.simulation.recover(self.members[member])

    def teardown(self):
        if self.simulation is None:
            return
        try:
            self.simulation.settle()
            assert self.simulation.violations == [], self.simulation.violations
        finally:
            self.simulation.stop()


class FiveRecordMachine(RecordMachine):
    """The same with five replicas."""

    size = 5


class HandOverMachine(MemberChangeMachine):
    """The same while members give up their seats on purpose, and then end or stay."""

    @rule(node=NODES, ends=st.booleans())
    def hand_over(self, node, ends):
        simulation = self.simulation
        name = self.name(node)
        if len(self.running_voters() - {name}) * 2 <= self.size:
            return
        simulation.hand_over(name)
        simulation.recover(name, rounds=2)
        if ends:
            simulation.kill(name)
        for other in list(simulation.services):
            simulation.recover(other, rounds=2)

    def disturb(self, draw):
        if draw.random() < 0.5:
            self.hand_over(draw.randrange(10), draw.random() < 0.5)
        else:
            super().disturb(draw)
