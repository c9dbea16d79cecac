"""Keep-alive HTTP/1.1 connections to one back end, with a verdict for every failure.

The parser is geventhttpclient's (llhttp). Its own pool is not used because it can't tell whether a
byte of the request was written, which decides between ``NOT_RUN`` and ``MAY_HAVE_RUN``.
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
"""Longest wait for a connection to a back end. Chosen, not measured."""

RECEIVE_BYTES = 65_536
"""Most that is read from a socket at a time: the size of a common receive buffer."""

MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
"""A longer answer is refused, so that a back end cannot fill the memory. Chosen, not measured."""

MAXIMUM_IDLE_CONNECTIONS = 32
"""Most unused connections kept to one back end. Chosen, not measured."""

MAXIMUM_IDLE_SECONDS = 20.0
"""Longest time that an unused connection is kept if the back end names none.

Chosen, not measured.
"""

KEEP_ALIVE_MARGIN_SECONDS = 0.7
"""An idle connection is given up so long before the server would close it."""
KEEP_ALIVE_PROBE_SECONDS = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 3_000
"""A peer that acknowledges nothing for so long is taken as gone."""

PROBED_IDLE_SECONDS = 2.0
"""A connection that was made to see whether a server is there is kept for use for so long."""

_FIRST_FINAL_STATUS = 200
_LINGER_NOT = struct.pack("ii", 1, 0)
"""Value of SO_LINGER by which closing resets the connection."""

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")


class Reachability(enum.StrEnum):
    """What an attempt to connect to a back end showed."""

    OPEN = "open"
    """Somebody listens at the address."""
    REFUSED = "refused"
    """Nobody does, so that the back end has ended."""
    UNKNOWN = "unknown"
    """Neither was heard in time."""


class _Answer(HTTPResponse):
    """Parser of exactly one answer; bytes beyond its end are an error."""

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= _FIRST_FINAL_STATUS:
            raise HTTPProtocolViolationError("bytes after the end of the answer")
        super()._on_message_begin()

    @property
    def finished(self) -> bool:
        """Whether the final answer is complete; interim (1xx) answers don't count."""
        return self.message_complete and self.get_code() >= _FIRST_FINAL_STATUS

    @property
    def final_headers_complete(self) -> bool:
        """Whether the headers of the final answer have come."""
        return self.headers_complete and self.get_code() >= _FIRST_FINAL_STATUS

    def take_body(self) -> bytes:
        """Return the body bytes parsed so far and forget them."""
        body = bytes(self._body_buffer)
        self._body_buffer.clear()
        return body

    def end_of_input(self) -> bool:
        """Take the connection's end; True when that ends the answer (it had no length)."""
        delimited = "content-length" in self or "transfer-encoding" in self
        if not self.ends_with_connection or not self.final_headers_complete or delimited:
            return False
        self.message_complete = True
        self.closed_by_peer = True
        return True

    closed_by_peer = False
    ends_with_connection = False

    @property
    def idle_seconds(self) -> float:
        """How long the server keeps the connection open when nothing is sent on it."""
        match = _KEEP_ALIVE_TIMEOUT.search(str(self.get("keep-alive") or ""))
        if match is None:
            return MAXIMUM_IDLE_SECONDS
        return min(MAXIMUM_IDLE_SECONDS, int(match[1]) - KEEP_ALIVE_MARGIN_SECONDS)

    @property
    def buffered_bytes(self) -> int:
        """Body bytes parsed and not yet taken."""
        return len(self._body_buffer)


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request for a back end; ``target`` is the path with the query."""

    method: str
    target: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    host: str = ""
    """Value of the Host header; the back end's address when empty."""


AnswerCheck = Callable[[int, list[tuple[str, str]]], bool]
"""Tells from status and headers whether an answer belongs to the request."""


