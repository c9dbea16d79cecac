"""Measures traffic, memory and processor time of the replicated state with hollow nodes.

Run: ``python -m tests.state.bench_state`` (not part of the tests). Nodes are the real state
part over in-memory peers; every message is encoded as on the wire, with 16 bytes for its frame.
"""

from __future__ import annotations

import gc
import gzip
import json
import random
import time

import psutil

from runkeel.api.configuration import ObjectKind
from runkeel.api.machines import Address
from runkeel.platform.machine_list import machine_to_json
from runkeel.state.configuration import ConfigurationView
from runkeel.state.machine_view import ReplicatedMachineView
from runkeel.state.ownership import RendezvousOwnership
from runkeel.state.replicated_state import RecordSource, ReplicatedState
from runkeel.state.versioned_record import (
    MACHINE_KIND,
    VersionedRecord,
    canonical_json,
    record_from_wire,
)
from runkeel.state.watchers import machine_records
from tests.state.fakes import FakeCluster, FakeStore, machine_entry, machine_list

ZONES = tuple(f"zone-{index}" for index in range(6))
CHANGES_PER_DAY = 6_200
RESTARTS_PER_DAY = 390 + 36
SECONDS_PER_DAY = 86_400
OBJECTS = 1_000
MACHINES = 4_600
SPEC = {"default_deadline_ms": 2000, "max_in_flight": 1, "default_priority_class": "standard"}
COMMAND_IDS = tuple(f"01hzy8v1d7q3k5m9x2c4b6n{index:03}" for index in range(16))


def object_record(index: int, generation: int = 16) -> VersionedRecord:
    spec = {**SPEC, "max_in_flight": generation}
    return VersionedRecord(
        "service", f"service-{index}", generation, canonical_json(spec), False, COMMAND_IDS, "ana"
    )


def _address(index: int) -> Address:
    return Address(f"10.{index % 6}.{index // 250}.{index * 7 % 251}", 8_000 + index * 31 % 997)


def machine_record(index: int) -> VersionedRecord:
    zone = ZONES[index % len(ZONES)]
    entry = machine_entry(f"engine-{index:05}", zone, address=_address(index))
    return VersionedRecord(
        MACHINE_KIND, entry.machine.machine_id, index + 1, canonical_json(machine_to_json(entry))
    )


def full_state() -> list[VersionedRecord]:
    return [object_record(index) for index in range(OBJECTS)] + [
        machine_record(index) for index in range(MACHINES)
    ]


def build_cluster(node_count: int) -> FakeCluster:
    cluster = FakeCluster(FakeStore())
    for index in range(node_count):
        cluster.add(f"node-{index:03}", ZONES[index % len(ZONES)])
    return cluster


def measure_changes(node_count: int, changes: int = 40) -> None:
    cluster = build_cluster(node_count)
    source = random.Random(1)
    sixteen = list(COMMAND_IDS)
    for index in range(16):  # Fills the list of command ids, outside of the measurement.
        change(cluster, source, sixteen[index])
    cluster.sent_bytes.clear()
    cluster.received_bytes.clear()
    started = time.process_time()
    for index in range(changes):
        change(cluster, source, f"01hzy8v1d7q3k5m9x2c4c{index:05}")
    seconds = time.process_time() - started
    in_force = {node.state.digest for node in cluster.nodes.values()}
    total = [cluster.sent_bytes[n] + cluster.received_bytes[n] for n in cluster.nodes]
    mean = sum(total) / len(total) / changes
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    record = next(iter(cluster.nodes.values())).state.records("service")[0]
    size = len(canonical_json([record.payload.decode(), *record.command_ids]))
    print(
        f"{node_count} nodes: {mean:.0f} B a change and node (sent and received, mean), "
        f"{max(total) / changes:.0f} B the busiest; at {CHANGES_PER_DAY}/day: {mean * rate:.0f} "
        f"B/s a node, busiest {max(total) / changes * rate:.0f} B/s; record {size} B; "
        f"{seconds / changes / node_count * 1e6:.0f} us CPU a change and node; "
        f"agree: {len(in_force) == 1}"
    )
    cluster.close()


def change(cluster: FakeCluster, source: random.Random, command_id: str) -> None:
    node = cluster.nodes[source.choice(sorted(cluster.nodes))]
    value = source.randrange(1, 10**6)
    node.writer.change(
        ObjectKind.SERVICE, "tariff", lambda _: {**SPEC, "max_in_flight": value}, command_id, "ana"
    )
    cluster.settle()


