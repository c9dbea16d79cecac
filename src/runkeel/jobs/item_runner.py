"""Runs one item at the engine that was chosen for it, and has its text scored."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable

from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol, GenerationRequest
from runkeel.api.fleet import Route
from runkeel.api.jobs import ItemResult, ResultState
from runkeel.gateway.backends import BackendState
from runkeel.jobs.generation_run import GenerationRun, RunOutcome
from runkeel.jobs.item_task import ItemTask
from runkeel.jobs.scorer import Scorer, ScoringFailedError
from runkeel.metrics import ITEM_RUNS

LEAST_RUN_SECONDS = 0.1
"""A run is given so long at least; its deadline may have passed while it waited for an engine."""

LEAST_URGENT = 9
"""The largest priority class that engines know."""


class ItemRunner:
    """Runs items; keeps nothing of its own.

    Args:
        is_loading: tells whether an engine is loading a version of a model.
    """

    def __init__(
        self, protocol: BackendProtocol, scorer: Scorer, is_loading: Callable[[str, str], bool]
    ) -> None:
        self._protocol = protocol
        self._scorer = scorer
        self._is_loading = is_loading

    def generate(self, task: ItemTask, route: Route) -> RunOutcome:
        """Run an item at its engine; the text grows in the task."""
        resumed_after = task.partial.last_event_id
        started = time.monotonic()
        run = self._new_run(task, route)
        task.run = run
        try:
            outcome = run.run(started + _seconds_left(task, route))
        finally:
            task.run = None
        _judge(task.engine, outcome)
        ITEM_RUNS.labels(outcome.value).inc()
        logger.info(
            "item run ended",
            code="item_run",
            request=task.item.item_id,
            job=task.state.job.job_id,
            backend=task.engine.backend_id,
            outcome=outcome.value,
            detail=run.detail,
            events=run.events,
            versions=list(task.partial.versions),
            resumed_after=resumed_after,
            ms=int((time.monotonic() - started) * 1000),
        )
        return outcome

    def score(self, task: ItemTask, route: Route) -> ItemResult:
        """Have a whole text scored; returns the result to be listed."""
        score = ""
        if task.item.scorer is not None:
            deadline = time.monotonic() + _seconds_left(task, route)
            try:
                score = self._scorer.score(task.item.scorer, deadline)
            except ScoringFailedError as error:
                return given_up(task, f"scoring: {error}")
        return ItemResult(
            task.item.item_id,
            ResultState.COMPLETED,
            "\n".join(task.partial.pieces),
            tuple(sorted(task.partial.versions)),
            score,
        )

    def _new_run(self, task: ItemTask, route: Route) -> GenerationRun:
        job, engine = task.state.job, task.engine
        request = GenerationRequest(
            request_id=task.item.item_id,
            path=task.item.path,
            host=job.host,
            headers=task.item.headers,
            body=base64.b64decode(task.item.body),
            urgency=min(LEAST_URGENT, route.rank),
            resume_after=task.partial.last_event_id,
        )
        return GenerationRun(
            self._protocol,
            engine,
            request,
            task.partial,
            job.minimum_version,
            route.single_version,
            lambda: self._is_loading(engine.backend_id, job.model),
        )


def given_up(task: ItemTask, reason: str) -> ItemResult:
    """Return the result of an item that can't be done; logs why."""
    logger.info(
        "item given up",
        code="item_failed",
        request=task.item.item_id,
        job=task.state.job.job_id,
        reason=reason,
        failures=task.failures,
    )
    return ItemResult(task.item.item_id, ResultState.FAILED)


def _judge(engine: BackendState, outcome: RunOutcome) -> None:
    if outcome is RunOutcome.COMPLETE:
        engine.failures = 0
    elif outcome in (RunOutcome.BROKEN, RunOutcome.UNREACHABLE):
        engine.failed()
    elif outcome is RunOutcome.REFUSED:
        engine.refused()


def _seconds_left(task: ItemTask, route: Route) -> float:
    if route.maximum_queue_seconds <= 0:
        return route.timeout_seconds
    end = task.state.job.submitted_at + route.maximum_queue_seconds
    return max(LEAST_RUN_SECONDS, end - time.time())
