"""Moves engines to the weight versions that trainers name: target against actual state.

One loop compares what every engine reports with the newest version of each model and orders the
next engines to change. An order without an answer is not repeated before the engine's own report
has shown what became of it.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.backend_protocol import (
    BackendProtocol,
    EngineOrderOutcome,
    EngineReport,
    VersionOrder,
)
from runkeel.api.fleet import RoutingConfiguration
from runkeel.coordination.order_lease import OrderLease
from runkeel.errors import RunkeelError
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.metrics import VERSION_ORDERS

IDLE_CHECK_SECONDS = 0.5
EXPECTED_LOAD_SECONDS = 0.9
REPORT_INTERVAL_SECONDS = 0.15
UNANSWERED_SECONDS = 1.5
"""After so long an order that shows no effect is taken as lost."""

LONGEST_LOAD_SECONDS = 6.0
RETRY_SECONDS = 0.6
"""An engine that could not be moved is left alone for so long."""

CALL_SECONDS = 1.0
COMMON_FACTOR = 0.75
"""Engines are kept at a model's versions for so large a part of its open items at once."""

PRESSED_FACTOR = 2.5
"""The same, while items have to wait for an engine."""

LEAST_ENGINES = 2

CONCURRENT_LOADS = 2
CONCURRENT_SHARE = 1 / 3


@dataclass(slots=True)
class _Change:
    """An engine that is under way to a version."""

    model: str
    version: int
    started: float


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """What batch jobs accept of a model.

    Attributes:
        minimum_version: oldest version that every open job accepts.
        slack: versions behind the newest that the latest job accepts.
        items: most items that were open at once lately; None when no job has come yet.
        pressed: items have lately waited long for an engine.
    """

    minimum_version: int = 0
    slack: int = 0
    items: int | None = None
    pressed: bool = False


