"""Counters and latency histograms of the gateway, the coordinators and the store."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

_LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 1.0, 3.0, 10.0)

REQUESTS = Counter(
    "runkeel_gateway_requests_total", "Answers to clients", ["route", "status", "code"]
)
REQUEST_SECONDS = Histogram(
    "runkeel_gateway_request_seconds", "Time to the answer", ["route"], buckets=_LATENCY_BUCKETS
)
ATTEMPTS = Counter("runkeel_gateway_attempts_total", "Attempts at servers", ["service", "outcome"])
SERVERS_ENDED = Counter(
    "runkeel_servers_ended_total", "Servers that ended under a request", ["service", "evidence"]
)
QUARANTINE_RECORDS = Gauge(
    "runkeel_quarantine_records", "Requests under which servers have ended, as known here"
)
QUARANTINE_REFUSALS = Counter(
    "runkeel_quarantine_refusals_total", "Requests that were held back", ["service"]
)
QUARANTINE_TRIALS = Counter(
    "runkeel_quarantine_trials_total", "Trials of requests that are held back", ["outcome"]
)
STORE_CALL_SECONDS = Histogram(
    "runkeel_store_call_seconds",
    "Calls to the store",
    ["call", "kind", "outcome"],
    buckets=(0.01, 0.1, 1),
)
UNREADABLE_DOCUMENTS = Counter(
    "runkeel_unreadable_documents_total", "Documents of others that can't be read", ["kind"]
)
FEED_READS = Counter(
    "runkeel_feed_reads_total", "Reads of the coordinator's document feed", ["outcome"]
)
ITEM_RUNS = Counter("runkeel_job_item_runs_total", "Runs of batch job items", ["outcome"])
JOBS = Counter("runkeel_jobs_total", "Batch jobs", ["event"])
JOB_HINTS = Counter(
    "runkeel_job_hints_total", "Jobs kept for the store, by what became of them", ["event"]
)
USAGE_REPORTS = Counter(
    "runkeel_usage_reports_total", "Reports of usage to the platform; empty code: taken", ["code"]
)
COORDINATING = Gauge("runkeel_coordinating", "1 while this node coordinates", ["service"])
VERSION_ORDERS = Counter("runkeel_version_orders_total", "Orders to engines", ["outcome"])
LOG_LINES_DROPPED = Counter("runkeel_log_lines_dropped_total", "Log lines left out")
LOOP_LATE_SECONDS = Histogram(
    "runkeel_loop_late_seconds",
    "How late timers of this process are",
    buckets=(0.005, 0.02, 0.05, 0.15, 0.5, 1.5),
)
RUNNERS = Gauge("runkeel_runners", "Nodes that run items for this coordinator")
HOSTED_RUNS = Gauge("runkeel_hosted_runs", "Items that this node runs for the coordinator")
