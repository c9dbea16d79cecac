"""HTTP face of the emulated engine."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import asdict
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from runkeel_lab.standins.engine.batch import Batch
from runkeel_lab.standins.engine.kv_exports import KvExport, KvExports
from runkeel_lab.standins.engine.options import EngineOptions
from runkeel_lab.standins.engine.orders import EngineControl, Order
from runkeel_lab.standins.engine.prefix_cache import CacheEventLog, PrefixCache
from runkeel_lab.standins.engine.reports import EngineReport, LaggingReports
from runkeel_lab.standins.engine.sequence import Sequence, TokenEvent
from runkeel_lab.standins.engine.tokens import prompt_token_count, stop_length, token_text
from runkeel_lab.standins.faults import FaultKind
from runkeel_lab.standins.http import (
    AnswerAbortedError,
    Request,
    Response,
    error_response,
    json_response,
)
from runkeel_lab.standins.server import StandIn

MAX_WAIT_MS = 60_000


class CompletionRequest(BaseModel):
    """Body of ``POST /v1/completions``.

    Attributes:
        prior_token_ids: generated before; the completion goes on after them.
        max_tokens: length of the whole completion, prior tokens counted.
        priority: 0 is the most urgent.
        minimum_version: refused with 503 while the engine's version is lower.
        kv_handle: exported KV cache that covers the prompt and prior tokens.
    """

    model_config = ConfigDict(extra="forbid", strict=True)

    request_id: str = Field(min_length=1, max_length=256)
    model: str
    prompt: str
    prior_token_ids: list[int] = Field(default_factory=list)
    max_tokens: int = Field(ge=1)
    priority: int = Field(default=0, ge=0)
    adapter: str = ""
    minimum_version: int = Field(default=0, ge=0)
    kv_handle: str = ""


class Engine(StandIn):
    """Model engine over HTTP; ``settings.pool`` names its model."""

    kind = "engine"
    options_class = EngineOptions
    supported_faults = frozenset(
        {
            FaultKind.DOWN,
            FaultKind.SLOW,
            FaultKind.HANG,
            FaultKind.ERROR,
            FaultKind.CRASH,
            FaultKind.FAIL_SWAP,
        }
    )

    _batch: Batch | None = None

    def reset(self) -> None:
        """Begin as a process just started: no sequences, no caches, the first weights."""
        options: EngineOptions = self.options
        if self._batch is not None:
            self._batch.abandon()
        self._control = EngineControl(self.settings.pool, options, self.faults, self.journal)
        lag_seconds = options.cache_event_lag_ms / 1000
        self._cache_events = CacheEventLog(
            lag_seconds, options.cache_event_gap_fraction, self.random
        )
        self._cache = PrefixCache(options.prefix_cache_blocks, self._cache_events)
        control = self._control
        self._batch = Batch(options, self._cache, self.journal, lambda: control.weight_version)
        self._exports = KvExports(options.kv_export_entries)
        self._arrivals = 0
        self._report_sequence = 0
        self._boots_until = time.monotonic() + options.boot_ms / 1000
        self._reports = LaggingReports(options.load_lag_ms / 1000, self._report())
        self._connect_parts()
        self.spawn(self._batch.run)

    def _connect_parts(self) -> None:
        self._control.spawn = self.spawn
        self._control.changed = self._record_report
        self._control.before_swap = self._before_swap
        self._control.after_half_swap = self._batch.cut_all
        self._control.is_idle = lambda: self._batch.idle
        self._batch.before_step = lambda: self.faults.wait_while(FaultKind.HANG)
        self._batch.after_step = self._after_step

    def on_up(self) -> None:
        """Count the boot from the moment that the engine can be reached."""
        self._boots_until = time.monotonic() + self.options.boot_ms / 1000

    def _before_swap(self) -> None:
        self._batch.flush()
        self._batch.stall(self.options.swap_pause_ms)
        self._cache.clear()

    def _after_step(self, idle: bool) -> None:
        if idle or self._reports.due():
            self._record_report()

    def _record_report(self) -> None:
        self._reports.record(self._report())

    @property
    def _ready(self) -> bool:
        control = self._control
        booted = time.monotonic() >= self._boots_until
        return booted and not control.half_swapped and not control.changing_model

    # Requests

    def handle(self, request: Request) -> Response:
        """Answer one call of the engine's protocol."""
        self.faults.wait_while(FaultKind.HANG)
        parts = request.segments
        call = (request.method, *parts[:2])
        if call == ("POST", "v1", "completions") and len(parts) == 2:
            return self._complete(request)
        if call == ("DELETE", "v1", "completions") and len(parts) == 3:
            return self._cancel(parts[2])
        if call == ("GET", "v1", "load"):
            return self._lagging_load()
        if call == ("GET", "v1", "status"):
            return self._status()
        if call == ("GET", "v1", "cache-events"):
            return self._events(request)
        if call == ("POST", "v1", "orders"):
            return self._control.submit(Order.model_validate(request.json_object()))
        if call == ("GET", "v1", "kv") and len(parts) == 3:
            return self._export(parts[2])
        if call == ("PUT", "v1", "kv") and len(parts) == 3:
            self._exports.add(KvExport.from_bytes(request.body), parts[2])
            return json_response(200, {"kv_handle": parts[2]})
        return error_response(404, "no such path")

    def _complete(self, request: Request) -> Response:
        completion = CompletionRequest.model_validate(request.json_object())
        self.journal.write(
            "received",
            request_id=completion.request_id,
            path=request.path,
            first=len(completion.prior_token_ids),
            max_tokens=completion.max_tokens,
            priority=completion.priority,
        )
        refusal = self._refusal(completion)
        if refusal is not None:
            self.journal.write("refused", request_id=completion.request_id, status=refusal.status)
            return refusal
        sequence = self._sequence(completion)
        self._batch.submit(sequence)
        return Response(200, self._stream(request, sequence), "text/event-stream")

    def _refusal(self, completion: CompletionRequest) -> Response | None:
        control = self._control
        if completion.model != control.model:
            return error_response(404, "another model is loaded")
        if completion.adapter and completion.adapter not in control.adapters:
            return error_response(404, "adapter is not loaded")
        if not self._ready:
            return error_response(503, "not ready", retry_after_seconds=1)
        if completion.minimum_version > control.weight_version:
            return error_response(503, "weight version too old", retry_after_seconds=1)
        if self._batch.find(completion.request_id) is not None:
            return error_response(409, "request_id is running")
        if self._batch.waiting_count >= self.options.max_waiting:
            return error_response(503, "too many requests", retry_after_seconds=1)
        return self._oversize(completion)

    def _oversize(self, completion: CompletionRequest) -> Response | None:
        if completion.max_tokens > self.options.max_tokens:
            return error_response(400, "max_tokens too large")
        longest = self._sequence(completion, count_arrival=False)
        longest.position = max(longest.limit, longest.first)
        if longest.blocks_needed() > self.options.kv_total_blocks:
            return error_response(400, "completion exceeds the KV cache")
        return None

    def _sequence(self, completion: CompletionRequest, count_arrival: bool = True) -> Sequence:
        self._arrivals += count_arrival
        stop = stop_length(completion.prompt)
        stops = stop is not None and stop <= completion.max_tokens
        export = self._exports.get(completion.kv_handle)
        covered = export is not None and export.covers(completion.model, completion.prompt)
        return Sequence(
            request_id=completion.request_id,
            model=completion.model,
            prompt=completion.prompt,
            prompt_tokens=prompt_token_count(completion.prompt),
            priority=completion.priority,
            arrival=self._arrivals,
            first=len(completion.prior_token_ids),
            limit=stop if stops else completion.max_tokens,
            limit_reason="stop" if stops else "length",
            kv_tokens=export.token_count if covered else 0,
        )

    def _stream(self, request: Request, sequence: Sequence) -> Iterator[bytes]:
        try:
            while True:
                event = sequence.events.get()
                if event is None:
                    request.connection.abort()
                    raise AnswerAbortedError
                yield _encode(sequence.request_id, event)
                if event.finish_reason is not None:
                    return
        finally:
            self._batch.cancel(sequence, "disconnected")

    def _cancel(self, request_id: str) -> Response:
        sequence = self._batch.find(request_id)
        if sequence is None:
            state = "finished" if self._batch.has_finished(request_id) else "unknown"
            return json_response(200, {"state": state, "kv_handle": ""})
        handle = ""
        if sequence in self._batch.running and not sequence.prefill_remaining:
            export = KvExport.of(sequence.model, sequence.prompt, sequence.token_count)
            handle = self._exports.add(export)
        self._batch.cancel(sequence, "requested")
        return json_response(200, {"state": "cancelled", "kv_handle": handle})

    def _export(self, handle: str) -> Response:
        export = self._exports.get(handle)
        if export is None:
            return error_response(404, "no such KV cache")
        size = -(-export.token_count // 16) * self.options.kv_bytes_per_block
        return Response(200, export.to_bytes(size), "application/octet-stream")

    def _events(self, request: Request) -> Response:
        since = request.integer("since", 0)
        wait_ms = min(request.integer("wait_ms", 0), MAX_WAIT_MS)
        events = self._cache_events.wait(since, wait_ms / 1000)
        following = events[-1].sequence if events else self._cache_events.clamp(since)
        return json_response(
            200, {"events": [event.to_json() for event in events], "next": following}
        )

    # Reports

    def _report(self) -> EngineReport:
        control, batch = self._control, self._batch
        return EngineReport(
            running=len(batch.running),
            waiting=batch.waiting_count,
            max_running=self.options.max_running,
            kv_used_blocks=batch.used_blocks,
            kv_total_blocks=self.options.kv_total_blocks,
            ready=self._ready,
            model=control.model,
            weight_version=control.weight_version,
            adapters=control.adapters,
            role=control.role,
            fence=control.fence,
            swap=control.swap,
            swap_order_id=control.swap_order_id,
        )

    def _lagging_load(self) -> Response:
        report, age_seconds = self._reports.lagging()
        return self._report_response(report, age_seconds)

    def _status(self) -> Response:
        self._batch.stall(self.options.base_ms)
        return self._report_response(self._report(), 0.0)

    def _report_response(self, report: EngineReport, age_seconds: float) -> Response:
        self._report_sequence += 1
        fields = {
            "sequence": self._report_sequence,
            "age_ms": round(age_seconds * 1000),
            **asdict(report),
        }
        return json_response(200, fields)

    def fault_state(self) -> dict[str, Any]:
        """Return the current report and counters."""
        return {**asdict(self._report()), "tokens_generated": self._batch.tokens_generated}


def _encode(request_id: str, event: TokenEvent) -> bytes:
    fields = {
        "request_id": request_id,
        "position": event.position,
        "token_ids": event.token_ids,
        "text": token_text(event.token_ids),
        "weight_version": event.weight_version,
        "finish_reason": event.finish_reason,
    }
    data = f"data: {json.dumps(fields, separators=(',', ':'))}\n\n"
    if event.finish_reason is not None:
        data += "data: [DONE]\n\n"
    return data.encode()
