"""A node's side of running items for the coordinator.

A node that is invited tells its progress until the coordinator wants it no more. Its runs live by a
lease that each answer renews, see :mod:`runkeel.runners.lease`; with every lease that lapses a new
session begins, so that a start that was sent before and comes late is refused.
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
from runkeel.jobs.generation_run import PartialText, RunOutcome
from runkeel.jobs.scorer import Scorer
from runkeel.metrics import HOSTED_RUNS
from runkeel.quarantine.quarantine import Quarantine
from runkeel.runners.hosted_run import HostedRun
from runkeel.runners.lease import (
    DISENGAGED_SECONDS,
    HEARTBEAT_SECONDS,
    PROGRESS_CALL_SECONDS,
    PROGRESS_SECONDS,
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

MAXIMUM_REFUSED = 4_000
"""Runs that are remembered as unwanted, in case their start comes late."""

_SESSION_BYTES = 8
_LEAST_PAUSE_SECONDS = 0.03
"""Between two progress messages, also when runs end one after the other."""


class RunnerService:
    """Accepts invitations and runs; at most one coordinator's at a time.

    Args:
        known_epoch: the latest term that this node has heard of.
        on_coordinator: called with the coordinator that invites this node, and its epoch.
        keep_text: called with the epoch, an item and its text when a run of it is over here.
        late_seconds: how late this process's timers are.
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
        keep_text: Callable[[int, str, PartialText], None] = lambda epoch, item, text: None,
        late_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._network = network
        self._shard = shard
        self._directory = directory
        self._protocol = protocol
        self._scorer = scorer
        self._quarantine = quarantine
        self._known_epoch = known_epoch
        self._on_coordinator = on_coordinator
        self.keep_text = keep_text
        self._late_seconds = late_seconds
        self._engagement: Engagement | None = None
        self._stopping = False
        network.on_call(MessageType.RUNNER_INVITE, RunnerInvite, self._answer_invite)
        network.on_call(MessageType.ITEM_RUN_START, ItemRunStart, self._answer_start)

    @property
    def hosted_runs(self) -> int:
        """Runs at this node."""
        return len(self._engagement) if self._engagement is not None else 0

    def end_earlier(self, epoch: int) -> None:
        """End the runs for coordinators before the one of an epoch; their texts are kept."""
        if self._engagement is not None and self._engagement.epoch < epoch:
            self._leave("another coordinator is known")

    def stop(self) -> None:
        """End all runs; accept no more."""
        self._stopping = True
        self._leave("this node stops")

    def _answer_invite(self, peer: str, invite: RunnerInvite) -> tuple[int, RunnerInviteReply]:
        accepted = not self._stopping and invite.epoch >= self._known_epoch()
        current = self._engagement
        if accepted and (current is None or current.over or current.epoch < invite.epoch):
            self._leave(f"{peer} coordinates")
            self._on_coordinator(invite.coordinator, invite.epoch)
            self._engagement = Engagement(self, peer, invite.epoch)
            self._engagement.start()
        return MessageType.RUNNER_INVITE_REPLY, RunnerInviteReply(accepted)

    def _answer_start(self, peer: str, message: ItemRunStart) -> tuple[int, ItemRunStartReply]:
        engagement = self._engagement
        if engagement is None or engagement.epoch != message.epoch or self._stopping:
            reply = ItemRunStartReply(False, "not engaged")
        else:
            reply = engagement.begin(message)
        return MessageType.ITEM_RUN_START_REPLY, reply

    def _leave(self, reason: str) -> None:
        if self._engagement is not None:
            self._engagement.stop(reason)
            self._engagement = None

    # What an engagement needs

    def send_progress(self, coordinator: str, message: ItemRunProgress) -> ItemRunProgressReply:
        """Tell the coordinator. Raises RunkeelError when no answer came."""
        message.shard = self._shard
        message.late_ms = int(self._late_seconds() * 1000)
        return self._network.call(
            coordinator,
            MessageType.ITEM_RUN_PROGRESS,
            message,
            ItemRunProgressReply,
            PROGRESS_CALL_SECONDS,
        )

    def superseded(self, epoch: int) -> bool:
        """Return whether a later coordinator than that of a term is known."""
        return self._known_epoch() > epoch

    def new_run(
        self, message: ItemRunStart, loading: Callable[[], bool], on_ended: Callable[[], None]
    ) -> HostedRun | str:
        """Return a run that has not begun, or why there is none."""
        state = self._directory.find(message.backend_id)
        if state is None:
            return "unknown back end"
        if not state.backend.takes_work:
            return "the back end takes no new work"
        run = HostedRun(
            message, state, self._protocol, self._scorer, self._quarantine, loading, on_ended
        )
        return "back ends ended under the item" if run.held else run


