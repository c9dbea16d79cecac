"""Measures decide on three nodes in one process: ``python -m runkeel_lab.records_benchmark``."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import random
import statistics
import time
import tracemalloc
from typing import Any

import defopt
import gevent
from loguru import logger

from runkeel.api.configuration import RecordGroupSpec
from runkeel.api.machines import Address, Member, MemberStatus
from runkeel.state.records import GroupView, RecordOptions, RecordService
from runkeel.state.records.replica import Replica
from runkeel.wire.codec import encode
from runkeel.wire.generated.records.ttypes import Accept, Ballot, MemberIncarnation, Prepare
from runkeel.wire.links import LinkPolicy
from runkeel.wire.network import PeerNetwork

GROUP = "records-0"
VALUE = b"v" * 60
TIMEOUT_SECONDS = 10.0


class _DelayPolicy(LinkPolicy):
    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def delay_seconds(self, zone: str) -> float:
        """Return the same delay for every other zone."""
        return self._seconds


class _Store:
    """The group objects of all nodes, in memory."""

    def __init__(self) -> None:
        self._view: GroupView | None = None
        self._callbacks: list = []

    def group(self, name: str) -> GroupView | None:
        """See GroupStore."""
        return self._view

    def change(
        self, name: str, expected_generation: int, spec: RecordGroupSpec, timeout_seconds: float
    ) -> None:
        """See GroupStore."""
        generation = self._view.generation if self._view else 0
        if generation == expected_generation:
            self._view = GroupView(generation + 1, spec)
            for callback in self._callbacks:
                callback(name)

    def on_change(self, callback: Any) -> None:
        """See GroupStore."""
        self._callbacks.append(callback)


class _Membership:
    def __init__(self, node_id: str, members: dict[str, Member]) -> None:
        self.node_id = node_id
        self._members = members

    def live_members(self, zone: str | None = None) -> tuple[Member, ...]:
        """See Membership."""
        return tuple(self._members.values())

    def member(self, node_id: str) -> Member | None:
        """See Membership."""
        return self._members.get(node_id)

    def is_live(self, node_id: str) -> bool:
        """See Membership."""
        return node_id in self._members


class _CountingPeers:
    """Counts the bytes of messages and replies, without frames."""

    def __init__(self, network: PeerNetwork) -> None:
        self._network = network
        self.bytes = 0
        self.calls = 0
        self.counting = False

    def call(
        self, node_id: str, message_type: int, message: Any, reply_class: type, timeout: float
    ) -> Any:
        """See PeerClient."""
        reply = self._network.call(node_id, message_type, message, reply_class, timeout)
        if self.counting:
            self.calls += 1
            self.bytes += len(encode(message)) + len(encode(reply))
        return reply


class _Cluster:
    """Three nodes, one a zone."""

    def __init__(self, delay_seconds: float) -> None:
        book: dict[str, tuple[Address, str]] = {}
        members: dict[str, Member] = {}
        store = _Store()
        self.networks: list[PeerNetwork] = []
        self.peers: list[_CountingPeers] = []
        self.services: list[RecordService] = []
        options = RecordOptions(expected_zones=("zone-a", "zone-b", "zone-c"))
        for name in ("a", "b", "c"):
            zone = f"zone-{name}"
            network = PeerNetwork(
                name,
                zone,
                "benchmark",
                b"key",
                1,
                Address("127.0.0.1", 0),
                book.get,
                _DelayPolicy(delay_seconds),
            )
            network.start()
            address = network.address
            book[name] = (address, zone)
            members[name] = Member(name, zone, 1, MemberStatus.ALIVE, address, address, address)
            peers = _CountingPeers(network)
            self.networks.append(network)
            self.peers.append(peers)
            self.services.append(
                RecordService(name, peers, network, _Membership(name, members), store, options)
            )
        for service in self.services:
            service.start()
        while any(service.replica_phase(GROUP) != "voting" for service in self.services):
            gevent.sleep(0.01)

    def stop(self) -> None:
        """End everything."""
        for service in self.services:
            service.stop()
        for network in self.networks:
            network.stop()


def _latencies(cluster: _Cluster, count: int) -> list[float]:
    latencies = []
    for number in range(count):
        started = time.perf_counter()
        cluster.services[number % 3].decide(f"latency-{number}", VALUE, TIMEOUT_SECONDS)
        latencies.append((time.perf_counter() - started) * 1000)
    return sorted(latencies)


def _throughput(cluster: _Cluster, count: int, tasks: int) -> tuple[float, float]:
    """Return decides per second and processor microseconds per decide, of all three nodes."""

    def claim(task: int) -> None:
        for number in range(count // tasks):
            cluster.services[task % 3].decide(f"load-{task}-{number}", VALUE, TIMEOUT_SECONDS)

    started, cpu = time.perf_counter(), time.process_time()
    gevent.joinall([gevent.spawn(claim, task) for task in range(tasks)], raise_error=True)
    seconds = time.perf_counter() - started
    return count / seconds, (time.process_time() - cpu) / count * 1e6


def _bytes_per_decide(cluster: _Cluster, count: int) -> tuple[float, float]:
    peers = cluster.peers[0]
    peers.counting = True
    for number in range(count):
        cluster.services[0].decide(f"bytes-{number}", VALUE, TIMEOUT_SECONDS)
    gevent.sleep(0.2)
    peers.counting = False
    return peers.bytes / count, peers.calls / count


def _memory_per_record(count: int) -> float:
    options = RecordOptions()
    replica = Replica(GROUP, "a", options, time.monotonic, time.time, random.Random(1))
    entry = replica.own_entry()
    replica.observe(RecordGroupSpec(epoch=1, members=("a",)))
    entry = replica.own_entry()
    replica.observe(RecordGroupSpec(epoch=1, members=("a",), joined=(entry,)))
    quorum = [MemberIncarnation(node_id="a", incarnation=replica.incarnation)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        key, ballot = f"claim/service/{number:012d}", Ballot(round=1, nonce=number)
        replica.prepare(Prepare(group=GROUP, epoch=1, key=key, ballot=ballot))
        value = VALUE[:-8] + f"{number:08d}".encode()
        replica.accept(
            Accept(group=GROUP, epoch=1, key=key, ballot=ballot, value=value, quorum=quorum)
        )
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / count


def main(*, delay_ms: float = 1.5, count: int = 600, tasks: int = 30) -> None:
    """Print latency, throughput, bytes and memory of decide.

    Args:
        delay_ms: one-way delay between zones.
        count: decides per measurement.
        tasks: concurrent callers of the throughput measurement.
    """
    logger.remove()
    cluster = _Cluster(delay_ms / 1000)
    try:
        _latencies(cluster, 30)
        latencies = _latencies(cluster, count)
        rate, microseconds = _throughput(cluster, count * 5, tasks)
        size, calls = _bytes_per_decide(cluster, count)
    finally:
        cluster.stop()
    p50 = statistics.median(latencies)
    p99 = latencies[int(len(latencies) * 0.99)]
    print(f"one caller, {delay_ms} ms one way: p50 {p50:.2f} ms, p99 {p99:.2f} ms")
    print(f"{tasks} callers: {rate:.0f} decides/s, {microseconds:.0f} us of CPU a decide (3 nodes)")
    print(f"proposer sends and receives {size:.0f} bytes in {calls:.1f} calls a decide, no frames")
    print(f"a replica holds {_memory_per_record(20_000):.0f} bytes a record")


if __name__ == "__main__":
    defopt.run(main, argv=None)
