"""Pool of keep-alive HTTP/1.1 connections to one backend, with a verdict for every failure.

The parser is geventhttpclient's (llhttp). Its connection pool is not used, as it doesn't report
whether sending of the request had begun, which decides between ``NOT_RUN`` and ``MAY_HAVE_RUN``.
"""

from __future__ import annotations

import contextlib
import enum
import re
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent.socket
from geventhttpclient.response import HTTPParseError, HTTPProtocolViolationError, HTTPResponse

from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, may_have_run, not_run

CONNECT_TIMEOUT_SECONDS = 1.0
"""Maximum time to wait for a connection to a backend."""

RECEIVE_BYTES = 65_536
"""Maximum number of bytes per read from a socket."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Default maximum size of a response body, to bound the memory that a backend can use.

It applies to :meth:`HttpConnectionPool.request`; the body of a stream is not limited.
"""

MAX_BYTES_WITHOUT_BODY = 128 * 1024
"""Maximum number of bytes received in a row that contain no byte of a response body.

Bounds response headers, interim responses, chunk extensions and trailers.
"""

READS_PER_YIELD = 8
"""Number of reads after which other tasks get a turn, as a read from a full socket doesn't wait.

They get one after each read of :data:`RECEIVE_BYTES`, too, as parsing many small chunks takes long.
"""

MAX_IDLE_CONNECTIONS = 32
"""Maximum number of idle connections kept per backend."""

MAX_IDLE_SECONDS = 20.0
"""Maximum time that an idle connection is kept, also if the backend allows a longer one."""

KEEP_ALIVE_MARGIN_SECONDS = 0.7
"""An idle connection is discarded this long before the server would close it."""

TCP_KEEPALIVE_INTERVAL_SECONDS = 1
"""Time without traffic before the first TCP keep-alive probe, and between two probes."""

TCP_KEEPALIVE_PROBES = 2
"""Number of unanswered TCP keep-alive probes after which the connection is considered lost."""

TCP_USER_TIMEOUT_MILLISECONDS = 3_000
"""Time without acknowledgement of sent data after which the connection is considered lost."""

MAX_PROBED_IDLE_SECONDS = 2.0
"""Maximum time that a connection opened by :meth:`HttpConnectionPool.probe` is kept for reuse."""

END_PROBE_SECONDS = 0.1
"""Maximum time to check whether the backend still runs after a response delimited by a close."""

_FIRST_INTERIM_STATUS = 100
_FIRST_FINAL_STATUS = 200
_LAST_FINAL_STATUS = 599
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes close() reset the connection."""

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")


class Reachability(enum.StrEnum):
    """Result of an attempt to connect to a backend."""

    OPEN = "open"
    """The backend accepted the connection."""
    REFUSED = "refused"
    """Nothing listens at the address, so the backend has ended."""
    UNKNOWN = "unknown"
    """The attempt timed out or failed otherwise."""


class _ResponseParser(HTTPResponse):
    """Parser of exactly one response; bytes beyond its end are an error."""

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= _FIRST_FINAL_STATUS:
            raise HTTPProtocolViolationError("bytes after the end of the response")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        if not _FIRST_INTERIM_STATUS <= self.get_code() <= _LAST_FINAL_STATUS:
            raise HTTPProtocolViolationError(f"status {self.get_code()} is not in 100 to 599")
        return super()._on_headers_complete()

    @property
    def finished(self) -> bool:
        """Whether the final response is complete; interim (1xx) responses don't count."""
        return self.message_complete and self.get_code() >= _FIRST_FINAL_STATUS

    @property
    def final_headers_complete(self) -> bool:
        """Whether the headers of the final response are complete."""
        return self.headers_complete and self.get_code() >= _FIRST_FINAL_STATUS

    def take_body(self) -> bytes:
        """Return the body bytes parsed so far and remove them from the buffer."""
        body = bytes(self._body_buffer)
        self._body_buffer.clear()
        return body

    def handle_eof(self) -> bool:
        """Handle the end of the connection; returns True if it delimits the response body."""
        has_explicit_length = "content-length" in self or "transfer-encoding" in self
        if not self.allow_close_delimited or not self.final_headers_complete or has_explicit_length:
            return False
        self.message_complete = True
        self.delimited_by_close = True
        return True

    reads = 0
    """Number of reads from the socket so far."""
    bytes_without_body = 0
    """Number of bytes received since the last byte of the body."""
    late_read_deadline = 0.0
    """Deadline after which a read was made, as the data may have arrived before it; 0: none."""
    delimited_by_close = False
    """Whether the body had no explicit length and ended with the connection."""
    allow_close_delimited = False
    """Whether a body without an explicit length may end with the connection."""

    @property
    def idle_seconds(self) -> float:
        """Time in seconds for which the idle connection may be reused."""
        match = _KEEP_ALIVE_TIMEOUT.search(str(self.get("keep-alive") or ""))
        if match is None:
            return MAX_IDLE_SECONDS
        return min(MAX_IDLE_SECONDS, int(match[1]) - KEEP_ALIVE_MARGIN_SECONDS)

    @property
    def buffered_bytes(self) -> int:
        """Number of body bytes parsed and not yet taken."""
        return len(self._body_buffer)


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to a backend; ``target`` is the path with the query."""

    method: str
    target: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    host: str = ""
    """Value of the Host header; the backend's address if empty."""


