"""Serves a node's routes with gevent's WSGI server.

Limits against bad clients: a bound on connections, on header and body sizes, and a
time-out on a connection that does not complete a request (slow requests included).
"""

from __future__ import annotations

import http.client
from collections.abc import Callable, Iterable, Iterator
from typing import Any
from urllib.parse import parse_qsl

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from loguru import logger

from runkeel.api.http import HttpRequest, HttpResponse
from runkeel.api.machines import Address
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.http.metrics import ABORTED_RESPONSES, OPEN_CONNECTIONS, UNEXPECTED_ERRORS
from runkeel.http.problems import problem_response
from runkeel.http.routes import RouteTable
from runkeel.settings import LimitSettings

_BACKLOG = 1_024
_NO_BODY_STATUSES = (204, 304)
_TARGET = "runkeel.target"
_MALFORMED_CODES = {"414": ErrorCode.HEADERS_TOO_LARGE, "431": ErrorCode.HEADERS_TOO_LARGE}

StartResponse = Callable[..., Any]


class _Handler(WSGIHandler):
    """Bounds the time that a client may take to send a request."""

    def get_environ(self) -> dict[str, Any]:
        """Add the request target as received; close the connection of a stopping server."""
        environment = super().get_environ()
        environment[_TARGET] = self.path
        if self.server.stopping:
            self.close_connection = True
        return environment

    def handle(self) -> None:
        """Serve the connection until it closes or stays silent for too long."""
        OPEN_CONNECTIONS.inc()
        self.socket.settimeout(self.server.idle_connection_seconds)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            super().handle()
        finally:
            OPEN_CONNECTIONS.dec()

    def handle_one_response(self) -> None:
        """Answer one request, counted until its last byte is with the kernel."""
        self.server.in_flight += 1
        try:
            super().handle_one_response()
        finally:
            self.server.in_flight -= 1

    def handle_one_request(self) -> Any:
        """Answer one request; requests that cannot be parsed get a problem document as well."""
        result = super().handle_one_request()
        if isinstance(result, tuple):
            status = result[0]
            return status, _malformed_answer(status)
        return result

    def log_request(self) -> None:
        """Write no line a request; counters tell."""

    def log_error(self, message: str, *arguments: object) -> None:
        """Count malformed requests; they are not changes of state."""


class _Server(WSGIServer):
    handler_class = _Handler
    idle_connection_seconds: float
    stopping = False
    in_flight = 0


