"""Hedged requests: a second copy of a slow repeatable request, the first answer wins.

After Dean and Barroso, "The Tail at Scale" (2013). The loser is withdrawn: a queued copy never
runs; one that a back end has already ends there, and its late answer is dropped and counted.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.queue import Empty, Queue

from runkeel.errors import ErrorCode, RunkeelError, may_have_run
from runkeel.requests.metrics import DROPPED_ANSWERS, HEDGES, HEDGES_WON
from runkeel.wire.generated.requests.ttypes import ApplicationResponse


@dataclass(slots=True)
class Contestant:
    """One copy of the request."""

    node_id: str
    number: int
    started: float
    response: ApplicationResponse | None = None
    error: RunkeelError | None = None
    done: bool = False


class HedgedRace:
    """Runs one copy, and a second one if the first is slow.

    Args:
        run: runs a copy at a node: ``run(node_id, attempt number)``.
        begin: returns the number of a new attempt.
        place_hedge: returns the second copy's node, or None for no hedge.
        withdraw: withdraws a loser: ``withdraw(node_id, attempt number, started)``.
    """

    def __init__(
        self,
        run: Callable[[str, int], ApplicationResponse],
        begin: Callable[[], int],
        place_hedge: Callable[[], str | None],
        withdraw: Callable[[str, int, float], object],
        note_failure: Callable[[RunkeelError], None],
    ) -> None:
        self._run = run
        self._begin = begin
        self._place_hedge = place_hedge
        self._withdraw = withdraw
        self._note_failure = note_failure
        self._results: Queue = Queue()
        self._decided = False

    def decide(self, node_id: str, delay_seconds: float) -> ApplicationResponse:
        """Return the first answer. Raises the last failure when every copy failed."""
        first = self._start(node_id)
        try:
            done = self._results.get(timeout=delay_seconds)
            second = None
        except Empty:
            second = self._start_hedge()
            done = self._results.get()
        if done.error is not None and second is not None:
            self._note_failure(done.error)
            done = self._results.get()
        self._decided = True
        if done.error is not None:
            raise done.error
        if second is not None:
            self._cancel_loser(second if done is first else first)
        if done is second:
            HEDGES_WON.inc()
        return done.response

    def _start(self, node_id: str) -> Contestant:
        contestant = Contestant(node_id, self._begin(), time.monotonic())
        gevent.spawn(self._compete, contestant)
        return contestant

    def _start_hedge(self) -> Contestant | None:
        node_id = self._place_hedge()
        if node_id is None:
            return None
        HEDGES.inc()
        return self._start(node_id)

    def _compete(self, contestant: Contestant) -> None:
        """Run one copy; it ends by its deadline, so it needs no other limit."""
        contestant.error = may_have_run(ErrorCode.INTERNAL, "unexpected error")
        try:
            contestant.response = self._run(contestant.node_id, contestant.number)
            contestant.error = None
        except RunkeelError as error:
            contestant.error = error
        finally:
            # Also after an unexpected error: the race waits for each copy that it started.
            contestant.done = True
            self._results.put(contestant)
        if self._decided:
            DROPPED_ANSWERS.labels("late").inc()

    def _cancel_loser(self, loser: Contestant) -> None:
        if not loser.done:
            gevent.spawn(self._withdraw, loser.node_id, loser.number, loser.started)
