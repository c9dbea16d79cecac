"""HTTP adapter for what a node asks and orders of a model engine, apart from completions."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import Any

from runkeel.api.machines import Address, EngineStatus
from runkeel.backends import engine_metrics
from runkeel.backends.http_connection import HttpConnectionPool, OutgoingRequest
from runkeel.errors import ErrorCode, RunkeelError

DEFAULT_TIMEOUT_SECONDS = 2.0
MAXIMUM_ANSWER_BYTES = 1024 * 1024
_JSON_HEADERS = [("Content-Type", "application/json")]
_REQUEST_OVERHEAD_BYTES = 50
"""Request line and headers of a request as sent by this adapter, roughly."""
_TCP_SEGMENT_BYTES = 80
"""IPv4 and TCP headers of the two segments of an exchange."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """A fenced order.

    Attributes:
        kind: ``load`` (model, version, adapter) or ``role``.
    """

    order_id: str
    fence: int
    kind: str
    model: str = ""
    version: int = 0
    adapter: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change in an engine's prefix cache; ``kind`` is ``stored`` or ``evicted``."""

    sequence: int
    kind: str
    prefix: bytes


def parse_engine_status(document: dict[str, Any]) -> EngineStatus:
    """Convert the JSON of ``/v1/load`` or ``/v1/status``.

    Raises:
        RunkeelError: PROTOCOL_ERROR when a field is missing or has a wrong type.
    """
    try:
        return EngineStatus(
            sequence=int(document["sequence"]),
            age_seconds=float(document["age_ms"]) / 1000,
            running=int(document["running"]),
            waiting=int(document["waiting"]),
            max_running=int(document["max_running"]),
            kv_used_blocks=int(document["kv_used_blocks"]),
            kv_total_blocks=int(document["kv_total_blocks"]),
            ready=bool(document["ready"]),
            model=str(document["model"]),
            weight_version=int(document["weight_version"]),
            role=str(document["role"]),
            fence=int(document["fence"]),
            swap=str(document["swap"]),
            swap_order_id=str(document.get("swap_order_id") or ""),
            adapters=tuple(str(adapter) for adapter in document.get("adapters") or ()),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"engine status: {error!r}") from error


class EngineControlClient:
    """Asks and orders one engine over one kept-alive connection.

    Methods raise RunkeelError: BACKEND_UNREACHABLE, BACKEND_LOST, TRUNCATED_ANSWER or
    DEADLINE_EXCEEDED when the engine does not answer in time, BACKEND_REFUSED for an unexpected
    status and PROTOCOL_ERROR for a malformed answer.

    Attributes:
        exchanged_bytes: estimate of all bytes sent and received.
    """

    def __init__(self, address: Address, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS) -> None:
        self.exchanged_bytes = 0
        self._timeout_seconds = timeout_seconds
        self._pool = HttpConnectionPool(address, MAXIMUM_ANSWER_BYTES)

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def load(self) -> EngineStatus:
        """Return the lagging load report, which costs the engine nothing."""
        return parse_engine_status(self._get("/v1/load"))

    def status(self) -> EngineStatus:
        """Return the current status; costs the engine a step."""
        return parse_engine_status(self._get("/v1/status"))

    def cache_events(self, since: int, wait_ms: int) -> tuple[int, list[CacheEvent]]:
        """Return the next sequence to ask for and the events; sequences may be missing."""
        document = self._get(f"/v1/cache-events?since={since}&wait_ms={wait_ms}")
        try:
            events = [
                CacheEvent(int(item["sequence"]), str(item["kind"]), bytes.fromhex(item["prefix"]))
                for item in document["events"]
            ]
            return int(document["next"]), events
        except (KeyError, TypeError, ValueError) as error:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"cache events: {error!r}") from error

    def order(self, order: EngineOrder) -> None:
        """Send an order; returns once the engine has taken it, not when it is done.

        Raises:
            RunkeelError: STALE_FENCE when the engine has seen a higher fence.
        """
        body = {
            "order_id": order.order_id,
            "fence": order.fence,
            "kind": order.kind,
            "model": order.model,
            "version": order.version,
            "adapter": order.adapter,
            "role": order.role,
        }
        status, _ = self._exchange("POST", "/v1/orders", json.dumps(body).encode())
        if status == 409:
            raise RunkeelError(ErrorCode.STALE_FENCE, f"order {order.order_id} was overtaken")
        if status not in (200, 202):
            raise RunkeelError(ErrorCode.BACKEND_REFUSED, f"order {order.order_id}: HTTP {status}")

    def _get(self, target: str) -> dict[str, Any]:
        status, body = self._exchange("GET", target, b"")
        if status != 200:
            raise RunkeelError(ErrorCode.BACKEND_REFUSED, f"{target}: HTTP {status}")
        try:
            document = json.loads(body)
        except ValueError as error:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"{target}: {error}") from error
        if not isinstance(document, dict):
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"{target}: not a JSON object")
        return document

    def _exchange(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        headers = _JSON_HEADERS if body else []
        deadline = time.monotonic() + self._timeout_seconds
        answer = self._pool.request(OutgoingRequest(method, target, headers, body), deadline)
        header_bytes = sum(len(name) + len(value) + 4 for name, value in answer.headers)
        sent_bytes = _REQUEST_OVERHEAD_BYTES + len(target) + len(body)
        received_bytes = header_bytes + len(answer.body) + _TCP_SEGMENT_BYTES
        self.exchanged_bytes += sent_bytes + received_bytes
        engine_metrics.ENGINE_POLL_BYTES.inc(sent_bytes + received_bytes)
        return answer.status, answer.body