def measure_catch_up() -> None:
    cluster = build_cluster(12)
    peer, new = cluster.nodes["node-000"], cluster.nodes["node-006"]
    peer.state.apply(full_state(), RecordSource.STORE)
    started = time.process_time()
    new.spread.anti_entropy.synchronize("node-000")
    seconds = time.process_time() - started
    moved = cluster.sent_bytes["node-000"] + cluster.received_bytes["node-000"]
    daily = 2 * moved * RESTARTS_PER_DAY / SECONDS_PER_DAY / 400
    print(
        f"new node takes {len(new.state)} records: {moved / 1e6:.2f} MB, {cluster.calls // 2} "
        f"calls, largest message {cluster.largest_message} B, {seconds * 1e3:.0f} ms CPU for "
        f"both ends; {RESTARTS_PER_DAY} a day over 400 nodes: {daily:.0f} B/s a node (mean)"
    )
    cluster.sent_bytes.clear()
    cluster.received_bytes.clear()
    new.state.apply([object_record(1, generation=17)], RecordSource.STORE)
    new.spread.anti_entropy.synchronize("node-000")
    moved = cluster.sent_bytes["node-000"] + cluster.received_bytes["node-000"]
    print(f"exchange of one differing record among {len(new.state)}: {moved} B")
    cluster.close()


def measure_memory(copies: int = 10) -> None:
    wire = [record.to_wire() for record in full_state()]
    membership = build_cluster(6).nodes["node-000"].membership
    process = psutil.Process()
    kept = []
    gc.collect()
    before = process.memory_info().rss
    for _ in range(copies):
        state = ReplicatedState()
        copied = [record_from_wire(json_copy(message)) for message in wire]
        state.apply(copied, RecordSource.SYNC)
        machines, configuration = ReplicatedMachineView(state), ConfigurationView(state)
        ownership = RendezvousOwnership(membership, machines, configuration)
        kept.append((state, machines, configuration, ownership))
        del copied
    gc.collect()
    grown = (process.memory_info().rss - before) / copies
    print(
        f"memory of {MACHINES} machines and {OBJECTS} objects, views included: {grown / 1e6:.1f} MB"
    )


def json_copy(message):
    """Copy a message's strings, so that copies share no memory."""
    copied = type(message)()
    for name in message.__slots__:
        value = getattr(message, name)
        if isinstance(value, list):
            value = ["".join(list(item)) for item in value]
        elif isinstance(value, str):
            value = "".join(list(value))
        elif isinstance(value, bytes):
            value = bytes(bytearray(value))
        setattr(copied, name, value)
    return copied


def measure_ownership() -> None:
    cluster = build_cluster(400)
    node = cluster.nodes["node-000"]
    node.state.apply(full_state(), RecordSource.STORE)
    machines = ReplicatedMachineView(node.state)
    started = time.process_time()
    ownership = RendezvousOwnership(node.membership, machines, ConfigurationView(node.state))
    full = time.process_time() - started
    cluster.remove("node-006")
    started = time.process_time()
    for callback in node.membership.change_callbacks:
        callback()
    step = time.process_time() - started
    print(
        f"ownership at 400 nodes, {MACHINES} back ends: first {full * 1e3:.0f} ms, one node less "
        f"{step * 1e3:.1f} ms CPU; this node owns {len(ownership.owned())}"
    )


def measure_machine_list() -> None:
    entries = [
        machine_entry(f"engine-{index:05}", version=index + 1, address=_address(index))
        for index in range(MACHINES)
    ]
    listed = machine_list(MACHINES, *entries)
    items = [{"id": item.machine_id, "version": item.version, **item.body} for item in listed.items]
    body = json.dumps({"version": MACHINES, "machines": items}).encode()
    readings = 3 * RESTARTS_PER_DAY / SECONDS_PER_DAY
    size, compressed = len(body), len(gzip.compress(body))
    state = ReplicatedState()
    state.apply(machine_records(listed, state), RecordSource.STORE)
    changed = machine_list(MACHINES + 1, *entries[1:], machine_entry("engine-00000", version=9999))
    started = time.process_time()
    json.loads(body)
    parsed = time.process_time()
    news = machine_records(changed, state)
    compared = time.process_time()
    print(
        f"one reading of the machine list: {size / 1e6:.2f} MB ({compressed / 1e6:.3f} MB with "
        f"gzip); at 3 list versions for each of {RESTARTS_PER_DAY} events a day: "
        f"{readings * size:.0f} B/s ({readings * compressed:.0f} B/s with gzip) on each of a "
        f"zone's two watchers; {(parsed - started) * 1e3:.1f} ms to parse and "
        f"{(compared - parsed) * 1e3:.1f} ms to find {len(news)} change"
    )


if __name__ == "__main__":
    measure_memory()
    measure_catch_up()
    measure_ownership()
    measure_machine_list()
    for count in (25, 100, 400):
        measure_changes(count)
