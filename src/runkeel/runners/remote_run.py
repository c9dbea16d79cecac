"""A run of an item at another node, as the coordinator's scheduler sees it."""

from __future__ import annotations

from collections.abc import Callable

from gevent.event import Event

from runkeel.clock import steady_seconds
from runkeel.errors import RunkeelError, Verdict
from runkeel.jobs.generation_run import PartialOutput, RunOutcome
from runkeel.runners.hosted_run import SCORING_FAILED
from runkeel.runners.lease import RUNNER_LOST_SECONDS
from runkeel.wire.generated.jobs.ttypes import ItemRunStart, ItemRunStartReply, ItemRunUpdate

END_GRACE_SECONDS = 2.0
"""Time after a run's deadline within which the coordinator expects the runner to end it."""


class RemoteRun:
    """A run at a runner; has the interface of :class:`runkeel.jobs.generation_run.GenerationRun`.

    The partial output grows with the runner's progress updates. The run ends only when the runner
    has confirmed it, or its lease has expired, so that the item never runs at two engines.

    Args:
        partial: output of earlier runs, extended in place.
        loading: returns whether the engine is loading a version.
        send_start: sends the start message; raises RunkeelError when there is no reply.
        request_end: called with the run's id to have the runner end it.

    Attributes:
        score: the scorer's signature of its response; empty if the output was not scored.
        scoring_error: why scoring failed; empty if it succeeded or was not needed.
    """

    def __init__(
        self,
        start: ItemRunStart,
        partial: PartialOutput,
        loading: Callable[[], bool],
        send_start: Callable[[ItemRunStart], ItemRunStartReply],
        request_end: Callable[[str], None],
    ) -> None:
        self._start = start
        self._partial = partial
        self.loading = loading
        self._send_start = send_start
        self._request_end = request_end
        self._ended = Event()
        self._outcome = RunOutcome.BROKEN
        self._moved = False
        self._has_gap = False
        self._abandoned = False
        """Whether :meth:`run` has returned before the runner confirmed the end."""
        self.events = 0
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self.detail = ""
        self.score = ""
        self.scoring_error = ""

    @property
    def run_id(self) -> str:
        """Id of the run, unique within the coordinator's term."""
        return self._start.run_id

    @property
    def item_id(self) -> str:
        return self._start.request_id

    @property
    def backend_id(self) -> str:
        return self._start.backend_id

    def abort_for_move(self) -> None:
        """Request the end of the run; its outcome is MOVED once the runner has confirmed it."""
        self._moved = True
        self._request_end(self.run_id)

    def run(self, deadline: float) -> RunOutcome:
        """Start the run at its runner and wait for its end.

        Args:
            deadline: on the steady clock, in seconds.
        """
        self._start.remaining_ms = max(1, int((deadline - steady_seconds()) * 1000))
        try:
            problem = self._start_at_runner()
            if problem:
                self.detail = problem
                return RunOutcome.REFUSED
            if not self._ended.wait(deadline + END_GRACE_SECONDS - steady_seconds()):
                self.detail = "runner did not end the run before its deadline"
                self._await_end()
            return self._outcome
        finally:
            self._abandoned = not self._ended.is_set()
            if self._abandoned:
                self._request_end(self.run_id)

    def apply_update(self, update: ItemRunUpdate) -> None:
        """Apply a progress update; pieces that were received before are skipped."""
        if self._abandoned:
            # Another run of the item may already be extending the output.
            return
        partial = self._partial
        known = self.events - update.first_piece
        if known < 0 or self._has_gap:
            self._handle_gap(update)
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
        partial.complete = partial.complete or update.whole
        if update.outcome:
            self._apply_outcome(update)

    def _handle_gap(self, update: ItemRunUpdate) -> None:
        """End a run with missing pieces; keeps the output received before the gap."""
        self._has_gap = True
        if update.outcome:
            self._finish(RunOutcome.BROKEN, "progress updates are missing")
        else:
            self._request_end(self.run_id)

    def mark_lost(self, reason: str) -> None:
        """End the run after its runner's lease has certainly expired."""
        self._finish(RunOutcome.MOVED if self._moved else RunOutcome.BROKEN, reason)

    def _start_at_runner(self) -> str:
        """Send the start; returns why it was refused, or an empty string if it may have begun."""
        try:
            reply = self._send_start(self._start)
        except RunkeelError as error:
            if error.verdict is Verdict.NOT_RUN:
                self._ended.set()
                return error.detail
            self.detail = f"no reply to the start message: {error.code}"
            self._await_end()
            return ""
        if not reply.accepted:
            self._ended.set()
            return reply.detail
        return ""

    def _await_end(self) -> None:
        """Request the end and wait until it is confirmed or the runner's lease has expired."""
        self._request_end(self.run_id)
        self._ended.wait(2 * RUNNER_LOST_SECONDS)

    def _apply_outcome(self, update: ItemRunUpdate) -> None:
        if update.outcome == SCORING_FAILED:
            self.scoring_error = update.detail
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
