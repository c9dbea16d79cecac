"""The coordinator's side: which nodes run items for it, and which of them runs what."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.gateway.indexed_set import IndexedSet
from runkeel.jobs.generation_run import PartialText
from runkeel.metrics import RUNNERS
from runkeel.runners.lease import (
    DEMAND_SECONDS,
    LATE_MILLISECONDS,
    LOCAL_RUNS,
    LOST_SECONDS,
    RUNS_PER_RUNNER,
)
from runkeel.runners.remote_run import RemoteRun
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    ItemRunProgress,
    ItemRunProgressReply,
    ItemRunStart,
    ItemRunStartReply,
    NodeAddress,
    RunnerInvite,
    RunnerInviteReply,
)
from runkeel.wire.network import PeerNetwork

PLAN_SECONDS = 0.4
"""Runners are invited, released and lost at most so long after there is reason to.

Chosen, not measured.
"""

INVITE_AGAIN_SECONDS = 1.0
"""A node that did not take an invitation is asked again after so long. Chosen, not measured."""

CALL_SECONDS = 0.6
"""Longest wait for the answer to an invitation or a start."""

CHOICES = 4
"""A run that does not go to its engine's own runner goes to the emptiest one of so many."""


@dataclass(slots=True)
class Runner:
    """A node that runs items.

    Attributes:
        session: names the time since its lease last lapsed.
        runs: by id, those that it may be running.
        unwanted: ids of those that it is to end.
    """

    node_id: str
    zone: str
    session: str = ""
    heard_at: float = 0.0
    late_ms: int = 0
    runs: dict[str, RemoteRun] = field(default_factory=dict)
    unwanted: set[str] = field(default_factory=set)

    @property
    def has_room(self) -> bool:
        """Whether it can read one more run in time."""
        return len(self.runs) < RUNS_PER_RUNNER and self.late_ms < LATE_MILLISECONDS


