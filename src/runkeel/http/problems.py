"""Renders errors as problem+json (RFC 9457)."""

from __future__ import annotations

import json
import math

from runkeel.api.http import HttpResponse
from runkeel.errors import RunkeelError, Verdict

PROBLEM_CONTENT_TYPE = "application/problem+json"
VERDICT_HEADER = "X-Runkeel-Verdict"
_TITLES = {
    Verdict.NOT_RUN: "The request did not run",
    Verdict.MAY_HAVE_RUN: "The request may have run",
    Verdict.RAN: "The request ran",
}


def problem_document(error: RunkeelError, request_id: str = "") -> dict[str, object]:
    """Return the members of the problem document for an error."""
    document: dict[str, object] = {
        "type": f"urn:runkeel:error:{error.code.value}",
        "title": _TITLES[error.verdict],
        "status": error.http_status,
        "detail": error.detail,
        "code": error.code.value,
        "verdict": error.verdict.name.lower(),
    }
    if request_id:
        document["request_id"] = request_id
    return document


def problem_response(error: RunkeelError, request_id: str = "") -> HttpResponse:
    """Render an error, with Retry-After (whole seconds, RFC 9110 section 10.2.3) where known."""
    headers = [
        ("Content-Type", PROBLEM_CONTENT_TYPE),
        (VERDICT_HEADER, error.verdict.name.lower()),
    ]
    if request_id:
        headers.append(("X-Runkeel-Request-Id", request_id))
    if error.retry_after_seconds is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(error.retry_after_seconds)))))
    body = json.dumps(problem_document(error, request_id)).encode()
    return HttpResponse(error.http_status, headers, body)
