"""Coded errors and the execution verdict that each one carries.

Every failure reported to a caller or a trainer is a :class:`RunkeelError`: a stable code, a
:class:`Verdict` and an HTTP status (rendered as problem+json, RFC 9457).
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Verdict(enum.IntEnum):
    """Whether the request may have been executed by a backend."""

    NOT_RUN = 1
    """It is proven that no backend executed the request or will execute it."""
    MAY_HAVE_RUN = 2
    """The request may have been executed; its outcome is unknown."""
    RAN = 3
    """A backend executed the request."""


class ErrorCode(enum.StrEnum):
    """Stable error identifiers; a released one is never renamed. Some are no longer raised."""

    BAD_REQUEST = "bad_request"
    BAD_DEADLINE = "bad_deadline"
    BAD_IDEMPOTENCY_KEY = "bad_idempotency_key"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NOT_FOUND = "not_found"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_PRIORITY_CLASS = "unknown_priority_class"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    MEMBER_LIMIT = "member_limit"
    SERVICE_LIMIT = "service_limit"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_BACKEND = "no_backend"
    NODE_LEAVING = "node_leaving"
    NODE_NOT_READY = "node_not_ready"
    OWNER_PAUSED = "owner_paused"
    WITHDRAWN = "withdrawn"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_LOST = "backend_lost"
    BACKEND_REFUSED = "backend_refused"
    REQUEST_QUARANTINED = "request_quarantined"
    TRUNCATED_ANSWER = "truncated_answer"
    CANCELLED = "cancelled"
    DUPLICATE_REQUEST = "duplicate_request"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RECORDS_UNAVAILABLE = "records_unavailable"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_OUTCOME_UNKNOWN = "store_outcome_unknown"
    CONFLICT = "conflict"
    STALE_FENCE = "stale_fence"
    """The order lease is not held, or can't be used now."""
    DUTY_REFUSED = "duty_refused"
    BAD_COMMAND = "bad_command"
    BAD_CONFIGURATION = "bad_configuration"
    BAD_SETTINGS = "bad_settings"
    UNKNOWN_STEP = "unknown_step"
    STEP_CONFLICT = "step_conflict"
    BAD_CURSOR = "bad_cursor"
    BATCH_NOT_READY = "batch_not_ready"
    SAMPLE_LOST = "sample_lost"
    SCORER_FAILED = "scorer_failed"
    STORAGE_FULL = "storage_full"
    STORAGE_CORRUPT = "storage_corrupt"
    PROTOCOL_ERROR = "protocol_error"
    INTERNAL = "internal"


_HTTP_STATUS: dict[ErrorCode, int] = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.BAD_DEADLINE: 400,
    ErrorCode.BAD_IDEMPOTENCY_KEY: 400,
    ErrorCode.IDEMPOTENCY_KEY_REQUIRED: 400,
    ErrorCode.BAD_COMMAND: 400,
    ErrorCode.BAD_CONFIGURATION: 400,
    ErrorCode.BAD_CURSOR: 400,
    ErrorCode.BAD_SETTINGS: 400,
    ErrorCode.UNKNOWN_PRIORITY_CLASS: 400,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_STEP: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.CONFLICT: 409,
    ErrorCode.STALE_FENCE: 409,
    ErrorCode.STEP_CONFLICT: 409,
    ErrorCode.DUPLICATE_REQUEST: 409,
    ErrorCode.OUTCOME_UNKNOWN: 409,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.MEMBER_LIMIT: 429,
    ErrorCode.SERVICE_LIMIT: 429,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.INTERNAL: 500,
    ErrorCode.BACKEND_LOST: 502,
    ErrorCode.BACKEND_UNREACHABLE: 502,
    ErrorCode.PEER_LOST: 502,
    ErrorCode.TRUNCATED_ANSWER: 502,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.STORE_OUTCOME_UNKNOWN: 504,
    ErrorCode.STORAGE_FULL: 507,
}
_DEFAULT_HTTP_STATUS = 503


@dataclass
class RunkeelError(Exception):
    """An error with a stable code and an execution verdict.

    Attributes:
        code: stable identifier.
        detail: human-readable sentence, not meant for parsing.
        verdict: whether the request may have been executed. ``MAY_HAVE_RUN`` unless the raiser
            can prove otherwise.
        retry_after_seconds: seconds after which the client should retry, if known.
        request_id: id of the failed request, if it has one.
    """

    code: ErrorCode
    detail: str = ""
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    retry_after_seconds: float | None = None
    request_id: str = ""

    def __post_init__(self) -> None:
        super().__init__(f"{self.code}: {self.detail}")

    @property
    def http_status(self) -> int:
        """HTTP status code of a response that reports this error."""
        return _HTTP_STATUS.get(self.code, _DEFAULT_HTTP_STATUS)


def not_run(
    code: ErrorCode, detail: str = "", retry_after_seconds: float | None = None
) -> RunkeelError:
    """Build an error for a request that was provably not executed."""
    return RunkeelError(code, detail, Verdict.NOT_RUN, retry_after_seconds)


def may_have_run(code: ErrorCode, detail: str = "") -> RunkeelError:
    """Build an error for a request whose outcome is unknown."""
    return RunkeelError(code, detail, Verdict.MAY_HAVE_RUN)
