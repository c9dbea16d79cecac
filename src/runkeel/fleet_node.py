"""Composition root of a node that forwards client requests to a platform's servers.

All nodes run the same components: they forward requests and accept batch jobs. One node, elected
through the store, also coordinates batch jobs and weight versions.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from runkeel.api.backend_protocol import BackendProtocol
from runkeel.api.documents import (
    Document,
    DocumentKind,
    DocumentParser,
    DocumentStore,
    Freshness,
)
from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.api.usage import UsageSettings, UsageSink
from runkeel.coordination.coordinator_document import Coordinator
from runkeel.coordination.document_feed import (
    DocumentFeed,
    coordinator_watch_seconds,
    max_copy_age_seconds,
)
from runkeel.coordination.election import Candidate, Election
from runkeel.coordination.feed_follower import FeedFollower, grace_seconds, max_hold_seconds
from runkeel.coordination.order_lease import OrderLease
from runkeel.coordinator_term import CoordinatorTerm, TermDependencies, UsageDependencies
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.gateway.deferrable_calls import DeferrableCalls
from runkeel.gateway.forwarder import Forwarder
from runkeel.gateway.routing import RoutingTable
from runkeel.handoff.hint_client import HintClient
from runkeel.handoff.hint_log import HintLog
from runkeel.handoff.hint_service import HintService
from runkeel.handoff.storage_quorum import LossTolerance, StorageQuorum
from runkeel.jobs.job_copies import ReceivedJobCopies
from runkeel.jobs.job_documents import EncodedJob
from runkeel.jobs.job_state import JobState
from runkeel.jobs.partial_output_handover import PartialOutputHandover
from runkeel.jobs.partial_output_journal import PartialOutputJournal
from runkeel.jobs.partial_output_replication import PartialOutputCopies
from runkeel.jobs.scorer import Scorer
from runkeel.jobs.service import JobService
from runkeel.loop_lag import LoopLagMonitor
from runkeel.quarantine.service import QuarantineService
from runkeel.runners.service import RunnerService
from runkeel.state.document_watcher import DocumentWatcher
from runkeel.state.observed_store import (
    NOT_PREFERRED_PROBE_INTERVAL_SECONDS,
    PROBE_INTERVAL_SECONDS,
    ObservedStore,
)
from runkeel.usage.clock import SteadyWallClock
from runkeel.usage.ledger import WindowSummary
from runkeel.usage.meter import UsageMeter
from runkeel.usage.usage_reporter import UsageReporter
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import (
    ItemRunProgress,
    ItemRunProgressReply,
    NodeAddress,
    UsageCounts,
    UsageCountsReply,
)
from runkeel.wire.network import PeerNetwork

SHARD = "fleet"
"""Name of the only shard, and so of the coordinator's document and the order lease.

Messages between nodes contain it.
"""

HINT_FOLDER = "jobs"
"""Subfolder of the data folder for jobs that the store has not accepted yet.

Such a stored job is called a hint. The names of the subfolders are part of the on-disk format.
"""

PARTIAL_OUTPUT_FOLDER = "texts"
"""Subfolder of the data folder for the journal of partial outputs."""

COORDINATOR_BATCHING_SECONDS = 0.3
"""How long the coordinator batches changes of backends before it asks the store for more."""

FIRST_ELECTION_DELAY_SECONDS = 1.0
"""Delay of the first election on nodes that are not preferred, when a system first starts.

It precedes the first read of the coordinator's document; a node that then finds no coordinator also
waits for ``NOT_PREFERRED_START_DELAY_SECONDS`` of the election. The preferred nodes elect a
coordinator meanwhile, which saves the others futile store calls. The feed follower's wait for a
first coordinator is extended by the same delay.
"""

EXPIRED_BACKEND_GRACE_SECONDS = 2.0
"""How long backends whose entries expired during a store outage are kept after its end.

Servers that are still alive write their entries again within this time.
"""

NODE_WATCH_SECONDS = 1.0
"""Maximum duration of a store watch on a node that does not coordinate."""

NODE_BATCHING_FRACTION = 0.65
"""Batching interval for changes of backends on a node that does not coordinate.

