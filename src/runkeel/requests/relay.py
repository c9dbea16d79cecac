"""Renders answers to callers: whole ones, and streams as server-sent events."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from runkeel.api.http import HttpResponse
from runkeel.errors import RunkeelError
from runkeel.wire.generated.requests.ttypes import ApplicationResponse, TokenChunk

REQUEST_ID_HEADER = "X-Runkeel-Request-Id"
BACKEND_HEADER = "X-Runkeel-Backend"
DONE_EVENT = b"data: [DONE]\n\n"


@dataclass(slots=True)
class VersionRange:
    """Consecutive tokens that one weight version made."""

    version: int
    first: int
    count: int

    def to_dict(self) -> dict[str, int]:
        """Return the range's JSON form."""
        return {"version": self.version, "first": self.first, "count": self.count}


@dataclass(slots=True)
class Transcript:
    """All tokens of a generation with the versions that made them."""

    token_ids: list[int] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)
    versions: list[VersionRange] = field(default_factory=list)
    finish_reason: str = ""

    def add(self, chunk: TokenChunk) -> None:
        """Append a chunk."""
        self.token_ids.extend(chunk.token_ids)
        self.texts.append(chunk.text or "")
        self.finish_reason = chunk.finish_reason or ""
        if not chunk.token_ids:
            return
        last = self.versions[-1] if self.versions else None
        if last is not None and last.version == chunk.weight_version:
            last.count += len(chunk.token_ids)
        else:
            self.versions.append(
                VersionRange(chunk.weight_version, chunk.position, len(chunk.token_ids))
            )


def relay_application(response: ApplicationResponse, request_id: str) -> HttpResponse:
    """Return a back end's answer as it is, with runkeel's headers."""
    headers = [(header.name, header.value) for header in response.headers]
    headers.append((REQUEST_ID_HEADER, request_id))
    headers.append((BACKEND_HEADER, response.backend_id))
    return HttpResponse(response.status, headers, response.body)


def relay_completion(chunks: Iterable[TokenChunk], request_id: str) -> HttpResponse:
    """Return a generation's whole answer. Raises what ended it early."""
    transcript = Transcript()
    for chunk in chunks:
        transcript.add(chunk)
    content = {
        "request_id": request_id,
        "token_ids": transcript.token_ids,
        "text": "".join(transcript.texts),
        "finish_reason": transcript.finish_reason,
        "versions": [item.to_dict() for item in transcript.versions],
    }
    headers = [("Content-Type", "application/json"), (REQUEST_ID_HEADER, request_id)]
    return HttpResponse(200, headers, json.dumps(content).encode())


def relay_events(first: TokenChunk, rest: Iterator[TokenChunk], request_id: str) -> Iterator[bytes]:
    """Yield a generation as server-sent events.

    A failure is sent as an ``error`` event and raised, so that the body ends truncated too.
    """
    transcript = Transcript()
    chunk: TokenChunk | None = first
    try:
        while chunk is not None:
            transcript.add(chunk)
            yield _event(chunk, transcript, request_id)
            chunk = next(rest, None) if not chunk.finish_reason else None
        yield DONE_EVENT
    except RunkeelError as error:
        yield error_event(error, request_id)
        raise


def error_event(error: RunkeelError, request_id: str) -> bytes:
    """Return the event that tells of a failure in mid-stream."""
    content = {
        "code": error.code.value,
        "detail": error.detail,
        "verdict": error.verdict.name.lower(),
        "request_id": request_id,
    }
    return b"event: error\ndata: " + json.dumps(content).encode() + b"\n\n"


def _event(chunk: TokenChunk, transcript: Transcript, request_id: str) -> bytes:
    content = {
        "request_id": request_id,
        "position": chunk.position,
        "token_ids": chunk.token_ids,
        "text": chunk.text,
        "weight_version": chunk.weight_version,
        "finish_reason": chunk.finish_reason or None,
    }
    if chunk.finish_reason:
        content["versions"] = [item.to_dict() for item in transcript.versions]
    return b"data: " + json.dumps(content).encode() + b"\n\n"
