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
from runkeel.gateway.event_order import MAX_EVENT_BYTES, is_next_event
from runkeel.gateway.retry_after import estimate_retry_after
from runkeel.http.frontend import ResponseAbortedError
from runkeel.metrics import ATTEMPTS
from runkeel.quarantine.quarantine import Quarantine, WatchedRequest
from runkeel.usage.meter import UsageMeter

STREAM_IDLE_TIMEOUT_SECONDS = 3.0
"""A resumable stream that receives no byte for this time is resumed at another server."""

_EVENT_SEPARATOR = b"\n\n"


@dataclass(slots=True)
class ForwardedResponse:
    """A response.

    Its body is ``bytes`` if complete, otherwise an iterator that yields it as it arrives. Within
    this module, status 0 means that the next server may be tried.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterator[bytes] | bytes


@dataclass(slots=True)
class _ClientStream:
    """State of one client stream and its attempts.

    Attributes:
        disconnected: set when the client has disconnected.
        tried: incarnations of the servers already tried, including those that were unreachable.
        attempts_run: attempts that a server ran or may have run; only these count towards the
            route's maximum. An attempt is counted once its response or error is known, not on
            sending.
        state: the server that sends the current stream.
        server_stream: the current stream from that server; None while none is open.
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
    server_stream: HttpResponseStream | None = None
    last_event_id: str | None = None
    received_event: bool = False
    """Whether the end of an event has been received."""


