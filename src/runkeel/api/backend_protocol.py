"""The port to back ends: how requests, generations and orders are written and answers are read."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from runkeel.api.fleet import Backend
from runkeel.backends.http_connection import OutgoingRequest


class ResponseClass(enum.Enum):
    """What the head of an answer says of the request that it answers."""

    SUCCESS = "success"
    FAILURE = "failure"
    """The server ran the request and failed."""
    REFUSED = "refused"
    """The server did not run the request."""
    MISDIRECTED = "misdirected"
    """Not run: another server has the address, or it serves another version."""
    FOREIGN = "foreign"
    """Not an answer to this request; the connection is no longer usable."""


class EngineOrderOutcome(enum.Enum):
    """Answer of an engine to an order."""

    ACCEPTED = "accepted"
    IN_FORCE = "in_force"
    CONFLICT = "conflict"
    STALE_FENCE = "stale_fence"
    WRONG_SERVER = "wrong_server"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """A client's request as it is passed on.

    Attributes:
        resume_after: id of the last event that the client has of a stream.
        urgency: rank at an engine, 0 first; None where the client's own word stands.
        tenant: on whose behalf it runs; empty: nobody's.
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
    """One run of a batch job's item; ``urgency`` 0 is admitted first.

    Attributes:
        tenant: whose job it is; empty: nobody's.
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
    """One event of a generation; ``version`` is 0 unless the weights changed at it."""

    event_id: str
    data: str
    version: int
    has_data: bool


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Moves an engine's model to a weight version.

    Attributes:
        keep_running: generations go on under the new version instead of ending first.
        expected_sequence: orders that the engine must have taken before this one.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    keep_running: bool = True
    expected_sequence: int | None = None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine, some hundred milliseconds old.

    Attributes:
        sequence: orders taken since its start.
        start: tells this start from others under its id; empty: it doesn't say.
    """

    sequence: int
    busy: bool
    running: int
    queued: int
    model_versions: dict[str, int]
    start: str = ""


class BackendProtocol(Protocol):
    """Writes requests to back ends and reads their answers; no I/O."""

    def encode_plain(
        self, request: PlainRequest, backend: Backend, remaining_seconds: float
    ) -> OutgoingRequest:
        """Build the request for a server from what the client sent."""

    def encode_generation(
        self, request: GenerationRequest, backend: Backend, remaining_seconds: float
    ) -> OutgoingRequest:
        """Build the request that runs, or continues, a generation."""

    def score_request(self, request_id: str, host: str, path: str, body: bytes) -> PlainRequest:
        """Build the request that scores a generated text."""

    def classify(
        self, request_id: str, status: int, headers: Iterable[tuple[str, str]]
    ) -> ResponseClass:
        """Tell what an answer's head says of the request."""

    def is_failed_attempt(self, status: int) -> bool:
        """Return whether a FAILURE is one of those after which work may be given up.

        A server that ran out of time, or that says anything else, has not tried and failed.
        """

    def stamp(self, headers: Iterable[tuple[str, str]]) -> str:
        """Return the server's signature of its answer, empty when there is none."""

    def weight_version(self, headers: Iterable[tuple[str, str]]) -> int:
        """Return the weight version that a generation starts with, 0 when it isn't told."""

    def parse_event(self, block: bytes) -> GenerationEvent:
        """Parse one event, without the blank line that ends it."""

    def encode_order(self, order: VersionOrder, backend: Backend) -> OutgoingRequest:
        """Build the order that moves an engine to a version."""

    def order_outcome(self, status: int) -> EngineOrderOutcome:
        """Translate the answer to an order."""

    def encode_report_query(self, backend: Backend) -> OutgoingRequest:
        """Build the query for an engine's state."""

    def parse_report(self, body: bytes) -> EngineReport:
        """Parse an engine's state. Raises ValueError for one of another form."""
