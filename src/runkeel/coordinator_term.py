"""Components of a coordinator, which live from its election until it is replaced."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol
from runkeel.api.documents import Document, DocumentKind, DocumentParser, DocumentStore
from runkeel.api.usage import UsageSettings, UsageSink
from runkeel.coordination.election import Election
from runkeel.coordination.order_lease import OrderLease
from runkeel.coordination.version_rollout import VersionRollout
from runkeel.errors import RunkeelError
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.gateway.routing import RoutingTable
from runkeel.jobs.coordinator import JobCoordinator
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.engine_versions import query_versions
from runkeel.jobs.generation_run import PartialOutput
from runkeel.jobs.job_copies import CopiedJob, JobCopySender
from runkeel.jobs.job_documents import EncodedJob
from runkeel.jobs.partial_output_journal import PartialOutputJournal
from runkeel.jobs.partial_output_replication import PartialOutputSender
from runkeel.jobs.scheduler import Scheduler
from runkeel.jobs.scorer import Scorer
from runkeel.quarantine.quarantine import Quarantine
from runkeel.runners.lease import MAX_LOCAL_RUNS, RUNNER_LOST_SECONDS
from runkeel.runners.pool import RunnerPool
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.usage.usage_aggregator import UsageAggregator
from runkeel.wire.network import PeerNetwork

MODEL_VERSION_WATCH_SECONDS = 2.0
"""Maximum duration of a watch on model versions.

