"""The composition root: joins the parts into one node."""

from __future__ import annotations

import time
from dataclasses import replace
from pathlib import Path

import gevent
import gevent.event
from loguru import logger

from runkeel.api.configuration import DrainSpec, ObjectKind
from runkeel.api.machines import Address
from runkeel.http.monitoring import add_monitoring_routes
from runkeel.http.routes import RouteTable
from runkeel.http.server import HttpServer
from runkeel.membership.gossip import GossipMembership
from runkeel.operators.service import OperatorsService
from runkeel.operators.work_sources import register_claims, register_record_groups, register_steps
from runkeel.pauses import PauseDetector
from runkeel.platform.machine_list import MachineListClient
from runkeel.platform.object_api import ObjectApiClient
from runkeel.platform.weight_store import WeightStoreClient
from runkeel.requests.service import RequestService
from runkeel.rollouts.service import RolloutService
from runkeel.settings import Settings
from runkeel.state.changes import ConfigurationWriter
from runkeel.state.configuration import ConfigurationView
from runkeel.state.group_store import ConfigurationGroupStore
from runkeel.state.machine_view import ReplicatedMachineView
from runkeel.state.ownership import RendezvousOwnership
from runkeel.state.records.options import RecordOptions
from runkeel.state.records.service import RecordService
from runkeel.state.replicated_state import ReplicatedState
from runkeel.state.spread import Spread
from runkeel.state.versioned_record import MACHINE_KIND
from runkeel.state.watchers import Watchers
from runkeel.weights.service import WeightsService
from runkeel.wire.links import LinkPolicy
from runkeel.wire.network import PeerNetwork

CONFIGURATION_WAIT_SECONDS = 5.0
RECORDS_SHARE_OF_STOP = 0.5
"""Share of a planned stop's time that leaving the record groups may take."""


