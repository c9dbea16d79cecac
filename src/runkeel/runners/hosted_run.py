"""One run of an item at the node that reads it."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from runkeel.api.backend_protocol import BackendProtocol, GenerationRequest
from runkeel.api.jobs import ScorerCall
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendState
from runkeel.jobs.generation_run import GenerationRun, PartialText, RunOutcome
from runkeel.jobs.scorer import Scorer, ScoringFailedError, ScoringUnfinishedError
from runkeel.quarantine.quarantine import Quarantine
from runkeel.wire.generated.jobs.ttypes import ItemRunStart, ItemRunUpdate

SCORING_FAILED = "scoring_failed"
"""Outcome of a run whose text is whole and could not be scored."""


class HostedRun:
    """Runs a generation, has its text scored, and remembers what the coordinator knows of it.

    Args:
        loading: tells whether the engine is loading a version, so that a pause is expected.
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
        self._text = PartialText([], message.resume_after or None, list(message.versions))
        request = _request(message)
        self._watched = quarantine.watch(
            lambda: quarantine.fingerprints.of_generation(request),
            state.backend.service,
            request.request_id,
        )
        self._watched.on_trial = bool(message.on_trial)
        self._run = GenerationRun(
            protocol,
            state,
            request,
            self._watched,
            self._text,
            message.minimum_version,
            message.single_version,
            loading,
        )
        self._told_pieces = 0
        self._told_whole = False
        self._outcome = ""
        self._detail = ""
        self._score = ""
        self._task: gevent.Greenlet | None = None

    @property
    def held(self) -> bool:
        """Whether engines ended under the item, and this run is no trial."""
        return self._watched.held and not self._watched.on_trial

    @property
    def kept_text(self) -> PartialText | None:
        """The item's text as far as it is known here; None if the run began in the midst of it."""
        return self._text if not self._message.resume_after and self._text.pieces else None

    @property
    def item_id(self) -> str:
        """The item that it runs."""
        return self._message.request_id

    @property
    def has_news(self) -> bool:
        """Whether the coordinator lacks anything of this run."""
        told = self._told_pieces == len(self._text.pieces) and self._told_whole == self._text.whole
        return bool(self._outcome) or not told

    def start(self) -> None:
        """Start to run, in a task of its own."""
        self._task = gevent.spawn(self._run_to_end)

    def end(self) -> None:
        """End the run, whatever it is about; its outcome is told like any other."""
        if self._outcome:
            return
        if self._task is not None:
            self._task.kill(block=False)
        self._finish(RunOutcome.MOVED.value)

    def update(self) -> ItemRunUpdate:
        """Return what the coordinator lacks."""
        text = self._text
        return ItemRunUpdate(
            self._message.run_id,
            self._told_pieces,
            list(text.pieces[self._told_pieces :]),
            text.last_event_id or "",
            list(text.versions),
            text.whole,
            self._outcome,
            self._detail,
            self._score,
        )

    def note_told(self, update: ItemRunUpdate) -> bool:
        """Take note that an update has arrived; True when nothing can follow it."""
        self._told_pieces = update.first_piece + len(update.pieces)
        self._told_whole = update.whole
        return bool(update.outcome)

    def _run_to_end(self) -> None:
        outcome = self._run.run(self._deadline)
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
                # The coordinator has it scored, or gives it up once its time is over.
                self._detail = str(error)
        self._finish(outcome.value)

    def _finish(self, outcome: str) -> None:
        self._outcome = outcome
        self._on_ended()


def _request(message: ItemRunStart) -> GenerationRequest:
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