Bounds how long a watch whose response was lost can delay an update.
"""

_RETIREMENT_RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class UsageDependencies:
    """Dependencies of the usage reports.

    Attributes:
        clock: returns the wall-clock time in seconds since the Unix epoch.
    """

    settings: UsageSettings
    usage_sink: UsageSink
    clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class TermDependencies:
    """Components of a node that its terms use.

    Attributes:
        journal: journal of partial outputs on the local disk; None on a node without data folder.
        hand_over_coordination: ends this node's term and keeps it from claiming another one.
        usage: None if the platform wants no usage reports.
        configuration_confirmed_at: returns the steady time at which the routing configuration was
            last known to equal the stored one.
    """

    node_id: str
    shard: str
    store: DocumentStore
    document_parser: DocumentParser
    protocol: BackendProtocol
    network: PeerNetwork
    routing: RoutingTable
    directory: BackendDirectory
    scorer: Scorer
    quarantine: Quarantine
    lease: OrderLease
    election: Election
    journal: PartialOutputJournal | None
    hand_over_coordination: Callable[[], None]
    usage: UsageDependencies | None
    configuration_confirmed_at: Callable[[], float]


class CoordinatorTerm:
    """Coordinates batch jobs and weight versions during one term.

    Args:
        partial_outputs: copies of the previous coordinator's partial outputs, by item id.

    Attributes:
        target_versions: newest version by model, as published by trainers.
        tentative: whether the store has not confirmed this term yet.
    """

    def __init__(
        self, dependencies: TermDependencies, epoch: int, partial_outputs: dict[str, PartialOutput]
    ) -> None:
        self.epoch = epoch
        self._node_id = dependencies.node_id
        self._hand_over_coordination = dependencies.hand_over_coordination
        self._store = dependencies.store
        self._document_parser = dependencies.document_parser
        self.target_versions: dict[str, int] = {}
        self.tentative = False
        self._directory = dependencies.directory
        self._protocol = dependencies.protocol
        self._services = lambda: _services_with_models(dependencies.routing)
        self._startup_greenlet: gevent.Greenlet | None = None
        self._placement = EnginePlacement(
            dependencies.directory,
            lambda incarnation, model: self._rollout.is_loading(incarnation, model),
        )
        self.runners = RunnerPool(
            dependencies.network,
            dependencies.shard,
            epoch,
            lambda: dependencies.election.own_address,
            dependencies.election.peers,
            dependencies.directory,
            lambda: _services_with_models(dependencies.routing),
        )
        self.scheduler = Scheduler(
            self._placement,
            dependencies.routing,
            dependencies.protocol,
            dependencies.scorer,
            lambda incarnation, model: self._rollout.is_loading(incarnation, model),
            dependencies.quarantine,
            self.runners,
            dependencies.configuration_confirmed_at,
        )
        self.scheduler.restore_outputs(partial_outputs)
        self._output_sender = PartialOutputSender(
            dependencies.network,
            dependencies.shard,
            epoch,
            self.scheduler.open_outputs,
            # Runners keep copies of the partial outputs of their own runs.
            lambda: dependencies.election.copy_holders(
                include_not_preferred=not self.runners.needs_runners
            ),
            dependencies.journal,
            self.scheduler.is_result_listed,
        )
        self._copy_sender = JobCopySender(
            dependencies.network,
            dependencies.shard,
            epoch,
            lambda: self.jobs.all(),
            dependencies.election.likely_successors,
        )
        self._rollout = VersionRollout(
            dependencies.directory,
            dependencies.protocol,
            dependencies.lease,
            dependencies.node_id,
            lambda: dependencies.routing.configuration,
            self.target_versions,
            lambda model: self.jobs.demand(model, self.target_versions.get(model, 0)),
            self._on_version_loaded,
            self._placement.slots_in_use,
            self.scheduler.move_items_before_load,
        )
        self.jobs = JobCoordinator(
            dependencies.store,
            self.scheduler,
            epoch,
            lambda model: self.target_versions.get(model, 0),
            dependencies.election.step_down,
            partial_outputs_expected=epoch > 1 and not partial_outputs,
            previous_term_drain_seconds=self._previous_term_drain_seconds,
        )
        self.usage = (
            None
            if dependencies.usage is None
            else _create_usage_aggregator(dependencies, dependencies.usage, epoch)
        )
        self._watchers = [
            DocumentWatcher(
                dependencies.store,
                DocumentKind.MODEL_VERSION,
                self._on_model_version,
                watch_seconds=lambda: MODEL_VERSION_WATCH_SECONDS,
            ),
            DocumentWatcher(
                dependencies.store, DocumentKind.RETIREMENT, self._on_retirement_requested
            ),
        ]

    def start_tentatively(
        self, copies: Iterable[CopiedJob], unstored_jobs: Iterable[tuple[str, EncodedJob]]
    ) -> None:
        """Continue running items while the store can't be reached to confirm this term.

        Results are not written to the store and engines get no orders before :meth:`start`.

        Args:
            copies: copies of the previous coordinator's open jobs.
            unstored_jobs: jobs on this node that the store has not accepted yet.
        """
        self.tentative = True
        self._startup_greenlet = gevent.spawn(
            self._begin_tentatively, list(copies), list(unstored_jobs)
        )

    def _begin_tentatively(
        self, copies: list[CopiedJob], unstored_jobs: list[tuple[str, EncodedJob]]
    ) -> None:
        """Resume jobs from copies and add the jobs that the store has not accepted yet.

        The engines' versions, which only a coordinator tracks, are queried first.
        """
        reported = query_versions(self._directory, self._protocol, self._services())
        self._placement.versions.update(reported)
        self.jobs.resume_from_copies(copies)
        for job_id, encoded in unstored_jobs:
            self.jobs.add_handed_over(job_id, encoded)

    def start(self) -> None:
        """Start coordinating, or continue a tentative term that the store has confirmed."""
        self.tentative = False
        if self._startup_greenlet is not None:
            # From now on the store tells of all jobs.
            self._startup_greenlet.kill(block=False)
        for watcher in self._watchers:
            watcher.start()
        self.runners.start()
        self.jobs.start()
        self._output_sender.start()
        self._copy_sender.start()
        if self.usage is not None:
            self.usage.start()
        self._startup_greenlet = gevent.spawn(self._start_rollout)

    def stop(self) -> None:
        """Stop coordinating immediately."""
        if self._startup_greenlet is not None:
            self._startup_greenlet.kill(block=False)
        if self.usage is not None:
            self.usage.stop()
        self._output_sender.stop()
        self._copy_sender.stop()
        self._rollout.stop()
        self.jobs.stop()
        self.runners.stop()
        for watcher in self._watchers:
            watcher.stop()

    def _previous_term_drain_seconds(self, items: int) -> float:
        """Return how long runners may still run items for the previous coordinator, in seconds.

        Args:
            items: number of items of all open jobs.
        """
        runners_were_used = (
            self.epoch > 1 and self.runners.engines_exceed_local_runs and items > MAX_LOCAL_RUNS
        )
        return RUNNER_LOST_SECONDS if runners_were_used else 0.0

    def _start_rollout(self) -> None:
        """Start the rollout once the open jobs are loaded, since it depends on their demand.

        The order lease is claimed first because a new holder may have to wait for it.
        """
        self._rollout.claim_lease()
        self.jobs.loaded.wait()
        self._rollout.start()

    def wake(self) -> None:
        """Wake the rollout and the scheduler after a change of engines."""
        self._rollout.wake()
        self.scheduler.wake()

    def forget(self, state: BackendState) -> None:
        """Drop the state of a server incarnation that is gone or was replaced."""
        self._placement.forget_versions(state)
        self._rollout.forget(state)

    def _on_model_version(self, document: Document, removed: bool) -> None:
        if removed:
            return
        model, version = self._document_parser.model_version(document)
        if version <= self.target_versions.get(model, 0):
            return
        self.target_versions[model] = version
        logger.info(
            "new model version",
            code="version_named",
            model=model,
            version=version,
            revision=document.revision,
        )
        self._rollout.wake()

    def _on_version_loaded(self, incarnation: str, model: str, version: int) -> None:
        self._placement.versions[(incarnation, model)] = version
        self.scheduler.wake()

    def _on_retirement_requested(self, document: Document, removed: bool) -> None:
        """Complete a retirement immediately; nothing is moved off the machine first.

        As after the loss of a machine, copies that other nodes keep replace those on its disk.
        """
        if not removed:
            self._document_parser.check_retirement(document)
            gevent.spawn(self._retire, document.name)

    def _retire(self, retired_node_id: str) -> None:
        if retired_node_id == self._node_id:
            # The platform removes the machine as soon as its retirement is completed, so the next
            # coordinator completes it.
            self._hand_over_coordination()
            return
        self._complete_retirement(retired_node_id)

    def _complete_retirement(self, retired_node_id: str) -> None:
        status = self._document_parser.retirement_status(completed=True)
        while True:
            try:
                self._store.set_status(DocumentKind.RETIREMENT, retired_node_id, status)
                logger.info(
                    "machine retirement completed", code="retirement", machine=retired_node_id
                )
                return
            except RunkeelError as error:
                logger.info(
                    "could not write the status of a machine retirement; retrying",
                    code="retirement_delayed",
                    machine=retired_node_id,
                    error=str(error.code),
                )
                gevent.sleep(_RETIREMENT_RETRY_SECONDS)


def _create_usage_aggregator(
    dependencies: TermDependencies, usage: UsageDependencies, epoch: int
) -> UsageAggregator:
    return UsageAggregator(
        dependencies.store,
        dependencies.shard,
        epoch,
        usage.settings,
        usage.usage_sink,
        dependencies.lease,
        dependencies.node_id,
        usage.clock,
        lambda: len(dependencies.election.peers()),
        lambda: dependencies.election.silent_peers,
    )


def _services_with_models(routing: RoutingTable) -> list[str]:
    """Return the names of the services that serve models, sorted."""
    configuration = routing.configuration
    if configuration is None:
        return []
    return sorted(service.name for service in configuration.services.values() if service.models)
