"""Measures membership at scale on the simulated clock; not a test.

Run as ``python -m tests.membership.simulated_scale ZONES NODES_PER_ZONE POOLS``.
"""

import random
import sys

from loguru import logger

from runkeel.api.machines import PoolSummary
from runkeel.membership.heartbeats import PACKET_OVERHEAD_BYTES
from tests.membership.simulation import SimulationTestCase

SETTLE_SECONDS = 40
MEASURED_SECONDS = 28
KILLS = 10


class ScaleRun(SimulationTestCase):
    """A cluster of which all nodes join one seed at once."""

    def runTest(self):  # noqa: N802
        """Do nothing: the base class serves for its set-up."""

    def start(self, zones, nodes_per_zone, pools):
        self.setUp()
        self.pools = pools
        self.sequence = 0
        for number in range(nodes_per_zone):
            for zone in range(zones):
                self.simulation.add(f"zone-{zone}-node-{number:03d}", f"zone-{zone}")
        self.nodes = self.simulation.nodes

    def run_with_loads(self, seconds):
        for _ in range(seconds):
            self.sequence += 1
            for node in self.nodes.values():
                node.publish_summaries([self._summary(node, n) for n in range(self.pools)])
                node.publish_state_digest(1 << 60)
            self.simulation.run(1.0)

    def _summary(self, node, number):
        in_flight, wait_ms = random.randrange(400), random.randrange(2_000)
        pool = f"model-{number}"
        return PoolSummary(node.node_id, pool, self.sequence, 6, 400, in_flight, 9, wait_ms, 90, 91)

    def everyone_sees_everyone(self):
        return all(len(node.live_members()) == len(self.nodes) for node in self.nodes.values())

    def join_seconds(self):
        start = self.simulation.now
        while not self.everyone_sees_everyone():
            self.run_with_loads(1)
        return self.simulation.now - start

    def bytes_per_second(self):
        def total(node):
            packets = node.traffic.datagrams_sent * PACKET_OVERHEAD_BYTES
            return node.traffic.bytes_sent + packets

        before = [total(node) for node in self.nodes.values()]
        self.run_with_loads(MEASURED_SECONDS)
        after = [total(node) for node in self.nodes.values()]
        rates = [(b - a) / MEASURED_SECONDS for a, b in zip(before, after, strict=True)]
        return sorted(rates)

    def detection_seconds(self, zones):
        times = []
        for number in range(KILLS):
            zone = f"zone-{number % zones}"
            killed = max(node_id for node_id in self.nodes if node_id.startswith(zone))
            self.simulation.kill(killed)
            times.append(self._until_dead(killed, zone))
            self.simulation.run(1.3)
        return times

    def _until_dead(self, killed, zone):
        mates = [node for node in self.nodes.values() if node.zone == zone]
        return self.simulation.run_until(
            lambda: not any(node.is_live(killed) for node in mates), 30.0
        )

    def cut_and_heal_seconds(self):
        count = len(self.nodes)
        inside = sum(node.zone == "zone-1" for node in self.nodes.values())
        self.simulation.cut_zones.add("zone-1")
        cut = self.simulation.run_until(
            lambda: all(
                len(node.live_members()) == (inside if node.zone == "zone-1" else count - inside)
                for node in self.nodes.values()
            ),
            30.0,
        )
        self.simulation.run(20.0)
        self.simulation.cut_zones.clear()
        return cut, self.simulation.run_until(self.everyone_sees_everyone, 60.0)


def main():
    logger.remove()
    zones, nodes_per_zone, pools = (int(argument) for argument in sys.argv[1:4])
    run = ScaleRun()
    run.start(zones, nodes_per_zone, pools)
    print(f"{zones} zones, {nodes_per_zone} nodes a zone, {pools} pools a node (simulated clock)")
    print(f"all joined at once, all see all after {run.join_seconds():.0f} s")
    run.run_with_loads(SETTLE_SECONDS)
    rates = run.bytes_per_second()
    mean = sum(rates) / len(rates)
    print(f"sent bytes/s a node, headers included: mean {mean:.0f}, max {rates[-1]:.0f}")
    times = run.detection_seconds(zones)
    mean_time = sum(times) / len(times)
    print(f"{KILLS} kills known in the zone: mean {mean_time:.1f} s, max {max(times):.1f} s")
    if zones > 1:
        cut, heal = run.cut_and_heal_seconds()
        print(f"cut zone known after {cut:.1f} s, healed after {heal:.1f} s")
    run.doCleanups()


if __name__ == "__main__":
    main()