class StreamForwarder:
    """Forwards streaming requests.

    Args:
        zone: zone of this node; servers of the same zone are preferred.
        meter: counts the requests that servers ran or may have run.
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
    ) -> ForwardedResponse:
        """Return the response once a server has sent its headers; a failure response is complete.

        Args:
            deadline: steady clock time, in seconds, by which the response has to be complete.
            disconnected: set when the client has disconnected.

        Raises:
            RunkeelError: with verdict NOT_RUN only if no server ran the request.
        """
        watched = self._quarantine.watch(
            lambda: self._quarantine.fingerprinter.of_forwarded_request(request),
            service,
            request.request_id,
        )
        client_stream = _ClientStream(request, watched, route, service, deadline, disconnected)
        client_stream.last_event_id = request.resume_after
        usage_entry = self._meter.start_request(request.tenant)
        try:
            failure = self._try_servers(client_stream)
        finally:
            if not client_stream.attempts_run:
                # A trial is a single send of a quarantined request, granted by the coordinator; it
                # is unused if no server received the request.
                watched.return_trial()
            started_at = self._meter.now() if client_stream.attempts_run else None
            self._meter.finish_request(usage_entry, request.tenant, started_at)
        if failure is not None:
            return failure
        return ForwardedResponse(
            client_stream.server_stream.status,
            client_stream.server_stream.headers,
            self._relay(client_stream),
        )

    def _try_servers(self, client_stream: _ClientStream) -> ForwardedResponse | None:
        """Try servers until one opens a stream.

        Returns:
            None if a stream is open, otherwise the last failure response.

        Raises:
            RunkeelError: if no server opened a stream and none responded with a failure, or if an
                attempt may have run and the request is not repeatable.
        """
        failure: ForwardedResponse | None = None
        error = not_run(ErrorCode.QUEUE_FULL, client_stream.service)
        while steady_seconds() < client_stream.deadline and not client_stream.disconnected.is_set():
            if client_stream.attempts_run >= client_stream.route.max_attempts:
                break
            candidates = self._directory.candidates(client_stream.service, client_stream.tried)
            if client_stream.watched.quarantined:
                candidates = [one for one in candidates if not one.ended]
            state = choose_backend(candidates, client_stream.tried, self._zone)
            if state is None:
                break
            if client_stream.watched.quarantined:
                if client_stream.attempts_run:
                    # A trial allows one attempt, and a request quarantined meanwhile gets no
                    # further one.
                    break
                client_stream.watched.admit()
            client_stream.tried.add(state.incarnation)
            try:
                outcome = self._send_to_server(client_stream, state)
            except RunkeelError as raised:
                ATTEMPTS.labels(client_stream.service, str(raised.code)).inc()
                state.record_call_failure()
                client_stream.watched.record_failure(state, raised)
                if raised.verdict is Verdict.NOT_RUN:
                    continue
                client_stream.attempts_run += 1
                error = raised
                if not client_stream.route.repeatable:
                    raise
                continue
            if outcome is None:
                return None
            if outcome.status:
                failure = outcome
                if not client_stream.route.repeatable:
                    return failure
        if failure is not None:
            return failure
        if error.code is ErrorCode.QUEUE_FULL:
            servers = self._directory.candidates(client_stream.service)
            error.retry_after_seconds = estimate_retry_after(servers, steady_seconds())
        raise error

    def _send_to_server(
        self, client_stream: _ClientStream, state: BackendState
    ) -> ForwardedResponse | None:
        """Send the request to one server.

        Returns:
            None if the stream is open, otherwise the server's failure response. Status 0 is a
            sentinel for trying the next server: this one refused the request, or the response
            came from another server at its address.
        """
        remaining = client_stream.deadline - steady_seconds()
        request = replace(client_stream.request, resume_after=client_stream.last_event_id)
        outgoing = self._protocol.encode_forwarded_request(request, state.backend, remaining)
        state.in_flight += 1
        stream: HttpResponseStream | None = None
        disconnect_watcher = gevent.spawn(
            _cancel_on_disconnect, client_stream.disconnected, gevent.getcurrent()
        )
        try:
            stream = state.pool.open_stream(outgoing, client_stream.deadline)
        finally:
            disconnect_watcher.kill(block=False)
            if stream is None:
                state.in_flight -= 1
        client_stream.watched.record_delivery()
        response_class = self._protocol.classify(request.request_id, stream.status, stream.headers)
        ATTEMPTS.labels(client_stream.service, response_class.value).inc()
        if response_class is ResponseClass.SUCCESS:
            client_stream.attempts_run += 1
            client_stream.state, client_stream.server_stream = state, stream
            return None
        return self._read_failure(client_stream, state, stream, response_class)

    def _read_failure(
        self,
        client_stream: _ClientStream,
        state: BackendState,
        stream: HttpResponseStream,
        response_class: ResponseClass,
    ) -> ForwardedResponse:
        """Read a failure response; returns status 0 if the next server may be tried instead.

        Raises:
            RunkeelError: like :meth:`HttpResponseStream.chunks`, and BACKEND_LOST (MAY_HAVE_RUN) if
                the response is FOREIGN.
        """
        if response_class is ResponseClass.FOREIGN:
            # The server may still run this request, and stops once its connection is gone.
            stream.abort()
            state.in_flight -= 1
            raise RunkeelError(
                ErrorCode.BACKEND_LOST, "response is unsigned or belongs to a different request"
            )
        try:
            body = stream.read_body(client_stream.deadline)
        finally:
            stream.close()
            state.in_flight -= 1
        if response_class in (ResponseClass.REFUSED, ResponseClass.MISDIRECTED):
            state.record_call_refusal()
            if response_class is ResponseClass.MISDIRECTED:
                self._quarantine.crash_detector.address_taken(state)
            return ForwardedResponse(0, [], b"")
        client_stream.attempts_run += 1
        return ForwardedResponse(stream.status, stream.headers, body)

    def _relay(self, client_stream: _ClientStream) -> Iterator[bytes]:
        abort_watcher = gevent.spawn(_abort_on_disconnect, client_stream)
        try:
            while True:
                error = yield from self._relay_attempt(client_stream)
                if error is None:
                    client_stream.state.record_call_success()
                    client_stream.watched.record_success()
                    return
                self._resume(client_stream, error)
        finally:
            abort_watcher.kill(block=False)
            self._close_stream(client_stream)

    def _relay_attempt(self, client_stream: _ClientStream) -> Iterator[bytes]:
        """Relay one attempt; the generator returns the error that interrupted it, or None.

        A stream whose length was not told ends as whole only between events, as its server may have
        crashed.
        """
        buffer = b""
        tail = b""
        while True:
            idle_deadline = steady_seconds() + STREAM_IDLE_TIMEOUT_SECONDS
            read_deadline = (
                min(client_stream.deadline, idle_deadline)
                if client_stream.route.resumable
                else client_stream.deadline
            )
            try:
                chunk = client_stream.server_stream.read_chunk(read_deadline)
            except RunkeelError as error:
                return error
            if chunk is None:
                if client_stream.server_stream.delimited_by_close:
                    unfinished = buffer if client_stream.route.resumable else tail
                    error = _error_of_end(unfinished, client_stream.received_event)
                    if error is not None:
                        return error
                if buffer:
                    yield buffer
                return None
            if not client_stream.route.resumable:
                yield chunk
                tail = (tail + chunk)[-len(_EVENT_SEPARATOR) :]
                if tail == _EVENT_SEPARATOR:
                    tail = b""
                    client_stream.received_event = True
                continue
            *events, buffer = (buffer + chunk).split(_EVENT_SEPARATOR)
            for event in events:
                error = self._check_event(client_stream, event)
                if error is not None:
                    return error
                client_stream.received_event = True
                yield event + _EVENT_SEPARATOR
            if len(buffer) > MAX_EVENT_BYTES:
                detail = f"event of more than {MAX_EVENT_BYTES} bytes"
                return RunkeelError(ErrorCode.BACKEND_LOST, detail)

    def _check_event(self, client_stream: _ClientStream, block: bytes) -> RunkeelError | None:
        """Record the id of an event; returns an error if it isn't the next one in sequence."""
        event = self._protocol.parse_event(block)
        if not event.event_id:
            return None
        if not is_next_event(client_stream.last_event_id, event.event_id):
            detail = f"event {event.event_id} out of sequence after {client_stream.last_event_id}"
            return RunkeelError(ErrorCode.BACKEND_LOST, detail)
        client_stream.last_event_id = event.event_id
        return None

    def _resume(self, client_stream: _ClientStream, error: RunkeelError) -> None:
        """Resume at another server. Raises ResponseAbortedError if that fails."""
        logger.info(
            "stream interrupted",
            code="stream_broken",
            request=client_stream.request.request_id,
            backend=client_stream.state.incarnation,
            after=client_stream.last_event_id,
            error=error.detail,
            resumable=client_stream.route.resumable,
        )
        client_stream.state.record_call_failure()
        client_stream.watched.record_failure(client_stream.state, error)
        self._close_stream(client_stream)
        if not client_stream.route.resumable or client_stream.disconnected.is_set():
            raise ResponseAbortedError(error.detail)
        try:
            failure = self._try_servers(client_stream)
        except RunkeelError as raised:
            raise ResponseAbortedError(raised.detail) from raised
        if failure is not None:
            raise ResponseAbortedError(f"the server to resume at returned status {failure.status}")

    def _close_stream(self, client_stream: _ClientStream) -> None:
        stream, client_stream.server_stream = client_stream.server_stream, None
        if stream is not None:
            stream.close()
            client_stream.state.in_flight -= 1


def _error_of_end(unfinished_event: bytes, received_event: bool) -> RunkeelError | None:
    """Return why a stream that ended with its connection is not whole; None if it is."""
    if unfinished_event.strip():
        return RunkeelError(ErrorCode.TRUNCATED_ANSWER, "the connection ended inside an event")
    if not received_event:
        return RunkeelError(ErrorCode.TRUNCATED_ANSWER, "the connection ended before any event")
    return None


def _cancel_on_disconnect(disconnected: Event, opener: gevent.Greenlet) -> None:
    disconnected.wait()
    gevent.kill(opener, RunkeelError(ErrorCode.CANCELLED, "the client disconnected"))


def _abort_on_disconnect(client_stream: _ClientStream) -> None:
    client_stream.disconnected.wait()
    stream = client_stream.server_stream
    if stream is not None:
        stream.abort()
