"""The coordinator's parts, from the moment that a node is elected until it is replaced."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol
from runkeel.api.documents import Document, DocumentKind, DocumentStore, DocumentTranslator
from runkeel.api.duties import DutyPlatform, UsageSettings
from runkeel.coordination.election import Election
from runkeel.coordination.order_lease import OrderLease
from runkeel.coordination.version_rollout import VersionRollout
from runkeel.errors import RunkeelError
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.gateway.routing import RoutingTable
from runkeel.jobs.coordinator import JobCoordinator
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.engine_versions import report_versions
from runkeel.jobs.generation_run import PartialText
from runkeel.jobs.job_copies import CopiedJob, JobCopySender
from runkeel.jobs.job_documents import EncodedJob
from runkeel.jobs.scheduler import Scheduler
from runkeel.jobs.scorer import Scorer
from runkeel.jobs.text_journal import TextJournal
from runkeel.jobs.text_replication import TextSender
from runkeel.quarantine.quarantine import Quarantine
from runkeel.runners.lease import LOCAL_RUNS, LOST_SECONDS
from runkeel.runners.pool import RunnerPool
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.usage.duty import UsageDuty
from runkeel.wire.network import PeerNetwork

TERM_WATCH_SECONDS = 2.0
"""Watches of what only the coordinator follows; one that has gone mute ends after so long."""

_RETIREMENT_RETRY_SECONDS = 0.3
"""Pause before a retirement that failed is tried again. Chosen, not measured."""


@dataclass(frozen=True, slots=True)
class UsageParts:
    """What the reports of usage need.

    Attributes:
        clock: seconds since the epoch.
    """

    settings: UsageSettings
    platform: DutyPlatform
    clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class TermParts:
    """What a node lends to its terms.

    Attributes:
        journal: texts on the machine's disk; None: it has none.
        leave: hands the coordinator's place over.
        usage: None: the platform wants no reports.
    """

    node_id: str
    shard: str
    store: DocumentStore
    translator: DocumentTranslator
    protocol: BackendProtocol
    network: PeerNetwork
    routing: RoutingTable
    directory: BackendDirectory
    scorer: Scorer
    quarantine: Quarantine
    lease: OrderLease
    election: Election
    journal: TextJournal | None
    leave: Callable[[], None]
    usage: UsageParts | None


class CoordinatorTerm:
    """Everything that coordinates, made anew for each term.

    Args:
        texts: copies of running texts of the coordinator before.

    Attributes:
        targets: newest version by model, as named by trainers.
    """

    def __init__(self, parts: TermParts, epoch: int, texts: dict[str, PartialText]) -> None:
        self.epoch = epoch
        self._node_id = parts.node_id
        self._leave = parts.leave
        self._store = parts.store
        self._translator = parts.translator
        self.targets: dict[str, int] = {}
        self.tentative = False
        self._directory = parts.directory
        self._protocol = parts.protocol
        self._services = lambda: _generating_services(parts.routing)
        self._starter: gevent.Greenlet | None = None
        self._placement = EnginePlacement(
            parts.directory, lambda incarnation, model: self._rollout.is_loading(incarnation, model)
        )
        self.runners = RunnerPool(
            parts.network,
            parts.shard,
            epoch,
            lambda: parts.election.own_address,
            parts.election.peers,
            parts.directory,
            lambda: _generating_services(parts.routing),
        )
        self.scheduler = Scheduler(
            self._placement,
            parts.routing,
            parts.protocol,
            parts.scorer,
            lambda incarnation, model: self._rollout.is_loading(incarnation, model),
            parts.quarantine,
            self.runners,
        )
        self.scheduler.keep_texts(texts)
        self._sender = TextSender(
            parts.network,
            parts.shard,
            epoch,
            self.scheduler.open_texts,
            # Where other nodes read the runs, these keep the texts, each a part of them.
            lambda: parts.election.copy_holders(keepers=not self.runners.needed),
            parts.journal,
            self.scheduler.finished,
        )
        self._copy_sender = JobCopySender(
            parts.network,
            parts.shard,
            epoch,
            lambda: self.jobs.all(),
            parts.election.likely_successors,
        )
        self._rollout = VersionRollout(
            parts.directory,
            parts.protocol,
            parts.lease,
            parts.node_id,
            lambda: parts.routing.configuration,
            self.targets,
            lambda model: self.jobs.demand(model, self.targets.get(model, 0)),
            self._version_reached,
            self._placement.load,
            self.scheduler.leave_engine,
        )
        self.jobs = JobCoordinator(
            parts.store,
            self.scheduler,
            epoch,
            lambda model: self.targets.get(model, 0),
            parts.election.superseded,
            texts_expected=epoch > 1 and not texts,
            earlier_runs_seconds=self._earlier_runs_seconds,
        )
        self.usage = None if parts.usage is None else _usage_duty(parts, parts.usage, epoch)
        self._watchers = [
            DocumentWatcher(
                parts.store,
                DocumentKind.MODEL_VERSION,
                self._version_named,
                watch_seconds=lambda: TERM_WATCH_SECONDS,
            ),
            DocumentWatcher(parts.store, DocumentKind.RETIREMENT, self._retirement_asked),
        ]

    def start_tentatively(
        self, copies: Iterable[CopiedJob], handed_over: Iterable[tuple[str, EncodedJob]]
    ) -> None:
        """Run items on while the store is away and can't say who coordinates.

        Nothing is listed and no order is given before :meth:`start`.

        Args:
            copies: the open jobs of the coordinator before.
            handed_over: jobs that this node keeps for the store.
        """
        self.tentative = True
        self._starter = gevent.spawn(self._begin_tentatively, list(copies), list(handed_over))

    def _begin_tentatively(
        self, copies: list[CopiedJob], handed_over: list[tuple[str, EncodedJob]]
    ) -> None:
        """Only a coordinator follows the engines' versions, so that they are asked first."""
        reported = report_versions(self._directory, self._protocol, self._services())
        self._placement.versions.update(reported)
        self.jobs.begin_tentatively(copies)
        for job_id, encoded in handed_over:
            self.jobs.handed_over(job_id, encoded)

    def start(self) -> None:
        """Start to coordinate."""
        self.tentative = False
        for watcher in self._watchers:
            watcher.start()
        self.runners.start()
        self.jobs.start()
        self._sender.start()
        self._copy_sender.start()
        if self.usage is not None:
            self.usage.start()
        self._starter = gevent.spawn(self._start_rollout)

    def stop(self) -> None:
        """Stop to coordinate at once."""
        if self._starter is not None:
            self._starter.kill(block=False)
        if self.usage is not None:
            self.usage.stop()
        self._sender.stop()
        self._copy_sender.stop()
        self._rollout.stop()
        self.jobs.stop()
        self.runners.stop()
        for watcher in self._watchers:
            watcher.stop()

    def _earlier_runs_seconds(self, items: int) -> float:
        """Return how long runners may go on for the coordinator before.

        Args:
            items: of all jobs that are open.
        """
        used = self.epoch > 1 and self.runners.may_be_used and items > LOCAL_RUNS
        return LOST_SECONDS if used else 0.0

    def _start_rollout(self) -> None:
        """Move engines once the jobs are known: without them every engine would seem needed.

        The order lease is claimed before, as a new holder may have to wait until it may order.
        """
        self._rollout.claim_lease()
        self.jobs.loaded.wait()
        self._rollout.start()

    def wake(self) -> None:
        """Look again at engines and items."""
        self._rollout.wake()
        self.scheduler.wake()

    def forget(self, state: BackendState) -> None:
        """Forget what a server had loaded: it is gone, or has started anew."""
        self._placement.forget(state)
        self._rollout.forget(state)

    def _version_named(self, document: Document, removed: bool) -> None:
        if removed:
            return
        model, version = self._translator.model_version(document)
        if version <= self.targets.get(model, 0):
            return
        self.targets[model] = version
        logger.info(
            "version named",
            code="version_named",
            model=model,
            version=version,
            revision=document.revision,
        )
        self._rollout.wake()

    def _version_reached(self, incarnation: str, model: str, version: int) -> None:
        self._placement.versions[(incarnation, model)] = version
        self.scheduler.wake()

    def _retirement_asked(self, document: Document, removed: bool) -> None:
        """No machine keeps data of its own, so a machine is empty as soon as it is asked."""
        if not removed:
            self._translator.check_retirement(document)
            gevent.spawn(self._retire, document.name)

    def _retire(self, name: str) -> None:
        if name == self._node_id:
            # The machine goes at once when its retirement is completed: the successor says so.
            self._leave()
            return
        self._complete_retirement(name)

    def _complete_retirement(self, name: str) -> None:
        status = self._translator.retirement_status(completed=True)
        while True:
            try:
                self._store.set_status(DocumentKind.RETIREMENT, name, status)
                logger.info("machine is empty", code="retirement", machine=name)
                return
            except RunkeelError as error:
                logger.info(
                    "retirement not completed yet",
                    code="retirement_delayed",
                    machine=name,
                    error=str(error.code),
                )
                gevent.sleep(_RETIREMENT_RETRY_SECONDS)


def _usage_duty(parts: TermParts, usage: UsageParts, epoch: int) -> UsageDuty:
    return UsageDuty(
        parts.store,
        parts.shard,
        epoch,
        usage.settings,
        usage.platform,
        parts.lease,
        parts.node_id,
        usage.clock,
        lambda: len(parts.election.peers()),
        lambda: parts.election.silent_peers,
    )


def _generating_services(routing: RoutingTable) -> list[str]:
    """Return the services that serve models, sorted by name."""
    configuration = routing.configuration
    if configuration is None:
        return []
    return sorted(one.name for one in configuration.services.values() if one.models)
