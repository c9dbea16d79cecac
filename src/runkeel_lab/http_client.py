"""HTTP client of the lab: never sends a request twice by itself.

Libraries that silently repeat a request on a stale connection would blur what the lab measures,
so this is the standard library's client with a small pool of idle connections.
"""

from __future__ import annotations

import http.client
import json
import select
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from runkeel.api.machines import Address

_MAX_IDLE_CONNECTIONS = 64
DEFAULT_TIMEOUT_SECONDS = 10.0


class TransportError(Exception):
    """No whole answer came.

    Attributes:
        sent: whether any byte of the request may have left.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


@dataclass(slots=True)
class Answer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes = b""

    def json(self) -> Any:
        """Return the decoded body, or None if it is no JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@dataclass(slots=True)
class HttpClient:
    """Client of one server."""

    address: Address
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    _idle: list[http.client.HTTPConnection] = field(default_factory=list)

    def request(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_seconds: float | None = None,
    ) -> Answer:
        """Send a request and return its whole answer. Raises TransportError."""
        return self._run(method, target, body, headers, timeout_seconds, _read_whole)

    def json(self, method: str, target: str, content: Any = None) -> Any:
        """Send and receive JSON.

        Raises:
            TransportError: no answer came, or its status is 400 or above.
        """
        body = None if content is None else json.dumps(content).encode()
        answer = self.request(method, target, body, {"Content-Type": "application/json"})
        if answer.status >= 400:
            raise TransportError(f"{method} {target}: {answer.status} {answer.body[:200]!r}", True)
        return answer.json()

    def stream(
        self,
        target: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_seconds: float,
        on_event: Callable[[bytes], None],
    ) -> Answer:
        """Post a request and call ``on_event`` with each server-sent event's data.

        An answer that is no event stream is returned with its body. Raises TransportError.
        """

        def read(response: http.client.HTTPResponse) -> bytes:
            if "text/event-stream" not in response.headers.get("Content-Type", ""):
                return response.read()
            for event in _events(response):
                on_event(event)
            return b""

        return self._run("POST", target, body, headers, timeout_seconds, read)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _run(
        self,
        method: str,
        target: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        timeout_seconds: float | None,
        read: Callable[[http.client.HTTPResponse], bytes],
    ) -> Answer:
        timeout = timeout_seconds or self.timeout_seconds
        connection = self._connect(timeout)
        try:
            connection.request(method, target, body, dict(headers or {}))
            response = connection.getresponse()
            answer = Answer(
                response.status, {name.lower(): value for name, value in response.getheaders()}
            )
            answer.body = read(response)
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise TransportError(f"{type(error).__name__}: {error}", True) from error
        except BaseException:
            connection.close()
            raise
        self._release(connection, response)
        return answer

    def _connect(self, timeout: float) -> http.client.HTTPConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.sock is not None and not _readable(connection):
                connection.sock.settimeout(timeout)
                return connection
            connection.close()
        connection = http.client.HTTPConnection(
            self.address.host, self.address.port, timeout=timeout
        )
        try:
            connection.connect()
        except OSError as error:
            raise TransportError(f"{type(error).__name__}: {error}", False) from error
        return connection

    def _release(
        self, connection: http.client.HTTPConnection, response: http.client.HTTPResponse
    ) -> None:
        if response.will_close or len(self._idle) >= _MAX_IDLE_CONNECTIONS:
            connection.close()
        else:
            self._idle.append(connection)


def _read_whole(response: http.client.HTTPResponse) -> bytes:
    return response.read()


def _readable(connection: http.client.HTTPConnection) -> bool:
    """Return whether an idle connection has been closed by (or holds rubbish from) the server."""
    return bool(select.select([connection.sock], [], [], 0)[0])


def _events(response: http.client.HTTPResponse) -> Iterator[bytes]:
    lines: list[bytes] = []
    while True:
        line = response.readline()
        if not line:
            return
        line = line.rstrip(b"\r\n")
        if line.startswith(b"data:"):
            lines.append(line[5:].strip())
        elif not line and lines:
            yield b"\n".join(lines)
            lines = []
