"""Forwards a request to a server of its service, with retries, hedging and a deadline."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol, ForwardedRequest, ResponseClass
from runkeel.api.fleet import Route
from runkeel.backends.http_connection import HttpResponse
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run, not_run
from runkeel.gateway.backends import BackendDirectory, BackendState, choose_backend
from runkeel.gateway.retry_after import estimate_retry_after
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
    def possibly_ran(self) -> bool:
        """Whether a server ran the request or may have run it."""
        if self.error is not None:
            return self.error.verdict is not Verdict.NOT_RUN
        return self.response_class in (ResponseClass.SUCCESS, ResponseClass.FAILURE)


@dataclass(slots=True)
class _InFlightRequest:
    """A request in flight and the state of its attempts."""

    request: ForwardedRequest
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
    possibly_run_attempts: int = 0
    """Attempts that a server may have run, including those in flight.

    An attempt is counted when it starts, and no longer once it is known not to have run.
    """
    failure: _Outcome | None = None
    """Failure to return if no attempt succeeds; a server's response is preferred to an error."""
    first_attempt_at: float = 0.0
    """Start of the first attempt that may have run, in seconds since the Unix epoch."""


class Forwarder:
    """Forwards requests; a response is returned only when it is complete.

    Args:
        zone: zone of this node; servers of the same zone are preferred.
        meter: counts the requests that servers ran or may have run.
        quarantine: quarantines requests that crash servers. A quarantined request is sent only on
            a trial: a single send that the coordinator grants.
        exempt: whether the requests are never quarantined, as those of accepted jobs.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        protocol: BackendProtocol,
        zone: str,
        meter: UsageMeter,
        quarantine: Quarantine,
        exempt: bool = False,
    ) -> None:
        self._exempt = exempt
        self._quarantine = quarantine
        self._meter = meter
        self._directory = directory
        self._protocol = protocol
        self._zone = zone

    def forward(
        self,
        request: ForwardedRequest,
        route: Route,
        service: str,
        deadline: float,
        disconnected: Event | None = None,
    ) -> HttpResponse:
        """Return the response of a server of the service.

        Args:
            deadline: steady clock time, in seconds, by which the response is due.
            disconnected: set when the client has disconnected; attempts in flight are then
                cancelled.

        Raises:
            RunkeelError: with verdict NOT_RUN only if no server ran the request.
        """
        watched = self._watch(request, service)
        forwarded = _InFlightRequest(request, watched, route, service, deadline, steady_seconds())
        disconnect_watcher = (
            gevent.spawn(_report_disconnect, disconnected, forwarded.results)
            if disconnected is not None
            else None
        )
        usage_entry = self._meter.start_request(request.tenant)
        try:
            return self._run_attempts(forwarded)
        finally:
            if not forwarded.possibly_run_attempts:
                watched.return_trial()
            first_attempt_at = (
                forwarded.first_attempt_at if forwarded.possibly_run_attempts else None
            )
            self._meter.finish_request(usage_entry, request.tenant, first_attempt_at)
            if disconnect_watcher is not None:
                disconnect_watcher.kill(block=False)
            gevent.killall(forwarded.tasks, block=False)

    def _watch(self, request: ForwardedRequest, service: str) -> WatchedRequest:
        if self._exempt:
            return self._quarantine.watch_exempt(service, request.request_id)
        return self._quarantine.watch(
            lambda: self._quarantine.fingerprinter.of_forwarded_request(request),
            service,
            request.request_id,
        )

    def _run_attempts(self, forwarded: _InFlightRequest) -> HttpResponse:
        self._start_attempt(forwarded)
        while forwarded.running:
            try:
                outcome = forwarded.results.get(timeout=self._wait_seconds(forwarded))
            except Empty:
                if steady_seconds() >= forwarded.deadline:
                    raise self._abandoned_error(forwarded, ErrorCode.DEADLINE_EXCEEDED) from None
                self._start_attempt(forwarded, "hedge")
                continue
            if outcome is _CLIENT_DISCONNECTED:
                raise self._abandoned_error(forwarded, ErrorCode.CANCELLED)
            response = self._handle_outcome(forwarded, outcome)
            if response is not None:
                forwarded.completed = True
                return response
            if not forwarded.running or not forwarded.route.repeatable:
                self._start_attempt(forwarded, "retry")
        return self._finish(forwarded)

    def _handle_outcome(
        self, forwarded: _InFlightRequest, outcome: _Outcome
    ) -> HttpResponse | None:
        forwarded.running -= 1
        ATTEMPTS.labels(forwarded.service, outcome.label).inc()
        if outcome.response_class is ResponseClass.SUCCESS:
            return outcome.response
        if not outcome.possibly_ran:
            forwarded.possibly_run_attempts -= 1
        else:
            if outcome.response is not None or forwarded.failure is None:
                forwarded.failure = outcome
            if not forwarded.route.repeatable:
                return self._finish(forwarded)
        self._log_attempt(forwarded, outcome)
        return None

    def _finish(self, forwarded: _InFlightRequest) -> HttpResponse:
        failure = forwarded.failure
        if failure is None:
            code = ErrorCode.QUEUE_FULL if forwarded.tried else ErrorCode.NO_BACKEND
            raise not_run(code, forwarded.service, self._retry_after_seconds(forwarded))
        if failure.response is not None:
            return failure.response
        raise failure.error

    def _wait_seconds(self, forwarded: _InFlightRequest) -> float:
        now = steady_seconds()
        remaining = max(0.0, forwarded.deadline - now)
        if not self._may_hedge(forwarded):
            return remaining
        hedge_after = (
            forwarded.route.target_latency_seconds * HEDGE_LATENCY_FRACTION * len(forwarded.tried)
        )
        return min(remaining, max(0.0, forwarded.started + hedge_after - now))

    def _may_hedge(self, forwarded: _InFlightRequest) -> bool:
        if (
            not forwarded.route.repeatable
            or forwarded.possibly_run_attempts >= forwarded.route.max_attempts
        ):
            return False
        if forwarded.watched.suspected:
            # The request may crash the second server as well.
            return False
        if forwarded.deadline - steady_seconds() < MIN_ATTEMPT_SECONDS:
            return False
        candidates = self._directory.candidates(forwarded.service, forwarded.tried)
        return any(state.incarnation not in forwarded.tried for state in candidates)

    def _start_attempt(self, forwarded: _InFlightRequest, reason: str = "first") -> None:
        if forwarded.possibly_run_attempts >= forwarded.route.max_attempts:
            return
        if forwarded.deadline - steady_seconds() < MIN_ATTEMPT_SECONDS:
            return
        candidates = self._directory.candidates(forwarded.service, forwarded.tried)
        if forwarded.watched.quarantined:
            # The number of trials is limited, so none is used on a server that has ended.
            candidates = [one for one in candidates if not one.ended]
        state = choose_backend(candidates, forwarded.tried, self._zone)
        if state is None or not self._may_attempt(forwarded):
            return
        forwarded.tried.add(state.incarnation)
        forwarded.running += 1
        if not forwarded.possibly_run_attempts:
            forwarded.first_attempt_at = self._meter.now()
        forwarded.possibly_run_attempts += 1
        # Counted before the task starts. Otherwise, simultaneous requests would all see idle
        # servers and all choose those of this zone.
        state.in_flight += 1
        task = gevent.spawn(self._attempt, forwarded, state)
        task.rawlink(lambda finished_task: _release_slot(state))
        forwarded.tasks.append(task)
        if reason != "first":
            logger.info(
                "starting another attempt",
                code="attempt",
                request=forwarded.request.request_id,
                reason=reason,
                backend=state.incarnation,
                attempts=len(forwarded.tried),
                age_ms=int((steady_seconds() - forwarded.started) * 1000),
            )

    def _may_attempt(self, forwarded: _InFlightRequest) -> bool:
        """Return whether the quarantine allows another attempt; may ask the coordinator.

        Raises:
            RunkeelError: REQUEST_QUARANTINED if the request is quarantined and gets no trial.
        """
        if not forwarded.watched.quarantined:
            return True
        if forwarded.possibly_run_attempts:
            # A trial allows one attempt, and a request quarantined meanwhile gets no further one.
            return False
        forwarded.watched.admit()
        return forwarded.deadline - steady_seconds() >= MIN_ATTEMPT_SECONDS

    def _attempt(self, forwarded: _InFlightRequest, state: BackendState) -> None:
        started = steady_seconds()
        try:
            outcome = self._exchange(forwarded, state)
        except gevent.GreenletExit:
            if not forwarded.completed:
                # The request may still crash its server after the attempt was cancelled.
                forwarded.watched.record_failure(state, may_have_run(ErrorCode.CANCELLED))
            raise
        _record_outcome(state, outcome)
        if outcome.response_class is ResponseClass.SUCCESS:
            state.record_response_time(steady_seconds() - started)
        forwarded.results.put(outcome)

    def _exchange(self, forwarded: _InFlightRequest, state: BackendState) -> _Outcome:
        request = forwarded.request
        remaining = forwarded.deadline - steady_seconds()
        response_classes: list[ResponseClass] = []

        def accept(status: int, headers: list[tuple[str, str]]) -> bool:
            response_classes.append(self._protocol.classify(request.request_id, status, headers))
            return response_classes[-1] is not ResponseClass.FOREIGN

        try:
            outgoing = self._protocol.encode_forwarded_request(request, state.backend, remaining)
            response = state.pool.request(outgoing, forwarded.deadline, accept=accept)
        except RunkeelError as error:
            forwarded.watched.record_failure(state, error)
            return _Outcome(state, error=error)
        forwarded.watched.record_delivery()
        if response_classes[-1] is ResponseClass.SUCCESS:
            forwarded.watched.record_success()
        elif response_classes[-1] is ResponseClass.MISDIRECTED:
            self._quarantine.crash_detector.address_taken(state)
        return _Outcome(state, response_class=response_classes[-1], response=response)

    def _abandoned_error(self, forwarded: _InFlightRequest, code: ErrorCode) -> RunkeelError:
        verdict = Verdict.MAY_HAVE_RUN if forwarded.possibly_run_attempts else Verdict.NOT_RUN
        if verdict is Verdict.NOT_RUN:
            # No server ran the request, so the client may send it again. The other codes would
            # leave that open: DEADLINE_EXCEEDED is a 504 response.
            code = ErrorCode.QUEUE_FULL
        return RunkeelError(code, forwarded.service, verdict, self._retry_after_seconds(forwarded))

    def _retry_after_seconds(self, forwarded: _InFlightRequest) -> float:
        servers = self._directory.candidates(forwarded.service)
        return estimate_retry_after(servers, steady_seconds())

    def _log_attempt(self, forwarded: _InFlightRequest, outcome: _Outcome) -> None:
        logger.info(
            "attempt failed",
            code="attempt",
            request=forwarded.request.request_id,
            backend=outcome.state.incarnation,
            outcome=outcome.label,
            detail=outcome.error.detail if outcome.error else "",
            age_ms=int((steady_seconds() - forwarded.started) * 1000),
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


def _report_disconnect(disconnected: Event, results: Queue) -> None:
    disconnected.wait()
    results.put(_CLIENT_DISCONNECTED)
