"""Relays event streams, and resumes a broken resumable stream at another server."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import gevent
from gevent.event import Event
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol, ForwardedRequest, ResponseClass
from runkeel.api.fleet import Route
from runkeel.backends.http_connection import HttpResponseStream
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict, not_run
from runkeel.gateway.backends import BackendDirectory, BackendState, choose_backend
from runkeel.gateway.event_order import is_next_event
from runkeel.gateway.retry_after import estimate_retry_after
from runkeel.http.frontend import ResponseAbortedError
from runkeel.metrics import ATTEMPTS
from runkeel.quarantine.quarantine import Quarantine, WatchedRequest
from runkeel.usage.meter import UsageMeter

STREAM_IDLE_TIMEOUT_SECONDS = 3.0
"""A resumable stream that receives no byte for this time is resumed at another server."""

_EVENT_SEPARATOR = b"\n\n"


@dataclass(slots=True)
class OpenedStream:
    """A response whose body is relayed as it arrives, or is complete if it is ``bytes``."""

    status: int
    headers: list[tuple[str, str]]
    body: Iterator[bytes] | bytes


@dataclass(slots=True)
class _Relay:
    """State of one client stream and its attempts.

    Attributes:
        disconnected: set when the client has disconnected.
        tried: incarnations of the servers already tried, including those that were unreachable.
        attempts_run: attempts that a server ran or may have run; only these count towards the
            route's maximum. Increased after an uncertain failure or after a response other than a
            refusal, not on sending.
    """

    request: ForwardedRequest
    watched: WatchedRequest
    route: Route
    service: str
    deadline: float
    disconnected: Event
    tried: set[str] = field(default_factory=set)
    attempts_run: int = 0
    state: BackendState | None = None
    stream: HttpResponseStream | None = None
    last_event_id: str | None = None


class StreamForwarder:
    """Forwards streaming requests.

    Args:
        zone: zone of this node; servers of the same zone are preferred.
        meter: counts the streams that servers started.
        quarantine: quarantines requests that crash servers.
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

    def open(
        self,
        request: ForwardedRequest,
        route: Route,
        service: str,
        deadline: float,
        disconnected: Event,
    ) -> OpenedStream:
        """Return a stream once a server has sent its response headers.

        Args:
            deadline: steady clock time, in seconds, by which the response has to be complete.
            disconnected: set when the client has disconnected.

        Raises:
            RunkeelError: with verdict NOT_RUN only if no server ran the request.
        """
        watched = self._quarantine.watch(
            lambda: self._quarantine.fingerprinter.of_plain(request), service, request.request_id
        )
        relay = _Relay(request, watched, route, service, deadline, disconnected)
        relay.last_event_id = request.resume_after
        usage_entry = self._meter.start_request(request.tenant)
        try:
            failure = self._try_servers(relay)
        finally:
            if not relay.attempts_run:
                # A trial is a single send of a quarantined request, granted by the coordinator.
                watched.return_trial()
            started_at = self._meter.now() if relay.attempts_run else None
            self._meter.finish_request(usage_entry, request.tenant, started_at)
        if failure is not None:
            return failure
        return OpenedStream(relay.stream.status, relay.stream.headers, self._relay(relay))

    def _try_servers(self, relay: _Relay) -> OpenedStream | None:
        """Try servers until one opens a stream.

        Returns:
            None if a stream is open, otherwise the last failure response.

        Raises:
            RunkeelError: if no server opened a stream and none responded with a failure, or if an
                attempt may have run and the request is not repeatable.
        """
        failure: OpenedStream | None = None
        error = not_run(ErrorCode.QUEUE_FULL, relay.service)
        while steady_seconds() < relay.deadline and not relay.disconnected.is_set():
            if relay.attempts_run >= relay.route.max_attempts:
                break
            candidates = self._directory.candidates(relay.service, relay.tried)
            if relay.watched.quarantined:
                candidates = [one for one in candidates if not one.ended]
            state = choose_backend(candidates, relay.tried, self._zone)
            if state is None:
                break
            if relay.watched.quarantined:
                if relay.attempts_run:
                    break
                relay.watched.admit()
            relay.tried.add(state.incarnation)
            try:
                outcome = self._send_to_server(relay, state)
            except RunkeelError as raised:
                ATTEMPTS.labels(relay.service, str(raised.code)).inc()
                state.record_call_failure()
                relay.watched.record_failure(state, raised)
                if raised.verdict is Verdict.NOT_RUN:
                    continue
                relay.attempts_run += 1
                error = raised
                if not relay.route.repeatable:
                    raise
                continue
            if outcome is None:
                return None
            if outcome.status:
                failure = outcome
                if not relay.route.repeatable:
                    return failure
        if failure is not None:
            return failure
        if error.code is ErrorCode.QUEUE_FULL:
            servers = self._directory.candidates(relay.service)
            error.retry_after_seconds = estimate_retry_after(servers, steady_seconds())
        raise error

    def _send_to_server(self, relay: _Relay, state: BackendState) -> OpenedStream | None:
        """Send the request to one server.

        Returns:
            None if the stream is open, otherwise the server's failure response. Status 0 is a
            sentinel for trying the next server: this one refused the request, or the response
            came from another server at its address.
        """
        remaining = relay.deadline - steady_seconds()
        request = replace(relay.request, resume_after=relay.last_event_id)
        outgoing = self._protocol.encode_plain(request, state.backend, remaining)
        state.in_flight += 1
        stream: HttpResponseStream | None = None
        disconnect_watcher = gevent.spawn(
            _cancel_on_disconnect, relay.disconnected, gevent.getcurrent()
        )
        try:
            stream = state.pool.open_stream(outgoing, relay.deadline)
        finally:
            disconnect_watcher.kill(block=False)
            if stream is None:
                state.in_flight -= 1
        relay.watched.record_delivery()
        response_class = self._protocol.classify(request.request_id, stream.status, stream.headers)
        ATTEMPTS.labels(relay.service, response_class.value).inc()
        if response_class is ResponseClass.SUCCESS:
            relay.attempts_run += 1
            relay.state, relay.stream = state, stream
            return None
        return self._read_failure(relay, state, stream, response_class)

    def _read_failure(
        self,
        relay: _Relay,
        state: BackendState,
        stream: HttpResponseStream,
        response_class: ResponseClass,
    ) -> OpenedStream:
        """Read a failure response; returns status 0 if the next server may be tried instead."""
        try:
            body = b"".join(stream.chunks(relay.deadline))
        finally:
            stream.close()
            state.in_flight -= 1
        if response_class in (ResponseClass.REFUSED, ResponseClass.MISDIRECTED):
            state.record_call_refusal()
            if response_class is ResponseClass.MISDIRECTED:
                self._quarantine.crash_detector.address_taken(state)
            return OpenedStream(0, [], b"")
        relay.attempts_run += 1
        if response_class is ResponseClass.FOREIGN:
            raise RunkeelError(ErrorCode.BACKEND_LOST, "response to a different request")
        return OpenedStream(stream.status, stream.headers, body)

    def _relay(self, relay: _Relay) -> Iterator[bytes]:
        abort_watcher = gevent.spawn(_abort_on_disconnect, relay)
        try:
            while True:
                error = yield from self._relay_attempt(relay)
                if error is None:
                    relay.state.record_call_success()
                    relay.watched.record_success()
                    return
                self._resume(relay, error)
        finally:
            abort_watcher.kill(block=False)
            self._close_stream(relay)

    def _relay_attempt(self, relay: _Relay) -> Iterator[bytes]:
        """Relay one attempt; the generator returns the error that interrupted it, or None."""
        buffer = b""
        while True:
            idle_deadline = steady_seconds() + STREAM_IDLE_TIMEOUT_SECONDS
            read_deadline = (
                min(relay.deadline, idle_deadline) if relay.route.resumable else relay.deadline
            )
            try:
                chunk = relay.stream.read_chunk(read_deadline)
            except RunkeelError as error:
                return error
            if chunk is None:
                if buffer:
                    yield buffer
                return None
            if not relay.route.resumable:
                yield chunk
                continue
            *events, buffer = (buffer + chunk).split(_EVENT_SEPARATOR)
            for event in events:
                error = self._check_event(relay, event)
                if error is not None:
                    return error
                yield event + _EVENT_SEPARATOR

    def _check_event(self, relay: _Relay, block: bytes) -> RunkeelError | None:
        """Record the id of an event; returns an error if it isn't the next one in sequence."""
        event = self._protocol.parse_event(block)
        if not event.event_id:
            return None
        if not is_next_event(relay.last_event_id, event.event_id):
            detail = f"event {event.event_id} out of sequence after {relay.last_event_id}"
            return RunkeelError(ErrorCode.BACKEND_LOST, detail)
        relay.last_event_id = event.event_id
        return None

    def _resume(self, relay: _Relay, error: RunkeelError) -> None:
        """Resume at another server. Raises ResponseAbortedError if that fails."""
        logger.info(
            "stream interrupted",
            code="stream_broken",
            request=relay.request.request_id,
            backend=relay.state.incarnation,
            after=relay.last_event_id,
            error=error.detail,
            resumable=relay.route.resumable,
        )
        relay.state.record_call_failure()
        relay.watched.record_failure(relay.state, error)
        self._close_stream(relay)
        if not relay.route.resumable or relay.disconnected.is_set():
            raise ResponseAbortedError(error.detail)
        try:
            failure = self._try_servers(relay)
        except RunkeelError as raised:
            raise ResponseAbortedError(raised.detail) from raised
        if failure is not None:
            raise ResponseAbortedError(f"the server to resume at returned status {failure.status}")

    def _close_stream(self, relay: _Relay) -> None:
        stream, relay.stream = relay.stream, None
        if stream is not None:
            stream.close()
            relay.state.in_flight -= 1


def _cancel_on_disconnect(disconnected: Event, opener: gevent.Greenlet) -> None:
    disconnected.wait()
    gevent.kill(opener, RunkeelError(ErrorCode.CANCELLED, "the client disconnected"))


def _abort_on_disconnect(relay: _Relay) -> None:
    relay.disconnected.wait()
    stream = relay.stream
    if stream is not None:
        stream.abort()