@dataclass(slots=True)
class HttpAnswer:
    """A whole answer of a back end."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class HttpAnswerStream:
    """An answer whose body is read as it comes. Close it, also when it has ended."""

    def __init__(self, pool: HttpConnectionPool, sock: gevent.socket.socket, answer: _Answer):
        self._pool = pool
        self._sock: gevent.socket.socket | None = sock
        self._answer = answer
        self.status = answer.get_code()
        self.headers = list(answer.items())

    def chunks(self, deadline: float) -> Iterator[bytes]:
        """Yield body bytes as they arrive, until the answer's end.

        Raises:
            RunkeelError: TRUNCATED_ANSWER, BACKEND_LOST or DEADLINE_EXCEEDED (MAY_HAVE_RUN).
        """
        while (body := self.read_chunk(deadline)) is not None:
            yield body

    def read_chunk(self, deadline: float) -> bytes | None:
        """Return the next body bytes, None at the answer's end; raises like :meth:`chunks`.

        After DEADLINE_EXCEEDED it may be called again.
        """
        while True:
            body = self._answer.take_body()
            if body:
                return body
            if self._answer.finished:
                return None
            if self._sock is None:
                raise may_have_run(ErrorCode.CANCELLED, "the stream was closed")
            _receive_into(self._sock, self._answer, deadline)

    def close(self) -> None:
        """Give the connection back if the answer was read to its end, else reset it."""
        sock, self._sock = self._sock, None
        if sock is not None:
            self._pool.give_back(sock, self._answer)

    def abort(self) -> None:
        """Reset the connection now; a task that reads the answer gets BACKEND_LOST."""
        sock, self._sock = self._sock, None
        if sock is not None:
            self._pool.drop(sock)


class HttpConnectionPool:
    """Connections to one back end.

    Args:
        ends_with_connection: an answer without a length ends where its connection ends in
            order; without this it counts as truncated, as back ends are asked to tell lengths.
    """

    def __init__(
        self,
        address: Address,
        maximum_answer_bytes: int = MAXIMUM_ANSWER_BYTES,
        ends_with_connection: bool = False,
    ) -> None:
        self._address = (address.host, address.port)
        self._host = str(address)
        self._maximum_answer_bytes = maximum_answer_bytes
        self._ends_with_connection = ends_with_connection
        self._idle: list[tuple[gevent.socket.socket, float]] = []
        self._in_use: set[gevent.socket.socket] = set()
        self._closed = False
        self._over = False

    def request(
        self,
        request: OutgoingRequest,
        deadline: float,
        before_send: Callable[[], None] | None = None,
        accept: AnswerCheck | None = None,
    ) -> HttpAnswer:
        """Send a request and return the whole answer.

        Args:
            deadline: steady time at which to give up.
            before_send: called once, right before the first byte is written; if it raises,
                nothing is sent.
            accept: an answer for which it returns False is dropped with its connection.

        Raises:
            RunkeelError: BACKEND_UNREACHABLE (NOT_RUN: no byte was sent); BACKEND_LOST,
                TRUNCATED_ANSWER or DEADLINE_EXCEEDED (MAY_HAVE_RUN).
        """
        sock, answer = self._exchange_headers(request, deadline, before_send)
        try:
            if accept is not None and not accept(answer.get_code(), list(answer.items())):
                answer.message_complete = False
                raise may_have_run(ErrorCode.BACKEND_LOST, "the answer is not to this request")
            while not answer.finished:
                if answer.buffered_bytes > self._maximum_answer_bytes:
                    raise may_have_run(ErrorCode.BACKEND_LOST, "the answer is too large")
                _receive_into(sock, answer, deadline)
        finally:
            self.give_back(sock, answer)
        return HttpAnswer(answer.get_code(), list(answer.items()), answer.take_body())

    def open_stream(
        self,
        request: OutgoingRequest,
        deadline: float,
        before_send: Callable[[], None] | None = None,
    ) -> HttpAnswerStream:
        """Send a request and return after the answer's headers. Raises like :meth:`request`."""
        sock, answer = self._exchange_headers(request, deadline, before_send)
        return HttpAnswerStream(self, sock, answer)

    def give_back(self, sock: gevent.socket.socket, answer: _Answer) -> None:
        """Keep a connection whose answer ended cleanly; reset one that is given up midway."""
        if not answer.finished or sock not in self._in_use:
            self.drop(sock)
            return
        self._in_use.discard(sock)
        reusable = not answer.closed_by_peer and not answer.should_close()
        if self._closed or not reusable or len(self._idle) >= MAXIMUM_IDLE_CONNECTIONS:
            sock.close()
            return
        self._idle.append((sock, steady_seconds() + answer.idle_seconds))

    def drop(self, sock: gevent.socket.socket) -> None:
        """Reset a connection in use."""
        self._in_use.discard(sock)
        _reset(sock)

    def probe(self, seconds: float) -> Reachability:
        """Find out whether the back end is there; a connection that comes about is kept for use.

        Args:
            seconds: longest wait.
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
        if self._closed or len(self._idle) >= MAXIMUM_IDLE_CONNECTIONS:
            sock.close()
        else:
            self._idle.append((sock, steady_seconds() + PROBED_IDLE_SECONDS))
        return Reachability.OPEN

    @property
    def idle_connections(self) -> int:
        """Connections that are open and not in use."""
        return len(self._idle)

    def close(self) -> None:
        """Close the idle connections; connections in use are closed when given back."""
        self._closed = True
        while self._idle:
            self._idle.pop()[0].close()

    def abort(self) -> None:
        """Reset all connections, those in use too, and make no more: the back end is over.

        Whoever waits for an answer gets BACKEND_LOST or TRUNCATED_ANSWER now. A back end whose
        machine lost power says nothing, so that its callers would wait until their time is up.
        """
        self._over = True
        self.close()
        for sock in list(self._in_use):
            self.drop(sock)

    def _exchange_headers(
        self,
        request: OutgoingRequest,
        deadline: float,
        before_send: Callable[[], None] | None,
    ) -> tuple[gevent.socket.socket, _Answer]:
        head = _encode_head(request, self._host)
        sock = self._connection(deadline)
        self._in_use.add(sock)
        answer = _Answer(request.method)
        answer.ends_with_connection = self._ends_with_connection
        try:
            if before_send is not None:
                before_send()
            _send(sock, head + request.body, deadline)
            while not answer.final_headers_complete:
                _receive_into(sock, answer, deadline)
        except BaseException:
            self.drop(sock)
            raise
        return sock, answer

    def _connection(self, deadline: float) -> gevent.socket.socket:
        now = steady_seconds()
        while self._idle:
            sock, usable_until = self._idle.pop()
            if now < usable_until and _is_quiet(sock):
                return sock
            sock.close()
        return self._connect(deadline - now)

    def _connect(self, remaining_seconds: float) -> gevent.socket.socket:
        if remaining_seconds <= 0:
            raise not_run(ErrorCode.DEADLINE_EXCEEDED, "no time left to connect")
        self._check_not_over()
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
        if self._over:
            sock.close()
        self._check_not_over()
        return sock

    def _check_not_over(self) -> None:
        if self._over:
            raise not_run(ErrorCode.BACKEND_UNREACHABLE, f"{self._host}: started anew")


def _set_options(sock: gevent.socket.socket) -> None:
    """Send small requests at once, and notice a peer that has fallen silent."""
    tcp = gevent.socket.IPPROTO_TCP
    sock.setsockopt(tcp, gevent.socket.TCP_NODELAY, 1)
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, gevent.socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_SECONDS)
    sock.setsockopt(tcp, gevent.socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_SECONDS)
    sock.setsockopt(tcp, gevent.socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(tcp, gevent.socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)


def _reset(sock: gevent.socket.socket) -> None:
    """Close a connection at once, dropping what its peer has not acknowledged.

    After a plain close the kernel would go on sending: a request that a partition holds up would
    reach the back end later, though it has been given up and may run elsewhere.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, _LINGER_NOT)
    sock.close()


