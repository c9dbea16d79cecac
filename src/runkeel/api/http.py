"""Requests and responses of a node's HTTP face, independent of the server library."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(slots=True)
class HttpRequest:
    """A received HTTP request.

    Attributes:
        path: decoded path without the query.
        raw_target: path and query as received, for passing through.
        query: last value of each query parameter.
        headers: names in lower case.
        parameters: values of the ``{name}`` parts of the route; ``{name...}`` takes the rest.
    """

    method: str
    path: str
    raw_target: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    parameters: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class HttpResponse:
    """A response to send.

    Attributes:
        body: the whole body, or chunks to be sent as they come. If the client goes away,
            the iterable's ``close`` is called. An exception raised while chunks are sent
            ends the connection without the final chunk, so the client sees a truncated body.
    """

    status: int = 200
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes | Iterable[bytes] = b""


class HttpHandler(Protocol):
    """Answers one request; a raised RunkeelError is rendered as problem+json."""

    def __call__(self, request: HttpRequest) -> HttpResponse:
        """Answer the request."""


class HttpRoutes(Protocol):
    """Registry of a node's HTTP routes."""

    def add(self, method: str, pattern: str, handler: HttpHandler) -> None:
        """Register a handler; method ``*`` is any, pattern such as ``/v1/models/{model}/steps``."""
