"""Metrics of operators' queries and commands."""

from prometheus_client import Counter

COMMANDS = Counter("runkeel_operator_commands_total", "Commands by outcome", ["verb", "outcome"])
QUERIES = Counter("runkeel_operator_queries_total", "Queries by outcome", ["outcome"])
QUERY_PEER_FAILURES = Counter(
    "runkeel_operator_query_peer_failures_total", "Nodes that did not answer a query in time"
)
REFUSED_TOKENS = Counter("runkeel_operator_refused_tokens_total", "Requests without a valid token")