class Engagement:
    """The runs for one term of one coordinator; one task tells progress, one guards the lease."""

    def __init__(self, service: RunnerService, coordinator: str, epoch: int) -> None:
        self.epoch = epoch
        self.over = False
        self._service = service
        self._coordinator = coordinator
        self._session = _new_session()
        self._renewed_at = steady_seconds()
        self._answered_at = self._renewed_at
        self._runs: dict[str, HostedRun] = {}
        self._refused: dict[str, None] = {}
        self._never_begun: list[str] = []
        self._loading: frozenset[str] = frozenset()
        self._news = Event()
        self._tasks: list[gevent.Greenlet] = []

    def __len__(self) -> int:
        return len(self._runs)

    def start(self) -> None:
        """Start to tell."""
        logger.info(
            "runs items", code="runner_engaged", coordinator=self._coordinator, epoch=self.epoch
        )
        self._tasks = [gevent.spawn(self._tell), gevent.spawn(self._watch_lease)]

    def stop(self, reason: str) -> None:
        """End every run and tell no more."""
        self.over = True
        self._end_runs(reason)
        for task in self._tasks:
            if task is not gevent.getcurrent():
                task.kill(block=False)

    def begin(self, message: ItemRunStart) -> ItemRunStartReply:
        """Begin a run, unless it is not wanted any more."""
        problem = self._problem(message)
        if problem:
            return ItemRunStartReply(False, problem)
        if message.run_id in self._runs:
            return ItemRunStartReply(True, "known")
        run_id = message.run_id
        run = self._service.new_run(message, lambda: run_id in self._loading, self._news.set)
        if isinstance(run, str):
            return ItemRunStartReply(False, run)
        self._runs[run_id] = run
        HOSTED_RUNS.set(len(self._runs))
        run.start()
        return ItemRunStartReply(True, "")

    def _problem(self, message: ItemRunStart) -> str:
        if message.session != self._session or self.over:
            return "another session"
        if message.run_id in self._refused:
            return "ended before it began"
        if self._lapsed():
            return "the lease has lapsed"
        return ""

    def _tell(self) -> None:
        while not self.over:
            self._exchange()
            if self._service.superseded(self.epoch):
                self.stop("another coordinator is known")
            elif steady_seconds() - self._answered_at > DISENGAGED_SECONDS:
                self.stop("the coordinator has been silent")
            self._await_news()

    def _watch_lease(self) -> None:
        """End the runs at the moment that the lease lapses, whatever is waited for just then."""
        while not self.over:
            gevent.sleep(max(0.0, self._renewed_at + RUN_LEASE_SECONDS - steady_seconds()))
            if self._lapsed():
                self._end_runs("no answer of the coordinator")
                self._session = _new_session()
                # The coordinator is told on: it may take this node again.
                self._renewed_at = steady_seconds()

    def _await_news(self) -> None:
        has_news = any(run.has_news for run in self._runs.values())
        self._news.wait(PROGRESS_SECONDS if has_news or self._runs else HEARTBEAT_SECONDS)
        self._news.clear()
        gevent.sleep(_LEAST_PAUSE_SECONDS)

    def _exchange(self) -> None:
        """Tell what is new and take the answer; without one everything is told again."""
        updates = [run.update() for run in self._runs.values() if run.has_news]
        never_begun, self._never_begun = self._never_begun, []
        updates += [_never_begun(run_id) for run_id in never_begun]
        message = ItemRunProgress("", self.epoch, self._session, updates, 0)
        sent_at = steady_seconds()
        try:
            reply = self._service.send_progress(self._coordinator, message)
        except RunkeelError as error:
            self._never_begun += never_begun
            logger.debug("progress not told: {}", error.code, code="progress_lost")
            return
        if not reply.coordinating:
            self.stop("not wanted any more")
            return
        self._renewed_at = self._answered_at = sent_at
        for update in updates:
            run = self._runs.get(update.run_id)
            if run is not None and run.note_told(update):
                self._keep_text(run)
                del self._runs[update.run_id]
        HOSTED_RUNS.set(len(self._runs))
        self._loading = frozenset(reply.loading)
        for run_id in reply.unwanted:
            self._end_unwanted(run_id)

    def _end_unwanted(self, run_id: str) -> None:
        self._refused[run_id] = None
        while len(self._refused) > MAXIMUM_REFUSED:
            self._refused.pop(next(iter(self._refused)))
        run = self._runs.get(run_id)
        if run is not None:
            run.end()
        else:
            self._never_begun.append(run_id)

    def _lapsed(self) -> bool:
        return steady_seconds() - self._renewed_at >= RUN_LEASE_SECONDS

    def _end_runs(self, reason: str) -> None:
        if self._runs:
            logger.info(
                "runs ended",
                code="runner_runs_ended",
                coordinator=self._coordinator,
                epoch=self.epoch,
                runs=len(self._runs),
                reason=reason,
            )
        for run in self._runs.values():
            run.end()
            self._keep_text(run)
        self._runs.clear()
        HOSTED_RUNS.set(0)

    def _keep_text(self, run: HostedRun) -> None:
        text = run.kept_text
        if text is not None:
            self._service.keep_text(self.epoch, run.item_id, text)


def _new_session() -> str:
    return secrets.token_hex(_SESSION_BYTES)


def _never_begun(run_id: str) -> ItemRunUpdate:
    refused = RunOutcome.REFUSED.value
    return ItemRunUpdate(run_id, 0, [], "", [], False, refused, "never begun", "")
