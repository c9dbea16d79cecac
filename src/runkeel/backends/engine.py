"""Client of a model engine: completions, cancellation and exported KV cache."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from urllib.parse import quote

from runkeel.api.machines import Machine
from runkeel.backends.http_connection import (
    HttpAnswer,
    HttpAnswerStream,
    HttpConnectionPool,
    OutgoingRequest,
)
from runkeel.errors import ErrorCode, may_have_run

HTTP_OK = 200
MAXIMUM_EVENT_BYTES = 1024 * 1024
_JSON_HEADERS = [("Content-Type", "application/json"), ("Accept", "text/event-stream")]
_DATA_PREFIX = b"data:"
_DONE = b"[DONE]"


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A generation as the engine takes it; ``max_tokens`` counts prior tokens too."""

    request_id: str
    model: str
    prompt: str
    prior_token_ids: list[int]
    max_tokens: int
    priority: int
    adapter: str
    minimum_version: int
    kv_handle: str

    def to_json(self) -> bytes:
        """Return the body of the request."""
        return json.dumps(
            {
                "request_id": self.request_id,
                "model": self.model,
                "prompt": self.prompt,
                "prior_token_ids": self.prior_token_ids,
                "max_tokens": self.max_tokens,
                "priority": self.priority,
                "adapter": self.adapter,
                "minimum_version": self.minimum_version,
                "kv_handle": self.kv_handle,
            }
        ).encode()


@dataclass(slots=True)
class CompletionEvent:
    """Consecutive tokens of one weight version; ``finish_reason`` is empty while it goes on."""

    position: int
    token_ids: list[int]
    text: str
    weight_version: int
    finish_reason: str


@dataclass(frozen=True, slots=True)
class CancelResult:
    """Outcome of a cancellation; ``kv_handle`` is empty when no KV cache was exported."""

    state: str
    kv_handle: str


class CompletionStream:
    """A running generation. Close it, also when it has ended."""

    def __init__(self, request_id: str, stream: HttpAnswerStream) -> None:
        self._request_id = request_id
        self._stream = stream

    def batches(self, deadline: float) -> Iterator[list[CompletionEvent]]:
        """Yield the events as they come, those that arrived together in one list.

        Raises:
            RunkeelError: TRUNCATED_ANSWER when the stream ends without ``[DONE]``, and the
                errors of :meth:`HttpAnswerStream.chunks`; always MAY_HAVE_RUN.
        """
        rest = b""
        done = False
        for chunk in self._stream.chunks(deadline):
            *lines, rest = (rest + chunk).split(b"\n")
            if len(rest) > MAXIMUM_EVENT_BYTES:
                raise may_have_run(ErrorCode.BACKEND_LOST, "the engine's event is too large")
            events = []
            for line in lines:
                if not line.startswith(_DATA_PREFIX):
                    continue
                data = line[len(_DATA_PREFIX) :].strip()
                if data == _DONE:
                    done = True
                elif not done:
                    events.append(self._decode(data))
            if events:
                yield events
        if not done:
            raise may_have_run(ErrorCode.TRUNCATED_ANSWER, "the stream ended without [DONE]")

    def close(self) -> None:
        """Release the connection."""
        self._stream.close()

    def _decode(self, data: bytes) -> CompletionEvent:
        try:
            event = json.loads(data)
            if event["request_id"] != self._request_id:
                raise may_have_run(ErrorCode.BACKEND_LOST, "an event of another request")
            return CompletionEvent(
                event["position"],
                event["token_ids"],
                event["text"],
                event["weight_version"],
                event["finish_reason"] or "",
            )
        except (ValueError, KeyError, TypeError) as error:
            raise may_have_run(ErrorCode.BACKEND_LOST, f"broken event: {error}") from error


class EngineClient:
    """Sends generations to one model engine."""

    def __init__(self, machine: Machine) -> None:
        if machine.http is None:
            raise ValueError(f"{machine.machine_id} has no HTTP address")
        self._pool = HttpConnectionPool(machine.http)

    def complete(
        self, request: CompletionRequest, deadline: float, before_send: Callable[[], None]
    ) -> CompletionStream:
        """Start a generation.

        Raises:
            RunkeelError: BACKEND_UNREACHABLE (NOT_RUN); BACKEND_REFUSED when the engine answers
                with an error; else as :meth:`HttpConnectionPool.open_stream`.
        """
        outgoing = OutgoingRequest("POST", "/v1/completions", _JSON_HEADERS, request.to_json())
        stream = self._pool.open_stream(outgoing, deadline, before_send)
        if stream.status != HTTP_OK:
            stream.close()
            raise may_have_run(ErrorCode.BACKEND_REFUSED, f"the engine answered {stream.status}")
        return CompletionStream(request.request_id, stream)

    def cancel(self, request_id: str, timeout_seconds: float) -> CancelResult:
        """Cancel a generation. Raises like :meth:`HttpConnectionPool.request`."""
        target = f"/v1/completions/{quote(request_id, safe='')}"
        answer = self._request(OutgoingRequest("DELETE", target), timeout_seconds)
        try:
            content = json.loads(answer.body)
            return CancelResult(str(content["state"]), str(content.get("kv_handle", "")))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise may_have_run(ErrorCode.BACKEND_LOST, f"broken answer: {error}") from error

    def export_kv(self, handle: str, timeout_seconds: float) -> bytes | None:
        """Return an exported KV cache, or None when the engine holds it no more."""
        answer = self._request(OutgoingRequest("GET", _kv_target(handle)), timeout_seconds)
        return answer.body if answer.status == HTTP_OK else None

    def import_kv(self, handle: str, content: bytes, timeout_seconds: float) -> bool:
        """Import a KV cache; return whether the engine took it."""
        outgoing = OutgoingRequest("PUT", _kv_target(handle), body=content)
        return self._request(outgoing, timeout_seconds).status == HTTP_OK

    def _request(self, outgoing: OutgoingRequest, timeout_seconds: float) -> HttpAnswer:
        return self._pool.request(outgoing, time.monotonic() + timeout_seconds)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()


def _kv_target(handle: str) -> str:
    return f"/v1/kv/{quote(handle, safe='')}"
