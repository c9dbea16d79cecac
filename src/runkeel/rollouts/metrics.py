"""Counters and gauges of the rollout service."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

STEPS_OPEN = Gauge("runkeel_rollout_steps_open", "Steps that this node owns", ["node"])
STEPS_MOVED = Counter(
    "runkeel_rollout_steps_moved_total", "Steps passed on to another owner", ["outcome"]
)
SAMPLES_STORED = Gauge("runkeel_rollout_samples_stored", "Samples held in memory", ["node"])
GENERATIONS_IN_FLIGHT = Gauge(
    "runkeel_rollout_generations_in_flight", "Generations that run now", ["node"]
)
SAMPLES_GENERATED = Counter(
    "runkeel_rollout_samples_generated_total", "Finished generations", ["model"]
)
SAMPLES_DROPPED = Counter(
    "runkeel_rollout_samples_dropped_total",
    "Samples dropped to be made again, by reason",
    ["model", "reason"],
)
ATTEMPTS_FAILED = Counter(
    "runkeel_rollout_attempts_failed_total", "Failed attempts, by error code", ["model", "code"]
)
SAMPLES_HANDED_OVER = Counter(
    "runkeel_rollout_samples_handed_over_total", "Samples in answers to trainers", ["model"]
)
STALENESS_VERSIONS = Histogram(
    "runkeel_rollout_staleness_versions",
    "Versions between a sample's oldest token range and the trainer, at hand-over",
    ["model"],
    buckets=(0, 1, 2, 3, 4, 6, 8, 12, 16),
)
ENTRIES_DECIDED = Counter(
    "runkeel_rollout_entries_decided_total",
    "Delivery entries learnt as decided: ours, or another owner's",
    ["model", "proposer"],
)
ENTRIES_REVISED = Counter(
    "runkeel_rollout_entries_revised_total", "Entries whose samples had to be replaced", ["model"]
)
HEDGES = Counter("runkeel_rollout_hedges_total", "Duplicated last tasks of steps", ["model"])
SCORER_CALLS = Counter("runkeel_rollout_scorer_calls_total", "Calls to scorers", ["outcome"])
REPLICATION_FAILURES = Counter(
    "runkeel_rollout_replication_failures_total", "Failed stores of a second copy", ["code"]
)
LOG_BYTES = Gauge("runkeel_rollout_log_bytes", "Size of the sample log", ["node"])
LOG_RECORDS_DISCARDED = Counter(
    "runkeel_rollout_log_discarded_total", "Unreadable tails of the sample log", ["reason"]
)
