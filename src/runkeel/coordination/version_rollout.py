"""Rolls out the weight versions published by trainers, by reconciling engines with the targets.

A loop compares the version that every engine reports with the newest version of each model and
orders the next engines to load it. An unanswered order is not repeated before the engine's own
report has shown its outcome.
"""

from __future__ import annotations

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
from runkeel.clock import steady_seconds
from runkeel.coordination.load_pacing import SLOW_LOAD_RATIO, LoadPacing
from runkeel.coordination.order_lease import OrderLease
from runkeel.coordination.rollout_plan import (
    EngineStatus,
    ModelDemand,
    PlannedChange,
    plan_changes,
)
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.metrics import VERSION_ORDERS

MAX_RECONCILE_INTERVAL_SECONDS = 0.5
"""Longest interval between reconciliations if nothing wakes the loop."""

LEASE_RETRY_SECONDS = 0.2
"""Pause before a claim of the lease is retried after a lost answer."""

EXPECTED_LOAD_SECONDS = 0.9
"""Delay before the first report query after an order: expected duration of a load."""

REPORT_INTERVAL_SECONDS = 0.15
"""Initial interval between report queries to a loading engine."""

LOST_ORDER_TIMEOUT_SECONDS = 1.5
"""An order that shows no effect for this long counts as lost."""

MAX_REPORT_INTERVAL_SECONDS = 1.0
"""Maximum interval between report queries to a loading engine."""

REPORT_INTERVAL_GROWTH = 1.3
"""Growth factor of the report interval while a load is slow, to bound the number of queries."""

LOAD_TIMEOUT_SECONDS = 6.0
"""Timeout of a load while the engine has not reported that it is busy."""

BUSY_LOAD_TIMEOUT_SECONDS = 30.0
"""Timeout of a load once the engine has reported that it is busy."""

CHANGE_RETRY_SECONDS = 0.6
"""Pause before a failed change of an engine is retried."""

