"""Runner's side: runs items for the coordinator and reports their progress.

An invited node sends progress messages until the coordinator releases it. Its runs depend on a
lease that each reply renews, see :mod:`runkeel.runners.lease`. When a lease expires, a new session
begins, so that a start message that was sent in the previous session and arrives late is refused.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol
from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError
from runkeel.gateway.backends import BackendDirectory
from runkeel.jobs.generation_run import PartialOutput, RunOutcome
from runkeel.jobs.scorer import Scorer
from runkeel.metrics import HOSTED_RUNS
from runkeel.quarantine.quarantine import Quarantine
from runkeel.runners.hosted_run import HostedRun
from runkeel.runners.lease import (
    COORDINATOR_SILENCE_SECONDS,
    HEARTBEAT_SECONDS,
    PROGRESS_INTERVAL_SECONDS,
    PROGRESS_TIMEOUT_SECONDS,
    RUN_LEASE_SECONDS,
)
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    ItemRunProgress,
    ItemRunProgressReply,
    ItemRunStart,
    ItemRunStartReply,
    ItemRunUpdate,
    NodeAddress,
    RunnerInvite,
    RunnerInviteReply,
)
from runkeel.wire.network import PeerNetwork

MAX_REFUSED_RUNS = 4_000
"""Maximum number of ids of unwanted runs that are remembered, to refuse starts that arrive late."""

_SESSION_BYTES = 8
_MIN_PROGRESS_INTERVAL_SECONDS = 0.03
"""Pause between progress messages, so that runs ending in quick succession share one."""


class RunnerService:
    """Accepts invitations and runs of at most one coordinator at a time.

    Args:
        known_epoch: returns the latest epoch that this node knows.
        on_coordinator: called with the address and epoch of a coordinator that invites this node.
        keep_output: called with the epoch, item id and output of a run that has ended here, unless
            the run resumed another one or has no output.
        loop_lag_seconds: returns this process's event loop lag.
    """

    def __init__(
        self,
        network: PeerNetwork,
        shard: str,
        directory: BackendDirectory,
        protocol: BackendProtocol,
        scorer: Scorer,
        quarantine: Quarantine,
        known_epoch: Callable[[], int],
        on_coordinator: Callable[[NodeAddress, int], None],
        keep_output: Callable[[int, str, PartialOutput], None] = lambda epoch, item, output: None,
        loop_lag_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._network = network
        self._shard = shard
        self._directory = directory
        self._protocol = protocol
        self._scorer = scorer
        self._quarantine = quarantine
        self._known_epoch = known_epoch
        self._on_coordinator = on_coordinator
        self.keep_output = keep_output
        self._loop_lag_seconds = loop_lag_seconds
        self._assignment: CoordinatorAssignment | None = None
        self._stopping = False
        network.on_call(MessageType.RUNNER_INVITE, RunnerInvite, self._handle_invite)
        network.on_call(MessageType.ITEM_RUN_START, ItemRunStart, self._handle_start)

    @property
    def hosted_runs(self) -> int:
        """Number of runs at this node."""
        return len(self._assignment) if self._assignment is not None else 0

    def end_earlier_terms(self, epoch: int) -> None:
        """End the runs of coordinators of earlier epochs; their outputs are kept."""
        if self._assignment is not None and self._assignment.epoch < epoch:
            self._end_assignment("a later coordinator is known")

    def stop(self) -> None:
        """End all runs; accept no more."""
        self._stopping = True
        self._end_assignment("this node is stopping")

    def _handle_invite(self, peer: str, invite: RunnerInvite) -> tuple[int, RunnerInviteReply]:
        accepted = not self._stopping and invite.epoch >= self._known_epoch()
        current = self._assignment
        if accepted and (current is None or current.ended or current.epoch < invite.epoch):
            self._end_assignment(f"invited by {peer}")
            self._on_coordinator(invite.coordinator, invite.epoch)
            self._assignment = CoordinatorAssignment(self, peer, invite.epoch)
            self._assignment.start()
        return MessageType.RUNNER_INVITE_REPLY, RunnerInviteReply(accepted)

    def _handle_start(self, peer: str, message: ItemRunStart) -> tuple[int, ItemRunStartReply]:
        assignment = self._assignment
        if assignment is None or assignment.epoch != message.epoch or self._stopping:
            reply = ItemRunStartReply(False, "no assignment from this coordinator")
        else:
            reply = assignment.start_run(message)
        return MessageType.ITEM_RUN_START_REPLY, reply

    def _end_assignment(self, reason: str) -> None:
        if self._assignment is not None:
            self._assignment.stop(reason)
            self._assignment = None

    # Used by CoordinatorAssignment

    def send_progress(self, coordinator: str, message: ItemRunProgress) -> ItemRunProgressReply:
        """Send a progress message to the coordinator. Raises RunkeelError if there is no reply."""
        message.shard = self._shard
        message.late_ms = int(self._loop_lag_seconds() * 1000)
        return self._network.call(
            coordinator,
            MessageType.ITEM_RUN_PROGRESS,
            message,
            ItemRunProgressReply,
            PROGRESS_TIMEOUT_SECONDS,
        )

    def is_superseded(self, epoch: int) -> bool:
        """Return whether a later epoch than this one is known."""
        return self._known_epoch() > epoch

    def create_run(
        self, message: ItemRunStart, loading: Callable[[], bool], on_ended: Callable[[], None]
    ) -> HostedRun | str:
        """Return a run that is not started yet, or the reason why it is refused."""
        state = self._directory.find(message.backend_id)
        if state is None:
            return "unknown backend"
        if not state.backend.accepts_work:
            return "backend accepts no new work"
        return HostedRun(
            message, state, self._protocol, self._scorer, self._quarantine, loading, on_ended
        )


class CoordinatorAssignment:
    """This node's runs for one term of a coordinator.

    One greenlet reports their progress, another one ends them when the lease expires.
    """

    def __init__(self, service: RunnerService, coordinator: str, epoch: int) -> None:
        self.epoch = epoch
        self.ended = False
        self._service = service
        self._coordinator = coordinator
        self._session = _new_session()
        self._renewed_at = steady_seconds()
        self._last_reply_at = self._renewed_at
        self._runs: dict[str, HostedRun] = {}
        self._refused: dict[str, None] = {}
        """Ids of unwanted runs, oldest first; a start that arrives late is refused."""
        self._never_started: list[str] = []
        """Ids of unwanted runs that are still to be reported as refused."""
        self._loading: frozenset[str] = frozenset()
        self._update_ready = Event()
        self._tasks: list[gevent.Greenlet] = []

    def __len__(self) -> int:
        return len(self._runs)

    def start(self) -> None:
        """Start reporting progress."""
        logger.info(
            "accepted an invitation to run items",
            code="runner_engaged",
            coordinator=self._coordinator,
            epoch=self.epoch,
        )
        self._tasks = [gevent.spawn(self._report_progress), gevent.spawn(self._watch_lease)]

    def stop(self, reason: str) -> None:
        """End all runs and stop reporting."""
        self.ended = True
        self._end_runs(reason)
        for task in self._tasks:
            if task is not gevent.getcurrent():
                task.kill(block=False)

    def start_run(self, message: ItemRunStart) -> ItemRunStartReply:
        """Start a run, unless it is no longer wanted; starting a known run again has no effect."""
        problem = self._refusal_reason(message)
        if problem:
            return ItemRunStartReply(False, problem)
        if message.run_id in self._runs:
            return ItemRunStartReply(True, "known")
        run_id = message.run_id
        run = self._service.create_run(
            message, lambda: run_id in self._loading, self._update_ready.set
        )
        if isinstance(run, str):
            return ItemRunStartReply(False, run)
        self._runs[run_id] = run
        HOSTED_RUNS.set(len(self._runs))
        run.start()
        return ItemRunStartReply(True, "")

    def _refusal_reason(self, message: ItemRunStart) -> str:
        if message.session != self._session or self.ended:
            return "session has ended"
        if message.run_id in self._refused:
            return "ended before its start arrived"
        if self._lease_expired():
            return "lease expired"
        return ""

    def _report_progress(self) -> None:
        while not self.ended:
            self._send_updates()
            if self._service.is_superseded(self.epoch):
                self.stop("a later coordinator is known")
            elif steady_seconds() - self._last_reply_at > COORDINATOR_SILENCE_SECONDS:
                self.stop("no reply from the coordinator")
            self._wait_for_update()

    def _watch_lease(self) -> None:
        """End the runs as soon as the lease expires, even while a progress call is in flight."""
        while not self.ended:
            gevent.sleep(max(0.0, self._renewed_at + RUN_LEASE_SECONDS - steady_seconds()))
            if self._lease_expired():
                self._end_runs("lease expired without a reply from the coordinator")
                self._session = _new_session()
                # The new session starts with a full lease; progress messages continue, so that the
                # coordinator can assign new runs.
                self._renewed_at = steady_seconds()

    def _wait_for_update(self) -> None:
        has_update = any(run.has_update for run in self._runs.values())
        self._update_ready.wait(
            PROGRESS_INTERVAL_SECONDS if has_update or self._runs else HEARTBEAT_SECONDS
        )
        self._update_ready.clear()
        gevent.sleep(_MIN_PROGRESS_INTERVAL_SECONDS)

    def _send_updates(self) -> None:
        """Send pending updates and apply the reply; without a reply they are sent again."""
        updates = [run.update() for run in self._runs.values() if run.has_update]
        never_started, self._never_started = self._never_started, []
        updates += [_refused_update(run_id) for run_id in never_started]
        message = ItemRunProgress("", self.epoch, self._session, updates, 0)
        sent_at = steady_seconds()
        try:
            reply = self._service.send_progress(self._coordinator, message)
        except RunkeelError as error:
            self._never_started += never_started
            logger.debug("progress message failed: {}", error.code, code="progress_lost")
            return
        if not reply.coordinating:
            self.stop("the coordinator no longer uses this runner")
            return
        self._renewed_at = self._last_reply_at = sent_at
        for update in updates:
            run = self._runs.get(update.run_id)
            if run is not None and run.mark_reported(update):
                self._keep_output(run)
                del self._runs[update.run_id]
        HOSTED_RUNS.set(len(self._runs))
        self._loading = frozenset(reply.loading)
        for run_id in reply.unwanted:
            self._end_unwanted(run_id)

    def _end_unwanted(self, run_id: str) -> None:
        self._refused[run_id] = None
        while len(self._refused) > MAX_REFUSED_RUNS:
            self._refused.pop(next(iter(self._refused)))
        run = self._runs.get(run_id)
        if run is not None:
            run.end()
        else:
            self._never_started.append(run_id)

    def _lease_expired(self) -> bool:
        return steady_seconds() - self._renewed_at >= RUN_LEASE_SECONDS

    def _end_runs(self, reason: str) -> None:
        if self._runs:
            logger.info(
                "ended all runs for coordinator",
                code="runner_runs_ended",
                coordinator=self._coordinator,
                epoch=self.epoch,
                runs=len(self._runs),
                reason=reason,
            )
        for run in self._runs.values():
            run.end()
            self._keep_output(run)
        self._runs.clear()
        HOSTED_RUNS.set(0)

    def _keep_output(self, run: HostedRun) -> None:
        output = run.output_from_start
        if output is not None:
            self._service.keep_output(self.epoch, run.item_id, output)


def _new_session() -> str:
    return secrets.token_hex(_SESSION_BYTES)


def _refused_update(run_id: str) -> ItemRunUpdate:
    refused = RunOutcome.REFUSED.value
    return ItemRunUpdate(
        run_id, 0, [], "", [], False, refused, "ended before its start arrived", ""
    )