ResponseCheck = Callable[[int, list[tuple[str, str]]], bool]
"""Checks by status and headers whether a response belongs to the request."""


@dataclass(slots=True)
class HttpResponse:
    """A complete response of a backend."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class HttpResponseStream:
    """A response whose body is read incrementally. Must be closed, even after its end."""

    def __init__(
        self, pool: HttpConnectionPool, sock: gevent.socket.socket, parser: _ResponseParser
    ):
        self._pool = pool
        self._sock: gevent.socket.socket | None = sock
        self._parser = parser
        self._end_confirmed = False
        self.status = parser.get_code()
        self.headers = list(parser.items())

    @property
    def delimited_by_close(self) -> bool:
        """Whether the body had no explicit length and has ended with the connection.

        Such an end may be that of a server that crashed.
        """
        return self._parser.delimited_by_close

    def chunks(self, deadline: float) -> Iterator[bytes]:
        """Yield body bytes as they arrive, until the end of the response.

        Args:
            deadline: steady clock time, in seconds.

        Raises:
            RunkeelError: TRUNCATED_ANSWER, BACKEND_LOST, DEADLINE_EXCEEDED or, once the stream is
                closed, CANCELLED (all MAY_HAVE_RUN).
        """
        while (body := self.read_chunk(deadline)) is not None:
            yield body

    def read_chunk(self, deadline: float) -> bytes | None:
        """Return the next body bytes, None at the end of the response.

        Raises like :meth:`chunks`; may be called again after DEADLINE_EXCEEDED.
        """
        while True:
            body = self._parser.take_body()
            if body:
                return body
            if self._parser.finished:
                self._confirm_end()
                return None
            if self._sock is None:
                raise may_have_run(ErrorCode.CANCELLED, "the stream was closed")
            _receive_into(self._sock, self._parser, deadline)

    def _confirm_end(self) -> None:
        """Check once that the end of a body without a length is not that of the backend."""
        if self._parser.delimited_by_close and not self._end_confirmed:
            self._pool.check_backend_runs()
            self._end_confirmed = True

    def read_body(self, deadline: float, max_bytes: int = MAX_RESPONSE_BYTES) -> bytes:
        """Return the rest of the body.

        Raises like :meth:`chunks`, and BACKEND_LOST (MAY_HAVE_RUN) if it exceeds ``max_bytes``.
        """
        body = bytearray()
        for chunk in self.chunks(deadline):
            body += chunk
            if len(body) > max_bytes:
                raise may_have_run(
                    ErrorCode.BACKEND_LOST, f"response body exceeds {max_bytes} bytes"
                )
        return bytes(body)

    def close(self) -> None:
        """Return the connection to the pool if the response was read to its end, else reset it."""
        sock, self._sock = self._sock, None
        if sock is not None:
            self._pool.release(sock, self._parser)

    def abort(self) -> None:
        """Reset the connection; a task that is waiting for data gets TRUNCATED_ANSWER."""
        sock, self._sock = self._sock, None
        if sock is not None:
            self._pool.reset(sock)


class HttpConnectionPool:
    """Connections to one backend.

    Args:
        max_response_bytes: maximum size of a response body in :meth:`request`; streams are not
            limited.
        allow_close_delimited: whether a response without a length may be delimited by a regular
            close of the connection, unless the backend has ended; otherwise it counts as truncated.
    """

    def __init__(
        self,
        address: Address,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        allow_close_delimited: bool = False,
    ) -> None:
        self._address = (address.host, address.port)
        self._host = str(address)
        self._max_response_bytes = max_response_bytes
        self._allow_close_delimited = allow_close_delimited
        self._idle: list[tuple[gevent.socket.socket, float]] = []
        self._in_use: set[gevent.socket.socket] = set()
        self._closed = False
        self._aborted = False

    def request(
        self,
        request: OutgoingRequest,
        deadline: float,
        before_send: Callable[[], None] | None = None,
        accept: ResponseCheck | None = None,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        Args:
            deadline: steady clock time, in seconds, at which to give up.
            before_send: called once, right before sending begins; if it raises, nothing is sent.
            accept: checks the response; if it returns False, the connection is reset and
                BACKEND_LOST (MAY_HAVE_RUN) is raised.

        Raises:
            RunkeelError: with verdict NOT_RUN if sending had not begun: BACKEND_UNREACHABLE,
                DEADLINE_EXCEEDED or BAD_REQUEST; otherwise with MAY_HAVE_RUN: BACKEND_LOST,
                TRUNCATED_ANSWER or DEADLINE_EXCEEDED.
        """
        sock, parser = self._exchange_headers(request, deadline, before_send)
        try:
            if accept is not None and not accept(parser.get_code(), list(parser.items())):
                # Makes release() reset the connection.
                parser.message_complete = False
                raise may_have_run(
                    ErrorCode.BACKEND_LOST,
                    "response failed the check that it belongs to the request",
                )
            while not parser.finished:
                if parser.buffered_bytes > self._max_response_bytes:
                    raise may_have_run(
                        ErrorCode.BACKEND_LOST, "response body exceeds the maximum size"
                    )
                _receive_into(sock, parser, deadline)
        finally:
            self.release(sock, parser)
        if parser.delimited_by_close:
            self.check_backend_runs()
        return HttpResponse(parser.get_code(), list(parser.items()), parser.take_body())

    def open_stream(
        self,
        request: OutgoingRequest,
        deadline: float,
        before_send: Callable[[], None] | None = None,
    ) -> HttpResponseStream:
        """Send a request and return once the response headers are complete.

        Raises like :meth:`request`.
        """
        sock, parser = self._exchange_headers(request, deadline, before_send)
        return HttpResponseStream(self, sock, parser)

    def release(self, sock: gevent.socket.socket, parser: _ResponseParser) -> None:
        """Return a connection to the pool; resets it if its response is incomplete."""
        if not parser.finished or sock not in self._in_use:
            self.reset(sock)
            return
        self._in_use.discard(sock)
        reusable = not parser.delimited_by_close and not parser.should_close()
        if self._closed or not reusable or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            sock.close()
            return
        self._idle.append((sock, steady_seconds() + parser.idle_seconds))

    def reset(self, sock: gevent.socket.socket) -> None:
        """Reset a connection in use."""
        self._in_use.discard(sock)
        _reset(sock)

    def probe(self, seconds: float) -> Reachability:
        """Check whether the backend accepts connections; keeps the connection for reuse.

        Args:
            seconds: maximum time to wait.
        """
        sock = gevent.socket.socket()
        try:
            sock.settimeout(seconds)
            sock.connect(self._address)
            _set_options(sock)
        except ConnectionRefusedError:
            sock.close()
            return Reachability.REFUSED
        except OSError:
            sock.close()
            return Reachability.UNKNOWN
        except BaseException:
            sock.close()
            raise
        if self._closed or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            sock.close()
        else:
            self._idle.append((sock, steady_seconds() + MAX_PROBED_IDLE_SECONDS))
        return Reachability.OPEN

    def check_backend_runs(self) -> None:
        """Raise TRUNCATED_ANSWER (MAY_HAVE_RUN) if the backend has ended.

        The kernel closes the connections of a crashed process in order. The end of a response that
        is delimited by the close of its connection may therefore be missing.
        """
        if self._aborted or self.probe(END_PROBE_SECONDS) is Reachability.REFUSED:
            raise may_have_run(
                ErrorCode.TRUNCATED_ANSWER,
                "the backend ended together with the connection that delimits its response",
            )

    @property
    def idle_connections(self) -> int:
        """Number of open connections that are not in use."""
        return len(self._idle)

    def close(self) -> None:
        """Close the idle connections; those in use are closed when they are released."""
        self._closed = True
        while self._idle:
            self._idle.pop()[0].close()

    def abort(self) -> None:
        """Reset all connections, including those in use, and refuse new ones.

        Called when the backend's incarnation is known to be over. Waiting callers get BACKEND_LOST
        or TRUNCATED_ANSWER at once. Otherwise, if the backend's machine lost power, they would wait
        until unanswered TCP keep-alive probes or the TCP user timeout end the connection.
        """
        self._aborted = True
        self.close()
        for sock in list(self._in_use):
            self.reset(sock)

    def _exchange_headers(
        self,
        request: OutgoingRequest,
        deadline: float,
        before_send: Callable[[], None] | None,
    ) -> tuple[gevent.socket.socket, _ResponseParser]:
        head = _encode_head(request, self._host)
        sock = self._connection(deadline)
        self._in_use.add(sock)
        parser = _ResponseParser(request.method)
        parser.allow_close_delimited = self._allow_close_delimited
        try:
            if before_send is not None:
                before_send()
            _send(sock, head + request.body, deadline)
            while not parser.final_headers_complete:
                _receive_into(sock, parser, deadline)
        except BaseException:
            self.reset(sock)
            raise
        return sock, parser

    def _connection(self, deadline: float) -> gevent.socket.socket:
        now = steady_seconds()
        while self._idle:
            sock, usable_until = self._idle.pop()
            if now < usable_until and _is_reusable(sock):
                return sock
            sock.close()
        return self._connect(deadline - now)

    def _connect(self, remaining_seconds: float) -> gevent.socket.socket:
        if remaining_seconds <= 0:
            raise not_run(
                ErrorCode.DEADLINE_EXCEEDED, "deadline reached before connecting to the backend"
            )
        self._check_not_aborted()
        sock = gevent.socket.socket()
        try:
            sock.settimeout(min(CONNECT_TIMEOUT_SECONDS, remaining_seconds))
            sock.connect(self._address)
            _set_options(sock)
        except OSError as error:
            sock.close()
            raise not_run(ErrorCode.BACKEND_UNREACHABLE, f"{self._host}: {error}") from error
        except BaseException:
            sock.close()
            raise
        if self._aborted:
            sock.close()
        self._check_not_aborted()
        return sock

    def _check_not_aborted(self) -> None:
        if self._aborted:
            raise not_run(ErrorCode.BACKEND_UNREACHABLE, f"{self._host}: backend was restarted")


