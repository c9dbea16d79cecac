"""The HTTP listener towards clients whose requests are passed on to servers.

Built on gevent's WSGI server. Unlike :mod:`runkeel.http.server` it keeps the request's target
and headers as they were sent, tells the handler when the client has closed its connection, and
never ends a broken answer as if it were whole.
"""

from __future__ import annotations

import http.client
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer
from loguru import logger

from runkeel.api.fleet import ClientLimits
from runkeel.api.machines import Address
from runkeel.clock import steady_seconds

_BACKLOG = 512
_BODILESS_STATUSES = (204, 304)
_REQUEST = "runkeel.handler"
_MINIMUM_HEADER_SECONDS = 1.0


@dataclass(slots=True)
class ClientRequest:
    """A request as the client sent it.

    Attributes:
        target: path and query, undecoded.
        received_at: steady time at which its head was read.
        gone: set when the client has closed its connection.
        tenant: on whose behalf it is answered, once that is known.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float
    gone: Event = field(default_factory=Event)
    tenant: str = ""

    def header(self, name: str) -> str:
        """Return a header's value, empty when it is missing."""
        lower = name.lower()
        return next((value for key, value in self.headers if key.lower() == lower), "")

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """The Host header without a port, in lower case."""
        return self.header("host").partition(":")[0].lower()


@dataclass(slots=True)
class ClientAnswer:
    """An answer to a client; an iterable body is sent in chunks as it comes."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes | Iterable[bytes] = b""


class AnswerBrokenOffError(Exception):
    """Raised by an answer's body to end the connection without completing the answer."""


class _Handler(WSGIHandler):
    def get_environ(self) -> dict[str, Any]:
        environment = super().get_environ()
        environment[_REQUEST] = self
        if self.server.stopping:
            self.close_connection = True
        return environment

    def handle(self) -> None:
        self.socket.settimeout(self.server.limits().idle_timeout_seconds)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.handlers.add(self)
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)

    busy = False

    def handle_one_request(self) -> Any:
        self.busy = False
        return super().handle_one_request()

    def handle_one_response(self) -> None:
        self.busy = True
        self.server.in_flight += 1
        try:
            super().handle_one_response()
        finally:
            self.server.in_flight -= 1
            self.busy = False

    def handle_error(self, kind: Any, value: Any, traceback: Any) -> None:
        if isinstance(value, AnswerBrokenOffError):
            self.close_connection = True
            return
        super().handle_error(kind, value, traceback)

    def log_request(self) -> None:
        """Write no line; decisions are logged where they are taken."""

    def log_error(self, message: str, *arguments: object) -> None:
        """Write no line about malformed requests."""


class _Server(WSGIServer):
    handler_class = _Handler
    stopping = False
    in_flight = 0
    limits: Callable[[], ClientLimits]
    handlers: set[_Handler]

    def update_environ(self) -> None:
        """Name the server by its address; a look-up of its name could block."""
        host, port = self.address[:2]
        self.environ["SERVER_NAME"] = host
        self.environ["SERVER_PORT"] = str(port)


class Frontend:
    """Listens for clients and answers each request by a handler.

    Args:
        limits: asked for each new connection.
    """

    def __init__(
        self,
        listen: Address,
        handler: Callable[[ClientRequest], ClientAnswer],
        limits: Callable[[], ClientLimits] = ClientLimits,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._server = _Server(
            (listen.host, listen.port),
            self._application,
            log=None,
            error_log=None,
            backlog=_BACKLOG,
        )
        self._server.limits = limits
        self._server.handlers = set()

    @property
    def address(self) -> Address:
        """The address listened on."""
        return Address(self._server.server_host, self._server.server_port)

    @property
    def in_flight(self) -> int:
        """Requests being answered."""
        return self._server.in_flight

    def start(self) -> None:
        """Listen. Raises OSError when the address is in use."""
        self._server.start()

    def close_after_answers(self) -> None:
        """Close each connection after its next answer; new ones are still taken."""
        self._server.stopping = True

    def stop_accepting(self) -> None:
        """Take no new connections."""
        self._server.stopping = True
        self._server.stop_accepting()
        if not self._server.closed:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is being answered or read."""
        for handler in list(self._server.handlers):
            if not handler.busy and handler.requestline is None:
                handler.socket.close()

    def stop(self) -> None:
        """Close the listener and every connection."""
        self._server.stop(timeout=0)

    def _application(
        self, environment: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        connection: _Handler = environment[_REQUEST]
        request = self._read(environment, connection)
        if request is None:
            start_response(_status_line(413), [("Content-Length", "0"), ("Connection", "close")])
            return [b""]
        watcher = gevent.spawn(_watch_disconnect, connection.socket, request.gone)
        try:
            answer = self._answer(request)
        except BaseException:
            watcher.kill(block=False)
            raise
        if isinstance(answer.body, bytes):
            watcher.kill(block=False)
            return self._send_whole(answer, connection, start_response)
        start_response(_status_line(answer.status), answer.headers)
        return _relay(answer.body, watcher)

    def _send_whole(
        self, answer: ClientAnswer, connection: _Handler, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        if answer.status not in _BODILESS_STATUSES:
            answer.headers.append(("Content-Length", str(len(answer.body))))
        if self._server.stopping:
            connection.close_connection = True
            answer.headers.append(("Connection", "close"))
        start_response(_status_line(answer.status), answer.headers)
        return [answer.body]

    def _answer(self, request: ClientRequest) -> ClientAnswer:
        try:
            return self._handler(request)
        except AnswerBrokenOffError:
            raise
        except Exception as error:
            logger.opt(exception=error).error("unexpected error", code="internal")
            return ClientAnswer(500)

    def _read(self, environment: dict[str, Any], connection: _Handler) -> ClientRequest | None:
        received_at = steady_seconds()
        limit = self._limits().maximum_body_bytes
        body = _read_body(environment, limit)
        if body is None:
            connection.close_connection = True
            return None
        headers = tuple((name, value) for name, value in connection.headers.items())
        return ClientRequest(
            environment["REQUEST_METHOD"], connection.path, headers, body, received_at
        )


def _read_body(environment: dict[str, Any], limit: int) -> bytes | None:
    """Return the request's body, None when it is longer than the limit."""
    length_text = environment.get("CONTENT_LENGTH") or ""
    chunked = "chunked" in environment.get("HTTP_TRANSFER_ENCODING", "").lower()
    if not chunked and not length_text:
        return b""
    if not chunked and int(length_text) > limit:
        return None
    body = environment["wsgi.input"].read(limit + 1 if chunked else int(length_text))
    if len(body) > limit:
        return None
    if not chunked and len(body) < int(length_text):
        raise AnswerBrokenOffError("the body was cut short")
    return body


def _watch_disconnect(sock: socket.socket, gone: Event) -> None:
    """Set the event when the peer closes; stop at bytes of a further request."""
    try:
        socket.wait_read(sock.fileno())
        if not sock.recv(1, socket.MSG_PEEK):
            gone.set()
    except OSError:
        gone.set()


def _relay(body: Iterable[bytes], watcher: gevent.Greenlet) -> Iterable[bytes]:
    try:
        yield from body
    finally:
        watcher.kill(block=False)
        close = getattr(body, "close", None)
        if close is not None:
            close()


def _status_line(status: int) -> str:
    return f"{status} {http.client.responses.get(status, 'Unknown')}"
