"""A run of an item at the node that reads its generation stream."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol, GenerationRequest
from runkeel.api.jobs import ScorerCall
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendState
from runkeel.jobs.generation_run import GenerationRun, PartialOutput, RunOutcome
from runkeel.jobs.scorer import Scorer, ScoringFailedError, ScoringUnfinishedError
from runkeel.quarantine.quarantine import Quarantine
from runkeel.wire.generated.jobs.ttypes import ItemRunStart, ItemRunUpdate

SCORING_FAILED = "scoring_failed"
"""Outcome of a run whose output is complete but could not be scored."""


class HostedRun:
    """Runs a generation, has its output scored, and tracks what was reported to the coordinator.

    Args:
        loading: returns whether the engine is loading a version, so that a long gap between events
            is expected.
        on_ended: called once the outcome is known.
    """

    def __init__(
        self,
        message: ItemRunStart,
        state: BackendState,
        protocol: BackendProtocol,
        scorer: Scorer,
        quarantine: Quarantine,
        loading: Callable[[], bool],
        on_ended: Callable[[], None],
    ) -> None:
        self._message = message
        self._scorer = scorer
        self._on_ended = on_ended
        self._deadline = steady_seconds() + message.remaining_ms / 1000.0
        self._output = PartialOutput([], message.resume_after or None, list(message.versions))
        request = _generation_request(message)
        self._run = GenerationRun(
            protocol,
            state,
            request,
            quarantine.watch_exempt(state.backend.service, request.request_id),
            self._output,
            message.minimum_version,
            message.single_version,
            loading,
        )
        self._reported_pieces = 0
        self._reported_complete = False
        self._outcome = ""
        self._detail = ""
        self._score = ""
        self._task: gevent.Greenlet | None = None

    @property
    def output_from_start(self) -> PartialOutput | None:
        """The output from its first piece on; None if empty, or if this run resumed another."""
        return self._output if not self._message.resume_after and self._output.pieces else None

    @property
    def item_id(self) -> str:
        return self._message.request_id

    @property
    def has_update(self) -> bool:
        """Whether there is anything that was not reported to the coordinator yet."""
        all_reported = (
            self._reported_pieces == len(self._output.pieces)
            and self._reported_complete == self._output.complete
        )
        return bool(self._outcome) or not all_reported

    def start(self) -> None:
        """Start the run in a greenlet."""
        self._task = gevent.spawn(self._run_to_end)

    def end(self) -> None:
        """Abort the run with outcome MOVED, which is reported like any other outcome."""
        if self._outcome:
            return
        if self._task is not None:
            self._task.kill(block=False)
        self._finish(RunOutcome.MOVED.value)

    def update(self) -> ItemRunUpdate:
        """Return an update with everything that was not reported yet."""
        output = self._output
        return ItemRunUpdate(
            self._message.run_id,
            self._reported_pieces,
            list(output.pieces[self._reported_pieces :]),
            output.last_event_id or "",
            list(output.versions),
            output.complete,
            self._outcome,
            self._detail,
            self._score,
        )

    def mark_reported(self, update: ItemRunUpdate) -> bool:
        """Record that the coordinator has received an update; returns whether it was the last."""
        self._reported_pieces = update.first_piece + len(update.pieces)
        self._reported_complete = update.whole
        return bool(update.outcome)

    def _run_to_end(self) -> None:
        try:
            outcome = self._run.run(self._deadline)
        except Exception as error:
            logger.opt(exception=error).error(
                "unexpected error while running an item", code="internal", request=self.item_id
            )
            outcome = RunOutcome.BROKEN
        self._detail = self._run.detail
        if outcome is not RunOutcome.COMPLETE:
            self._finish(outcome.value)
            return
        call = self._message.scorer
        if call is not None:
            try:
                self._score = self._scorer.score(
                    ScorerCall(call.request_id, call.host, call.path, call.body), self._deadline
                )
            except ScoringFailedError as error:
                self._detail = str(error)
                self._finish(SCORING_FAILED)
                return
            except ScoringUnfinishedError as error:
                # The coordinator retries the scoring, or gives the item up at its deadline.
                self._detail = str(error)
        self._finish(outcome.value)

    def _finish(self, outcome: str) -> None:
        self._outcome = outcome
        self._on_ended()


def _generation_request(message: ItemRunStart) -> GenerationRequest:
    return GenerationRequest(
        request_id=message.request_id,
        path=message.path,
        host=message.host,
        headers=tuple((header.name, header.value) for header in message.headers),
        body=message.body,
        urgency=message.urgency,
        resume_after=message.resume_after or None,
        tenant=message.tenant or "",
    )