class VersionRollout:
    """Reconciles the engines' versions while this node coordinates.

    Args:
        configuration: the configuration in force.
        versions: newest version by model, as named by trainers.
        demand: what the batch jobs need of a model.
        on_version: called with back end, model and version when an engine has changed.
        running_at: items running at an engine; the least busy ones change first.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        protocol: BackendProtocol,
        lease: OrderLease,
        holder: str,
        configuration: Callable[[], RoutingConfiguration | None],
        versions: dict[str, int],
        demand: Callable[[str], ModelDemand],
        on_version: Callable[[str, str, int], None],
        running_at: Callable[[str], int],
    ) -> None:
        self._directory = directory
        self._protocol = protocol
        self._lease = lease
        self._holder = holder
        self._configuration = configuration
        self._targets = versions
        self._demand = demand
        self._on_version = on_version
        self._running_at = running_at
        self._changing: dict[str, _Change] = {}
        self._actual: dict[tuple[str, str], int] = {}
        self._retry_at: dict[str, float] = {}
        self._wake = Event()
        self._loop: gevent.Greenlet | None = None
        self._tasks: set[gevent.Greenlet] = set()

    def start(self) -> None:
        """Start to reconcile."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Send no further order."""
        for task in [self._loop, *self._tasks]:
            if task is not None:
                task.kill(block=False)
        self._changing.clear()

    def wake(self) -> None:
        """Compare again: a version was named or an engine changed."""
        self._wake.set()

    def is_loading(self, backend_id: str, model: str) -> bool:
        """Return whether an engine is under way to another version of a model."""
        change = self._changing.get(backend_id)
        return change is not None and change.model == model

    def _run(self) -> None:
        while True:
            self._wake.wait(IDLE_CHECK_SECONDS)
            self._wake.clear()
            try:
                self._reconcile()
            except RunkeelError as error:
                logger.info(
                    "no orders for now",
                    code="orders_held",
                    reason=str(error.code),
                    detail=error.detail,
                )
                gevent.sleep(IDLE_CHECK_SECONDS)

    def _reconcile(self) -> None:
        due = self._due()
        if not due:
            return
        self._lease.confirm()
        wait = self._lease.seconds_until_orders()
        if wait > 0:
            gevent.sleep(min(wait, IDLE_CHECK_SECONDS))
            self._wake.set()
            return
        for state, model, version in due:
            self._changing[state.backend_id] = _Change(model, version, time.monotonic())
            task = gevent.spawn(self._change, state, model, version)
            self._tasks.add(task)
            task.rawlink(self._tasks.discard)

    def _due(self) -> list[tuple[BackendState, str, int]]:
        """Return the engines to order now, the least busy first."""
        configuration = self._configuration()
        if configuration is None:
            return []
        due: list[tuple[BackendState, str, int]] = []
        for service in configuration.services.values():
            due.extend(self._due_of_service(service.name, service.models))
        return due

    def _due_of_service(
        self, service: str, models: tuple[str, ...]
    ) -> list[tuple[BackendState, str, int]]:
        engines = self._directory.of_service(service) if models else []
        loading = sum(1 for state in engines if state.backend_id in self._changing)
        room = max(CONCURRENT_LOADS, int(len(engines) * CONCURRENT_SHARE)) - loading
        due: dict[str, tuple[BackendState, str, int]] = {}
        wanted = [entry for model in models for entry in self._due_of_model(engines, model)]
        wanted.sort(key=lambda entry: (not entry[0], entry[1]))
        for _, _, state, model in wanted:
            if len(due) >= room:
                break
            due.setdefault(state.backend_id, (state, model, self._targets[model]))
        return list(due.values())

    def _due_of_model(
        self, engines: list[BackendState], model: str
    ) -> list[tuple[bool, int, BackendState, str]]:
        """Return the engines to move to a model's newest version, with urgency and load.

        Jobs accept versions that are some way behind the newest. So at each version only a part
        of the engines is moved: those that the jobs no longer accept, and of the rest the oldest,
        so many that after as many versions as the jobs accept every engine has had its turn.
        In a large fleet only as many engines take part as the jobs can fill.
        """
        engines = self._engines_in_use(engines, model)
        target = self._targets.get(model, 0)
        demand = self._demand(model)
        floor = max(target - demand.slack, demand.minimum_version)
        share = -(-len(engines) // (demand.slack + 1))
        behind: list[tuple[int, int, BackendState]] = []
        for state in engines:
            version = self._version_ahead(state, model)
            if version >= target:
                share -= 1
            else:
                behind.append((version, self._running_at(state.backend_id), state))
        behind.sort(key=lambda entry: entry[:2])
        due = []
        for version, running, state in behind:
            if version >= floor and share <= 0:
                break
            share -= 1
            if self._may_change(state):
                due.append((version < floor, running, state, model))
        return due

    def _engines_in_use(self, engines: list[BackendState], model: str) -> list[BackendState]:
        """Return as many engines as the model's jobs can fill, those that are furthest first."""
        demand = self._demand(model)
        if demand.items is None:
            return engines
        slots = max((state.backend.slots for state in engines), default=1)
        factor = PRESSED_FACTOR if demand.pressed else COMMON_FACTOR
        needed = max(LEAST_ENGINES, -(-int(demand.items * factor) // max(1, slots)))
        furthest = sorted(
            engines, key=lambda state: (-self._version_ahead(state, model), state.backend_id)
        )
        return furthest[:needed]

    def _version_ahead(self, state: BackendState, model: str) -> int:
        """Return the version that an engine has or is under way to."""
        version = self._version(state, model)
        change = self._changing.get(state.backend_id)
        if change is not None and change.model == model:
            version = max(version, change.version)
        return version

    def _may_change(self, state: BackendState) -> bool:
        if state.backend_id in self._changing:
            return False
        now = time.monotonic()
        return now >= self._retry_at.get(state.backend_id, 0.0) and not state.avoided(now)

    def _version(self, state: BackendState, model: str) -> int:
        reported = state.backend.model_versions.get(model, 0)
        return max(reported, self._actual.get((state.backend_id, model), 0))

    def _change(self, state: BackendState, model: str, version: int) -> None:
        """Order one engine and wait for the effect."""
        started = time.monotonic()
        reached = False
        try:
            report = self._report(state)
            if report is None:
                return
            if report.model_versions.get(model, 0) < version:
                outcome = self._order(state, model, version, report.sequence)
                if outcome is EngineOrderOutcome.WRONG_SERVER:
                    state.failed()
                if outcome not in (EngineOrderOutcome.ACCEPTED, EngineOrderOutcome.IN_FORCE, None):
                    return
                reached = self._await_version(state, model, version, outcome)
            else:
                reached = True
        finally:
            self._changing.pop(state.backend_id, None)
            if reached:
                self._actual[(state.backend_id, model)] = version
                self._on_version(state.backend_id, model, version)
            else:
                self._retry_at[state.backend_id] = time.monotonic() + RETRY_SECONDS
            logger.info(
                "engine change ended",
                code="engine_version",
                backend=state.backend_id,
                model=model,
                version=version,
                reached=reached,
                ms=int((time.monotonic() - started) * 1000),
            )
            self._wake.set()

    def _order(
        self, state: BackendState, model: str, version: int, sequence: int
    ) -> EngineOrderOutcome | None:
        """Send an order; None when its answer was lost, so that it may still be carried out."""
        order = VersionOrder(
            model, version, self._holder, self._lease.token, expected_sequence=sequence
        )
        outgoing = self._protocol.encode_order(order, state.backend)
        deadline = time.monotonic() + CALL_SECONDS
        outcome: EngineOrderOutcome | None = None
        try:
            answer = state.pool.request(outgoing, deadline, before_send=self._lease.check)
            outcome = self._protocol.order_outcome(answer.status)
        except RunkeelError as error:
            if error.verdict.name == "NOT_RUN":
                outcome = EngineOrderOutcome.REFUSED
        VERSION_ORDERS.labels(outcome.value if outcome else "unanswered").inc()
        logger.info(
            "order sent",
            code="engine_order",
            backend=state.backend_id,
            model=model,
            version=version,
            token=order.fencing_token,
            sequence=sequence,
            outcome=outcome.value if outcome else "unanswered",
        )
        return outcome

    def _await_version(
        self, state: BackendState, model: str, version: int, outcome: EngineOrderOutcome | None
    ) -> bool:
        if outcome is EngineOrderOutcome.IN_FORCE:
            return True
        started = time.monotonic()
        gevent.sleep(EXPECTED_LOAD_SECONDS)
        while time.monotonic() - started < LONGEST_LOAD_SECONDS:
            report = self._report(state)
            if report is not None and report.model_versions.get(model, 0) >= version:
                return True
            idle = report is not None and not report.busy
            if idle and time.monotonic() - started > UNANSWERED_SECONDS:
                return False
            gevent.sleep(REPORT_INTERVAL_SECONDS)
        return False

    def _report(self, state: BackendState) -> EngineReport | None:
        outgoing = self._protocol.encode_report_query(state.backend)
        try:
            answer = state.pool.request(outgoing, time.monotonic() + CALL_SECONDS)
            return self._protocol.parse_report(answer.body) if answer.status == 200 else None
        except (RunkeelError, ValueError, KeyError):
            return None
