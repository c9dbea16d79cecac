"""Runs an item on the engine chosen for it and has its output scored."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable

from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol, GenerationRequest
from runkeel.api.fleet import Route
from runkeel.api.jobs import ItemResult, ResultState, ScorerCall
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendState
from runkeel.gateway.routing import RoutingTable
from runkeel.jobs.generation_run import GenerationRun, RunOutcome
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.scorer import Scorer, ScoringFailedError, ScoringUnfinishedError
from runkeel.metrics import ITEM_RUNS
from runkeel.quarantine.quarantine import Quarantine
from runkeel.runners.pool import Runner, RunnerPool
from runkeel.runners.remote_run import RemoteRun
from runkeel.wire.generated.common.ttypes import HttpHeader
from runkeel.wire.generated.jobs.ttypes import ItemRunStart, ItemScorer

MIN_RUN_SECONDS = 0.1
"""Lower bound of a run's time limit, as its deadline may pass while it waits for an engine."""

LOWEST_PRIORITY = 9
"""Largest priority value that engines accept; larger values are less urgent."""


class ItemRunner:
    """Runs items on this node or delegates them to other nodes.

    Args:
        is_loading: returns whether an engine is loading a version of a model.
        quarantine: told of the engines that crash.
        runners: other nodes that run items; None: this node runs all items.
    """

    def __init__(
        self,
        protocol: BackendProtocol,
        scorer: Scorer,
        routing: RoutingTable,
        is_loading: Callable[[str, str], bool],
        quarantine: Quarantine,
        runners: RunnerPool | None = None,
    ) -> None:
        self._quarantine = quarantine
        self._protocol = protocol
        self._routing = routing
        self._scorer = scorer
        self._is_loading = is_loading
        self._runners = runners

    def set_open_items(self, items: int) -> None:
        """Set the number of queued and running items, from which the need for runners follows."""
        if self._runners is not None:
            self._runners.set_open_items(items)

    def may_still_run(self, item_id: str) -> bool:
        """Return whether an earlier run of an item may still be in flight at another node."""
        return self._runners is not None and self._runners.may_still_run(item_id)

    @property
    def has_capacity(self) -> bool:
        """Whether there is capacity to read one more run in time."""
        return self._runners is None or self._runners.has_capacity

    def generate(self, task: ItemTask, route: Route) -> RunOutcome:
        """Run an item on its engine; its events are appended to ``task.partial``."""
        resumed_after = task.partial.last_event_id
        started = steady_seconds()
        deadline = started + _remaining_seconds(task, route)
        runner = self._runners.runner_for(task.engine) if self._runners is not None else None
        if runner is not None:
            run = self._remote_run(task, route, runner)
        else:
            run = self._local_run(task, route)
        task.run = run
        try:
            outcome = self._run_here(run, deadline) if runner is None else run.run(deadline)
        finally:
            task.run = None
        if isinstance(run, RemoteRun) and outcome is RunOutcome.COMPLETE:
            task.score, task.scoring_error = run.score, run.scoring_error
        _record_engine_outcome(task.engine, outcome)
        ITEM_RUNS.labels(outcome.value).inc()
        logger.info(
            "item run ended",
            code="item_run",
            request=task.item.item_id,
            job=task.state.job.job_id,
            backend=task.engine.incarnation,
            runner=runner.node_id if runner is not None else "",
            outcome=outcome.value,
            detail=run.detail,
            events=run.events,
            versions=list(task.partial.versions),
            resumed_after=resumed_after,
            ms=int((steady_seconds() - started) * 1000),
        )
        return outcome

    def score(self, task: ItemTask, route: Route) -> ItemResult | None:
        """Return the result of an item whose output is complete, scored if the item names a scorer.

        Returns None if no scorer succeeded before the deadline.
        """
        score = task.score
        if task.scoring_error:
            return failed_result(task, f"scoring: {task.scoring_error}")
        if task.item.scorer is not None and not score:
            deadline = steady_seconds() + _remaining_seconds(task, route)
            try:
                score = self._scorer.score(task.item.scorer, deadline)
            except ScoringFailedError as error:
                return failed_result(task, f"scoring: {error}")
            except ScoringUnfinishedError as error:
                logger.info(
                    "scoring unfinished; retrying later",
                    code="score",
                    request=task.item.item_id,
                    job=task.state.job.job_id,
                    reason=str(error),
                )
                return None
        return ItemResult(
            task.item.item_id,
            ResultState.COMPLETED,
            "\n".join(task.partial.pieces),
            tuple(sorted(task.partial.versions)),
            score,
        )

    def _run_here(self, run: GenerationRun, deadline: float) -> RunOutcome:
        if self._runners is None:
            return run.run(deadline)
        self._runners.add_local_run()
        try:
            return run.run(deadline)
        finally:
            self._runners.remove_local_run()

    def _local_run(self, task: ItemTask, route: Route) -> GenerationRun:
        job = task.state.job
        request = GenerationRequest(
            request_id=task.item.item_id,
            path=task.item.path,
            host=job.host,
            headers=task.item.headers,
            body=base64.b64decode(task.item.body),
            urgency=self._urgency(task, route),
            resume_after=task.partial.last_event_id,
            tenant=job.tenant,
        )
        return GenerationRun(
            self._protocol,
            task.engine,
            request,
            self._quarantine.watch_exempt(task.engine.backend.service, task.item.item_id),
            task.partial,
            job.min_version,
            route.single_version,
            self._loading(task),
        )

    def _remote_run(self, task: ItemTask, route: Route, runner: Runner) -> RemoteRun:
        job, item = task.state.job, task.item
        scorer = item.scorer
        start = ItemRunStart(
            backend_id=task.engine.incarnation,
            request_id=item.item_id,
            host=job.host,
            path=item.path,
            headers=[HttpHeader(name, value) for name, value in item.headers],
            body=base64.b64decode(item.body),
            urgency=self._urgency(task, route),
            resume_after=task.partial.last_event_id or "",
            versions=list(task.partial.versions),
            minimum_version=job.min_version,
            single_version=route.single_version,
            scorer=None if scorer is None else _scorer_message(scorer),
            tenant=job.tenant,
            # For runners of an older build, which refuse items that they hold to crash engines.
            on_trial=True,
        )
        return self._runners.create_run(runner, start, task.partial, self._loading(task))

    def _urgency(self, task: ItemTask, route: Route) -> int:
        return min(LOWEST_PRIORITY, self._routing.rank(route, task.state.job.tenant))

    def _loading(self, task: ItemTask) -> Callable[[], bool]:
        incarnation, model = task.engine.incarnation, task.state.job.model
        return lambda: self._is_loading(incarnation, model)


def _scorer_message(call: ScorerCall) -> ItemScorer:
    return ItemScorer(call.request_id, call.host, call.path, call.body)


def failed_result(task: ItemTask, reason: str) -> ItemResult:
    """Return a FAILED result for an item and log the reason."""
    logger.info(
        "item failed",
        code="item_failed",
        request=task.item.item_id,
        job=task.state.job.job_id,
        reason=reason,
        failures=task.failures,
    )
    return ItemResult(task.item.item_id, ResultState.FAILED)


def _record_engine_outcome(engine: BackendState, outcome: RunOutcome) -> None:
    if outcome is RunOutcome.COMPLETE:
        engine.failures = 0
    elif outcome in (RunOutcome.BROKEN, RunOutcome.UNREACHABLE):
        engine.record_call_failure()
    elif outcome is RunOutcome.REFUSED:
        engine.record_call_refusal()


def _remaining_seconds(task: ItemTask, route: Route) -> float:
    if route.max_queue_seconds <= 0:
        return route.timeout_seconds
    end = task.state.job.submitted_at + route.max_queue_seconds
    return max(MIN_RUN_SECONDS, end - time.time())