A fraction of ``FleetSettings.max_propagation_seconds``.
"""


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Startup settings of a fleet node.

    Attributes:
        peer_address: address on which other nodes reach this one.
        cluster_key: secret shared by the nodes.
        incarnation: identifies this process among successive processes of the node; unrelated to
            the incarnation of a server.
        order_pause_seconds: minimum time between orders to engines from two different nodes.
        preferred_coordinator: whether this node is preferred over nodes that serve clients when a
            coordinator is elected.
        max_propagation_seconds: maximum time until all nodes know a change of configuration or
            backends.
        data_folder: folder on the local disk; None if this machine is not a storage node.
        first_start: whether the whole system starts for the first time, without a coordinator.
        usage: settings of the usage reports; None if the platform wants none.
        loss_tolerance: losses that stored jobs must survive; None if there are no storage nodes.
        zone_regions: region of each zone, by zone.
    """

    node_id: str
    zone: str
    peer_address: Address
    cluster_name: str
    cluster_key: bytes
    incarnation: int
    order_pause_seconds: float = 3.0
    preferred_coordinator: bool = False
    max_propagation_seconds: float = 2.0
    data_folder: Path | None = None
    first_start: bool = False
    usage: UsageSettings | None = None
    loss_tolerance: LossTolerance | None = None
    zone_regions: Mapping[str, str] = field(default_factory=dict)


