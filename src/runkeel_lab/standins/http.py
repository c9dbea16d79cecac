"""HTTP requests and responses of the stand-ins, mapped to WSGI."""

from __future__ import annotations

import contextlib
import errno
import json
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote

from gevent.pywsgi import WSGIHandler

MAX_BODY_BYTES = 64 * 1024 * 1024
CONNECTION_KEY = "runkeel.connection"


class BadRequestError(ValueError):
    """Rejects a request with status 400 and the message as error text."""


class Connection:
    """The TCP connection that a request was received on."""

    def __init__(self, raw_socket: Any) -> None:
        self._socket = raw_socket

    def abort(self) -> None:
        """Drop the connection at once, as the kernel does for a killed process.

        Uses ``shutdown`` because the handler holds its own reference, which would keep the
        socket open after ``close``. The handler's next write fails with ``EPIPE``, which it
        ignores.
        """
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)


class ResponseAbortedError(OSError):
    """Ends a handler whose connection was aborted by a fault, without a response."""

    def __init__(self) -> None:
        super().__init__(errno.EPIPE, "connection aborted by a fault")


class Handler(WSGIHandler):
    """WSGI handler that disables Nagle's algorithm and exposes the connection."""

    def __init__(self, sock: Any, address: Any, server: Any, rfile: Any = None) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the connection added."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = Connection(self.socket)
        return environ


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request whose body has been read."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    environ: dict[str, Any]

    @classmethod
    def from_environ(cls, environ: dict[str, Any]) -> Request:
        """Read a request from a WSGI environment.

        Raises:
            BadRequestError: the body is larger than ``MAX_BODY_BYTES``.
        """
        body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            raise BadRequestError("body too large")
        return cls(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=dict(parse_qsl(environ.get("QUERY_STRING", ""), keep_blank_values=True)),
            body=body,
            environ=environ,
        )

    @property
    def connection(self) -> Connection:
        """The connection that the request was received on."""
        return self.environ[CONNECTION_KEY]

    @property
    def segments(self) -> list[str]:
        """The unquoted segments of the path."""
        return [unquote(part) for part in self.path.strip("/").split("/")]

    def header(self, name: str, default: str = "") -> str:
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), default)

    def identity(self) -> dict[str, str]:
        """Return the log fields that identify the request."""
        return {
            "request_id": self.header("X-Request-Id"),
            "key": self.header("Idempotency-Key"),
            "path": self.path,
        }

    def integer(self, name: str, default: int) -> int:
        """Return an integer parameter of the query string.

        Raises:
            BadRequestError: the value is not an integer.
        """
        try:
            return int(self.query.get(name, default))
        except ValueError as error:
            raise BadRequestError(f"{name} must be an integer") from error

    def json_object(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        Raises:
            BadRequestError: the body is not a JSON object.
        """
        try:
            value = json.loads(self.body)
        except ValueError as error:
            raise BadRequestError("body is not JSON") from error
        if not isinstance(value, dict):
            raise BadRequestError("body must be a JSON object")
        return value


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response; an iterator as ``body`` is sent chunk by chunk."""

    status: int
    body: bytes | Iterator[bytes]
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()

    def all_headers(self) -> list[tuple[str, str]]:
        """Return the headers, with ``Content-Length`` where the length is known."""
        headers = [("Content-Type", self.content_type), *self.headers]
        if isinstance(self.body, bytes):
            headers.append(("Content-Length", str(len(self.body))))
        return headers

    def status_line(self) -> str:
        """Return the status code and its reason phrase."""
        return f"{self.status} {HTTPStatus(self.status).phrase}"


def json_response(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Build a response with a JSON body."""
    return Response(status, json.dumps(value, separators=(",", ":")).encode(), headers=headers)


def error_response(status: int, text: str, retry_after_seconds: int | None = None) -> Response:
    """Build an ``{"error": text}`` response, with ``Retry-After`` if given."""
    headers = () if retry_after_seconds is None else (("Retry-After", str(retry_after_seconds)),)
    return json_response(status, {"error": text}, headers)
