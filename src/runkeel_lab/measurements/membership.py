"""Measures what membership costs a node, with hollow nodes that share this process.

Run as ``python -m runkeel_lab.measurements.membership --zones 1 --sizes 10,20,40,60``.
"""

from __future__ import annotations

import argparse
import random
import time
from dataclasses import dataclass

import gevent
from gevent import monkey

from runkeel.api.machines import Address, PoolSummary
from runkeel.membership import metrics
from runkeel.membership.gossip import GossipMembership
from runkeel.membership.heartbeats import PACKET_OVERHEAD_BYTES

LISTEN = Address("127.0.0.1", 0)
JOIN_TIMEOUT_SECONDS = 120.0
SETTLE_SECONDS = 30.0
KILL_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Cost:
    """What one node costs a second; ``bytes`` with IP and UDP headers, sent only."""

    zones: int
    nodes_per_zone: int
    join_seconds: float
    mean_bytes: float
    median_bytes: float
    largest_bytes: float
    datagrams: float
    cpu_percent: float
    detection_seconds: float
    by_kind: str


class LoadPublisher:
    """Gives each node new loads every second, as its pools would."""

    def __init__(self, nodes: list[GossipMembership], pools: int) -> None:
        self._nodes = nodes
        self._pools = pools
        self._random = random.Random(1)
        self._sequence = 0

    def run(self) -> None:
        """Publish until killed."""
        while True:
            self._sequence += 1
            for node in self._nodes:
                node.publish_summaries([self._summary(node.node_id, n) for n in range(self._pools)])
                node.publish_state_digest(1 << 60)
            gevent.sleep(1.0)

    def _summary(self, node_id: str, number: int) -> PoolSummary:
        in_flight = self._random.randrange(400)
        wait_ms = self._random.randrange(2_000)
        pool = f"model-{number}"
        return PoolSummary(node_id, pool, self._sequence, 6, 400, in_flight, 9, wait_ms, 90, 91)


def start_nodes(zones: int, nodes_per_zone: int) -> list[GossipMembership]:
    """Start nodes that join through the first one."""
    nodes: list[GossipMembership] = []
    for number in range(nodes_per_zone):
        for zone in range(zones):
            name = f"zone-{zone}"
            seeds = [nodes[0].gossip_address] if nodes else []
            node_id = f"{name}-node-{number:03d}"
            incarnation = int(time.time() * 1000)
            node = GossipMembership(
                node_id, name, "scale", b"key", incarnation, LISTEN, LISTEN, LISTEN, seeds
            )
            node.start()
            nodes.append(node)
    return nodes


def wait_until(condition, timeout_seconds: float) -> float:
    """Wait for a condition; return the seconds it took, or infinity."""
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout_seconds:
            return float("inf")
        gevent.sleep(0.02)
    return time.monotonic() - start


def sent_by_kind() -> dict[str, float]:
    """Return payload bytes with packet headers sent so far, by kind of datagram."""
    totals: dict[str, float] = {}
    for metric, factor in (
        (metrics.BYTES_SENT, 1),
        (metrics.DATAGRAMS_SENT, PACKET_OVERHEAD_BYTES),
    ):
        for sample in next(iter(metric.collect())).samples:
            if sample.name.endswith("_total"):
                kind = sample.labels["kind"]
                totals[kind] = totals.get(kind, 0.0) + sample.value * factor
    return totals


def measure(zones: int, nodes_per_zone: int, pools: int, seconds: float) -> Cost:
    """Run a cluster and return its cost for each node."""
    nodes = start_nodes(zones, nodes_per_zone)
    count = len(nodes)
    publisher = gevent.spawn(LoadPublisher(nodes, pools).run)
    join_seconds = wait_until(
        lambda: all(len(node.live_members()) == count for node in nodes), JOIN_TIMEOUT_SECONDS
    )
    gevent.sleep(SETTLE_SECONDS)
    before = [(node.traffic.bytes_sent, node.traffic.datagrams_sent) for node in nodes]
    kinds_before = sent_by_kind()
    cpu_before = time.process_time()
    start = time.monotonic()
    gevent.sleep(seconds)
    elapsed = time.monotonic() - start
    cpu = (time.process_time() - cpu_before) / elapsed / count * 100
    kinds = {
        kind: (value - kinds_before.get(kind, 0.0)) / elapsed / count
        for kind, value in sent_by_kind().items()
    }
    rates, datagrams = [], 0.0
    for node, (sent_bytes, sent_datagrams) in zip(nodes, before, strict=True):
        packets = node.traffic.datagrams_sent - sent_datagrams
        payload = node.traffic.bytes_sent - sent_bytes
        rates.append((payload + packets * PACKET_OVERHEAD_BYTES) / elapsed)
        datagrams += packets / elapsed / count
    detection_seconds = kill_one(nodes)
    publisher.kill()
    for node in nodes:
        node.stop()
    rates.sort()
    by_kind = " ".join(f"{kind}={rate:.0f}" for kind, rate in sorted(kinds.items()) if rate >= 1)
    mean = sum(rates) / count
    return Cost(
        zones,
        nodes_per_zone,
        join_seconds,
        mean,
        rates[count // 2],
        rates[-1],
        datagrams,
        cpu,
        detection_seconds,
        by_kind,
    )


def kill_one(nodes: list[GossipMembership]) -> float:
    """Stop the last node without a word; return seconds until its whole zone knows."""
    killed = nodes.pop()
    mates = [node for node in nodes if node.zone == killed.zone]
    killed.stop()
    return wait_until(
        lambda: not any(node.is_live(killed.node_id) for node in mates), KILL_TIMEOUT_SECONDS
    )


def main() -> None:
    """Measure each size and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--sizes", default="10,20,40,60", help="nodes a zone")
    parser.add_argument("--pools", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    print("zones nodes/zone join_s bytes/s(mean median max) datagrams/s cpu% detect_s by kind")
    for size in arguments.sizes.split(","):
        cost = measure(arguments.zones, int(size), arguments.pools, arguments.seconds)
        print(
            f"{cost.zones:5d} {cost.nodes_per_zone:10d} {cost.join_seconds:6.1f} "
            f"{cost.mean_bytes:6.0f} {cost.median_bytes:6.0f} {cost.largest_bytes:6.0f} "
            f"{cost.datagrams:6.1f} {cost.cpu_percent:6.3f} {cost.detection_seconds:5.2f} "
            f"{cost.by_kind}",
            flush=True,
        )


if __name__ == "__main__":
    monkey.patch_all()
    main()