class FleetNode:
    """A node without a client protocol; the platform's protocol adapter is built on top of it."""

    def __init__(
        self,
        settings: FleetSettings,
        store: DocumentStore,
        document_parser: DocumentParser,
        protocol: BackendProtocol,
        usage_sink: UsageSink | None = None,
    ) -> None:
        # The callbacks below use attributes such as ``_election`` and ``_term`` that are set later
        # in this constructor; none is called before they are.
        self._settings = settings
        store = ObservedStore(store, self._probe_seconds, lambda: self._follower.confirmed_at)
        self._store = store
        self._document_parser = document_parser
        self.routing = RoutingTable()
        self.directory = BackendDirectory()
        usage = settings.usage
        clock = SteadyWallClock()
        self.meter = UsageMeter(usage.window_seconds if usage else 0.0, clock.time)
        self._network = PeerNetwork(
            settings.node_id,
            settings.zone,
            settings.cluster_name,
            settings.cluster_key,
            settings.incarnation,
            settings.peer_address,
            lambda node_id: self._election.peer_address(node_id),
        )
        self._quarantine_service = QuarantineService(
            self._network,
            SHARD,
            store,
            settings.cluster_key,
            lambda: self._election.other_coordinator,
            lambda: self._election.neighbours(),
            lambda: self._term is not None,
            self.directory,
            lambda: self.knows_routes_and_servers,
        )
        self.quarantine = self._quarantine_service.quarantine
        self.forwarder = Forwarder(
            self.directory, protocol, settings.zone, self.meter, self.quarantine
        )
        # A replacement machine may have the same node id.
        lease_holder = f"{settings.node_id}@{settings.peer_address.host}"
        self._lease = OrderLease(store, SHARD, lease_holder, settings.order_pause_seconds)
        max_copy_age = max_copy_age_seconds(settings.max_propagation_seconds)
        self._follower = FeedFollower(
            self._network,
            SHARD,
            lambda: self._election.other_coordinator,
            max_hold_seconds(settings.max_propagation_seconds),
            grace_seconds(settings.max_propagation_seconds, max_copy_age),
            lambda address, epoch: self._election.note_successor(address, epoch),
            max_copy_age,
        )
        self._election = Election(
            store,
            self._network,
            Candidate(settings.node_id, settings.zone, SHARD, settings.preferred_coordinator),
            self._lease,
            self,
            lambda: store.reachable,
            self._follower.store_needed_for_coordinator,
            lambda: self.quarantine.ledger.digest,
            self._quarantine_service.gossip.compare_digest,
        )
        self._routing_watcher = DocumentWatcher(
            store,
            DocumentKind.ROUTING,
            self._on_routing_changed,
            watch_seconds=self._watch_seconds,
            store_needed=self._follower.store_needed,
            first_list_freshness=Freshness.STALE_ALLOWED,
            confirmation_interval_seconds=self._confirmation_interval_seconds,
        )
        self._backend_watcher = DocumentWatcher(
            store,
            DocumentKind.BACKEND,
            self._on_backend_changed,
            self._backend_batching_seconds,
            self._watch_seconds,
            self._follower.store_needed,
            EXPIRED_BACKEND_GRACE_SECONDS,
            lambda: store.recovered_at,
            first_list_freshness=Freshness.STALE_ALLOWED,
            confirmation_interval_seconds=self._confirmation_interval_seconds,
        )
        self._backend_watcher.on_unreadable(self._on_backend_unreadable)
        self._watchers = [self._routing_watcher, self._backend_watcher]
        self._followed_watchers = [*self._watchers, self._election.watcher]
        self._feed = DocumentFeed(
            self._network,
            self._followed_watchers,
            lambda: self._election.coordinating_since,
            max_copy_age,
            lambda: self._election.known_successor,
        )
        self._routing_watcher.on_change(self._feed.record_change)
        self._election.watcher.on_change(self._feed.record_change)
        folder = settings.data_folder
        tolerance = settings.loss_tolerance
        quorum = StorageQuorum(tolerance, settings.zone_regions) if tolerance else None
        hints = HintClient(self._network, SHARD, self._election.storage_nodes, quorum)
        self.jobs = JobService(store, self._network, self._election, SHARD, hints)
        self.hints = HintService(
            self._network,
            SHARD,
            store,
            HintLog(folder / HINT_FOLDER) if folder is not None else None,
            self._on_job_handed_over,
            settings.first_start,
        )
        self._journal = (
            PartialOutputJournal(folder / PARTIAL_OUTPUT_FOLDER) if folder is not None else None
        )
        self._output_copies = PartialOutputCopies(self._network, self._journal)
        self._job_copies = ReceivedJobCopies(self._network)
        self._output_handover = PartialOutputHandover(
            self._network,
            SHARD,
            self._output_copies,
            lambda: self._term.scheduler if self._term is not None else None,
        )
        self._election.on_term_change(self._on_coordinator_changed)
        self._term: CoordinatorTerm | None = None
        self.deferrable_calls = DeferrableCalls(self.directory)
        scorer_forwarder = Forwarder(
            self.directory, protocol, settings.zone, self.meter, self.quarantine, exempt=True
        )
        scorer = Scorer(scorer_forwarder, self.routing, protocol, self.deferrable_calls)
        self._loop_lag_monitor = LoopLagMonitor()
        self._runner = RunnerService(
            self._network,
            SHARD,
            self.directory,
            protocol,
            scorer,
            self.quarantine,
            lambda: self._election.known_epoch,
            self._on_runner_invitation,
            self._output_copies.keep_local,
            self._loop_lag_monitor.max_lag_seconds,
        )
        self._network.on_call(MessageType.ITEM_RUN_PROGRESS, ItemRunProgress, self._handle_progress)
        self._term_dependencies = TermDependencies(
            settings.node_id,
            SHARD,
            store,
            document_parser,
            protocol,
            self._network,
            self.routing,
            self.directory,
            scorer,
            self.quarantine,
            self._lease,
            self._election,
            self._journal,
            self.leave,
            UsageDependencies(usage, usage_sink, clock.time) if usage and usage_sink else None,
            lambda: self._routing_watcher.current_as_of,
        )
        self._usage_reporter = UsageReporter(
            self._network,
            SHARD,
            f"{settings.node_id}@{settings.incarnation}",
            self.meter,
            lambda: self._election.coordinator,
        )
        self._network.on_call(MessageType.USAGE_COUNTS, UsageCounts, self._handle_usage)
        self.directory.on_change(self._on_directory_changed)
        self.directory.on_incarnation_end(self._on_backend_incarnation_ended)

    @property
    def coordinating(self) -> bool:
        """Whether this node coordinates batch jobs and weight versions in a confirmed term."""
        return self._term is not None and not self._term.tentative

    @property
    def node_id(self) -> str:
        return self._settings.node_id

    @property
    def zone(self) -> str:
        return self._settings.zone

    @property
    def coordinator(self) -> Coordinator | None:
        """The coordinator that this node knows of, which may be itself."""
        return self._election.coordinator

    @property
    def follows_feed(self) -> bool:
        """Whether updates come from the coordinator's feed instead of the store."""
        return self._follower.following

    @property
    def store_reachable(self) -> bool:
        """Whether the store responded to this node's last call."""
        return self._store.reachable

    def coordinated_jobs(self) -> list[JobState]:
        """Return the jobs of this node's term, which may be tentative; empty if it has none."""
        return self._term.jobs.all() if self._term is not None else []

    def newest_versions(self) -> dict[str, int]:
        """Return the newest version by model; empty if this node has no term."""
        return dict(self._term.target_versions) if self._term is not None else {}

    def usage_windows(self) -> list[WindowSummary]:
        """Return usage by window; empty if this node has no term or reports no usage."""
        usage = self._term.usage if self._term is not None else None
        return usage.windows() if usage is not None else []

    @property
    def configured(self) -> bool:
        """Whether this node knows its routing configuration, the servers and quarantine records."""
        return self.knows_routes_and_servers and self._quarantine_service.caught_up.is_set()

    @property
    def knows_routes_and_servers(self) -> bool:
        """Whether this node knows its routing configuration and the servers."""
        listed = all(watcher.first_list_applied.is_set() for watcher in self._watchers)
        return self.routing.configuration is not None and listed

    def start(self) -> None:
        """Start all components.

        Raises:
            OSError: the peer address is in use.
        """
        self._loop_lag_monitor.start()
        self._network.start()
        for watcher in self._watchers:
            watcher.start()
        delay = self._first_election_delay_seconds()
        self._election.start(self._network.address, delay)
        self._follower.start(self._followed_watchers, delay)
        self.hints.start()
        self._quarantine_service.start(self._settings.first_start)
        if self._settings.usage is not None:
            self._usage_reporter.start()

    def _first_election_delay_seconds(self) -> float:
        """Return the delay in seconds that lets preferred nodes win the first election.

        The feed follower's wait for a first coordinator is extended by it, too.
        """
        waits = self._settings.first_start and not self._settings.preferred_coordinator
        return FIRST_ELECTION_DELAY_SECONDS if waits else 0.0

    def leave(self) -> None:
        """End this node's term and claim no further one, so that a successor can take over."""
        self._election.leave()

    def flush_usage(self) -> None:
        """Send the last usage counts to the coordinator before this node stops."""
        if self._settings.usage is not None:
            self._usage_reporter.flush()

    def stop(self) -> None:
        """Stop all components."""
        self._usage_reporter.stop()
        self.hints.stop()
        self.end_term()
        self._quarantine_service.stop()
        self._runner.stop()
        self._loop_lag_monitor.stop()
        self._election.stop()
        self._follower.stop()
        for watcher in self._watchers:
            watcher.stop()
        self._network.stop()
        if self._journal is not None:
            self._journal.close()

    def _probe_seconds(self) -> float:
        """Return the interval in seconds between probes of a failing store.

        It is longer on a node that needs the store neither to coordinate nor for its configuration.
        """
        can_wait = self.configured and not self._settings.preferred_coordinator
        return NOT_PREFERRED_PROBE_INTERVAL_SECONDS if can_wait else PROBE_INTERVAL_SECONDS

    def _watch_seconds(self) -> float:
        if self.coordinating:
            return coordinator_watch_seconds(self._settings.max_propagation_seconds)
        return NODE_WATCH_SECONDS

    def _confirmation_interval_seconds(self) -> float:
        """Return how often the copies that other nodes follow must be confirmed, in seconds."""
        return self._watch_seconds() if self.coordinating else math.inf

    def _backend_batching_seconds(self) -> float:
        if self.coordinating:
            return COORDINATOR_BATCHING_SECONDS
        return NODE_BATCHING_FRACTION * self._settings.max_propagation_seconds

    def _on_routing_changed(self, document: Document, removed: bool) -> None:
        if not removed:
            self.routing.apply(self._document_parser.routing_configuration(document))

    def _on_backend_changed(self, document: Document, removed: bool) -> None:
        if removed:
            self.directory.remove(document.name)
            self._feed.record_change(document, removed)
            return
        backend = self._document_parser.backend(document)
        previous = self._known_backend(document.name)
        if not self.directory.put(backend, document.revision):
            return
        current = self._known_backend(document.name)
        if previous is None or previous.incarnation != current.incarnation:
            self._quarantine_service.backend_joined(current)
        # Weight versions change often and only the coordinator uses them, so the feed omits them.
        if previous is None or not previous.equals_except_engine_state(current):
            self._feed.record_change(document, removed)

    def _known_backend(self, backend_id: str) -> Backend | None:
        state = self.directory.get(backend_id)
        return state.backend if state is not None else None

    def _on_backend_unreadable(self, document: Document, reason: str) -> None:
        """Send no new requests to the server, and notify the nodes that follow this one."""
        self.directory.mark_unreadable(document.name, reason)
        self._feed.record_change(document, removed=False)

    def _on_backend_incarnation_ended(self, state: BackendState) -> None:
        """Drop the state of a server incarnation that is gone or was replaced."""
        self._quarantine_service.backend_left(state)
        if self._term is not None:
            self._term.forget(state)

    def _on_runner_invitation(self, address: NodeAddress, epoch: int) -> None:
        """Note the coordinator that asked this node to run items."""
        self._election.note_successor(address, epoch)

    def _on_job_handed_over(self, job_id: str, encoded: EncodedJob) -> None:
        """Run a job that the store has not accepted yet, if this node has a term."""
        if self._term is not None:
            self._term.jobs.add_handed_over(job_id, encoded)

    def _on_coordinator_changed(self) -> None:
        """Follow the new coordinator, end runs of earlier ones and offer it partial outputs.

        The new coordinator may have no copies, since all likely coordinators may have lost power.
        """
        self._follower.on_coordinator_changed()
        coordinator = self._election.other_coordinator
        if coordinator is not None:
            self._runner.end_earlier_terms(coordinator.epoch)
            self._output_handover.offer(coordinator.node_id, coordinator.epoch)

    def _handle_progress(
        self, peer: str, message: ItemRunProgress
    ) -> tuple[int, ItemRunProgressReply]:
        if self._term is None:
            reply = ItemRunProgressReply(False, [], [])
        else:
            reply = self._term.runners.apply_progress(peer, message)
        return MessageType.ITEM_RUN_PROGRESS_REPLY, reply

    def _handle_usage(self, peer: str, message: UsageCounts) -> tuple[int, UsageCountsReply]:
        usage = self._term.usage if self._term is not None else None
        reply = UsageCountsReply(False, 0) if usage is None else usage.merge_counts(message)
        return MessageType.USAGE_COUNTS_REPLY, reply

    def _on_directory_changed(self, service: str) -> None:
        if self._term is not None:
            self._term.wake()

    def begin_tentative_term(self, epoch: int) -> None:
        """Continue running items until the store is back; called by the election."""
        self._create_term(epoch)
        self._term.start_tentatively(self._job_copies.jobs(), self.hints.hinted_jobs())

    def begin_term(self, epoch: int) -> None:
        """Start coordinating, or confirm a tentative term; called by the election."""
        if self._term is None:
            self._create_term(epoch)
        self._term.start()
        self._quarantine_service.begin_term()
        self._follower.use_store("this node coordinates")
        self._routing_watcher.restart_watch()
        # The feed of the previous coordinator omits weight versions.
        self._backend_watcher.refresh("this node coordinates")

    def _create_term(self, epoch: int) -> None:
        self._term = CoordinatorTerm(self._term_dependencies, epoch, self._output_copies.take())
        self.jobs.local = self._term.jobs

    def end_term(self) -> None:
        """Stop coordinating; called by the election and by :meth:`stop`."""
        term, self._term = self._term, None
        self.jobs.local = None
        self._quarantine_service.end_term()
        self._feed.wake()
        if term is not None:
            term.stop()
        self._lease.forget()
