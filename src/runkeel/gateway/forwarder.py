"""Passes a request on to servers of its service: attempts, retries, hedges, deadlines."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue
from loguru import logger

from runkeel.api.backend_protocol import AnswerClass, BackendProtocol, PlainRequest
from runkeel.api.fleet import Route
from runkeel.backends.http_connection import HttpAnswer
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run, not_run
from runkeel.gateway.backends import BackendDirectory, BackendState, choose_backend
from runkeel.gateway.return_time import seconds_until_room
from runkeel.metrics import ATTEMPTS
from runkeel.quarantine.quarantine import Quarantine, WatchedRequest
from runkeel.usage.meter import UsageMeter

HEDGE_SHARE = 0.5
"""Share of the target latency after which a second server is asked too.

Its answer can then still come within the target.
"""

MINIMUM_ATTEMPT_SECONDS = 0.005
"""With less time left no server is asked: a request takes some milliseconds at the least."""

_GONE = object()


@dataclass(slots=True)
class _Outcome:
    """How one attempt ended; exactly one of answer and error is set."""

    state: BackendState
    answer_class: AnswerClass | None = None
    answer: HttpAnswer | None = None
    error: RunkeelError | None = None

    @property
    def label(self) -> str:
        return self.answer_class.value if self.answer_class else str(self.error.code)

    @property
    def ran(self) -> bool:
        """Whether a server may have run the request."""
        if self.error is not None:
            return self.error.verdict is not Verdict.NOT_RUN
        return self.answer_class in (AnswerClass.SUCCESS, AnswerClass.FAILURE)


@dataclass(slots=True)
class _Progress:
    """One request's attempts."""

    request: PlainRequest
    watched: WatchedRequest
    route: Route
    service: str
    deadline: float
    started: float
    results: Queue = field(default_factory=Queue)
    tasks: list[gevent.Greenlet] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    running: int = 0
    answered: bool = False
    sent: int = 0
    """Attempts that may have run, those still under way included."""
    failure: _Outcome | None = None
    began_at: float = 0.0
    """Seconds since the epoch at which the first of the attempts in ``sent`` was made."""