class RunnerPool:
    """The runners of one term.

    Args:
        own_address: where this coordinator is reached by its peers.
        peers: nodes that have been heard of lately.
        services: names of the services whose servers generate.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        epoch: int,
        own_address: Callable[[], NodeAddress],
        peers: Callable[[], list[NodeAddress]],
        directory: BackendDirectory,
        services: Callable[[], list[str]],
    ) -> None:
        self._network = network
        self._shard = shard
        self._epoch = epoch
        self._own_address = own_address
        self._peers = peers
        self._directory = directory
        self._services = services
        self._runners: dict[str, Runner] = {}
        self._zones: dict[str, IndexedSet[Runner]] = {}
        self._all: IndexedSet[Runner] = IndexedSet()
        self._live: dict[str, set[str]] = {}
        """Runs that may be going on, by item."""
        self._of_engine: dict[str, Runner] = {}
        self._invited: dict[str, tuple[NodeAddress, float]] = {}
        self._numbers = itertools.count(1)
        self._local_runs = 0
        self._demanded_at = -DEMAND_SECONDS
        self._stopped = False
        self._tasks: set[gevent.Greenlet] = set()
        self._slots_as_of: tuple[int, list[str]] = (-1, [])
        self._slots_of_zone: dict[str, int] = {}

    @property
    def needed(self) -> bool:
        """Whether more is open lately, and has room at engines, than this node reads itself."""
        recent = steady_seconds() - self._demanded_at < DEMAND_SECONDS
        return recent and self.may_be_used

    @property
    def may_be_used(self) -> bool:
        """Whether the engines have more slots than one node reads."""
        return self._slots() > LOCAL_RUNS

    def note_open(self, items: int) -> None:
        """Take how many items wait or run."""
        if items > LOCAL_RUNS:
            self._demanded_at = steady_seconds()

    @property
    def has_room(self) -> bool:
        """Whether one more run would be read in time."""
        if self._local_runs < LOCAL_RUNS:
            return True
        return any(runner.has_room for runner in self._all.sample(CHOICES))

    def start(self) -> None:
        """Start to invite nodes."""
        self._spawn(self._plan_on)

    def stop(self) -> None:
        """End every run; runners learn of it by the answer to their next message."""
        self._stopped = True
        for task in list(self._tasks):
            task.kill(block=False)
        RUNNERS.set(0)

    def runner_for(self, engine: BackendState) -> Runner | None:
        """Return the node that is to run an item at an engine; None: this one itself."""
        if self._local_runs < LOCAL_RUNS or not self._runners:
            return None
        runner = self._of_engine.get(engine.incarnation)
        if runner is not None and runner.node_id in self._runners and runner.has_room:
            return runner
        near = self._zones.get(engine.backend.zone) or self._all
        for runners in (near, self._all):
            free = [one for one in runners.sample(CHOICES) if one.has_room]
            if free:
                chosen = min(free, key=lambda one: len(one.runs))
                self._of_engine[engine.incarnation] = chosen
                return chosen
        return None

    def new_run(
        self,
        runner: Runner,
        start: ItemRunStart,
        partial: PartialText,
        loading: Callable[[], bool],
    ) -> RemoteRun:
        """Return a run at a node; the start's names of term, session and run are filled in."""
        start.shard = self._shard
        start.epoch = self._epoch
        start.session = runner.session
        start.run_id = f"{self._epoch}.{next(self._numbers)}"
        run = RemoteRun(
            start,
            partial,
            loading,
            lambda message: self._send_start(runner, message),
            lambda run_id: self._end(runner, run_id),
        )
        runner.runs[run.run_id] = run
        self._live.setdefault(run.item_id, set()).add(run.run_id)
        return run

    def goes_on(self, item_id: str) -> bool:
        """Return whether a run of an item may be going on, though nobody may want it any more."""
        return item_id in self._live

    def local_run_began(self) -> None:
        """Count a run that this node reads itself."""
        self._local_runs += 1

    def local_run_ended(self) -> None:
        """Count one less."""
        self._local_runs -= 1

    # Invitations

    def _plan_on(self) -> None:
        while True:
            self._drop_lost()
            for address in self._lacking():
                self._spawn(self._invite, address)
            gevent.sleep(PLAN_SECONDS)

    def _slots(self) -> int:
        return sum(self._slots_by_zone().values())

    def _slots_by_zone(self) -> dict[str, int]:
        """Return the slots of all engines by zone; worked out anew when engines come or go."""
        changes = self._directory.membership_changes
        names = self._services()
        if (changes, names) != self._slots_as_of:
            self._slots_as_of = changes, names
            slots: dict[str, int] = {}
            for service in names:
                for state in self._directory.of_service(service):
                    zone = state.backend.zone
                    slots[zone] = slots.get(zone, 0) + state.backend.slots
            self._slots_of_zone = slots
        return self._slots_of_zone

    def _lacking(self) -> list[NodeAddress]:
        """Return nodes to invite, so that each zone has as many runners as its engines need."""
        if not self.needed:
            return []
        now = steady_seconds()
        by_zone: dict[str, list[NodeAddress]] = {}
        for address in self._peers():
            by_zone.setdefault(address.zone, []).append(address)
        invited: list[NodeAddress] = []
        for zone, slots in self._slots_by_zone().items():
            wanted = math.ceil(slots / RUNS_PER_RUNNER) - len(self._zones.get(zone, ()))
            free = [one for one in by_zone.get(zone, ()) if self._may_invite(one, now)]
            invited += free[: max(0, wanted)]
        return invited

    def _may_invite(self, address: NodeAddress, now: float) -> bool:
        if address.node_id in self._runners:
            return False
        known = self._invited.get(address.node_id)
        return known is None or now - known[1] >= INVITE_AGAIN_SECONDS

    def _invite(self, address: NodeAddress) -> None:
        self._invited[address.node_id] = address, steady_seconds()
        message = RunnerInvite(self._shard, self._epoch, self._own_address())
        try:
            self._network.call(
                address.node_id,
                MessageType.RUNNER_INVITE,
                message,
                RunnerInviteReply,
                CALL_SECONDS,
            )
        except RunkeelError as error:
            logger.info(
                "runner not reached",
                code="runner_unreached",
                runner=address.node_id,
                error=str(error.code),
            )

    # Runs

    def _send_start(self, runner: Runner, message: ItemRunStart) -> ItemRunStartReply:
        try:
            reply = self._network.call(
                runner.node_id,
                MessageType.ITEM_RUN_START,
                message,
                ItemRunStartReply,
                CALL_SECONDS,
            )
        except RunkeelError as error:
            if error.verdict is Verdict.NOT_RUN:
                self._forget(runner, message.run_id)
            raise
        if not reply.accepted:
            self._forget(runner, message.run_id)
        return reply

    def _forget(self, runner: Runner, run_id: str) -> None:
        """Take note that a run is over for certain."""
        run = runner.runs.pop(run_id, None)
        runner.unwanted.discard(run_id)
        if run is not None:
            self._no_longer_live(run)

    def _no_longer_live(self, run: RemoteRun) -> None:
        runs = self._live[run.item_id]
        runs.discard(run.run_id)
        if not runs:
            del self._live[run.item_id]

    def _end(self, runner: Runner, run_id: str) -> None:
        if run_id in runner.runs:
            runner.unwanted.add(run_id)

    def take_progress(self, peer: str, message: ItemRunProgress) -> ItemRunProgressReply:
        """Take what a runner tells; the answer renews its lease."""
        known = self._invited.get(peer)
        if self._stopped or message.epoch != self._epoch or known is None:
            return ItemRunProgressReply(False, [], [])
        runner = self._runners.get(peer) or self._take_in(peer, known[0].zone)
        if runner.session != message.session:
            self._lose_runs(runner, "the runner's lease has lapsed")
            runner.session = message.session
        runner.heard_at = steady_seconds()
        runner.late_ms = message.late_ms
        unknown = self._take_updates(runner, message)
        if not self.needed and not runner.runs:
            self._release(runner)
            return ItemRunProgressReply(False, [], [])
        return ItemRunProgressReply(True, [*runner.unwanted, *unknown], self._loading_at(runner))

    def _take_updates(self, runner: Runner, message: ItemRunProgress) -> list[str]:
        """Take what has come of the runs; returns those that nobody here knows."""
        unknown = []
        for update in message.updates:
            run = runner.runs.get(update.run_id)
            if run is None:
                if not update.outcome:
                    unknown.append(update.run_id)
                continue
            run.take(update)
            if update.outcome:
                self._forget(runner, update.run_id)
        return unknown

    def _loading_at(self, runner: Runner) -> list[str]:
        return [run_id for run_id, run in runner.runs.items() if run.loading()]

    def _take_in(self, node_id: str, zone: str) -> Runner:
        runner = Runner(node_id, zone)
        self._runners[node_id] = runner
        self._zones.setdefault(zone, IndexedSet()).add(node_id, runner)
        self._all.add(node_id, runner)
        RUNNERS.set(len(self._runners))
        logger.info("runner joined", code="runner_joined", runner=node_id, zone=zone)
        return runner

    def _release(self, runner: Runner) -> None:
        """Let a node go that has nothing to run, as the coordinator reads all itself again."""
        self._remove(runner)
        logger.info("runner released", code="runner_released", runner=runner.node_id)

    def _remove(self, runner: Runner) -> None:
        del self._runners[runner.node_id]
        self._zones[runner.zone].discard(runner.node_id)
        self._all.discard(runner.node_id)
        self._invited.pop(runner.node_id, None)
        RUNNERS.set(len(self._runners))

    def _drop_lost(self) -> None:
        """Give up runners that have been silent until their leases have lapsed for certain."""
        oldest = steady_seconds() - LOST_SECONDS
        for runner in [one for one in self._runners.values() if one.heard_at < oldest]:
            self._remove(runner)
            logger.info(
                "runner lost",
                code="runner_lost",
                runner=runner.node_id,
                runs=len(runner.runs),
                silent_ms=int((steady_seconds() - runner.heard_at) * 1000),
            )
            self._lose_runs(runner, "the runner is silent")

    def _lose_runs(self, runner: Runner, reason: str) -> None:
        runs, runner.runs = runner.runs, {}
        runner.unwanted.clear()
        for run in runs.values():
            self._no_longer_live(run)
            run.lose(reason)

    def _spawn(self, function: Callable[..., None], *arguments: object) -> None:
        task = gevent.spawn(function, *arguments)
        self._tasks.add(task)
        task.rawlink(self._tasks.discard)
