"""Soak test of the feed: stalled links and coordinators must not delay changes by too much.

A node follows one of two coordinators in memory, in real time. Documents are written all the time,
and the node's own connection to the store always works, so that every change must reach the node
within the propagation time, whatever happens to the coordinators and the links to them. The seed
determines the faults, which may overlap:

- The link between the node and a coordinator stalls and delivers late.
- The responses of the store to a coordinator stall and arrive late.
- A coordinator freezes: both at once.
- The other coordinator takes over; the replaced one and the node learn of it late.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import gevent

from runkeel.api.documents import (
    Document,
    DocumentChanges,
    DocumentKind,
    DocumentList,
)
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.coordination.document_feed import (
    DocumentFeed,
    coordinator_watch_seconds,
    max_copy_age_seconds,
)
from runkeel.coordination.feed_follower import FeedFollower, grace_seconds, max_hold_seconds
from runkeel.fleet_node import (
    COORDINATOR_BATCHING_SECONDS,
    NODE_BATCHING_FRACTION,
    NODE_WATCH_SECONDS,
)
from runkeel.state.document_watcher import DocumentWatcher
from runkeel_lab.feed_faults import Fault, FaultKind, draw_faults
from runkeel_lab.stalling_links import StallingLink, StallingNetwork, StallingStore
from runkeel_lab.standins.document_store import MemoryDocumentStore

FOLLOWER = "follower"
COORDINATORS = ("coordinator-0", "coordinator-1")

WRITE_INTERVAL_SECONDS = (0.1, 0.5)
SAMPLE_INTERVAL_SECONDS = 0.02
MAX_CONCURRENT_RUNS = 50

KIND = DocumentKind.BACKEND


@dataclass(slots=True)
class FeedSoakReport:
    """Outcome of a run.

    Attributes:
        changes: number of documents written.
        worst_seconds: longest time from the write of a document until the node had it.
        late: documents that took longer than the propagation time, with their time in seconds.
        store_reads: calls of the node to the store.
        feed_reads: calls of the node to a coordinator.
        store_share: share of the time in which the node did not follow the feed.
        departures: how often the node stopped following the feed.
        faults: number of faults by kind.
        process_lag_seconds: how late a timer of this process has been at most.
    """

    changes: int = 0
    worst_seconds: float = 0.0
    late: dict[str, float] = field(default_factory=dict)
    store_reads: int = 0
    feed_reads: int = 0
    store_share: float = 0.0
    departures: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    process_lag_seconds: float = 0.0


class _CountingStore:
    """The follower's connection to the store, which always works."""

    def __init__(self, store: MemoryDocumentStore) -> None:
        self._store = store
        self.calls = 0

    def list(self, *arguments: Any, **named: Any) -> DocumentList:
        self.calls += 1
        return self._store.list(*arguments, **named)

    def watch(self, *arguments: Any) -> DocumentChanges:
        self.calls += 1
        return self._store.watch(*arguments)


class _CoordinatorNode:
    """A coordinator as the follower sees it: a watcher of the store, and the feed."""

    def __init__(
        self, name: str, store: MemoryDocumentStore, network: StallingNetwork, propagation: float
    ) -> None:
        self.name = name
        self.store_link = StallingLink()
        self.since: float | None = None
        self.successor: Coordinator | None = None
        watch_seconds = coordinator_watch_seconds(propagation)
        self.watcher = DocumentWatcher(
            StallingStore(store, self.store_link),
            KIND,
            lambda document, removed: self.feed.record_change(document, removed),
            pause_seconds=lambda: COORDINATOR_BATCHING_SECONDS,
            watch_seconds=lambda: watch_seconds,
            confirmation_interval_seconds=lambda: watch_seconds,
        )
        self.feed = DocumentFeed(
            network.handlers_of(name),
            [self.watcher],
            lambda: self.since,
            max_copy_age_seconds(propagation),
            lambda: self.successor,
        )

    def begin_term(self) -> None:
        self.since = steady_seconds()
        self.successor = None
        self.watcher.refresh("this node coordinates")

    def end_term(self, successor: Coordinator) -> None:
        self.since = None
        self.successor = successor
        self.feed.wake()


