"""The entry's side: HTTP routes of callers, and the chain of filters that a request passes."""

from __future__ import annotations

import json
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

from runkeel.api.http import HttpRequest, HttpResponse, HttpRoutes
from runkeel.api.interfaces import Configuration, Dispatcher
from runkeel.backends.application import HOP_BY_HOP_HEADERS
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.requests.admit import Admission
from runkeel.requests.claim import Claims, request_digest
from runkeel.requests.deadline import Deadline, parse_deadline_ms
from runkeel.requests.metrics import REQUEST_SECONDS, REQUESTS
from runkeel.requests.relay import (
    REQUEST_ID_HEADER,
    relay_application,
    relay_completion,
    relay_events,
)
from runkeel.wire.generated.common.ttypes import HttpHeader
from runkeel.wire.generated.requests.ttypes import (
    ApplicationRequest,
    ApplicationResponse,
    ModelRequest,
    RequestEnvelope,
    TokenChunk,
)

MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
MAXIMUM_KEY_CHARACTERS = 200
MAXIMUM_MEMBER_CHARACTERS = 200
MAXIMUM_PROMPT_CHARACTERS = 2 * 1024 * 1024
MAXIMUM_TOKENS = 1_000_000
DEFAULT_MAXIMUM_TOKENS = 256
_OWN_PREFIX = "x-runkeel-"
_REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {"x-request-id", "x-deadline-ms", "idempotency-key"}
_COMPLETION_FIELDS = frozenset({"prompt", "max_tokens", "stream", "model"})


