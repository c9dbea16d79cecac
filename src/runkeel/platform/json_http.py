"""A small JSON-over-HTTP client with total time-outs and errors that carry a verdict."""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass
from typing import Any

import gevent
from geventhttpclient import HTTPClient, HTTPParseError
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPSocketResponse

from runkeel.api.machines import Address
from runkeel.errors import ErrorCode, RunkeelError, Verdict

MAX_BODY_BYTES = 64 * 1024 * 1024
_READ_BYTES = 64 * 1024
_GZIP_WINDOW_BITS = 31
_JSON_HEADERS = {
    "Content-Type": "application/json",
    "Accept": "application/json",
    "Accept-Encoding": "gzip",
}

_FAILURES = (OSError, ValueError, RuntimeError, HTTPParseError, zlib.error)


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """Status and parsed body of an answer."""

    status: int
    body: Any


class _CountingPool(ConnectionPool):
    """Counts established connections, to tell whether a request can have left this process."""

    established = 0

    def after_connect(self, sock: gevent.socket.socket) -> None:
        self.established += 1


class _CountingClient(HTTPClient):
    """The library's client on a counting pool.

    The library resends idempotent methods over a new connection, so the kind of the last
    exception alone does not tell whether an earlier send reached the server.
    """

    def __init__(self, address: Address, timeout_seconds: float) -> None:
        super().__init__(address.host, address.port)
        self.pool = _CountingPool(
            address.host,
            address.port,
            address.host,
            address.port,
            size=1,
            connection_timeout=timeout_seconds,
            network_timeout=timeout_seconds,
        )
        self._connection_pool = self.pool


class JsonHttpClient:
    """Calls one server, with a new connection for each call.

    The platform is called rarely (a few watchers' long polls, and operators' writes), so
    connections are not kept: every failure then says whether the request may have left.
    """

    def __init__(self, address: Address) -> None:
        self._address = address

    def call(
        self, method: str, path: str, timeout_seconds: float, body: Any = None
    ) -> JsonResponse:
        """Send a request and return the parsed answer, whatever its status.

        Raises:
            RunkeelError: STORE_UNAVAILABLE; NOT_RUN if no connection was established, else
                MAY_HAVE_RUN (time-out, connection lost, answer cut short or not JSON).
        """
        client = _CountingClient(self._address, timeout_seconds)
        timeout = gevent.Timeout(timeout_seconds)
        try:
            with timeout:
                return self._exchange(client, method, path, body)
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            raise self._failure(client, f"no answer within {timeout_seconds:.1f} s") from error
        except _FAILURES as error:
            raise self._failure(client, f"{type(error).__name__}: {error}") from error
        finally:
            client.close()

    def _exchange(self, client: _CountingClient, method: str, path: str, body: Any) -> JsonResponse:
        data = b"" if body is None else json.dumps(body).encode()
        response = client.request(method, path, body=data, headers=_JSON_HEADERS)
        try:
            raw = _read_body(response)
            if response.get("content-encoding", "").lower() == "gzip":
                raw = _decompress(raw)
            return JsonResponse(response.status_code, json.loads(raw) if raw else None)
        finally:
            response.release()

    def _failure(self, client: _CountingClient, detail: str) -> RunkeelError:
        verdict = Verdict.MAY_HAVE_RUN if client.pool.established else Verdict.NOT_RUN
        return RunkeelError(ErrorCode.STORE_UNAVAILABLE, f"{self._address}: {detail}", verdict)


def _read_body(response: HTTPSocketResponse) -> bytes:
    body = bytearray()
    while chunk := response.read(_READ_BYTES):
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(f"answer of more than {MAX_BODY_BYTES} bytes")
    return bytes(body)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj(_GZIP_WINDOW_BITS)
    body = decompressor.decompress(data, MAX_BODY_BYTES)
    if not decompressor.eof:
        raise ValueError(f"gzip answer cut short, or of more than {MAX_BODY_BYTES} bytes")
    return body


def unexpected_status(response: JsonResponse, what: str) -> RunkeelError:
    """Build the error for a status that the protocol does not foresee.

    A 4xx other than 408 and 429 is the server's own statement that it refused the request.
    """
    refused = 400 <= response.status < 500 and response.status not in (408, 429)
    verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
    return RunkeelError(
        ErrorCode.STORE_UNAVAILABLE, f"{what}: unexpected status {response.status}", verdict
    )