class FeedSoak:
    """One run; the seed determines its faults.

    Args:
        seconds: length of the part of the run in which faults are injected.
        propagation_seconds: maximum time in which a change must reach the node.

    Attributes:
        faults: the faults to inject.
    """

    def __init__(self, seed: int, seconds: float = 9.0, propagation_seconds: float = 3.0) -> None:
        self._seconds = seconds
        self._propagation_seconds = propagation_seconds
        self._chance = random.Random(f"writes {seed}")
        self.faults = draw_faults(seed, seconds)
        self._store = MemoryDocumentStore()
        self._links = {name: StallingLink() for name in COORDINATORS}
        self._network = StallingNetwork(FOLLOWER, self._links)
        self._coordinators = {
            name: _CoordinatorNode(name, self._store, self._network, propagation_seconds)
            for name in COORDINATORS
        }
        self._epoch = 1
        self._known = _coordinator(COORDINATORS[0], 1)
        self._active = COORDINATORS[0]
        self._follower = self._make_follower()
        self._follower_store = _CountingStore(self._store)
        self._watcher = self._make_watcher()
        self._written_at: dict[str, float] = {}
        self._arrived_at: dict[str, float] = {}
        self._tasks: list[gevent.Greenlet] = []
        self._report = FeedSoakReport()

    def run(self) -> FeedSoakReport:
        """Run the soak and return its report."""
        for coordinator in self._coordinators.values():
            coordinator.watcher.start()
        self._coordinators[self._active].begin_term()
        self._watcher.start()
        self._follower.start([self._watcher])
        started_at = steady_seconds()
        self._spawn(self._sample)
        for fault in self.faults:
            self._tasks.append(gevent.spawn_later(fault.at, self._inject, fault))
        self._write_until(started_at + self._seconds)
        gevent.sleep(2 * self._propagation_seconds)
        self._stop()
        self._check()
        return self._report

    def _make_follower(self) -> FeedFollower:
        max_copy_age = max_copy_age_seconds(self._propagation_seconds)
        return FeedFollower(
            self._network,
            "fleet",
            lambda: self._known,
            max_hold_seconds(self._propagation_seconds),
            grace_seconds(self._propagation_seconds, max_copy_age),
            lambda address, epoch: self._learn(_coordinator(address.node_id, epoch)),
            max_copy_age,
        )

    def _make_watcher(self) -> DocumentWatcher:
        return DocumentWatcher(
            self._follower_store,
            KIND,
            self._on_change,
            pause_seconds=lambda: NODE_BATCHING_FRACTION * self._propagation_seconds,
            watch_seconds=lambda: NODE_WATCH_SECONDS,
            store_needed=self._follower.store_needed,
        )

    def _on_change(self, document: Document, removed: bool) -> None:
        self._arrived_at.setdefault(document.name, steady_seconds())

    def _spawn(self, action: Callable, *arguments: Any) -> None:
        self._tasks.append(gevent.spawn(action, *arguments))

    def _write_until(self, ends_at: float) -> None:
        while steady_seconds() < ends_at:
            name = f"document-{len(self._written_at)}"
            self._written_at[name] = steady_seconds()
            self._store.put(KIND, name, {})
            gevent.sleep(self._chance.uniform(*WRITE_INTERVAL_SECONDS))

    def _inject(self, fault: Fault) -> None:
        self._report.faults[fault.kind] = self._report.faults.get(fault.kind, 0) + 1
        if fault.kind is FaultKind.TAKEOVER:
            self._take_over(fault.seconds)
            return
        if fault.kind is not FaultKind.STORE:
            self._links[self._active].stall(fault.seconds, fault.reply_delay_seconds)
        if fault.kind is not FaultKind.LINK:
            store_link = self._coordinators[self._active].store_link
            store_link.stall(fault.seconds, fault.reply_delay_seconds)

    def _take_over(self, notice_seconds: float) -> None:
        """Let the other coordinator take over, even if the present one serves.

        The replaced coordinator and the node learn of it after ``notice_seconds``.
        """
        replaced = self._coordinators[self._active]
        self._active = next(name for name in COORDINATORS if name != self._active)
        self._epoch += 1
        successor = _coordinator(self._active, self._epoch)
        self._coordinators[self._active].begin_term()
        gevent.sleep(notice_seconds)
        self._learn(successor)
        if self._active != replaced.name:
            replaced.end_term(successor)

    def _learn(self, coordinator: Coordinator) -> None:
        if coordinator.epoch > self._known.epoch:
            self._known = coordinator
            self._follower.on_coordinator_changed()

    def _sample(self) -> None:
        samples = outside = 0
        followed = False
        while True:
            due = steady_seconds() + SAMPLE_INTERVAL_SECONDS
            gevent.sleep(SAMPLE_INTERVAL_SECONDS)
            lag = steady_seconds() - due
            self._report.process_lag_seconds = max(self._report.process_lag_seconds, lag)
            samples += 1
            outside += self._follower.store_needed.is_set()
            self._report.departures += followed and not self._follower.following
            followed = self._follower.following
            self._report.store_share = outside / samples

    def _stop(self) -> None:
        gevent.killall(self._tasks)
        self._follower.stop()
        self._watcher.stop()
        for coordinator in self._coordinators.values():
            coordinator.watcher.stop()

    def _check(self) -> None:
        report = self._report
        report.changes = len(self._written_at)
        report.store_reads = self._follower_store.calls
        report.feed_reads = self._network.calls
        now = steady_seconds()
        for name, written_at in self._written_at.items():
            took_seconds = self._arrived_at.get(name, now) - written_at
            report.worst_seconds = max(report.worst_seconds, took_seconds)
            if took_seconds > self._propagation_seconds:
                report.late[name] = took_seconds


def _coordinator(name: str, epoch: int) -> Coordinator:
    return Coordinator(name, Address("127.0.0.1", 1), "zone", epoch)


def run_feed_soaks(soaks: Sequence[FeedSoak]) -> list[FeedSoakReport]:
    """Run soaks concurrently and return their reports."""
    tasks = [gevent.spawn(soak.run) for soak in soaks]
    return [task.get() for task in tasks]


def run_and_print(seeds: Sequence[int], seconds: float, propagation_seconds: float) -> bool:
    """Run soaks, print their outcomes, and return whether all changes arrived in time."""
    reports: list[FeedSoakReport] = []
    for first in range(0, len(seeds), MAX_CONCURRENT_RUNS):
        batch = seeds[first : first + MAX_CONCURRENT_RUNS]
        found = run_feed_soaks([FeedSoak(seed, seconds, propagation_seconds) for seed in batch])
        for seed, report in zip(batch, found, strict=True):
            if report.late:
                lag = f"process late by {report.process_lag_seconds:.2f} s"
                print(f"seed {seed}, {lag}: {report.late}")
        reports += found
    late_runs = sum(bool(one.late) for one in reports)
    print(
        f"{len(reports)} runs, {late_runs} late; longest"
        f" {max(one.worst_seconds for one in reports):.2f} of {propagation_seconds:.1f} s;"
        f" {sum(one.changes for one in reports)} changes,"
        f" {sum(one.store_reads for one in reports)} reads of the store,"
        f" {sum(one.feed_reads for one in reports)} of the feed;"
        f" process late by up to {max(one.process_lag_seconds for one in reports):.2f} s"
    )
    return not late_runs
