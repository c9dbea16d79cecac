"""Metrics of the engines' reports."""

from prometheus_client import Counter

ENGINE_POLLS = Counter("runkeel_engine_polls_total", "Load reports asked of engines", ["outcome"])
ENGINE_POLL_BYTES = Counter(
    "runkeel_engine_poll_bytes_total",
    "Estimated bytes exchanged for reports, cache events and orders",
)
