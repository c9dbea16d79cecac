"""Coordinator's side: invites nodes as runners of batch items and assigns runs to them."""

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
from runkeel.jobs.generation_run import PartialOutput
from runkeel.metrics import RUNNERS
from runkeel.runners.lease import (
    DEMAND_RETENTION_SECONDS,
    MAX_LOCAL_RUNS,
    MAX_LOOP_LAG_MILLISECONDS,
    MAX_RUNS_PER_RUNNER,
    RUNNER_LOST_SECONDS,
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

MAINTENANCE_INTERVAL_SECONDS = 0.4
"""Interval at which lost runners are dropped and further nodes invited."""

INVITE_RETRY_SECONDS = 1.0
"""Time after which a node that has not joined is invited again."""

CALL_TIMEOUT_SECONDS = 0.6
"""Timeout of a call that sends an invitation or a start."""

SAMPLED_RUNNERS = 4
"""Size of the random sample of runners from which the least loaded one is taken."""


@dataclass(slots=True)
class Runner:
    """A node that runs items.

    Attributes:
        session: id of its current lease session; a new one begins when the lease expires.
        last_heard_at: when its last progress message came, on the steady clock, in seconds.
        loop_lag_ms: its event loop lag in milliseconds.
        runs: by id, the runs that it may be running.
        run_ids_to_end: ids of the runs that it should end.
    """

    node_id: str
    zone: str
    session: str = ""
    last_heard_at: float = 0.0
    loop_lag_ms: int = 0
    runs: dict[str, RemoteRun] = field(default_factory=dict)
    run_ids_to_end: set[str] = field(default_factory=set)

    @property
    def has_capacity(self) -> bool:
        """Whether it has capacity for one more run."""
        return len(self.runs) < MAX_RUNS_PER_RUNNER and self.loop_lag_ms < MAX_LOOP_LAG_MILLISECONDS


class RunnerPool:
    """The runners of a coordinator during one term.

    Args:
        own_address: returns the address at which peers reach this coordinator.
        peers: returns the nodes that are known to be up.
        services: returns the names of the services whose servers generate.
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
        self._runners_by_zone: dict[str, IndexedSet[Runner]] = {}
        self._all_runners: IndexedSet[Runner] = IndexedSet()
        self._live_runs: dict[str, set[str]] = {}
        """Ids of the runs that may be in flight, by item."""
        self._last_runner_by_engine: dict[str, Runner] = {}
        self._invited: dict[str, tuple[NodeAddress, float]] = {}
        self._run_numbers = itertools.count(1)
        self._local_runs = 0
        self._last_demand_at = -DEMAND_RETENTION_SECONDS
        self._stopped = False
        self._tasks: set[gevent.Greenlet] = set()
        self._slots_computed_for: tuple[int, list[str]] = (-1, [])
        self._cached_slots_by_zone: dict[str, int] = {}

    @property
    def needs_runners(self) -> bool:
        """Whether engine slots exceed what this node runs itself, and open items recently did."""
        recent = steady_seconds() - self._last_demand_at < DEMAND_RETENTION_SECONDS
        return recent and self.engines_exceed_local_runs

    @property
    def engines_exceed_local_runs(self) -> bool:
        """Whether the engines have more slots than this node runs itself."""
        return self._total_slots() > MAX_LOCAL_RUNS

    def set_open_items(self, items: int) -> None:
        """Note demand for runners if more items are open (waiting or running) than run here."""
        if items > MAX_LOCAL_RUNS:
            self._last_demand_at = steady_seconds()

    @property
    def has_capacity(self) -> bool:
        """Whether this node or a sampled runner has capacity for one more run."""
        if self._local_runs < MAX_LOCAL_RUNS:
            return True
        return any(runner.has_capacity for runner in self._all_runners.sample(SAMPLED_RUNNERS))

    def start(self) -> None:
        """Start inviting nodes."""
        self._spawn(self._maintain_runners)

    def stop(self) -> None:
        """Stop inviting; runners end their runs on the reply to their next progress message."""
        self._stopped = True
        for task in list(self._tasks):
            task.kill(block=False)
        RUNNERS.set(0)

    def runner_for(self, engine: BackendState) -> Runner | None:
        """Return the runner for a run at an engine; None if this node is to run it itself.

        Prefers the runner last chosen for the engine, then one in the engine's zone.
        """
        if self._local_runs < MAX_LOCAL_RUNS or not self._runners:
            return None
        runner = self._last_runner_by_engine.get(engine.incarnation)
        if runner is not None and runner.node_id in self._runners and runner.has_capacity:
            return runner
        near = self._runners_by_zone.get(engine.backend.zone) or self._all_runners
        for runners in (near, self._all_runners):
            free = [one for one in runners.sample(SAMPLED_RUNNERS) if one.has_capacity]
            if free:
                chosen = min(free, key=lambda one: len(one.runs))
                self._last_runner_by_engine[engine.incarnation] = chosen
                return chosen
        return None

    def create_run(
        self,
        runner: Runner,
        start: ItemRunStart,
        partial: PartialOutput,
        loading: Callable[[], bool],
    ) -> RemoteRun:
        """Return a run at a runner; fills in the shard, epoch, session and run id of the start."""
        start.shard = self._shard
        start.epoch = self._epoch
        start.session = runner.session
        start.run_id = f"{self._epoch}.{next(self._run_numbers)}"
        run = RemoteRun(
            start,
            partial,
            loading,
            lambda message: self._send_start(runner, message),
            lambda run_id: self._request_end(runner, run_id),
        )
        runner.runs[run.run_id] = run
        self._live_runs.setdefault(run.item_id, set()).add(run.run_id)
        return run

    def may_still_run(self, item_id: str) -> bool:
        """Return whether a run of an item, possibly an abandoned one, may still be in flight."""
        return item_id in self._live_runs

    def add_local_run(self) -> None:
        """Count a run that this node runs itself."""
        self._local_runs += 1

    def remove_local_run(self) -> None:
        """Stop counting a run that this node ran itself."""
        self._local_runs -= 1

    # Invitations

    def _maintain_runners(self) -> None:
        while True:
            self._drop_lost_runners()
            for address in self._nodes_to_invite():
                self._spawn(self._invite, address)
            gevent.sleep(MAINTENANCE_INTERVAL_SECONDS)

    def _total_slots(self) -> int:
        return sum(self._slots_by_zone().values())

    def _slots_by_zone(self) -> dict[str, int]:
        """Return the engines' slots by zone; recomputed when engines or services change."""
        changes = self._directory.membership_changes
        names = self._services()
        if (changes, names) != self._slots_computed_for:
            self._slots_computed_for = changes, names
            slots: dict[str, int] = {}
            for service in names:
                for state in self._directory.of_service(service):
                    zone = state.backend.zone
                    slots[zone] = slots.get(zone, 0) + state.backend.slots
            self._cached_slots_by_zone = slots
        return self._cached_slots_by_zone

    def _nodes_to_invite(self) -> list[NodeAddress]:
        """Return nodes to invite so that each zone has enough runners for its engines' slots."""
        if not self.needs_runners:
            return []
        now = steady_seconds()
        by_zone: dict[str, list[NodeAddress]] = {}
        for address in self._peers():
            by_zone.setdefault(address.zone, []).append(address)
        invited: list[NodeAddress] = []
        for zone, slots in self._slots_by_zone().items():
            wanted = math.ceil(slots / MAX_RUNS_PER_RUNNER) - len(
                self._runners_by_zone.get(zone, ())
            )
            free = [one for one in by_zone.get(zone, ()) if self._may_invite(one, now)]
            invited += free[: max(0, wanted)]
        return invited

    def _may_invite(self, address: NodeAddress, now: float) -> bool:
        if address.node_id in self._runners:
            return False
        known = self._invited.get(address.node_id)
        return known is None or now - known[1] >= INVITE_RETRY_SECONDS

    def _invite(self, address: NodeAddress) -> None:
        self._invited[address.node_id] = address, steady_seconds()
        message = RunnerInvite(self._shard, self._epoch, self._own_address())
        try:
            self._network.call(
                address.node_id,
                MessageType.RUNNER_INVITE,
                message,
                RunnerInviteReply,
                CALL_TIMEOUT_SECONDS,
            )
        except RunkeelError as error:
            logger.info(
                "node did not respond to the invitation to run items",
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
                CALL_TIMEOUT_SECONDS,
            )
        except RunkeelError as error:
            if error.verdict is Verdict.NOT_RUN:
                self._remove_run(runner, message.run_id)
            raise
        if not reply.accepted:
            self._remove_run(runner, message.run_id)
        return reply

    def _remove_run(self, runner: Runner, run_id: str) -> None:
        """Remove a run that has certainly ended."""
        run = runner.runs.pop(run_id, None)
        runner.run_ids_to_end.discard(run_id)
        if run is not None:
            self._remove_live_run(run)

    def _remove_live_run(self, run: RemoteRun) -> None:
        runs = self._live_runs[run.item_id]
        runs.discard(run.run_id)
        if not runs:
            del self._live_runs[run.item_id]

    def _request_end(self, runner: Runner, run_id: str) -> None:
        if run_id in runner.runs:
            runner.run_ids_to_end.add(run_id)

    def apply_progress(self, peer: str, message: ItemRunProgress) -> ItemRunProgressReply:
        """Apply a runner's progress message; renews its lease unless the reply releases it."""
        known = self._invited.get(peer)
        if self._stopped or message.epoch != self._epoch or known is None:
            return ItemRunProgressReply(False, [], [])
        runner = self._runners.get(peer) or self._add_runner(peer, known[0].zone)
        if runner.session != message.session:
            self._mark_runs_lost(runner, "the runner's lease expired")
            runner.session = message.session
        runner.last_heard_at = steady_seconds()
        runner.loop_lag_ms = message.late_ms
        unknown = self._apply_updates(runner, message)
        if not self.needs_runners and not runner.runs:
            self._release(runner)
            return ItemRunProgressReply(False, [], [])
        return ItemRunProgressReply(
            True, [*runner.run_ids_to_end, *unknown], self._runs_at_loading_engines(runner)
        )

    def _apply_updates(self, runner: Runner, message: ItemRunProgress) -> list[str]:
        """Apply the updates to their runs; returns ids of unknown runs that have not ended."""
        unknown = []
        for update in message.updates:
            run = runner.runs.get(update.run_id)
            if run is None:
                if not update.outcome:
                    unknown.append(update.run_id)
                continue
            run.apply_update(update)
            if update.outcome:
                self._remove_run(runner, update.run_id)
        return unknown

    def _runs_at_loading_engines(self, runner: Runner) -> list[str]:
        return [run_id for run_id, run in runner.runs.items() if run.loading()]

    def _add_runner(self, node_id: str, zone: str) -> Runner:
        runner = Runner(node_id, zone)
        self._runners[node_id] = runner
        self._runners_by_zone.setdefault(zone, IndexedSet()).add(node_id, runner)
        self._all_runners.add(node_id, runner)
        RUNNERS.set(len(self._runners))
        logger.info("runner joined", code="runner_joined", runner=node_id, zone=zone)
        return runner

    def _release(self, runner: Runner) -> None:
        """Remove an idle runner that is no longer needed."""
        self._remove_runner(runner)
        logger.info("runner released", code="runner_released", runner=runner.node_id)

    def _remove_runner(self, runner: Runner) -> None:
        del self._runners[runner.node_id]
        self._runners_by_zone[runner.zone].discard(runner.node_id)
        self._all_runners.discard(runner.node_id)
        self._invited.pop(runner.node_id, None)
        RUNNERS.set(len(self._runners))

    def _drop_lost_runners(self) -> None:
        """Remove runners that have been silent until their leases have certainly expired."""
        oldest = steady_seconds() - RUNNER_LOST_SECONDS
        for runner in [one for one in self._runners.values() if one.last_heard_at < oldest]:
            self._remove_runner(runner)
            logger.info(
                "runner lost: no progress message until its lease expired",
                code="runner_lost",
                runner=runner.node_id,
                runs=len(runner.runs),
                silent_ms=int((steady_seconds() - runner.last_heard_at) * 1000),
            )
            self._mark_runs_lost(runner, "no progress message from the runner")

    def _mark_runs_lost(self, runner: Runner, reason: str) -> None:
        runs, runner.runs = runner.runs, {}
        runner.run_ids_to_end.clear()
        for run in runs.values():
            self._remove_live_run(run)
            run.mark_lost(reason)

    def _spawn(self, function: Callable[..., None], *arguments: object) -> None:
        task = gevent.spawn(function, *arguments)
        self._tasks.add(task)
        task.rawlink(self._tasks.discard)
