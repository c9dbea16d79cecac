"""One run of an item at another node, as the coordinator's scheduler sees it."""

from __future__ import annotations

from collections.abc import Callable

from gevent.event import Event

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel.jobs.generation_run import PartialText, RunOutcome
from runkeel.runners.hosted_run import SCORING_FAILED
from runkeel.runners.lease import LOST_SECONDS
from runkeel.wire.generated.jobs.ttypes import ItemRunStart, ItemRunStartReply, ItemRunUpdate

OVERTIME_SECONDS = 2.0
"""A runner ends a run by itself at its deadline; the coordinator waits so much longer for that."""


class RemoteRun:
    """Has the same form as :class:`runkeel.jobs.generation_run.GenerationRun`.

    Its text grows as the runner tells. It is over only when the runner has said so, or can't be
    running it any more: no item goes on elsewhere before.

    Args:
        partial: text of earlier runs, continued in place.
        loading: tells whether the engine is loading a version.
        send_start: sends the start; raises RunkeelError when no answer came.
        want_end: called when the run is to be ended at its runner.

    Attributes:
        score: the scorer's stamp, if the text was scored.
        scoring_problem: why it could not be; empty if it was or need not be.
    """

    def __init__(
        self,
        start: ItemRunStart,
        partial: PartialText,
        loading: Callable[[], bool],
        send_start: Callable[[ItemRunStart], ItemRunStartReply],
        want_end: Callable[[str], None],
    ) -> None:
        self._start = start
        self._partial = partial
        self.loading = loading
        self._send_start = send_start
        self._want_end = want_end
        self._ended = Event()
        self._outcome = RunOutcome.BROKEN
        self._moved = False
        self._gap = False
        self._abandoned = False
        """Nobody waits for its end any more; its runner has not confirmed it yet."""
        self.events = 0
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self.detail = ""
        self.score = ""
        self.scoring_problem = ""

    @property
    def run_id(self) -> str:
        """Names the run within its coordinator's term."""
        return self._start.run_id

    @property
    def item_id(self) -> str:
        """The item that it runs."""
        return self._start.request_id

    @property
    def backend_id(self) -> str:
        """The engine."""
        return self._start.backend_id

    def move_away(self) -> None:
        """End the run; its outcome is MOVED once the runner has ended it."""
        self._moved = True
        self._want_end(self.run_id)

    def run(self, deadline: float) -> RunOutcome:
        """Run until the end; see :class:`RunOutcome`."""
        self._start.remaining_ms = max(1, int((deadline - steady_seconds()) * 1000))
        try:
            problem = self._begin()
            if problem:
                self.detail = problem
                return RunOutcome.REFUSED
            if not self._ended.wait(deadline + OVERTIME_SECONDS - steady_seconds()):
                self.detail = "the runner did not end it in time"
                self._await_end()
            return self._outcome
        finally:
            self._abandoned = not self._ended.is_set()
            if self._abandoned:
                self._want_end(self.run_id)

    def take(self, update: ItemRunUpdate) -> None:
        """Take what the runner tells; parts that came before are passed over."""
        if self._abandoned:
            # The text may be continued by another run already.
            return
        partial = self._partial
        known = self.events - update.first_piece
        if known < 0 or self._gap:
            self._take_after_gap(update)
            return
        fresh = update.pieces[known:]
        if fresh:
            now = steady_seconds()
            partial.pieces.extend(fresh)
            partial.last_event_id = update.last_event_id or None
            partial.versions = list(update.versions)
            self.events += len(fresh)
            self.first_event_at = self.first_event_at or now
            self.last_event_at = now
        partial.whole = partial.whole or update.whole
        if update.outcome:
            self._take_outcome(update)

    def _take_after_gap(self, update: ItemRunUpdate) -> None:
        """End a run of which something was never told; its text stays as far as it is known."""
        self._gap = True
        if update.outcome:
            self._finish(RunOutcome.BROKEN, "progress is missing")
        else:
            self._want_end(self.run_id)

    def lose(self, reason: str) -> None:
        """The runner can't be running it any more."""
        self._finish(RunOutcome.MOVED if self._moved else RunOutcome.BROKEN, reason)

    def _begin(self) -> str:
        """Have the runner start; returns why it won't, empty if it does or may."""
        try:
            reply = self._send_start(self._start)
        except RunkeelError as error:
            if error.verdict is Verdict.NOT_RUN:
                self._ended.set()
                return error.detail
            self.detail = f"start not answered: {error.code}"
            self._await_end()
            return ""
        if not reply.accepted:
            self._ended.set()
            return reply.detail
        return ""

    def _await_end(self) -> None:
        """Wait until the runner has confirmed the end, or its lease has lapsed."""
        self._want_end(self.run_id)
        self._ended.wait(2 * LOST_SECONDS)

    def _take_outcome(self, update: ItemRunUpdate) -> None:
        if update.outcome == SCORING_FAILED:
            self.scoring_problem = update.detail
            self._finish(RunOutcome.COMPLETE, update.detail)
            return
        self.score = update.score
        self._finish(RunOutcome(update.outcome), update.detail or self.detail)

    def _finish(self, outcome: RunOutcome, detail: str) -> None:
        if self._ended.is_set():
            return
        if self._moved and outcome is RunOutcome.REFUSED:
            outcome = RunOutcome.MOVED
        self._outcome = outcome
        self.detail = detail
        self._ended.set()
