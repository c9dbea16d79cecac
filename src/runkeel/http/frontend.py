"""HTTP listener for client requests that are forwarded to servers.

Built on gevent's WSGI server. Passes on the request target and headers unchanged, notifies the
handler when the client disconnects, and never terminates an incomplete response as if it were
complete.
"""

from __future__ import annotations

import contextlib
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
_CONNECTION_KEY = "runkeel.connection"
_MIN_HEADER_SECONDS = 1.0


@dataclass(slots=True)
class ClientRequest:
    """A request as the client sent it.

    Attributes:
        target: path and query, not decoded.
        received_at: steady clock time, in seconds, at which the headers had been read.
        disconnected: set when the client has closed its connection.
        tenant: name of the tenant; empty until it is known.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float
    disconnected: Event = field(default_factory=Event)
    tenant: str = ""

    def header(self, name: str) -> str:
        """Return a header's value, empty if it is missing."""
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
class ClientResponse:
    """A response to a client; an iterable body is sent in chunks as it arrives."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes | Iterable[bytes] = b""


class ResponseAbortedError(Exception):
    """Raised to close the client's connection without completing the response."""


class _ClientConnection(WSGIHandler):
    """A client's connection; gevent calls its methods to read and answer the requests on it."""

    def get_environ(self) -> dict[str, Any]:
        environment = super().get_environ()
        environment[_CONNECTION_KEY] = self
        if self.server.stopping:
            self.close_connection = True
        return environment

    def handle(self) -> None:
        self.socket.settimeout(self.server.limits().idle_timeout_seconds)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)
        try:
            super().handle()
        finally:
            self.server.connections.discard(self)

    busy = False
    """Whether a request whose headers have been read is being handled."""

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
        if isinstance(value, ResponseAbortedError):
            self.close_connection = True
            return
        super().handle_error(kind, value, traceback)

    def log_request(self) -> None:
        """Disable access logs; the components that handle a request log notable events."""

    def log_error(self, message: str, *arguments: object) -> None:
        """Disable logs of malformed requests."""


class _Server(WSGIServer):
    handler_class = _ClientConnection
    stopping = False
    in_flight = 0
    limits: Callable[[], ClientLimits]
    connections: set[_ClientConnection]

    def update_environ(self) -> None:
        """Set SERVER_NAME to the address; the default is a DNS lookup, which could block."""
        host, port = self.address[:2]
        self.environ["SERVER_NAME"] = host
        self.environ["SERVER_PORT"] = str(port)


class Frontend:
    """HTTP server that responds to each client request with the result of a handler.

    Args:
        listen: address to listen on.
        handler: returns the response to a request.
        limits: returns the limits in force; called for each connection and request.
    """

    def __init__(
        self,
        listen: Address,
        handler: Callable[[ClientRequest], ClientResponse],
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
        self._server.connections = set()

    @property
    def address(self) -> Address:
        """The address that the server listens on."""
        return Address(self._server.server_host, self._server.server_port)

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._server.in_flight

    def start(self) -> None:
        """Start listening. Raises OSError if the address is in use."""
        self._server.start()

    def close_after_responses(self) -> None:
        """Close each connection after its next response; still accept new connections."""
        self._server.stopping = True

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        self._server.stopping = True
        self._server.stop_accepting()
        if not self._server.closed:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections that have no request in flight or partly read."""
        for client_connection in list(self._server.connections):
            if not client_connection.busy and client_connection.requestline is None:
                client_connection.socket.close()

    def stop(self) -> None:
        """Close the listener; requests in flight go on."""
        self._server.stop(timeout=0)

    def close_connections(self) -> None:
        """Close every connection, also those with a request in flight."""
        for client_connection in list(self._server.connections):
            # Unlike close(), effective at once although the request is still read from a file.
            with contextlib.suppress(OSError):
                client_connection.socket.shutdown(socket.SHUT_RDWR)

    def _application(
        self, environment: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        connection: _ClientConnection = environment[_CONNECTION_KEY]
        request = self._read_request(environment, connection)
        if request is None:
            start_response(_status_line(413), [("Content-Length", "0"), ("Connection", "close")])
            return [b""]
        watcher = gevent.spawn(_watch_disconnect, connection.socket, request.disconnected)
        try:
            response = self._respond(request)
        except BaseException:
            watcher.kill(block=False)
            raise
        if isinstance(response.body, bytes):
            watcher.kill(block=False)
            return self._send_complete(response, connection, start_response)
        start_response(_status_line(response.status), response.headers)
        return _relay(response.body, watcher)

    def _send_complete(
        self,
        response: ClientResponse,
        connection: _ClientConnection,
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        if response.status not in _BODILESS_STATUSES:
            response.headers.append(("Content-Length", str(len(response.body))))
        if self._server.stopping:
            connection.close_connection = True
            response.headers.append(("Connection", "close"))
        start_response(_status_line(response.status), response.headers)
        return [response.body]

    def _respond(self, request: ClientRequest) -> ClientResponse:
        try:
            return self._handler(request)
        except ResponseAbortedError:
            raise
        except Exception as error:
            logger.opt(exception=error).error(
                "unexpected error in request handler", code="internal"
            )
            return ClientResponse(500)

    def _read_request(
        self, environment: dict[str, Any], connection: _ClientConnection
    ) -> ClientRequest | None:
        """Return the request, or None if its body exceeds the limit."""
        received_at = steady_seconds()
        limit = self._limits().max_body_bytes
        body = _read_body(environment, limit)
        if body is None:
            connection.close_connection = True
            return None
        headers = tuple((name, value) for name, value in connection.headers.items())
        return ClientRequest(
            environment["REQUEST_METHOD"], connection.path, headers, body, received_at
        )


def _read_body(environment: dict[str, Any], limit: int) -> bytes | None:
    """Return the request body, None if it exceeds the limit in bytes."""
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
        raise ResponseAbortedError("request body truncated")
    return body


def _watch_disconnect(sock: socket.socket, gone: Event) -> None:
    """Set the event when the peer disconnects.

    Returns if the peer pipelines another request; from then on, disconnects are not noticed.
    """
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
