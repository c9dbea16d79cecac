"""Coordinator of swap permits: any node can be it, and one usually is."""

from __future__ import annotations

import time

import gevent
from gevent.event import Event

from runkeel.api.interfaces import Configuration, MachineView, Membership, PeerHandlers
from runkeel.api.machines import MachineKind, MachineState
from runkeel.weights.coordinator_choice import CoordinatorChoice
from runkeel.weights.permits import LEASE_SECONDS, PermitTable, SwapKey
from runkeel.weights.store_gate import ReadLimits, StoreGate
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.weights.ttypes import PermitReply, PermitRequest

GRACE_SECONDS = 1.5
"""A new coordinator first hears what is held before it grants."""
MAXIMUM_WAIT_MS = 1_500
GRANT_DELAY_SECONDS = 0.01
GRANT_SECONDS = 0.05
"""Pause between evaluations while permits are wanted."""
LIMIT_KEPT_SECONDS = 1.0


def swap_limit(model: str, configuration: Configuration, machines: MachineView) -> int:
    """Return how many engines of a model may swap at the same time; at least 1."""
    spec = configuration.model(model)
    fraction = spec.swap_fraction if spec is not None else 0.0
    engines = [
        machine
        for machine in machines.machines(MachineKind.ENGINE, model)
        if machine.state is MachineState.LIVE
    ]
    return max(1, int(fraction * len(engines)))


class PermitCoordinator:
    """Answers WEIGHTS_PERMIT calls while this node is the coordinator."""

    def __init__(
        self,
        membership: Membership,
        configuration: Configuration,
        machines: MachineView,
        handlers: PeerHandlers,
        read_limits: ReadLimits,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._machines = machines
        self._gate = StoreGate(read_limits)
        self._model_limits: dict[str, tuple[int, float]] = {}
        """Limit of each model and until when it is kept; counting engines costs time."""
        self._table = PermitTable(self._model_limit, self._gate.limit)
        self._choice = CoordinatorChoice(membership)
        self._coordinating = False
        self._since = 0.0
        self._waiting: dict[str, Event] = {}
        self._granter: gevent.Greenlet | None = None
        membership.on_change(self._check_role)
        self._check_role()
        handlers.on_call(MessageType.WEIGHTS_PERMIT, PermitRequest, self.handle)

    @property
    def coordinating(self) -> bool:
        """Whether this node believes to be the coordinator."""
        return self._coordinating

    def holds(self) -> list[SwapKey]:
        """Return the engines that may swap now, as this coordinator sees it."""
        return self._table.holds()

    def stop(self) -> None:
        """Stop granting."""
        if self._granter is not None:
            self._granter.kill()

    def handle(self, owner_id: str, request: PermitRequest) -> tuple[int, PermitReply]:
        """Take an owner's declaration and answer with what it may swap.

        Keeps the call open for up to ``wait_ms`` while nothing new is granted.
        """
        if not self._coordinating:
            return MessageType.WEIGHTS_PERMIT_REPLY, PermitReply(False, [], 0)
        holds = [SwapKey(key.model, key.backend_id) for key in request.holds]
        wants = [SwapKey(key.model, key.backend_id) for key in request.wants]
        if request.failures:
            self._gate.suspect()
        accepted = self._table.declare(
            owner_id, request.zone, request.incarnation, request.sequence, wants, holds
        )
        if accepted:
            self._grant_soon()
            if wants:
                self._wait_for_grant(owner_id, request.wait_ms)
        granted: list[str] = []
        if self._table.is_latest(owner_id, request.incarnation, request.sequence):
            granted = sorted(key.backend_id for key in self._table.holds_of(owner_id))
        lease_ms = int(LEASE_SECONDS * 1000)
        return MessageType.WEIGHTS_PERMIT_REPLY, PermitReply(True, granted, lease_ms)

    def _wait_for_grant(self, owner_id: str, wait_ms: int) -> None:
        """Wait until the owner gets a grant or sends a newer declaration."""
        overtaken = self._waiting.get(owner_id)
        if overtaken is not None:
            overtaken.set()
        event = self._waiting[owner_id] = Event()
        event.wait(min(wait_ms, MAXIMUM_WAIT_MS) / 1000)
        if self._waiting.get(owner_id) is event:
            del self._waiting[owner_id]

    def _grant_soon(self) -> None:
        """Grant after a moment: declarations of many owners cost one evaluation together."""
        if self._granter is None or self._granter.ready():
            self._granter = gevent.spawn(self._grant_while_wanted)

    def _grant_while_wanted(self) -> None:
        gevent.sleep(GRANT_DELAY_SECONDS)
        while self._coordinating and self._table.wanted():
            grace = self._since + GRACE_SECONDS - time.monotonic()
            if grace > 0:
                gevent.sleep(grace)
            self._grant()
            gevent.sleep(GRANT_SECONDS)

    def _grant(self) -> None:
        self._gate.refresh()
        granted = self._table.grant()
        if granted:
            self._gate.note_granted()
        for owner_id in granted:
            event = self._waiting.get(owner_id)
            if event is not None:
                event.set()

    def _model_limit(self, model: str) -> int:
        limit, until = self._model_limits.get(model, (0, 0.0))
        if until <= time.monotonic():
            limit = swap_limit(model, self._configuration, self._machines)
            self._model_limits[model] = (limit, time.monotonic() + LIMIT_KEPT_SECONDS)
        return limit

    def _check_role(self) -> None:
        coordinating = self._choice.node_id() == self._membership.node_id
        if coordinating and not self._coordinating:
            self._since = time.monotonic()
        if coordinating != self._coordinating:
            self._table.clear()
            self._model_limits.clear()
        self._coordinating = coordinating