def _set_options(sock: gevent.socket.socket) -> None:
    """Disable Nagle's algorithm and enable detection of an unreachable peer."""
    tcp = gevent.socket.IPPROTO_TCP
    sock.setsockopt(tcp, gevent.socket.TCP_NODELAY, 1)
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, gevent.socket.TCP_KEEPIDLE, TCP_KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, gevent.socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, gevent.socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    sock.setsockopt(tcp, gevent.socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS)


def _reset(sock: gevent.socket.socket) -> None:
    """Reset a connection, discarding data that the peer has not acknowledged.

    After a regular close the kernel would continue to send: once a network partition heals, the
    backend would get a request that was abandoned and may already run elsewhere.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, _RESET_ON_CLOSE)
    sock.close()


def _encode_head(request: OutgoingRequest, host: str) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host or host}"]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(request.body)}")
    text = "\r\n".join(lines)
    if text.count("\r") != len(lines) - 1 or text.count("\n") != len(lines) - 1:
        raise not_run(ErrorCode.BAD_REQUEST, "line break in the request line or a header")
    try:
        return text.encode("latin-1") + b"\r\n\r\n"
    except UnicodeEncodeError:
        raise not_run(
            ErrorCode.BAD_REQUEST, "character outside latin-1 in the request line or a header"
        ) from None


def _is_reusable(sock: gevent.socket.socket) -> bool:
    """Return whether an idle connection is open and has no unread bytes."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, gevent.socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _send(sock: gevent.socket.socket, data: bytes, deadline: float) -> None:
    sock.settimeout(max(0.001, deadline - steady_seconds()))
    try:
        sock.sendall(data)
    except TimeoutError as error:
        raise may_have_run(
            ErrorCode.DEADLINE_EXCEEDED, "timed out while sending the request"
        ) from error
    except OSError as error:
        raise may_have_run(
            ErrorCode.BACKEND_LOST, f"connection lost while sending the request: {error}"
        ) from error


