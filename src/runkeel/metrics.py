"""Prometheus metrics of a node: gateway, quarantine, batch jobs, coordinator and store."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

_LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 1.0, 3.0, 10.0)

REQUESTS = Counter(
    "runkeel_gateway_requests_total", "Responses to clients", ["route", "status", "code"]
)
REQUEST_SECONDS = Histogram(
    "runkeel_gateway_request_seconds",
    "Time until the response, in seconds",
    ["route"],
    buckets=_LATENCY_BUCKETS,
)
ATTEMPTS = Counter(
    "runkeel_gateway_attempts_total",
    "Attempts to send a request to a server",
    ["service", "outcome"],
)
SERVERS_ENDED = Counter(
    "runkeel_servers_ended_total",
    "Servers that terminated while handling a request",
    ["service", "evidence"],
)
QUARANTINE_RECORDS = Gauge("runkeel_quarantine_records", "Quarantine records known to this node")
QUARANTINE_REFUSALS = Counter(
    "runkeel_quarantine_refusals_total",
    "Requests refused because they are quarantined",
    ["service"],
)
QUARANTINE_TRIALS = Counter(
    "runkeel_quarantine_trials_total", "Trials of quarantined requests", ["outcome"]
)
STORE_CALL_SECONDS = Histogram(
    "runkeel_store_call_seconds",
    "Duration of calls to the store, in seconds",
    ["call", "kind", "outcome"],
    buckets=(0.01, 0.1, 1),
)
UNREADABLE_DOCUMENTS = Counter(
    "runkeel_unreadable_documents_total", "Documents in the store that can't be parsed", ["kind"]
)
FEED_READS = Counter(
    "runkeel_feed_reads_total", "Reads of the coordinator's document feed", ["outcome"]
)
ITEM_RUNS = Counter(
    "runkeel_job_item_runs_total", "Runs of batch job items by outcome", ["outcome"]
)
JOBS = Counter("runkeel_jobs_total", "Events of batch jobs", ["event"])
JOB_HINTS = Counter(
    "runkeel_job_hints_total", "Jobs kept until the store accepts them, by event", ["event"]
)
USAGE_REPORTS = Counter(
    "runkeel_usage_reports_total",
    "Usage reports to the platform; an empty code means accepted",
    ["code"],
)
COORDINATING = Gauge(
    "runkeel_coordinating", "1 while this node is the coordinator, else 0", ["service"]
)
VERSION_ORDERS = Counter(
    "runkeel_version_orders_total", "Orders to engines to load a version", ["outcome"]
)
LOG_LINES_DROPPED = Counter("runkeel_log_lines_dropped_total", "Log lines dropped")
EVENT_LOOP_LAG_SECONDS = Histogram(
    "runkeel_loop_late_seconds",
    "Event loop lag in seconds",
    buckets=(0.005, 0.02, 0.05, 0.15, 0.5, 1.5),
)
RUNNERS = Gauge("runkeel_runners", "Nodes that run batch job items for this coordinator")
HOSTED_RUNS = Gauge(
    "runkeel_hosted_runs", "Batch job items that this node runs for the coordinator"
)
