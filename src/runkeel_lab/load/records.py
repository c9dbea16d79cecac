"""Records of what callers sent and were told."""

from __future__ import annotations

import enum
from dataclasses import asdict, dataclass, field
from typing import Any

CODE_OF_UNSENT = "not_sent"
"""Code of an attempt whose connection was never made, so that nothing was sent."""


class Outcome(enum.StrEnum):
    """What a caller knows in the end about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
    """Told that it ran, without an answer."""
    REFUSED = "refused"
    """The back end itself answered with an error status."""
    LOST = "lost"
    """Neither an answer nor a verdict."""


@dataclass(slots=True)
class Attempt:
    """One sending of a request to one node; times are monotonic, in s.

    Attributes:
        status: HTTP status; 0 when no answer came.
        verdict: verdict of an error, or empty.
        request_id: runkeel's id, where it was told.
    """

    node: str
    sent: float
    ended: float = 0.0
    status: int = 0
    code: str = ""
    verdict: str = ""
    request_id: str = ""
    backend: str = ""
    error: str = ""


@dataclass(slots=True)
class CallRecord:
    """One request of a caller with all its attempts.

    Attributes:
        nonce: in the request's key or prompt; its own answer must carry it.
        arrival: when the caller wanted to send it, monotonic, in s.
        latency_ms: from arrival to the end of the last attempt.
        crossed: the answer belongs to another request.
        incomplete: an answer with a success status was cut short.
        wrong_tokens: tokens differ from what the claimed versions generate.
    """

    caller_class: str
    kind: str
    pool: str
    nonce: str
    idempotency_key: str
    repeatable: bool
    arrival: float
    prompt: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    outcome: Outcome = Outcome.LOST
    latency_ms: float = 0.0
    first_token_ms: float = 0.0
    tokens: int = 0
    versions: list[int] = field(default_factory=list)
    crossed: bool = False
    incomplete: bool = False
    wrong_tokens: bool = False

    def as_dict(self) -> dict[str, Any]:
        """Return the record for a JSON line."""
        return asdict(self)
