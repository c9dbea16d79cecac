"""Options of the emulated engine."""

from __future__ import annotations

from pydantic import Field

from runkeel_lab.standins.server import StandInOptions


class EngineOptions(StandInOptions):
    """Options of the emulated engine; the step-time model is in docs/design/emulator.md.

    Attributes:
        weight_version: version held after a start or a crash.
        weight_store: ``ip:port`` of the weight store, or ``@id`` of one in the same file;
            without it a load takes ``local_load_ms``.
        base_ms: time of an empty step.
        per_sequence_ms: added for each running sequence.
        per_prefill_token_ms: added for each prompt token processed in the step.
        max_running: sequences in the batch at once.
        max_waiting: sequences that wait for the batch; more are answered with 503.
        max_prefill_tokens: prompt tokens processed in one step, over all sequences.
        kv_total_blocks: KV cache memory of the running sequences, in blocks of 16 tokens.
        prefix_cache_blocks: memory for cached prompt prefixes, in blocks.
        cache_event_lag_ms: delay of cache events.
        cache_event_gap_fraction: share of cache events that are never shown.
        load_lag_ms: lag of ``GET /v1/load``.
        tokens_per_event: tokens joined in one event, after the first token.
        max_tokens: longest completion accepted.
        kv_export_entries: exported KV caches kept.
        kv_bytes_per_block: size of an exported block.
        swap_pause_ms: pause of all generation when new weights take over.
        adapter_load_ms: time to load an adapter.
        max_adapters: adapters held; the oldest goes first.
        load_timeout_ms: a load that takes longer fails.
        boot_ms: not ready for so long after a start or a crash.
    """

    weight_version: int = Field(default=1, ge=0)
    weight_store: str | None = None
    local_load_ms: int = Field(default=200, ge=0)
    role: str = "mixed"
    base_ms: float = Field(default=8.0, gt=0)
    per_sequence_ms: float = Field(default=0.1, ge=0)
    per_prefill_token_ms: float = Field(default=0.02, ge=0)
    max_running: int = Field(default=32, ge=1)
    max_waiting: int = Field(default=1024, ge=0)
    max_prefill_tokens: int = Field(default=2048, ge=1)
    kv_total_blocks: int = Field(default=8192, ge=1)
    prefix_cache_blocks: int = Field(default=2048, ge=0)
    cache_event_lag_ms: int = Field(default=500, ge=0)
    cache_event_gap_fraction: float = Field(default=0.02, ge=0, le=1)
    load_lag_ms: int = Field(default=300, ge=0)
    tokens_per_event: int = Field(default=8, ge=1)
    max_tokens: int = Field(default=131_072, ge=1)
    kv_export_entries: int = Field(default=64, ge=1)
    kv_bytes_per_block: int = Field(default=256, ge=0)
    swap_pause_ms: float = Field(default=50.0, ge=0)
    adapter_load_ms: int = Field(default=100, ge=0)
    max_adapters: int = Field(default=8, ge=1)
    load_timeout_ms: int = Field(default=60_000, ge=1)
    boot_ms: int = Field(default=0, ge=0)
