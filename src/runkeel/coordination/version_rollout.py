"""Moves engines to the weight versions that trainers name: target against actual state.

One loop compares what every engine reports with the newest version of each model and orders the
next engines to change. An order without an answer is not repeated before the engine's own report
has shown what became of it.
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
    EngineStanding,
    ModelDemand,
    PlannedChange,
    plan_changes,
)
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.gateway.backends import BackendDirectory, BackendState
from runkeel.metrics import VERSION_ORDERS

IDLE_CHECK_SECONDS = 0.5
"""Engines are compared at least so often, also when nothing wakes the loop.

Chosen, not measured.
"""

LEASE_RETRY_SECONDS = 0.2
"""Pause before the lease is claimed again after a lost answer. Chosen, not measured."""

EXPECTED_LOAD_SECONDS = 0.9
"""First report after an order; loads of idle engines took 1.06 to 1.10 s (lines engine_version)."""

REPORT_INTERVAL_SECONDS = 0.15
"""Pause between the first reports of an engine that loads. Chosen: a seventh of a common load."""

UNANSWERED_SECONDS = 1.5
"""After so long an order that shows no effect is taken as lost."""

LONGEST_REPORT_INTERVAL_SECONDS = 1.0
REPORT_INTERVAL_GROWTH = 1.3
"""An engine whose load takes long is asked less and less often: each report has its price."""

LONGEST_LOAD_SECONDS = 6.0
"""An engine that no longer says that it is busy is given up after so long."""

LONGEST_BUSY_SECONDS = 30.0
"""One that says so is waited for this long: loads take longer while many engines load."""

RETRY_SECONDS = 0.6
"""An engine that could not be moved is left alone for so long."""

RECONCILE_SHARE = 0.1
"""Comparing all engines takes at most so large a part of the processor, however many there are."""

CALL_SECONDS = 1.0
"""Longest wait for the answer to an order or for a report. Chosen, not measured."""


@dataclass(slots=True)
class _Change:
    """An engine that is under way to a version."""

    model: str
    version: int
    started: float


class VersionRollout:
    """Reconciles the engines' versions while this node coordinates.

    Args:
        configuration: the configuration in force.
        versions: newest version by model, as named by trainers.
        demand: what the batch jobs need of a model.
        on_version: called with back end, model and version when an engine has changed.
        running_at: items running at an engine; the least busy ones change first.
        before_load: called with a back end that is about to be ordered to load a version.
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
        self._running_at = running_at
        self._before_load = before_load
        self._changing: dict[str, _Change] = {}
        self._actual: dict[tuple[str, str], int] = {}
        self._retry_at: dict[str, float] = {}
        self._pacing: dict[str, LoadPacing] = {}
        self._wake = Event()
        self._loop: gevent.Greenlet | None = None
        self._tasks: set[gevent.Greenlet] = set()

    def claim_lease(self) -> None:
        """Claim the order lease, so that the wait of a new holder begins before an order is due.

        Returns when the lease is held or another node has taken it.
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
        """Start to reconcile."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Send no further order."""
        for task in [self._loop, *self._tasks]:
            if task is not None:
                task.kill(block=False)
        self._changing.clear()

    def forget(self, state: BackendState) -> None:
        """Forget what an engine had loaded: it is gone, or has started anew.

        A change that is under way ends by itself, by the engine's next answer or for want of one.
        """
        for key in [key for key in self._actual if key[0] == state.incarnation]:
            del self._actual[key]
        self._retry_at.pop(state.incarnation, None)

    def wake(self) -> None:
        """Compare again: a version was named or an engine changed."""
        self._wake.set()

    def is_loading(self, incarnation: str, model: str) -> bool:
        """Return whether an engine is under way to another version of a model."""
        change = self._changing.get(incarnation)
        return change is not None and change.model == model

    def _run(self) -> None:
        while True:
            self._wake.wait(IDLE_CHECK_SECONDS)
            self._wake.clear()
            started = steady_seconds()
            due = self._due()
            compared_seconds = steady_seconds() - started
            try:
                self._order_all(due)
            except RunkeelError as error:
                logger.info(
                    "no orders for now",
                    code="orders_held",
                    reason=str(error.code),
                    detail=error.detail,
                )
                gevent.sleep(IDLE_CHECK_SECONDS)
            # Only the comparing takes processor time; waiting for the store does not.
            gevent.sleep(compared_seconds / RECONCILE_SHARE)

    def _order_all(self, due: list[PlannedChange]) -> None:
        """Order these engines to change. Raises RunkeelError while the lease is not confirmed."""
        if not due:
            return
        self._lease.confirm()
        wait = self._lease.seconds_until_orders()
        if wait > 0:
            gevent.sleep(min(wait, IDLE_CHECK_SECONDS))
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

    def _due(self) -> list[PlannedChange]:
        """Return the engines to order now."""
        configuration = self._configuration()
        if configuration is None:
            return []
        due: list[PlannedChange] = []
        for service in configuration.services.values():
            targets = {
                model: self._targets[model] for model in service.models if model in self._targets
            }
            if targets:
                due.extend(self._due_of_service(service.name, targets))
        return due

    def _due_of_service(self, service: str, targets: dict[str, int]) -> list[PlannedChange]:
        engines = self._directory.of_service(service)
        loading = sum(1 for state in engines if state.incarnation in self._changing)
        room = self._pacing_of(service).room(len(engines), loading)
        if room <= 0:
            return []
        return plan_changes(engines, targets, self._demand, self._standing, room)

    def _pacing_of(self, service: str) -> LoadPacing:
        return self._pacing.setdefault(service, LoadPacing(EXPECTED_LOAD_SECONDS))

    def _standing(self, state: BackendState, model: str) -> EngineStanding:
        now = steady_seconds()
        avoided = state.avoided(now)
        resting = now < self._retry_at.get(state.incarnation, 0.0)
        available = state.incarnation not in self._changing and not resting and not avoided
        return EngineStanding(
            state,
            self._version_ahead(state, model),
            self._running_at(state.incarnation),
            available,
            avoided,
        )

    def _version_ahead(self, state: BackendState, model: str) -> int:
        """Return the version that an engine has or is under way to."""
        version = self._version(state, model)
        change = self._changing.get(state.incarnation)
        if change is not None and change.model == model:
            version = max(version, change.version)
        return version

    def _version(self, state: BackendState, model: str) -> int:
        reported = state.backend.model_versions.get(model, 0)
        return max(reported, self._actual.get((state.incarnation, model), 0))

    def _change(self, state: BackendState, model: str, version: int) -> None:
        """Order one engine and wait for the effect."""
        started = steady_seconds()
        reached = False
        try:
            report = self._report(state)
            if report is None or report.busy:
                # One order at a time: this one would be refused.
                return
            if report.model_versions.get(model, 0) < version:
                self._before_load(state.incarnation)
                outcome = self._order(state, model, version, report.sequence)
                if outcome is EngineOrderOutcome.WRONG_SERVER:
                    state.failed()
                if outcome not in (EngineOrderOutcome.ACCEPTED, EngineOrderOutcome.IN_FORCE, None):
                    return
                reached = self._await_version(state, model, version, outcome)
            else:
                reached = True
        finally:
            self._changing.pop(state.incarnation, None)
            if state.replaced:
                reached = False
            elif reached:
                self._actual[(state.incarnation, model)] = version
                self._on_version(state.incarnation, model, version)
            else:
                self._retry_at[state.incarnation] = steady_seconds() + RETRY_SECONDS
            logger.info(
                "engine change ended",
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
        """Send an order; None when its answer was lost, so that it may still be carried out."""
        order = VersionOrder(
            model, version, self._holder, self._lease.token, expected_sequence=sequence
        )
        outgoing = self._protocol.encode_order(order, state.backend)
        deadline = steady_seconds() + CALL_SECONDS
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
        if outcome is EngineOrderOutcome.IN_FORCE:
            return True
        started = steady_seconds()
        gevent.sleep(EXPECTED_LOAD_SECONDS)
        interval = REPORT_INTERVAL_SECONDS
        limit = LONGEST_LOAD_SECONDS
        while steady_seconds() - started < limit:
            report = self._report(state)
            if report is not None and report.model_versions.get(model, 0) >= version:
                self._pacing_of(state.backend.service).observe(started, steady_seconds())
                return True
            if report is not None and not report.busy:
                if steady_seconds() - started > UNANSWERED_SECONDS:
                    return False
            elif report is not None:
                limit = LONGEST_BUSY_SECONDS
            gevent.sleep(interval)
            if steady_seconds() - started > SLOW_LOAD_RATIO * EXPECTED_LOAD_SECONDS:
                interval = min(LONGEST_REPORT_INTERVAL_SECONDS, interval * REPORT_INTERVAL_GROWTH)
        return False

    def _report(self, state: BackendState) -> EngineReport | None:
        outgoing = self._protocol.encode_report_query(state.backend)
        try:
            answer = state.pool.request(outgoing, steady_seconds() + CALL_SECONDS)
            if answer.status == 200:
                return self._of_this_start(state, self._protocol.parse_report(answer.body))
            problem = f"status {answer.status}"
        except (RunkeelError, ValueError, KeyError) as error:
            problem = str(error)
        logger.info(
            "no report", code="engine_report_lost", backend=state.incarnation, error=problem
        )
        return None

    def _of_this_start(self, state: BackendState, report: EngineReport) -> EngineReport | None:
        """Return a report, None where it shows that the engine has started anew.

        Its count of orders would be right for an order by chance, and its versions are another's.
        """
        self._directory.note_reported(state, report.start)
        return None if state.replaced else report