def _encode_head(request: OutgoingRequest, host: str) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host or host}"]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(request.body)}")
    text = "\r\n".join(lines)
    if text.count("\r") != len(lines) - 1 or text.count("\n") != len(lines) - 1:
        raise not_run(ErrorCode.BAD_REQUEST, "line break in the request's head")
    try:
        return text.encode("latin-1") + b"\r\n\r\n"
    except UnicodeEncodeError:
        raise not_run(ErrorCode.BAD_REQUEST, "character outside latin-1 in the head") from None


def _is_quiet(sock: gevent.socket.socket) -> bool:
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
        raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, "time-out while sending") from error
    except OSError as error:
        raise may_have_run(ErrorCode.BACKEND_LOST, f"while sending: {error}") from error


def _receive_into(sock: gevent.socket.socket, answer: _Answer, deadline: float) -> None:
    sock.settimeout(max(0.001, deadline - steady_seconds()))
    try:
        data = sock.recv(RECEIVE_BYTES)
    except TimeoutError as error:
        raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, "no answer in time") from error
    except OSError as error:
        raise _cut(answer, str(error)) from error
    if not data:
        if answer.end_of_input():
            return
        raise _cut(answer, "connection closed")
    try:
        answer.feed(data)
    except HTTPParseError as error:
        raise may_have_run(ErrorCode.BACKEND_LOST, f"broken answer: {error}") from error


def _cut(answer: _Answer, detail: str) -> RunkeelError:
    """Build the error for a connection that ended before the answer's end."""
    if answer.final_headers_complete:
        return may_have_run(ErrorCode.TRUNCATED_ANSWER, detail)
    return may_have_run(ErrorCode.BACKEND_LOST, detail)