class Node:
    """One node: every role, on one set of listeners.

    Raises:
        OSError: an address of the settings cannot be listened on.
    """

    def __init__(self, settings: Settings, link_policy: LinkPolicy | None = None) -> None:
        self._settings = settings
        self._link_policy = link_policy or LinkPolicy()
        self._stopping = False
        self.stop_requested = gevent.event.Event()
        """Set when an operator has asked this node to stop."""
        self._routes = RouteTable()
        self._http = HttpServer(Address.parse(settings.listen.http), self._routes, settings.limits)
        self._http.bind()
        self._build_network()
        self._build_state()
        self._build_work()
        self._build_operators()
        add_monitoring_routes(self._routes, self._not_ready_reasons, self._notices)

    @property
    def node_id(self) -> str:
        """The node's name."""
        return self._settings.node.id

    @property
    def configuration(self) -> ConfigurationView:
        """The configuration in force at this node."""
        return self._configuration

    @property
    def http_address(self) -> Address:
        """Where callers, trainers and operators connect."""
        return self._http.address

    @property
    def peer_address(self) -> Address:
        """Where other nodes connect."""
        return self._network.address

    @property
    def gossip_address(self) -> Address:
        """Where heartbeats arrive."""
        return self._membership.gossip_address

    def start(self) -> None:
        """Start every part, those that others depend on first."""
        self._membership.start()
        self._spread.start()
        self._watchers.start()
        self._records.start()
        self._requests.start()
        self._pauses.start()
        self._weights.start()
        self._rollouts.start()
        # Callers that come earlier would be told that their service is unknown; until then their
        # connections wait in the listener's backlog. Without store and peers it starts anyway.
        self._spread.wait_caught_up(CONFIGURATION_WAIT_SECONDS)
        self._http.start()

    def drain_and_stop(self, timeout_seconds: float) -> bool:
        """Stop as planned: hand over, finish what is in flight, then end.

        Args:
            timeout_seconds: how long to wait for work in flight.

        Returns:
            Whether everything in flight was finished.
        """
        deadline = time.monotonic() + timeout_seconds
        self._stopping = True
        # First, and as a node like any other: a member of the record groups that comes back
        # meanwhile has to find this one, and does not hear of nodes that have left.
        self._records.leave(timeout_seconds * RECORDS_SHARE_OF_STOP)
        self._membership.leave()
        self._http.stop_accepting()
        clean = self._finish_work(max(0.0, deadline - time.monotonic()))
        self.stop()
        return clean

    def _finish_work(self, timeout_seconds: float) -> bool:
        """Wait for work in flight; return whether all of it was finished in time."""
        deadline = time.monotonic() + timeout_seconds
        drains = [
            gevent.spawn(self._requests.drain, timeout_seconds),
            gevent.spawn(self._rollouts.drain, timeout_seconds),
        ]
        gevent.joinall(drains, timeout=timeout_seconds)
        idle = self._http.wait_idle(max(0.0, deadline - time.monotonic()))
        return idle and all(drain.value for drain in drains)

    def stop(self) -> None:
        """End every part at once, in the reverse order of the start."""
        self._http.stop()
        self._rollouts.stop()
        self._weights.stop()
        self._pauses.stop()
        self._requests.stop()
        self._records.stop()
        self._watchers.close()
        self._spread.close()
        self._membership.stop()
        self._network.stop()

    def _build_network(self) -> None:
        settings = self._settings
        cluster_key = settings.cluster.key.encode()
        incarnation = time.time_ns() // 1_000_000
        self._network = PeerNetwork(
            settings.node.id,
            settings.node.zone,
            settings.cluster.name,
            cluster_key,
            incarnation,
            Address.parse(settings.listen.peer),
            lambda node_id: self._membership.peer_address(node_id),
            self._link_policy,
        )
        self._network.start()
        self._membership = GossipMembership(
            settings.node.id,
            settings.node.zone,
            settings.cluster.name,
            cluster_key,
            incarnation,
            self._http.address,
            self._network.address,
            Address.parse(settings.listen.gossip),
            tuple(Address.parse(seed) for seed in settings.cluster.seeds),
            self._link_policy,
        )

    def _build_state(self) -> None:
        settings = self._settings
        store = ObjectApiClient(_address_of(settings.platform.object_api))
        machine_list = MachineListClient(_address_of(settings.platform.machine_list))
        self._state = ReplicatedState()
        self._spread = Spread(self._state, self._membership, self._network, self._network)
        self._watchers = Watchers(self._state, self._spread, self._membership, store, machine_list)
        self._writer = ConfigurationWriter(self._state, self._spread, store)
        self._configuration = ConfigurationView(self._state)
        self._configuration.on_change(self._note_own_drain)
        self._machines = ReplicatedMachineView(self._state)
        self._ownership = RendezvousOwnership(self._membership, self._machines, self._configuration)
        self._records = RecordService(
            settings.node.id,
            self._network,
            self._network,
            self._membership,
            ConfigurationGroupStore(settings.node.id, self._configuration, self._writer),
            _record_options(settings),
        )

    def _build_work(self) -> None:
        settings = self._settings
        self._weight_store = WeightStoreClient(_address_of(settings.platform.weight_store))
        self._pauses = PauseDetector()
        self._weights = WeightsService(
            self._membership,
            self._configuration,
            self._machines,
            self._ownership,
            self._network,
            self._network,
            self._weight_store,
            self._pauses,
        )
        self._requests = RequestService(
            self._membership,
            self._configuration,
            self._machines,
            self._ownership,
            self._records,
            self._network,
            self._network,
            self._routes,
            self._weights.engines,
            self._pauses,
            is_ready=lambda: self._spread.caught_up,
            policy=settings.requests.placement,
        )
        data_folder = Path(settings.node.data_folder) if settings.node.data_folder else None
        self._rollouts = RolloutService(
            self._membership,
            self._network,
            self._network,
            self._configuration,
            self._machines,
            self._records,
            self._requests.dispatcher,
            data_folder=data_folder,
        )
        self._rollouts.register(self._routes)

    def _build_operators(self) -> None:
        self._operators = OperatorsService(
            self._membership,
            self._configuration,
            self._machines,
            self._ownership,
            self._network,
            self._network,
            self._weights.engines,
            self._weights.roll_out,
            self._writer,
            self._weight_store,
            self._routes,
            self._settings.operators.open,
        )
        sources = self._operators.sources
        register_steps(sources, self.node_id, self._rollouts.steps)
        register_claims(sources, self.node_id, self._requests.claims.recorded)
        register_record_groups(sources, self.node_id, self._records.statuses)

    def _not_ready_reasons(self) -> list[str]:
        reasons = []
        if self._stopping:
            reasons.append("stopping")
        if not self._spread.caught_up:
            reasons.append("configuration not read yet")
        if not self._state.records(MACHINE_KIND):
            reasons.append("machine list not read yet")
        return reasons

    def _notices(self) -> list[str]:
        notices = [status.notice() for status in self._records.statuses()]
        return [notice for notice in notices if notice is not None]

    def _note_own_drain(self, kind: ObjectKind, name: str) -> None:
        if kind is not ObjectKind.DRAIN or name != self.node_id:
            return
        spec = self._configuration.spec(ObjectKind.DRAIN, name)
        if isinstance(spec, DrainSpec) and spec.stop:
            logger.info("an operator asked for a stop", code="node_stop_requested")
            self.stop_requested.set()


def _record_options(settings: Settings) -> RecordOptions:
    options = RecordOptions(
        groups=settings.records.groups, retention_seconds=settings.records.retention_s
    )
    if not settings.cluster.zones:
        return options
    return replace(
        options,
        expected_zones=settings.cluster.zones,
        formation_wait_seconds=settings.cluster.zones_wait_s,
    )


def _address_of(url: str) -> Address:
    return Address.parse(url.removeprefix("http://"))
