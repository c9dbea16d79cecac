"""Memberships on a simulated clock and network: no sockets, no waiting, the same on every run."""

import heapq
import itertools
import random
import unittest
from unittest import mock

from runkeel.api.machines import Address, PoolSummary
from runkeel.membership import gossip
from runkeel.membership.transport import DatagramTransport
from runkeel.wire.links import LinkPolicy

STEP_SECONDS = 0.1
LATENCY_SECONDS = 0.002
KEY = b"key"


class SimulatedTransport(DatagramTransport):
    """Hands datagrams to the simulation in place of a socket."""

    simulation = None

    def bind(self):
        return self.simulation.attach(self)

    def start(self):
        pass

    def stop(self):
        pass

    def _send_now(self, data, address):
        self.traffic.bytes_sent += len(data)
        self.traffic.datagrams_sent += 1
        self.simulation.deliver(data, self.address, address)


class _Links(LinkPolicy):
    def __init__(self, simulation, zone):
        self._simulation = simulation
        self._zone = zone

    def is_cut(self, zone):
        cut = self._simulation.cut_zones
        return (self._zone in cut) != (zone in cut)


class Simulation:
    """A clock, a network that loses, repeats and delays, and the nodes on it."""

    def __init__(self, seed=1):
        self.now = 100.0
        self.loss = 0.0
        self.duplication = 0.0
        self.jitter_seconds = 0.0
        self.cut_zones = set()
        self.nodes = {}
        self.paused = {}
        self._random = random.Random(seed)
        self._transports = {}
        self._events = []
        self._order = itertools.count()
        self._ports = itertools.count(1)

    def attach(self, transport):
        transport.address = Address("10.0.0.1", next(self._ports))
        self._transports[transport.address] = transport
        return transport.address

    def deliver(self, data, source, target):
        copies = 2 if self._random.random() < self.duplication else 1
        for _ in range(copies):
            if self._random.random() >= self.loss:
                delay = LATENCY_SECONDS + self._random.uniform(0.0, self.jitter_seconds)
                self.send_raw(data, source, target, delay)

    def send_raw(self, data, source, target, delay=LATENCY_SECONDS):
        heapq.heappush(self._events, (self.now + delay, next(self._order), data, source, target))

    def add(self, node_id, zone, incarnation=1, key=KEY, seeds=None):
        if seeds is None:
            seeds = [node.gossip_address for node in self.nodes.values()][:1]
        any_address = Address("10.0.0.1", 0)
        node = gossip.GossipMembership(
            node_id,
            zone,
            "test",
            key,
            incarnation,
            any_address,
            any_address,
            any_address,
            seeds,
            _Links(self, zone),
        )
        node._bind()
        self.nodes[node_id] = node
        return node

    def kill(self, node_id):
        node = self.nodes.pop(node_id)
        del self._transports[node.gossip_address]

    def pause(self, node_id):
        self.paused[node_id] = []

    def resume(self, node_id):
        """Hand over what has waited in the socket's buffer, then go on."""
        for data, source in self.paused.pop(node_id):
            self.nodes[node_id]._transport._take(data, source)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            step_end = self.now + STEP_SECONDS
            while self._events and self._events[0][0] <= step_end:
                at, _, data, source, target = heapq.heappop(self._events)
                self.now = max(self.now, at)
                self._receive(data, source, target)
            self.now = step_end
            for node_id, node in list(self.nodes.items()):
                if node_id not in self.paused:
                    node._tick()

    def run_until(self, condition, seconds):
        """Return the simulated seconds that it took; fail after ``seconds``."""
        start = self.now
        while not condition():
            if self.now - start > seconds:
                raise AssertionError(f"not within {seconds} s")
            self.run(STEP_SECONDS)
        return self.now - start

    def _receive(self, data, source, target):
        transport = self._transports.get(target)
        if transport is None:
            return
        for node_id, waiting in self.paused.items():
            if self.nodes[node_id].gossip_address == target:
                waiting.append((data, source))
                return
        transport._take(data, source)


class SimulationTestCase(unittest.TestCase):
    def setUp(self):
        self.simulation = self.new_simulation()

    def new_simulation(self, seed=1):
        random.seed(seed)
        simulation = Simulation(seed)
        transport_class = type("Transport", (SimulatedTransport,), {"simulation": simulation})
        patches = (
            mock.patch.object(gossip, "DatagramTransport", transport_class),
            mock.patch.object(gossip, "monotonic", lambda: simulation.now),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        return simulation

    def cluster(self, zones, nodes_per_zone):
        """Start ``zone-Z`` with nodes ``Z-N`` and run until all know all."""
        for zone in range(zones):
            for number in range(nodes_per_zone):
                self.simulation.add(f"{zone}-{number}", f"zone-{zone}")
        self.run_until_all_see(zones * nodes_per_zone, 15.0)
        return self.simulation.nodes

    def run_until_all_see(self, count, seconds):
        nodes = self.simulation.nodes
        return self.simulation.run_until(
            lambda: all(len(node.live_members()) == count for node in nodes.values()), seconds
        )


def summary(node_id, sequence=1, pool="pool", wait=0):
    return PoolSummary(node_id, pool, sequence, 1, 2, 3, 4, wait, 5, 7)