class Entry:
    """Answers callers."""

    def __init__(
        self,
        configuration: Configuration,
        admission: Admission,
        claims: Claims,
        dispatcher: Dispatcher,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self._configuration = configuration
        self._admission = admission
        self._claims = claims
        self._dispatcher = dispatcher
        self._is_ready = is_ready
        self._leaving = False
        self.in_flight = 0

    def register(self, routes: HttpRoutes) -> None:
        """Register the callers' routes."""
        routes.add("*", "/v1/services/{service}/{path...}", self.call_service)
        routes.add("POST", "/v1/models/{model}/completions", self.complete)

    def leave(self) -> None:
        """Refuse new requests from now on."""
        self._leaving = True

    def call_service(self, request: HttpRequest) -> HttpResponse:
        """Answer a request to an application service."""
        name = request.parameters["service"]
        spec = self._configuration.service(name)
        if spec is None:
            raise self._unknown(ErrorCode.UNKNOWN_SERVICE, "no such service")
        self._check_accepting(request)
        envelope = self._envelope(
            request, name, spec.default_deadline_ms, spec.default_priority_class, spec.repeatable
        )
        message = _application_request(request, envelope, f"/v1/services/{name}")
        key = _idempotency_key(request)
        with self._admitted("application", envelope, spec.max_in_flight):
            if envelope.repeatable:
                if key:
                    message.headers.append(HttpHeader("Idempotency-Key", key))
                response = self._dispatcher.application(message)
                return relay_application(response, envelope.request_id)
            return self._call_once(message, key or envelope.request_id)

    def complete(self, request: HttpRequest) -> HttpResponse:
        """Answer a request for a completion, whole or streamed."""
        name = request.parameters["model"]
        spec = self._configuration.model(name)
        if spec is None:
            raise self._unknown(ErrorCode.UNKNOWN_MODEL, "no such model")
        self._check_accepting(request)
        envelope = self._envelope(
            request, name, spec.default_deadline_ms, spec.default_priority_class, True
        )
        content = _completion_content(request.body)
        message = ModelRequest(
            envelope=envelope,
            prompt=content["prompt"],
            prior_token_ids=[],
            max_tokens=content.get("max_tokens", DEFAULT_MAXIMUM_TOKENS),
            minimum_version=0,
            adapter=spec.adapter,
            avoid_backend="",
            kv_handle="",
        )
        key = _idempotency_key(request) or envelope.request_id
        if content.get("stream", False):
            if not envelope.repeatable:
                raise not_run(ErrorCode.BAD_REQUEST, "only repeatable completions are streamed")
            return self._stream(message, spec.max_in_flight)
        with self._admitted("model", envelope, spec.max_in_flight):
            if not envelope.repeatable:
                return self._complete_once(message, key)
            return relay_completion(self._dispatcher.generate(message), envelope.request_id)

    def _call_once(self, message: ApplicationRequest, key: str) -> HttpResponse:
        """Run a request that must not run twice."""
        message.headers.append(HttpHeader("Idempotency-Key", key))
        digest = request_digest(message.method.encode(), message.path.encode(), message.body)

        def dispatch() -> ApplicationResponse:
            return self._dispatcher.application(message)

        response = self._claimed(message.envelope, digest, key, dispatch)
        relayed = relay_application(response, message.envelope.request_id)
        relayed.headers.append(("Idempotency-Key", key))
        return relayed

    def _complete_once(self, message: ModelRequest, key: str) -> HttpResponse:
        """Run a generation that must not run twice; its whole answer is recorded."""
        digest = request_digest(message.prompt.encode(), str(message.max_tokens).encode())

        def dispatch() -> ApplicationResponse:
            chunks = self._dispatcher.generate(message)
            whole = relay_completion(chunks, message.envelope.request_id)
            headers = [HttpHeader("Content-Type", "application/json")]
            return ApplicationResponse(
                message.envelope.request_id, 0, whole.status, headers, whole.body, ""
            )

        response = self._claimed(message.envelope, digest, key, dispatch)
        headers = [("Content-Type", "application/json"), ("Idempotency-Key", key)]
        headers.append((REQUEST_ID_HEADER, message.envelope.request_id))
        return HttpResponse(response.status, headers, response.body)

    def _claimed(
        self,
        envelope: RequestEnvelope,
        digest: bytes,
        key: str,
        dispatch: Callable[[], ApplicationResponse],
    ) -> ApplicationResponse:
        """Claim, dispatch and record the outcome; or return what an earlier request had."""
        deadline = Deadline.after_ms(envelope.remaining_ms)
        outcome = self._claims.claim(envelope, digest, key, deadline)
        if outcome.mine is None:
            return outcome.response
        try:
            # Also after a pause between claim and dispatch: nothing goes out past the deadline.
            deadline.check()
            envelope.remaining_ms = deadline.hop_ms()
            response = dispatch()
        except RunkeelError as error:
            self._claims.finish(outcome.mine, error=error)
            raise
        except BaseException:
            self._claims.finish(outcome.mine)
            raise
        self._claims.finish(outcome.mine, response)
        return response

    def _stream(self, message: ModelRequest, pool_limit: int) -> HttpResponse:
        """Answer with events; the status is sent after the first tokens have come."""
        envelope = message.envelope
        held = self._admitted("model", envelope, pool_limit)
        held.__enter__()
        chunks = self._dispatcher.generate(message)
        try:
            first = next(chunks)
        except BaseException as error:
            held.__exit__(type(error), error, error.__traceback__)
            raise
        body = _StreamBody(relay_events(first, chunks, envelope.request_id), chunks, held)
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            (REQUEST_ID_HEADER, envelope.request_id),
        ]
        return HttpResponse(200, headers, body)

    def _unknown(self, code: ErrorCode, detail: str) -> RunkeelError:
        """Build the error for a missing name; a node that has just started may not know it yet."""
        if self._is_ready():
            return not_run(code, detail)
        return not_run(ErrorCode.NODE_NOT_READY, "the node has just started", 1.0)

    def _check_accepting(self, request: HttpRequest) -> None:
        if self._leaving:
            raise not_run(ErrorCode.NODE_LEAVING, "the node is leaving", retry_after_seconds=0.0)
        if len(request.body) > MAXIMUM_BODY_BYTES:
            raise not_run(ErrorCode.BODY_TOO_LARGE, f"more than {MAXIMUM_BODY_BYTES} bytes")

    def _envelope(
        self,
        request: HttpRequest,
        pool: str,
        default_deadline_ms: int,
        default_class: str,
        default_repeatable: bool,
    ) -> RequestEnvelope:
        headers = request.headers
        class_name = headers.get("x-runkeel-priority", default_class)
        return RequestEnvelope(
            request_id=uuid.uuid4().hex,
            attempt=0,
            remaining_ms=parse_deadline_ms(
                headers.get("x-runkeel-deadline-ms"), default_deadline_ms
            ),
            priority_rank=self._admission.priority_rank(class_name),
            priority_class=class_name,
            repeatable=_repeatable(headers.get("x-runkeel-repeatable"), default_repeatable),
            member=_member(headers.get("x-runkeel-member", "")),
            pool=pool,
            entry_node="",
        )

    def _admitted(self, kind: str, envelope: RequestEnvelope, pool_limit: int) -> _Admitted:
        return _Admitted(self, self._admission, kind, envelope, pool_limit)


