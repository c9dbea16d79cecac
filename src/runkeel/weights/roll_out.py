"""Roll-out of weights and roles over the engines that this node owns."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from runkeel.api.configuration import ObjectKind
from runkeel.api.interfaces import Configuration, MachineView, Membership, Ownership
from runkeel.api.machines import Address, Machine, MachineKind
from runkeel.backends.engine_directory import EngineMonitor
from runkeel.backends.engine_orders import EngineControlClient
from runkeel.pauses import PauseDetector
from runkeel.weights import metrics
from runkeel.weights.permit_client import PermitClient
from runkeel.weights.reconciler import EngineReconciler, ReconcilerContext, RolloutState


@dataclass(frozen=True, slots=True)
class EngineProgress:
    """Where one engine stands.

    Attributes:
        version: as the engine last reported it; -1 when it never has.
        age_seconds: age of that report; -1 when there is none.
    """

    backend_id: str
    zone: str
    model: str
    target_version: int
    version: int
    target_role: str
    role: str
    state: RolloutState
    failures: int
    last_error: str
    age_seconds: float


class RollOut:
    """One reconciling task for each owned engine."""

    def __init__(
        self,
        membership: Membership,
        configuration: Configuration,
        machines: MachineView,
        ownership: Ownership,
        monitor: EngineMonitor,
        permits: PermitClient,
        pause_detector: PauseDetector,
        client_factory: Callable[[Address], EngineControlClient] = EngineControlClient,
    ) -> None:
        self._context = ReconcilerContext(
            membership, configuration, machines, ownership, monitor, permits, pause_detector
        )
        self._client_factory = client_factory
        self._reconcilers: dict[str, tuple[EngineReconciler, gevent.Greenlet]] = {}
        self._running = False

    def start(self) -> None:
        """Reconcile the engines owned now and from now on."""
        self._running = True
        metrics.ENGINES_HELD.labels(self._context.membership.node_id).set_function(self._held)
        self._context.ownership.on_change(self.refresh)
        self._context.configuration.on_change(self._wake)
        self.refresh()

    def stop(self) -> None:
        """Stop all reconcilers; swaps under way go on in the engines."""
        self._running = False
        for backend_id in tuple(self._reconcilers):
            self._forget(backend_id)

    def refresh(self) -> None:
        """Start and stop reconcilers after a change of ownership."""
        if not self._running:
            return
        owned = {
            machine.machine_id: machine
            for machine in self._context.ownership.owned()
            if machine.kind is MachineKind.ENGINE and machine.http is not None
        }
        for backend_id, (reconciler, _) in tuple(self._reconcilers.items()):
            machine = owned.get(backend_id)
            if machine is None or machine.http != reconciler.machine.http:
                self._forget(backend_id)
        for backend_id, machine in owned.items():
            if backend_id not in self._reconcilers:
                self._follow(machine)

    def progress(self) -> list[EngineProgress]:
        """Return where the owned engines stand, sorted by id."""
        reconcilers = sorted(self._reconcilers.items())
        return [self._progress_of(reconciler) for _, (reconciler, _) in reconcilers]

    def _held(self) -> int:
        states = [reconciler.state for reconciler, _ in self._reconcilers.values()]
        return states.count(RolloutState.HELD)

    def _progress_of(self, reconciler: EngineReconciler) -> EngineProgress:
        machine = reconciler.machine
        status = self._context.monitor.status(machine.machine_id)
        target = reconciler.target
        return EngineProgress(
            backend_id=machine.machine_id,
            zone=machine.zone,
            model=machine.pool,
            target_version=target.version if target else 0,
            version=status.weight_version if status else -1,
            target_role=target.role if target else "",
            role=status.role if status else "",
            state=reconciler.state,
            failures=reconciler.failures,
            last_error=reconciler.last_error,
            age_seconds=status.age_seconds if status else -1.0,
        )

    def _follow(self, machine: Machine) -> None:
        client = self._client_factory(machine.http)
        reconciler = EngineReconciler(machine, client, self._context)
        self._reconcilers[machine.machine_id] = (reconciler, gevent.spawn(reconciler.run))

    def _forget(self, backend_id: str) -> None:
        _, task = self._reconcilers.pop(backend_id)
        if task is not gevent.getcurrent():
            task.kill(block=False)

    def _wake(self, kind: ObjectKind, name: str) -> None:
        for reconciler, _ in tuple(self._reconcilers.values()):
            changed_model = kind is ObjectKind.MODEL and name == reconciler.machine.pool
            changed_role = kind is ObjectKind.ENGINE_ROLE and name == reconciler.machine.machine_id
            if changed_model or changed_role:
                reconciler.wake()
