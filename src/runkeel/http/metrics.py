"""Counters of the HTTP face."""

from prometheus_client import Counter, Gauge

OPEN_CONNECTIONS = Gauge("runkeel_http_open_connections", "Open HTTP connections.")
ABORTED_RESPONSES = Counter(
    "runkeel_http_aborted_responses", "Streamed responses that did not end normally."
)
UNEXPECTED_ERRORS = Counter(
    "runkeel_http_unexpected_errors", "Requests answered with the code internal."
)