class HttpServer:
    """The node's HTTP listener."""

    def __init__(self, listen: Address, routes: RouteTable, limits: LimitSettings) -> None:
        """Prepare the server; it listens after :meth:`start`."""
        self._routes = routes
        self._limits = limits
        self._server = _Server(
            (listen.host, listen.port),
            self._application,
            spawn=Pool(limits.max_connections),
            log=None,
            error_log=None,
            backlog=_BACKLOG,
        )
        self._server.idle_connection_seconds = limits.idle_connection_s

    @property
    def address(self) -> Address:
        """The address listened on, with the port that the kernel gave."""
        return Address(self._server.server_host, self._server.server_port)

    def bind(self) -> None:
        """Take the address without accepting yet. Raises OSError when it is in use."""
        self._server.init_socket()

    @property
    def in_flight(self) -> int:
        """Requests being answered, from their last header to the last byte of the answer."""
        return self._server.in_flight

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Refuse new connections; open ones are closed after their next answer."""
        self._server.stopping = True
        self._server.stop_accepting()
        if not self._server.closed:
            self._server.close()

    def wait_idle(self, timeout_seconds: float) -> bool:
        """Wait until no request is being answered; False when the time ran out."""
        with gevent.Timeout(timeout_seconds, False):
            while self.in_flight:
                gevent.sleep(0.02)
        return self.in_flight == 0

    def stop(self) -> None:
        """Close the listener and every connection."""
        self._server.stop(timeout=0)

    def _application(
        self, environment: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        response = self._answer(environment)
        if isinstance(response.body, bytes):
            if response.status not in _NO_BODY_STATUSES:
                response.headers.append(("Content-Length", str(len(response.body))))
            start_response(_status_line(response.status), response.headers)
            return [response.body]
        start_response(_status_line(response.status), response.headers)
        return self._chunks(response.body)

    def _answer(self, environment: dict[str, Any]) -> HttpResponse:
        try:
            request = _read_request(environment, self._limits.max_body_bytes)
            match = self._routes.match(request.method, request.path)
            request.parameters = match.parameters
            return match.handler(request)
        except RunkeelError as error:
            return problem_response(error, error.request_id)
        except Exception as error:
            UNEXPECTED_ERRORS.inc()
            logger.opt(exception=error).error("unexpected error", code="internal")
            return problem_response(RunkeelError(ErrorCode.INTERNAL, "unexpected error"))

    def _chunks(self, body: Iterable[bytes]) -> Iterator[bytes]:
        try:
            yield from body
        except (OSError, GeneratorExit):
            ABORTED_RESPONSES.inc()
            raise
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()


def _malformed_answer(status: str) -> bytes:
    """Return the whole HTTP answer to a request that the server could not parse."""
    code = _MALFORMED_CODES.get(status[:3], ErrorCode.BAD_REQUEST)
    response = problem_response(not_run(code, f"malformed request: {status}"))
    response.headers += [("Connection", "close"), ("Content-Length", str(len(response.body)))]
    head = "".join(f"{name}: {value}\r\n" for name, value in response.headers)
    return f"HTTP/1.1 {_status_line(int(status[:3]))}\r\n{head}\r\n".encode("latin-1") + bytes(
        response.body
    )


def _status_line(status: int) -> str:
    return f"{status} {http.client.responses.get(status, 'Unknown')}"


def _read_request(environment: dict[str, Any], max_body_bytes: int) -> HttpRequest:
    path = environment.get("PATH_INFO", "/")
    query_text = environment.get("QUERY_STRING", "")
    try:
        decoded_path = path.encode("latin-1").decode("utf-8")
    except UnicodeDecodeError:
        raise not_run(ErrorCode.BAD_REQUEST, "the path is not UTF-8") from None
    headers = {
        name.removeprefix("HTTP_").replace("_", "-").lower(): value
        for name, value in environment.items()
        if name.startswith("HTTP_")
    }
    if environment.get("CONTENT_TYPE"):
        headers["content-type"] = environment["CONTENT_TYPE"]
    return HttpRequest(
        method=environment["REQUEST_METHOD"],
        path=decoded_path,
        raw_target=environment.get(_TARGET, path),
        query=_parse_query(query_text),
        headers=headers,
        body=_read_body(environment, max_body_bytes),
    )


def _parse_query(text: str) -> dict[str, str]:
    return dict(parse_qsl(text, keep_blank_values=True))


def _read_body(environment: dict[str, Any], max_body_bytes: int) -> bytes:
    length_text = environment.get("CONTENT_LENGTH") or ""
    if length_text and not length_text.isdigit():
        raise not_run(ErrorCode.BAD_REQUEST, "Content-Length is not a number")
    if length_text and int(length_text) > max_body_bytes:
        raise not_run(ErrorCode.BODY_TOO_LARGE, f"the body is over {max_body_bytes} bytes")
    chunked = "chunked" in environment.get("HTTP_TRANSFER_ENCODING", "").lower()
    if not length_text and not chunked:
        return b""
    try:
        body = environment["wsgi.input"].read(max_body_bytes + 1 if chunked else int(length_text))
    except OSError:
        raise not_run(ErrorCode.BAD_REQUEST, "the body was cut short") from None
    if len(body) > max_body_bytes:
        raise not_run(ErrorCode.BODY_TOO_LARGE, f"the body is over {max_body_bytes} bytes")
    if length_text and len(body) < int(length_text):
        raise not_run(ErrorCode.BAD_REQUEST, "the body was cut short")
    return body
