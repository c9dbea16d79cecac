"""Interface to the protocol of backends: encoding of requests and parsing of responses."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from runkeel.api.fleet import Backend
from runkeel.backends.http_connection import OutgoingRequest


class ResponseClass(enum.Enum):
    """Outcome of a request, from the status and headers of its response."""

    SUCCESS = "success"
    FAILURE = "failure"
    """The server ran the request and it failed."""
    REFUSED = "refused"
    """The server did not run the request."""
    MISDIRECTED = "misdirected"
    """Not run: the address now belongs to another server, or the server has another version."""
    FOREIGN = "foreign"
    """Not a response to this request (wrong id or unsigned); don't reuse the connection."""


class EngineOrderOutcome(enum.Enum):
    """Outcome of an order to an engine."""

    ACCEPTED = "accepted"
    """The engine starts to load the version."""
    ALREADY_APPLIED = "in_force"
    """The engine already has the version."""
    CONFLICT = "conflict"
    """The engine is busy, or has accepted a different number of orders than expected."""
    STALE_FENCE = "stale_fence"
    """The engine has accepted an order with a higher fencing token."""
    WRONG_SERVER = "wrong_server"
    """The address now belongs to another server."""
    REFUSED = "refused"
    """The order was rejected for another reason, or was not sent."""


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A client's request to forward to a server.

    Attributes:
        resume_after: id of the last event of the stream that the client has received.
        urgency: priority to send if the client's headers contain none; 0 is the most urgent;
            None: send none.
        tenant: tenant that the request belongs to; empty: none.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    resume_after: str | None = None
    urgency: int | None = None
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """One attempt at an item of a batch job.

    Attributes:
        urgency: priority sent with the request; 0 is the most urgent and is admitted first.
        tenant: tenant that owns the job; empty: none.
    """

    request_id: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    urgency: int = 5
    resume_after: str | None = None
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class GenerationEvent:
    """One event of a generation.

    Attributes:
        version: weight version that generates from this event on; 0: the event names none.
        has_data: False for comments and other events without output.
    """

    event_id: str
    data: str
    version: int
    has_data: bool


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """An order to an engine to load a weight version of a model.

    Attributes:
        holder: the node that sends the order, and holds the fencing token.
        keep_running: generations continue on the new version instead of finishing first.
        expected_sequence: number of orders that the engine must have accepted before this one;
            None: any number.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    keep_running: bool = True
    expected_sequence: int | None = None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine, up to a few hundred milliseconds old.

    Attributes:
        sequence: number of orders to load a weight version that it has accepted since it started.
        start: identifies the incarnation of the engine; empty: not reported.
    """

    sequence: int
    busy: bool
    running: int
    queued: int
    model_versions: dict[str, int]
    start: str = ""


class BackendProtocol(Protocol):
    """Encodes requests to backends and parses their responses; does no I/O."""

    def encode_forwarded_request(
        self, request: ForwardedRequest, backend: Backend, remaining_seconds: float
    ) -> OutgoingRequest:
        """Build the request that forwards a client's request."""

    def encode_generation(
        self, request: GenerationRequest, backend: Backend, remaining_seconds: float
    ) -> OutgoingRequest:
        """Build the request that starts or resumes a generation."""

    def encode_score_request(
        self, request_id: str, host: str, path: str, body: bytes
    ) -> ForwardedRequest:
        """Build the request that scores an output."""

    def classify(
        self, request_id: str, status: int, headers: Iterable[tuple[str, str]]
    ) -> ResponseClass:
        """Classify a response by its status and headers."""

    def is_failed_attempt(self, status: int) -> bool:
        """Return whether a FAILURE with this status counts towards the limit on failed attempts.

        Work is abandoned at that limit. Other failures, such as a timeout at the server, do not
        count.
        """

    def response_signature(self, headers: Iterable[tuple[str, str]]) -> str:
        """Return the server's signature of its response, empty when there is none."""

    def weight_version(self, headers: Iterable[tuple[str, str]]) -> int:
        """Return the weight version that a generation starts with, 0 when not reported."""

    def parse_event(self, block: bytes) -> GenerationEvent:
        """Parse one event, given without its terminating blank line."""

    def encode_order(self, order: VersionOrder, backend: Backend) -> OutgoingRequest:
        """Build the request that sends an order to an engine."""

    def order_outcome(self, status: int) -> EngineOrderOutcome:
        """Return the outcome of an order from the response's status."""

    def encode_report_query(self, backend: Backend) -> OutgoingRequest:
        """Build the query for an engine's state."""

    def parse_report(self, body: bytes) -> EngineReport:
        """Parse an engine's state. Raises ValueError when it is malformed."""
