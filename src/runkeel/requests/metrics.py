"""Metrics of the callers' path."""

from prometheus_client import Counter, Histogram

REQUESTS = Counter("runkeel_requests_total", "Requests answered at the entry", ["kind", "outcome"])
REQUEST_SECONDS = Histogram(
    "runkeel_request_seconds",
    "Time from admission to the answer",
    ["kind", "priority_class"],
    buckets=(0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0),
)
RETRIES = Counter("runkeel_request_retries_total", "Attempts after the first one")
HEDGES = Counter("runkeel_request_hedges_total", "Second copies of slow repeatable requests")
HEDGES_WON = Counter("runkeel_request_hedges_won_total", "Hedges that answered first")
DROPPED_ANSWERS = Counter(
    "runkeel_request_dropped_answers_total", "Answers not delivered", ["reason"]
)
WITHDRAWALS = Counter("runkeel_request_withdrawals_total", "Withdrawals sent", ["state"])
OWNER_REFUSALS = Counter(
    "runkeel_owner_refusals_total", "Requests that an owner refused without a run", ["code"]
)
EJECTIONS = Counter("runkeel_backend_ejections_total", "Back ends ejected as outliers")
RESUMED_GENERATIONS = Counter(
    "runkeel_generations_resumed_total", "Generations that went on at another engine"
)
PREFIX_HITS = Counter(
    "runkeel_prefix_placements_total", "Generations placed by a believed cached prefix"
)
