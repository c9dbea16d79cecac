"""Brings one engine to its target state: reads what it reports, orders, asks what became of it."""

from __future__ import annotations

import enum
import random
import time
from dataclasses import dataclass

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.interfaces import Configuration, MachineView, Membership, Ownership
from runkeel.api.machines import EngineStatus, Machine
from runkeel.backends.engine_directory import EngineMonitor
from runkeel.backends.engine_orders import EngineControlClient, EngineOrder
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.pauses import PauseDetector
from runkeel.weights import metrics
from runkeel.weights.fences import Fence, next_fence, owner_bits
from runkeel.weights.permit_client import PermitClient
from runkeel.weights.permits import SwapKey
from runkeel.weights.target import TargetState, target_of

IDLE_SECONDS = 1.0
SETTLE_SECONDS = 2.0
"""After a pause, how long membership and configuration need to catch up."""
PERMIT_WAIT_SECONDS = 5.0
SWAP_POLL_SECONDS = 0.25
SWAP_TIMEOUT_SECONDS = 60.0
BACKOFF_SECONDS = 0.5
MAXIMUM_BACKOFF_SECONDS = 5.0
FAILURES_BEFORE_HOLD = 3
HELD_RETRY_SECONDS = 30.0


class RolloutState(enum.StrEnum):
    """Where an engine stands on the way to its target state."""

    UNKNOWN = "unknown"
    DONE = "done"
    WAITING = "waiting"
    """For a permit."""
    SWAPPING = "swapping"
    RETRYING = "retrying"
    HELD = "held"
    """Out of service after failed swaps; retried rarely."""
    PAUSED = "paused"
    BEHIND = "behind"
    """This node's configuration is older than that of the engine's last order."""
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class ReconcilerContext:
    """What all reconcilers of a node share."""

    membership: Membership
    configuration: Configuration
    machines: MachineView
    ownership: Ownership
    monitor: EngineMonitor
    permits: PermitClient
    pause_detector: PauseDetector


