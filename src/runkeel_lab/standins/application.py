"""Stand-in for the applications: the stock ledger and the clearing application."""

from __future__ import annotations

import contextlib
import json
import math
import zlib
from collections.abc import Iterator
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore
from pydantic import Field

from runkeel_lab.standins.faults import FaultKind
from runkeel_lab.standins.http import (
    AnswerAbortedError,
    BadRequestError,
    Request,
    Response,
    error_response,
    json_response,
)
from runkeel_lab.standins.server import StandIn, StandInOptions

MAX_PADDING_BYTES = 16 * 1024 * 1024
MAX_SERVICE_MS = 600_000.0


class ApplicationOptions(StandInOptions):
    """Options of an application.

    Attributes:
        max_concurrency: requests run at once.
        max_waiting: requests that wait for a slot; more are answered with 503.
        service_ms: median service time.
        service_sigma: sigma of the lognormal service time; 0 for a constant one.
    """

    max_concurrency: int = Field(default=16, ge=1)
    max_waiting: int = Field(default=256, ge=0)
    service_ms: float = Field(default=5.0, ge=0)
    service_sigma: float = Field(default=0.0, ge=0)


class _Slots:
    """Concurrency limit of one life of the process, with its counters."""

    def __init__(self, limit: int) -> None:
        self.waiting = 0
        self.running = 0
        self.executions = 0
        self._semaphore = BoundedSemaphore(limit)

    @property
    def full(self) -> bool:
        """Whether the next request has to wait."""
        return self._semaphore.locked()

    @contextlib.contextmanager
    def acquired(self) -> Iterator[None]:
        """Hold a slot, waited for first."""
        self.waiting += 1
        try:
            self._semaphore.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.executions += 1
        try:
            yield
        finally:
            self.running -= 1
            self._semaphore.release()


class Application(StandIn):
    """Application over HTTP: ``/lookup/{key}``, ``/reserve``, ``/rate`` and ``/echo``.

    It never recognises a repeated request: each one that starts runs, and the journal
    tells of each run, so that doubled work shows.
    """

    kind = "application"
    options_class = ApplicationOptions
    supported_faults = frozenset(
        {
            FaultKind.DOWN,
            FaultKind.SLOW,
            FaultKind.HANG,
            FaultKind.ERROR,
            FaultKind.CRASH,
            FaultKind.CUT_ANSWERS,
            FaultKind.LOSE_ANSWERS,
        }
    )

    def reset(self) -> None:
        """Begin idle."""
        self._slots = _Slots(self.options.max_concurrency)

    def handle(self, request: Request) -> Response:
        """Run one request."""
        fields = request.identity()
        self.journal.write("received", **fields)
        self.faults.wait_while(FaultKind.HANG)
        service_ms = self._service_ms(request)
        answer = self._answer(request, fields)
        if answer is None:
            self.journal.write("refused", **fields, status=404)
            return error_response(404, "no such path")
        if self._slots.full and self._slots.waiting >= self.options.max_waiting:
            self.journal.write("refused", **fields, status=503)
            return error_response(503, "too many requests", retry_after_seconds=1)
        self._run(fields, service_ms)
        return self._send(request, answer)

    def _run(self, fields: dict[str, str], service_ms: float) -> None:
        # A crash replaces the slots while killed requests still leave the old ones.
        slots = self._slots
        with slots.acquired():
            self.journal.write("started", **fields)
            gevent.sleep(service_ms / 1000)
            self.journal.write("finished", **fields)

    def _service_ms(self, request: Request) -> float:
        emulated = request.header("X-Emulated-Ms")
        if emulated:
            try:
                service_ms = float(emulated)
            except ValueError as error:
                raise BadRequestError("X-Emulated-Ms must be a number") from error
            if not 0 <= service_ms <= MAX_SERVICE_MS:
                raise BadRequestError("X-Emulated-Ms out of range")
            return service_ms
        sigma = self.options.service_sigma
        factor = math.exp(self.random.gauss(0.0, sigma)) if sigma else 1.0
        return self.options.service_ms * factor

    def _answer(self, request: Request, fields: dict[str, str]) -> dict[str, Any] | None:
        parts = request.segments
        base = {"request_id": fields["request_id"], "server": self.settings.standin_id}
        if request.method == "GET" and len(parts) == 2 and parts[0] == "lookup":
            count = zlib.crc32(parts[1].encode()) % 1000
            return {**base, "key": parts[1], "count": count}
        if request.method != "POST" or len(parts) != 1:
            return None
        if parts[0] == "echo":
            text = request.body.decode("utf-8", "replace")
            digest = zlib.crc32(request.body)
            return {**base, "key": fields["key"], "body": text, "body_crc32": digest}
        if parts[0] in ("reserve", "rate"):
            body = request.json_object() if request.body else {}
            key = body.get("key", fields["key"])
            return {**base, "key": key, parts[0]: "done", "body_crc32": zlib.crc32(request.body)}
        return None

    def _send(self, request: Request, answer: dict[str, Any]) -> Response:
        padding = request.header("X-Emulated-Bytes")
        if padding:
            if not padding.isdigit() or int(padding) > MAX_PADDING_BYTES:
                raise BadRequestError("X-Emulated-Bytes out of range")
            answer["padding"] = "x" * int(padding)
        if self._hits(FaultKind.LOSE_ANSWERS):
            self.journal.write("answer_lost", **request.identity())
            return self._cut(request, json.dumps(answer).encode(), sent=0)
        if self._hits(FaultKind.CUT_ANSWERS):
            body = json.dumps(answer).encode()
            self.journal.write("answer_cut", **request.identity())
            return self._cut(request, body, sent=len(body) // 2)
        return json_response(200, answer)

    def _hits(self, kind: FaultKind) -> bool:
        fault = self.faults.active(kind)
        return fault is not None and self.random.random() < fault.fraction

    def _cut(self, request: Request, body: bytes, sent: int) -> Response:
        if sent == 0:
            request.connection.abort()
            raise AnswerAbortedError
        headers = (("Content-Length", str(len(body))),)
        return Response(200, _cut_body(request, body[:sent]), headers=headers)

    def fault_state(self) -> dict[str, Any]:
        """Return counts of requests."""
        return {
            "running": self._slots.running,
            "waiting": self._slots.waiting,
            "executions": self._slots.executions,
        }


def _cut_body(request: Request, part: bytes) -> Iterator[bytes]:
    yield part
    request.connection.abort()
    raise AnswerAbortedError
