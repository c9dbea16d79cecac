"""Forwards a request to a server of its service, with retries, hedging and a deadline."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol, PlainRequest, ResponseClass
from runkeel.api.fleet import Route
from runkeel.backends.http_connection import HttpResponse
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run, not_run
from runkeel.gateway.backends import BackendDirectory, BackendState, choose_backend
from runkeel.gateway.return_time import estimate_retry_after
from runkeel.metrics import ATTEMPTS
from runkeel.quarantine.quarantine import Quarantine, WatchedRequest
from runkeel.usage.meter import UsageMeter

HEDGE_LATENCY_FRACTION = 0.5
"""Fraction of the target latency after which a hedged attempt is sent to another server.

Less than 1, so that the hedged attempt can still complete within the target.
"""

MIN_ATTEMPT_SECONDS = 0.005
"""No attempt is started with less time than this before the deadline."""

_CLIENT_DISCONNECTED = object()


@dataclass(slots=True)
class _Outcome:
    """Result of one attempt; exactly one of response and error is set."""

    state: BackendState
    response_class: ResponseClass | None = None
    response: HttpResponse | None = None
    error: RunkeelError | None = None

    @property
    def label(self) -> str:
        return self.response_class.value if self.response_class else str(self.error.code)

    @property
    def ran(self) -> bool:
        """Whether a server may have run the request."""
        if self.error is not None:
            return self.error.verdict is not Verdict.NOT_RUN
        return self.response_class in (ResponseClass.SUCCESS, ResponseClass.FAILURE)


@dataclass(slots=True)
class _Progress:
    """State of one request and its attempts."""

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
    completed: bool = False
    sent: int = 0
    """Attempts that may have run, including those in flight."""
    failure: _Outcome | None = None
    first_attempt_at: float = 0.0
    """Start of the first attempt counted in ``sent``, in seconds since the epoch."""


class Forwarder:
    """Forwards requests; a response is returned only when it is complete.

    Args:
        zone: zone of this node; servers of the same zone are preferred.
        meter: counts the requests that servers started to run.
        quarantine: holds back requests that crash servers.
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
    ) -> HttpResponse:
        """Return the response of a server of the service.

        Args:
            deadline: steady clock time, in seconds, by which the response is due.
            gone: set when the client has disconnected; attempts in flight are then cancelled.

        Raises:
            RunkeelError: with verdict NOT_RUN only if no server ran the request.
        """
        watched = self._quarantine.watch(
            lambda: self._quarantine.fingerprinter.of_plain(request), service, request.request_id
        )
        progress = _Progress(request, watched, route, service, deadline, steady_seconds())
        disconnect_watcher = (
            gevent.spawn(_report_disconnect, gone, progress.results) if gone is not None else None
        )
        usage_entry = self._meter.start_request(request.tenant)
        try:
            return self._run_attempts(progress)
        finally:
            if not progress.sent:
                watched.return_trial()
            first_attempt_at = progress.first_attempt_at if progress.sent else None
            self._meter.finish_request(usage_entry, request.tenant, first_attempt_at)
            if disconnect_watcher is not None:
                disconnect_watcher.kill(block=False)
            gevent.killall(progress.tasks, block=False)

    def _run_attempts(self, progress: _Progress) -> HttpResponse:
        self._start_attempt(progress)
        while progress.running:
            try:
                outcome = progress.results.get(timeout=self._wait_seconds(progress))
            except Empty:
                if steady_seconds() >= progress.deadline:
                    raise self._abandoned_error(progress, ErrorCode.DEADLINE_EXCEEDED) from None
                self._start_attempt(progress, "hedge")
                continue
            if outcome is _CLIENT_DISCONNECTED:
                raise self._abandoned_error(progress, ErrorCode.CANCELLED)
            response = self._handle_outcome(progress, outcome)
            if response is not None:
                progress.completed = True
                return response
            if not progress.running or not progress.route.repeatable:
                self._start_attempt(progress, "retry")
        return self._finish(progress)

    def _handle_outcome(self, progress: _Progress, outcome: _Outcome) -> HttpResponse | None:
        progress.running -= 1
        ATTEMPTS.labels(progress.service, outcome.label).inc()
        if outcome.response_class is ResponseClass.SUCCESS:
            return outcome.response
        if not outcome.ran:
            progress.sent -= 1
        else:
            if outcome.response is not None or progress.failure is None:
                progress.failure = outcome
            if not progress.route.repeatable:
                return self._finish(progress)
        self._log_attempt(progress, outcome)
        return None

    def _finish(self, progress: _Progress) -> HttpResponse:
        failure = progress.failure
        if failure is None:
            code = ErrorCode.QUEUE_FULL if progress.tried else ErrorCode.NO_BACKEND
            raise not_run(code, progress.service, self._retry_after_seconds(progress))
        if failure.response is not None:
            return failure.response
        raise failure.error

    def _wait_seconds(self, progress: _Progress) -> float:
        now = steady_seconds()
        remaining = max(0.0, progress.deadline - now)
        if not self._may_hedge(progress):
            return remaining
        hedge_after = (
            progress.route.target_latency_seconds * HEDGE_LATENCY_FRACTION * len(progress.tried)
        )
        return min(remaining, max(0.0, progress.started + hedge_after - now))

    def _may_hedge(self, progress: _Progress) -> bool:
        if not progress.route.repeatable or progress.sent >= progress.route.maximum_attempts:
            return False
        if progress.watched.suspected:
            # A request that crashes servers would take down the second one as well.
            return False
        if progress.deadline - steady_seconds() < MIN_ATTEMPT_SECONDS:
            return False
        candidates = self._directory.candidates(progress.service, progress.tried)
        return any(state.incarnation not in progress.tried for state in candidates)

    def _start_attempt(self, progress: _Progress, reason: str = "first") -> None:
        if progress.sent >= progress.route.maximum_attempts:
            return
        if progress.deadline - steady_seconds() < MIN_ATTEMPT_SECONDS:
            return
        candidates = self._directory.candidates(progress.service, progress.tried)
        if progress.watched.quarantined:
            # Trials are limited; don't use one on a server that has ended.
            candidates = [one for one in candidates if not one.ended]
        state = choose_backend(candidates, progress.tried, self._zone)
        if state is None or not self._may_attempt(progress):
            return
        progress.tried.add(state.incarnation)
        progress.running += 1
        if not progress.sent:
            progress.first_attempt_at = self._meter.now()
        progress.sent += 1
        # Counted before the task starts. Otherwise, simultaneous requests would all see idle
        # servers and all choose those of this zone.
        state.in_flight += 1
        task = gevent.spawn(self._attempt, progress, state)
        task.rawlink(lambda ended: _release_slot(state))
        progress.tasks.append(task)
        if reason != "first":
            logger.info(
                "starting another attempt",
                code="attempt",
                request=progress.request.request_id,
                reason=reason,
                backend=state.incarnation,
                attempts=len(progress.tried),
                age_ms=int((steady_seconds() - progress.started) * 1000),
            )

    def _may_attempt(self, progress: _Progress) -> bool:
        """Return whether the quarantine allows another attempt; may ask the coordinator.

        Raises:
            RunkeelError: REQUEST_QUARANTINED if the request is held and gets no trial.
        """
        if not progress.watched.quarantined:
            return True
        if progress.sent:
            return False
        progress.watched.admit()
        return progress.deadline - steady_seconds() >= MIN_ATTEMPT_SECONDS

    def _attempt(self, progress: _Progress, state: BackendState) -> None:
        started = steady_seconds()
        try:
            outcome = self._exchange(progress, state)
        except gevent.GreenletExit:
            if not progress.completed:
                # The request may still crash its server after the attempt was cancelled.
                progress.watched.record_failure(state, may_have_run(ErrorCode.CANCELLED))
            raise
        _record_outcome(state, outcome)
        if outcome.response_class is ResponseClass.SUCCESS:
            state.record_response_time(steady_seconds() - started)
        progress.results.put(outcome)

    def _exchange(self, progress: _Progress, state: BackendState) -> _Outcome:
        request = progress.request
        remaining = progress.deadline - steady_seconds()
        response_classes: list[ResponseClass] = []

        def accept(status: int, headers: list[tuple[str, str]]) -> bool:
            response_classes.append(self._protocol.classify(request.request_id, status, headers))
            return response_classes[-1] is not ResponseClass.FOREIGN

        try:
            outgoing = self._protocol.encode_plain(request, state.backend, remaining)
            response = state.pool.request(outgoing, progress.deadline, accept=accept)
        except RunkeelError as error:
            progress.watched.record_failure(state, error)
            return _Outcome(state, error=error)
        progress.watched.record_delivery()
        if response_classes[-1] is ResponseClass.SUCCESS:
            progress.watched.record_success()
        elif response_classes[-1] is ResponseClass.MISDIRECTED:
            self._quarantine.crash_detector.address_taken(state)
        return _Outcome(state, response_class=response_classes[-1], response=response)

    def _abandoned_error(self, progress: _Progress, code: ErrorCode) -> RunkeelError:
        verdict = Verdict.MAY_HAVE_RUN if progress.sent else Verdict.NOT_RUN
        if verdict is Verdict.NOT_RUN:
            code = ErrorCode.QUEUE_FULL
        return RunkeelError(code, progress.service, verdict, self._retry_after_seconds(progress))

    def _retry_after_seconds(self, progress: _Progress) -> float:
        servers = self._directory.candidates(progress.service)
        return estimate_retry_after(servers, steady_seconds())

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


def _record_outcome(state: BackendState, outcome: _Outcome) -> None:
    """Record the outcome of an attempt in the state of its server."""
    if outcome.response_class is ResponseClass.SUCCESS:
        state.record_call_success()
    elif outcome.response_class is ResponseClass.REFUSED:
        state.record_call_refusal()
    elif outcome.error is not None or outcome.response_class is ResponseClass.MISDIRECTED:
        state.record_call_failure()


def _release_slot(state: BackendState) -> None:
    """Release the server's slot; also called for an attempt killed before it started."""
    state.in_flight -= 1


def _report_disconnect(gone: Event, results: Queue) -> None:
    gone.wait()
    results.put(_CLIENT_DISCONNECTED)