class _Admitted:
    """Holds a request's place from admission to the end of its answer, and counts it."""

    def __init__(
        self,
        entry: Entry,
        admission: Admission,
        kind: str,
        envelope: RequestEnvelope,
        pool_limit: int,
    ) -> None:
        self._entry = entry
        self._admission = admission
        self._kind = kind
        self._envelope = envelope
        self._pool_limit = pool_limit
        self._started = time.monotonic()

    def __enter__(self) -> _Admitted:
        envelope = self._envelope
        try:
            self._admission.enter(envelope.member, envelope.pool, self._pool_limit)
        except RunkeelError as error:
            error.request_id = envelope.request_id
            REQUESTS.labels(self._kind, error.code.value).inc()
            raise
        self._entry.in_flight += 1
        return self

    def __exit__(self, _type: Any, error: BaseException | None, _traceback: Any) -> None:
        self._entry.in_flight -= 1
        self._admission.leave(self._envelope.member, self._envelope.pool)
        outcome = "answered"
        if isinstance(error, RunkeelError):
            error.request_id = self._envelope.request_id
            outcome = error.code.value
        elif error is not None:
            outcome = "aborted"
        REQUESTS.labels(self._kind, outcome).inc()
        seconds = time.monotonic() - self._started
        REQUEST_SECONDS.labels(self._kind, self._envelope.priority_class).observe(seconds)


class _StreamBody:
    """Body of a streamed answer; closing it cancels the generation and frees its place."""

    def __init__(
        self, events: Iterator[bytes], chunks: Iterator[TokenChunk], held: _Admitted
    ) -> None:
        self._events = events
        self._chunks = chunks
        self._held: _Admitted | None = held

    def __iter__(self) -> _StreamBody:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._events)
        except StopIteration:
            self._end(None)
            raise
        except BaseException as error:
            self._end(error)
            raise

    def close(self) -> None:
        """Cancel what is still running."""
        self._end(GeneratorExit())

    def _end(self, error: BaseException | None) -> None:
        held, self._held = self._held, None
        if held is None:
            return
        self._chunks.close()
        held.__exit__(type(error), error, None)


def _application_request(
    request: HttpRequest, envelope: RequestEnvelope, prefix: str
) -> ApplicationRequest:
    path = request.raw_target.removeprefix(prefix)
    if path == request.raw_target or not path.startswith("/") or not path.isascii():
        raise not_run(ErrorCode.BAD_REQUEST, "the path is not in its plain form")
    headers = [
        HttpHeader(name, value)
        for name, value in request.headers.items()
        if name not in _REPLACED_HEADERS and not name.startswith(_OWN_PREFIX)
    ]
    return ApplicationRequest(envelope, request.method, path, headers, request.body)


def _idempotency_key(request: HttpRequest) -> str:
    key = request.headers.get("idempotency-key")
    if key is None:
        return ""
    printable = key.isascii() and key.isprintable()
    if not key or len(key) > MAXIMUM_KEY_CHARACTERS or not printable:
        raise not_run(ErrorCode.BAD_IDEMPOTENCY_KEY, "1 to 200 printable ASCII characters")
    return key


def _repeatable(text: str | None, default: bool) -> bool:
    if text is None:
        return default
    if text not in ("true", "false"):
        raise not_run(ErrorCode.BAD_REQUEST, "X-Runkeel-Repeatable is neither true nor false")
    return text == "true"


def _member(text: str) -> str:
    if len(text) > MAXIMUM_MEMBER_CHARACTERS or not text.isascii() or not text.isprintable():
        raise not_run(ErrorCode.BAD_REQUEST, "X-Runkeel-Member is not printable ASCII")
    return text


def _completion_content(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        raise not_run(ErrorCode.BAD_REQUEST, "the body is no JSON in UTF-8") from None
    if not isinstance(content, dict) or not content.keys() <= _COMPLETION_FIELDS:
        raise not_run(ErrorCode.BAD_REQUEST, "the body is no object of the known fields")
    _check_field(content, "prompt", str, lambda v: len(v) <= MAXIMUM_PROMPT_CHARACTERS)
    if "prompt" not in content:
        raise not_run(ErrorCode.BAD_REQUEST, "prompt is missing")
    _check_field(content, "max_tokens", int, lambda v: 0 < v <= MAXIMUM_TOKENS)
    _check_field(content, "stream", bool, lambda _: True)
    return content


def _check_field(
    content: dict[str, Any], name: str, kind: type, valid: Callable[[Any], bool]
) -> None:
    if name not in content:
        return
    value = content[name]
    if type(value) is not kind or not valid(value):
        raise not_run(ErrorCode.BAD_REQUEST, f"{name} is out of its type or range")