class Forwarder:
    """Passes requests on; an answer is returned whole or not at all.

    Args:
        meter: counts the requests that servers began to run.
        quarantine: keeps requests that crash servers away from further ones.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        protocol: BackendProtocol,
        zone: str,
        meter: UsageMeter,
        quarantine: Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._meter = meter
        self._directory = directory
        self._protocol = protocol
        self._zone = zone

    def forward(
        self,
        request: PlainRequest,
        route: Route,
        service: str,
        deadline: float,
        gone: Event | None = None,
    ) -> HttpAnswer:
        """Return the answer of a server of the service.

        Args:
            deadline: steady time at which the answer is due.
            gone: set when the client has left; the attempts are then ended.

        Raises:
            RunkeelError: with verdict NOT_RUN only when no server runs the request.
        """
        watched = self._quarantine.watch(
            lambda: self._quarantine.fingerprints.of_plain(request), service, request.request_id
        )
        progress = _Progress(request, watched, route, service, deadline, steady_seconds())
        leaver = gevent.spawn(_report_gone, gone, progress.results) if gone is not None else None
        metered = self._meter.open(request.tenant)
        try:
            return self._drive(progress)
        finally:
            if not progress.sent:
                watched.return_trial()
            began_at = progress.began_at if progress.sent else None
            self._meter.close(metered, request.tenant, began_at)
            if leaver is not None:
                leaver.kill(block=False)
            gevent.killall(progress.tasks, block=False)

    def _drive(self, progress: _Progress) -> HttpAnswer:
        self._start_attempt(progress)
        while progress.running:
            try:
                outcome = progress.results.get(timeout=self._patience(progress))
            except Empty:
                if steady_seconds() >= progress.deadline:
                    raise self._given_up(progress, ErrorCode.DEADLINE_EXCEEDED) from None
                self._start_attempt(progress, "hedge")
                continue
            if outcome is _GONE:
                raise self._given_up(progress, ErrorCode.CANCELLED)
            answer = self._take(progress, outcome)
            if answer is not None:
                progress.answered = True
                return answer
            if not progress.running or not progress.route.repeatable:
                self._start_attempt(progress, "retry")
        return self._finish(progress)

    def _take(self, progress: _Progress, outcome: _Outcome) -> HttpAnswer | None:
        progress.running -= 1
        ATTEMPTS.labels(progress.service, outcome.label).inc()
        if outcome.answer_class is AnswerClass.SUCCESS:
            return outcome.answer
        if not outcome.ran:
            progress.sent -= 1
        else:
            if outcome.answer is not None or progress.failure is None:
                progress.failure = outcome
            if not progress.route.repeatable:
                return self._finish(progress)
        self._log_attempt(progress, outcome)
        return None

    def _finish(self, progress: _Progress) -> HttpAnswer:
        failure = progress.failure
        if failure is None:
            code = ErrorCode.QUEUE_FULL if progress.tried else ErrorCode.NO_BACKEND
            raise not_run(code, progress.service, self._seconds_until_room(progress))
        if failure.answer is not None:
            return failure.answer
        raise failure.error

    def _patience(self, progress: _Progress) -> float:
        now = steady_seconds()
        remaining = max(0.0, progress.deadline - now)
        if not self._may_hedge(progress):
            return remaining
        hedge_after = progress.route.target_latency_seconds * HEDGE_SHARE * len(progress.tried)
        return min(remaining, max(0.0, progress.started + hedge_after - now))

    def _may_hedge(self, progress: _Progress) -> bool:
        if not progress.route.repeatable or progress.sent >= progress.route.maximum_attempts:
            return False
        if progress.watched.suspected:
            # A second server would end at the same time as the first.
            return False
        if progress.deadline - steady_seconds() < MINIMUM_ATTEMPT_SECONDS:
            return False
        candidates = self._directory.candidates(progress.service, progress.tried)
        return any(state.incarnation not in progress.tried for state in candidates)

    def _start_attempt(self, progress: _Progress, reason: str = "first") -> None:
        if progress.sent >= progress.route.maximum_attempts:
            return
        if progress.deadline - steady_seconds() < MINIMUM_ATTEMPT_SECONDS:
            return
        candidates = self._directory.candidates(progress.service, progress.tried)
        if progress.watched.held:
            # A trial is too dear to be sent to a server that is gone.
            candidates = [one for one in candidates if not one.ended]
        state = choose_backend(candidates, progress.tried, self._zone)
        if state is None or not self._admitted(progress):
            return
        progress.tried.add(state.incarnation)
        progress.running += 1
        if not progress.sent:
            progress.began_at = self._meter.now()
        progress.sent += 1
        # Counted before the task runs: requests that come at one moment would all see servers
        # without any, and all choose those of this zone.
        state.in_flight += 1
        task = gevent.spawn(self._attempt, progress, state)
        task.rawlink(lambda ended: _release(state))
        progress.tasks.append(task)
        if reason != "first":
            logger.info(
                "another attempt",
                code="attempt",
                request=progress.request.request_id,
                reason=reason,
                backend=state.incarnation,
                attempts=len(progress.tried),
                age_ms=int((steady_seconds() - progress.started) * 1000),
            )

    def _admitted(self, progress: _Progress) -> bool:
        """Return whether one more server may be asked.

        Raises:
            RunkeelError: REQUEST_QUARANTINED where none was; that has the coordinator asked.
        """
        if not progress.watched.held:
            return True
        if progress.sent:
            return False
        progress.watched.admit()
        return progress.deadline - steady_seconds() >= MINIMUM_ATTEMPT_SECONDS

    def _attempt(self, progress: _Progress, state: BackendState) -> None:
        started = steady_seconds()
        try:
            outcome = self._exchange(progress, state)
        except gevent.GreenletExit:
            if not progress.answered:
                # Its server may end of it later, though nobody waits for the answer any more.
                progress.watched.lost(state, may_have_run(ErrorCode.CANCELLED))
            raise
        _judge(state, outcome)
        if outcome.answer_class is AnswerClass.SUCCESS:
            state.note_answer_time(steady_seconds() - started)
        progress.results.put(outcome)

    def _exchange(self, progress: _Progress, state: BackendState) -> _Outcome:
        request = progress.request
        remaining = progress.deadline - steady_seconds()
        seen: list[AnswerClass] = []

        def accept(status: int, headers: list[tuple[str, str]]) -> bool:
            seen.append(self._protocol.classify(request.request_id, status, headers))
            return seen[-1] is not AnswerClass.FOREIGN

        try:
            outgoing = self._protocol.encode_plain(request, state.backend, remaining)
            answer = state.pool.request(outgoing, progress.deadline, accept=accept)
        except RunkeelError as error:
            progress.watched.lost(state, error)
            return _Outcome(state, error=error)
        progress.watched.note_reached()
        if seen[-1] is AnswerClass.SUCCESS:
            progress.watched.succeeded()
        elif seen[-1] is AnswerClass.MISDIRECTED:
            self._quarantine.ends.address_taken(state)
        return _Outcome(state, answer_class=seen[-1], answer=answer)

    def _given_up(self, progress: _Progress, code: ErrorCode) -> RunkeelError:
        verdict = Verdict.MAY_HAVE_RUN if progress.sent else Verdict.NOT_RUN
        if verdict is Verdict.NOT_RUN:
            code = ErrorCode.QUEUE_FULL
        return RunkeelError(code, progress.service, verdict, self._seconds_until_room(progress))

    def _seconds_until_room(self, progress: _Progress) -> float:
        servers = self._directory.candidates(progress.service)
        return seconds_until_room(servers, steady_seconds())

    def _log_attempt(self, progress: _Progress, outcome: _Outcome) -> None:
        logger.info(
            "attempt failed",
            code="attempt",
            request=progress.request.request_id,
            backend=outcome.state.incarnation,
            outcome=outcome.label,
            detail=outcome.error.detail if outcome.error else "",
            age_ms=int((steady_seconds() - progress.started) * 1000),
        )


def _judge(state: BackendState, outcome: _Outcome) -> None:
    """Note in the server's state how an attempt went."""
    if outcome.answer_class is AnswerClass.SUCCESS:
        state.succeeded()
    elif outcome.answer_class is AnswerClass.REFUSED:
        state.refused()
    elif outcome.error is not None or outcome.answer_class is AnswerClass.MISDIRECTED:
        state.failed()


def _release(state: BackendState) -> None:
    """Count an attempt no more; also one that was ended before it began."""
    state.in_flight -= 1


def _report_gone(gone: Event, results: Queue) -> None:
    gone.wait()
    results.put(_GONE)