def _receive_into(sock: gevent.socket.socket, parser: _ResponseParser, deadline: float) -> None:
    """Read once and parse what was received."""
    _check_deadline(parser, deadline)
    sock.settimeout(max(0.001, deadline - steady_seconds()))
    try:
        data = sock.recv(RECEIVE_BYTES)
    except TimeoutError as error:
        raise may_have_run(
            ErrorCode.DEADLINE_EXCEEDED, "timed out waiting for the response"
        ) from error
    except OSError as error:
        raise _incomplete_error(parser, str(error)) from error
    if not data:
        if parser.handle_eof():
            return
        raise _incomplete_error(parser, "connection closed by the backend")
    _parse(parser, data)
    parser.reads += 1
    if len(data) == RECEIVE_BYTES or parser.reads % READS_PER_YIELD == 0:
        gevent.sleep(0)


def _check_deadline(parser: _ResponseParser, deadline: float) -> None:
    """Allow one read after a deadline, for data that arrived while this process did not run."""
    if steady_seconds() < deadline:
        return
    if parser.late_read_deadline == deadline:
        raise may_have_run(
            ErrorCode.DEADLINE_EXCEEDED, "the response is still incomplete after the deadline"
        )
    parser.late_read_deadline = deadline


def _parse(parser: _ResponseParser, data: bytes) -> None:
    body_bytes = parser.buffered_bytes
    try:
        parser.feed(data)
    except HTTPParseError as error:
        raise may_have_run(ErrorCode.BACKEND_LOST, f"malformed response: {error}") from error
    if parser.buffered_bytes > body_bytes:
        parser.bytes_without_body = 0
        return
    parser.bytes_without_body += len(data)
    if parser.bytes_without_body > MAX_BYTES_WITHOUT_BODY and not parser.finished:
        raise may_have_run(
            ErrorCode.BACKEND_LOST,
            f"{parser.bytes_without_body} bytes without a response body, "
            f"the limit is {MAX_BYTES_WITHOUT_BODY}",
        )


def _incomplete_error(parser: _ResponseParser, detail: str) -> RunkeelError:
    """Return the error for a connection that ended before the response was complete."""
    if parser.final_headers_complete:
        return may_have_run(ErrorCode.TRUNCATED_ANSWER, detail)
    return may_have_run(ErrorCode.BACKEND_LOST, detail)