class EngineReconciler:
    """Reconciles one owned engine; :meth:`run` is its task.

    Attributes:
        failures: failed attempts in a row at the present target.
    """

    def __init__(
        self, machine: Machine, client: EngineControlClient, context: ReconcilerContext
    ) -> None:
        self.machine = machine
        self.state = RolloutState.UNKNOWN
        self.target: TargetState | None = None
        self.failures = 0
        self.last_error = ""
        self._client = client
        self._context = context
        self._key = SwapKey(machine.pool, machine.machine_id)
        self._sent = Fence(0, 0, 0, 0)
        self._wake = Event()

    def wake(self) -> None:
        """Look again soon: the configuration has changed."""
        self._wake.set()

    def run(self) -> None:
        """Reconcile until killed."""
        try:
            while True:
                pause_seconds = self._reconcile_safely()
                self._wake.wait(pause_seconds * random.uniform(0.8, 1.2))
                self._wake.clear()
        finally:
            self._context.permits.release(self._key)
            self._client.close()

    def _reconcile_safely(self) -> float:
        """Reconcile once; return how long to wait before the next time, in s."""
        try:
            return self.reconcile()
        except RunkeelError as error:
            self.last_error = str(error)
            if error.code is ErrorCode.STALE_FENCE:
                metrics.ORDERS_WITHHELD.labels("overtaken").inc()
                return SWAP_POLL_SECONDS
            if error.code is ErrorCode.BACKEND_REFUSED and self.target is not None:
                return self._note_failure(self.target, str(error))
            return self._give_up_for_now()
        except Exception as error:
            # The engine must not be left alone for good because of one unforeseen answer.
            self.last_error = repr(error)
            logger.exception("reconciling {} failed", self.machine.machine_id, code="internal")
            return self._give_up_for_now()

    def _give_up_for_now(self) -> float:
        self.state = RolloutState.UNREACHABLE
        self._context.permits.release(self._key)
        return IDLE_SECONDS

    def reconcile(self) -> float:
        """Take the next step towards the target; return how long to wait then, in s.

        Raises:
            RunkeelError: the engine can't be reached, or refused an order as overtaken.
        """
        target = self._refresh_target()
        if target is None or self._context.machines.is_leaving(self.machine.machine_id):
            self._context.permits.release(self._key)
            return IDLE_SECONDS
        reported = self._context.monitor.status(self.machine.machine_id)
        settled = self.state in (RolloutState.DONE, RolloutState.PAUSED)
        if settled and reported and target.is_reached(reported):
            return IDLE_SECONDS
        status = self._ask()
        if target.is_reached(status):
            return self._note_reached(target)
        seen = Fence.parse(status.fence)
        if seen.knows_more_than(target.model_generation, target.role_generation):
            return self._withhold("configuration_behind", RolloutState.BEHIND)
        if status.swap == "loading" and _same_generations(seen, target):
            return self._follow_swap(target, status.swap_order_id)
        if target.needs_role(status):
            self._send_role(target, seen)
            return 0.0
        return self._load(target, seen)

    def _refresh_target(self) -> TargetState | None:
        target = target_of(self.machine, self._context.configuration)
        if target != self.target:
            self.target = target
            self.failures = 0
            self.state = RolloutState.UNKNOWN
        return target

    def _ask(self) -> EngineStatus:
        status = self._client.status()
        self._context.monitor.observe(self.machine.machine_id, status)
        return status

    def _note_reached(self, target: TargetState) -> float:
        state = RolloutState.PAUSED if target.paused else RolloutState.DONE
        if self.state is not state:
            logger.info(
                "engine {} has reached its target: {}",
                self.machine.machine_id,
                target,
                code="engine_at_target",
            )
        self.state = state
        self.failures = 0
        self.last_error = ""
        self._context.permits.release(self._key)
        self._context.monitor.hold(self.machine.machine_id, False)
        return IDLE_SECONDS

    def _load(self, target: TargetState, seen: Fence) -> float:
        permits = self._context.permits
        if not permits.holds(self._key):
            if self.state is not RolloutState.HELD:
                self.state = RolloutState.WAITING
            permits.acquire(self._key, PERMIT_WAIT_SECONDS)
            # Time has passed: everything is read and validated again before an order.
            return 0.0
        order = EngineOrder(
            order_id="",
            fence=0,
            kind="load",
            model=target.model,
            version=target.version,
            adapter=target.adapter,
        )
        sent = self._send(order, target, seen)
        if sent is None:
            return SWAP_POLL_SECONDS
        return self._follow_swap(target, sent.order_id)

    def _send_role(self, target: TargetState, seen: Fence) -> None:
        order = EngineOrder(order_id="", fence=0, kind="role", role=target.role)
        if self._send(order, target, seen) is not None:
            gevent.sleep(SWAP_POLL_SECONDS)

    def _send(self, order: EngineOrder, target: TargetState, seen: Fence) -> EngineOrder | None:
        """Send an order if this node may still give it; return it as sent."""
        local = self._context.membership.local()
        fence = next_fence(
            seen,
            self._sent,
            target.model_generation,
            target.role_generation,
            owner_bits(local.node_id, local.incarnation),
        )
        # Two owners that carry out the same generations in the same round send the same
        # order id, so that the engine does the work once.
        generations = f"{target.model_generation}-{target.role_generation}"
        order_id = f"{order.kind}-{target.model}-{generations}-{fence.round}"
        order = EngineOrder(
            order_id,
            fence.to_number(),
            order.kind,
            order.model,
            order.version,
            order.adapter,
            order.role,
        )
        if not self._may_order(order.kind, target):
            return None
        self._sent = fence
        try:
            self._client.order(order)
        except RunkeelError as error:
            metrics.ORDERS.labels(order.kind, str(error.code)).inc()
            raise
        metrics.ORDERS.labels(order.kind, "taken").inc()
        return order

    def _may_order(self, kind: str, target: TargetState) -> bool:
        """Validate once more, right before an order, what may have changed during a pause."""
        reason = ""
        if not self._context.pause_detector.settled(SETTLE_SECONDS):
            reason = "paused"
        elif not self._is_owner():
            reason = "not_owner"
        elif target_of(self.machine, self._context.configuration) != target:
            reason = "target_changed"
        elif kind == "load" and not self._context.permits.holds(self._key):
            reason = "permit_lapsed"
        if reason:
            metrics.ORDERS_WITHHELD.labels(reason).inc()
        return not reason

    def _is_owner(self) -> bool:
        owner = self._context.ownership.owner_of(self.machine.machine_id)
        return owner == self._context.membership.node_id

    def _withhold(self, reason: str, state: RolloutState) -> float:
        metrics.ORDERS_WITHHELD.labels(reason).inc()
        self.state = state
        self._context.permits.release(self._key)
        return IDLE_SECONDS

    def _follow_swap(self, target: TargetState, order_id: str) -> float:
        """Ask the engine until its swap has ended or a newer target overtakes it."""
        if self.state is not RolloutState.HELD:
            self.state = RolloutState.SWAPPING
        deadline = time.monotonic() + SWAP_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            gevent.sleep(SWAP_POLL_SECONDS)
            if target_of(self.machine, self._context.configuration) != target:
                return 0.0
            try:
                status = self._ask()
            except RunkeelError as error:
                self.last_error = str(error)
                continue
            if not target.needs_load(status):
                metrics.SWAPS.labels("done").inc()
                return 0.0
            if status.swap != "loading" or status.swap_order_id != order_id:
                return self._note_failure(target, f"swap {status.swap} ({order_id})")
        return self._note_failure(target, "swap timed out")

    def _note_failure(self, target: TargetState, reason: str) -> float:
        metrics.SWAPS.labels("failed").inc()
        self.failures += 1
        self.last_error = reason
        self._context.permits.release(self._key, failed=True)
        if self.failures < FAILURES_BEFORE_HOLD or not self._others_serve(target):
            self.state = RolloutState.RETRYING
            backoff = BACKOFF_SECONDS * 2 ** min(self.failures - 1, 10)
            return min(backoff, MAXIMUM_BACKOFF_SECONDS) * random.uniform(0.5, 1.5)
        if self.state is not RolloutState.HELD:
            logger.warning(
                "engine {} is held after {} failed swaps: {}",
                self.machine.machine_id,
                self.failures,
                reason,
                code="engine_held",
            )
        self.state = RolloutState.HELD
        self._context.monitor.hold(self.machine.machine_id, True)
        return HELD_RETRY_SECONDS

    def _others_serve(self, target: TargetState) -> bool:
        """Return whether some engine has the target version: then store and version are good.

        Without that proof a bad version, or a store that is down, would take the whole model
        out of service; its engines rather go on with what they have.
        """
        return any(
            summary.minimum_version <= target.version <= summary.maximum_version
            for summary in self._context.membership.pool_summaries(target.model)
        )


def _same_generations(fence: Fence, target: TargetState) -> bool:
    return (fence.model_generation, fence.role_generation) == (
        target.model_generation,
        target.role_generation,
    )
