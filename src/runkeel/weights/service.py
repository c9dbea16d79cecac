"""Joins the parts that report on a node's engines and roll weights out to them."""

from __future__ import annotations

from runkeel.api.interfaces import (
    Configuration,
    MachineView,
    Membership,
    Ownership,
    PeerClient,
    PeerHandlers,
)
from runkeel.backends.engine_directory import EngineMonitor
from runkeel.pauses import PauseDetector
from runkeel.platform.weight_store import WeightStoreClient
from runkeel.weights.permit_client import PermitClient
from runkeel.weights.permit_coordinator import PermitCoordinator
from runkeel.weights.roll_out import RollOut


class WeightsService:
    """The weights part of one node.

    Attributes:
        engines: the node's EngineDirectory.
        roll_out: says where each owned engine stands.
    """

    def __init__(
        self,
        membership: Membership,
        configuration: Configuration,
        machines: MachineView,
        ownership: Ownership,
        peers: PeerClient,
        handlers: PeerHandlers,
        weight_store: WeightStoreClient,
        pauses: PauseDetector,
    ) -> None:
        self.engines = EngineMonitor(ownership)
        self._coordinator = PermitCoordinator(
            membership, configuration, machines, handlers, weight_store.limits
        )
        self._permits = PermitClient(membership, peers)
        self.roll_out = RollOut(
            membership,
            configuration,
            machines,
            ownership,
            self.engines,
            self._permits,
            pauses,
        )

    def start(self) -> None:
        """Start all tasks."""
        self.engines.start()
        self._permits.start()
        self.roll_out.start()

    def stop(self) -> None:
        """Stop all tasks; swaps under way go on in the engines."""
        self.roll_out.stop()
        self._permits.stop()
        self._coordinator.stop()
        self.engines.stop()