MAX_RECONCILE_SHARE = 0.1
"""Maximum share of processor time spent on reconciling, whatever the number of engines."""

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of an order or a report query."""


@dataclass(slots=True)
class _Change:
    """A change of an engine to another version, in progress."""

    model: str
    version: int
    started: float


class VersionRollout:
    """Reconciles the engines' versions while this node coordinates.

    Args:
        configuration: returns the configuration in effect.
        versions: newest version by model, as published by trainers; updated by the caller.
        demand: returns what the batch jobs require of a model.
        on_version: called with incarnation, model and version when an engine has loaded a version.
        count_running: returns the number of items in flight at an engine; engines with the fewest
            change first.
        before_load: called with the incarnation of an engine before it is ordered to load.
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
        count_running: Callable[[str], int],
        before_load: Callable[[str], None] = lambda incarnation: None,
    ) -> None:
        self._directory = directory
        self._protocol = protocol
        self._lease = lease
        self._holder = holder
        self._configuration = configuration
        self._targets = versions
        self._demand = demand
        self._on_version = on_version
        self._count_running = count_running
        self._before_load = before_load
        self._changing: dict[str, _Change] = {}
        self._loaded_versions: dict[tuple[str, str], int] = {}
        self._retry_at: dict[str, float] = {}
        self._pacing: dict[str, LoadPacing] = {}
        self._wake = Event()
        self._loop: gevent.Greenlet | None = None
        self._tasks: set[gevent.Greenlet] = set()

    def claim_lease(self) -> None:
        """Claim the order lease early, so that a new holder's pause is over when orders are due.

        Returns once the lease is held or another node has taken it.
        """
        while True:
            try:
                self._lease.confirm()
                return
            except RunkeelError as error:
                if error.code is ErrorCode.STALE_FENCE:
                    return
                gevent.sleep(LEASE_RETRY_SECONDS)

    def start(self) -> None:
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop reconciling; no further order is sent."""
        for task in [self._loop, *self._tasks]:
            if task is not None:
                task.kill(block=False)
        self._changing.clear()

    def forget(self, state: BackendState) -> None:
        """Discard the known versions of an engine that is gone or has restarted.

        A change in progress ends with the engine's next answer or with its timeout.
        """
        for key in [key for key in self._loaded_versions if key[0] == state.incarnation]:
            del self._loaded_versions[key]
        self._retry_at.pop(state.incarnation, None)

    def wake(self) -> None:
        """Reconcile now: a version was published or an engine changed."""
        self._wake.set()

    def is_loading(self, incarnation: str, model: str) -> bool:
        """Return whether an engine is changing to another version of a model."""
        change = self._changing.get(incarnation)
        return change is not None and change.model == model

    def _run(self) -> None:
        while True:
            self._wake.wait(MAX_RECONCILE_INTERVAL_SECONDS)
            self._wake.clear()
            started = steady_seconds()
            due = self._due_changes()
            planning_seconds = steady_seconds() - started
            try:
                self._start_changes(due)
            except RunkeelError as error:
                logger.info(
                    "version orders paused: order lease not confirmed",
                    code="orders_held",
                    reason=str(error.code),
                    detail=error.detail,
                )
                gevent.sleep(MAX_RECONCILE_INTERVAL_SECONDS)
            # Waiting for the store takes no processor time, so only planning counts.
            gevent.sleep(planning_seconds / MAX_RECONCILE_SHARE)

    def _start_changes(self, due: list[PlannedChange]) -> None:
        """Start these changes. Raises RunkeelError while the lease is not confirmed."""
        if not due:
            return
        self._lease.confirm()
        wait = self._lease.seconds_until_orders()
        if wait > 0:
            gevent.sleep(min(wait, MAX_RECONCILE_INTERVAL_SECONDS))
            self._wake.set()
            return
        for change in due:
            started = steady_seconds()
            self._changing[change.state.incarnation] = _Change(
                change.model, change.version, started
            )
            task = gevent.spawn(self._change, change.state, change.model, change.version)
            self._tasks.add(task)
            task.rawlink(self._tasks.discard)

    def _due_changes(self) -> list[PlannedChange]:
        configuration = self._configuration()
        if configuration is None:
            return []
        due: list[PlannedChange] = []
        for service in configuration.services.values():
            targets = {
                model: self._targets[model] for model in service.models if model in self._targets
            }
            if targets:
                due.extend(self._due_changes_of_service(service.name, targets))
        return due

    def _due_changes_of_service(self, service: str, targets: dict[str, int]) -> list[PlannedChange]:
        engines = self._directory.of_service(service)
        loading = sum(1 for state in engines if state.incarnation in self._changing)
        available_loads = self._pacing_of(service).available_loads(len(engines), loading)
        if available_loads <= 0:
            return []
        return plan_changes(engines, targets, self._demand, self._engine_status, available_loads)

    def _pacing_of(self, service: str) -> LoadPacing:
        return self._pacing.setdefault(service, LoadPacing(EXPECTED_LOAD_SECONDS))

    def _engine_status(self, state: BackendState, model: str) -> EngineStatus:
        now = steady_seconds()
        avoided = state.avoided(now)
        backing_off = now < self._retry_at.get(state.incarnation, 0.0)
        available = state.incarnation not in self._changing and not backing_off and not avoided
        return EngineStatus(
            state,
            self._expected_version(state, model),
            self._count_running(state.incarnation),
            available,
            avoided,
        )

    def _expected_version(self, state: BackendState, model: str) -> int:
        """Return the version that an engine has or is changing to."""
        version = self._version(state, model)
        change = self._changing.get(state.incarnation)
        if change is not None and change.model == model:
            version = max(version, change.version)
        return version

    def _version(self, state: BackendState, model: str) -> int:
        reported = state.backend.model_versions.get(model, 0)
        return max(reported, self._loaded_versions.get((state.incarnation, model), 0))

    def _change(self, state: BackendState, model: str, version: int) -> None:
        """Order an engine to load a version, and wait until it has done so or has failed to."""
        started = steady_seconds()
        reached = False
        try:
            report = self._report(state)
            if report is None or report.busy:
                # An engine takes one order at a time and would refuse this one.
                return
            if report.model_versions.get(model, 0) < version:
                self._before_load(state.incarnation)
                outcome = self._order(state, model, version, report.sequence)
                if outcome is EngineOrderOutcome.WRONG_SERVER:
                    state.record_call_failure()
                if outcome not in (
                    EngineOrderOutcome.ACCEPTED,
                    EngineOrderOutcome.ALREADY_APPLIED,
                    None,
                ):
                    return
                reached = self._await_version(state, model, version, outcome)
            else:
                reached = True
        finally:
            self._changing.pop(state.incarnation, None)
            if state.replaced:
                reached = False
            elif reached:
                self._loaded_versions[(state.incarnation, model)] = version
                self._on_version(state.incarnation, model, version)
            else:
                self._retry_at[state.incarnation] = steady_seconds() + CHANGE_RETRY_SECONDS
            logger.info(
                "version change of an engine ended",
                code="engine_version",
                backend=state.incarnation,
                model=model,
                version=version,
                reached=reached,
                ms=int((steady_seconds() - started) * 1000),
            )
            self._wake.set()

    def _order(
        self, state: BackendState, model: str, version: int, sequence: int
    ) -> EngineOrderOutcome | None:
        """Send an order; returns None if its answer was lost and it may still take effect."""
        order = VersionOrder(
            model, version, self._holder, self._lease.token, expected_sequence=sequence
        )
        outgoing = self._protocol.encode_order(order, state.backend)
        deadline = steady_seconds() + CALL_TIMEOUT_SECONDS
        outcome: EngineOrderOutcome | None = None
        try:
            answer = state.pool.request(outgoing, deadline, before_send=self._lease.check)
            outcome = self._protocol.order_outcome(answer.status)
        except RunkeelError as error:
            if error.verdict.name == "NOT_RUN":
                outcome = EngineOrderOutcome.REFUSED
        VERSION_ORDERS.labels(outcome.value if outcome else "unanswered").inc()
        logger.info(
            "version order sent to an engine",
            code="engine_order",
            backend=state.incarnation,
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
        if outcome is EngineOrderOutcome.ALREADY_APPLIED:
            return True
        started = steady_seconds()
        gevent.sleep(EXPECTED_LOAD_SECONDS)
        interval = REPORT_INTERVAL_SECONDS
        limit = LOAD_TIMEOUT_SECONDS
        while steady_seconds() - started < limit:
            report = self._report(state)
            if report is not None and report.model_versions.get(model, 0) >= version:
                self._pacing_of(state.backend.service).observe(started, steady_seconds())
                return True
            if report is not None and not report.busy:
                if steady_seconds() - started > LOST_ORDER_TIMEOUT_SECONDS:
                    return False
            elif report is not None:
                limit = BUSY_LOAD_TIMEOUT_SECONDS
            gevent.sleep(interval)
            if steady_seconds() - started > SLOW_LOAD_RATIO * EXPECTED_LOAD_SECONDS:
                interval = min(MAX_REPORT_INTERVAL_SECONDS, interval * REPORT_INTERVAL_GROWTH)
        return False

    def _report(self, state: BackendState) -> EngineReport | None:
        outgoing = self._protocol.encode_report_query(state.backend)
        try:
            answer = state.pool.request(outgoing, steady_seconds() + CALL_TIMEOUT_SECONDS)
            if answer.status == 200:
                return self._report_of_incarnation(state, self._protocol.parse_report(answer.body))
            problem = f"status {answer.status}"
        except (RunkeelError, ValueError, KeyError) as error:
            problem = str(error)
        logger.info(
            "engine did not report its state",
            code="engine_report_lost",
            backend=state.incarnation,
            error=problem,
        )
        return None

    def _report_of_incarnation(
        self, state: BackendState, report: EngineReport
    ) -> EngineReport | None:
        """Return a report; None if it shows that the engine has restarted.

        After a restart its versions and its order sequence do not belong to this incarnation.
        """
        self._directory.record_reported_start(state, report.start)
        return None if state.replaced else report
