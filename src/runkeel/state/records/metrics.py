"""Metrics of the record service."""

from prometheus_client import Counter, Gauge, Histogram

PROPOSALS = Counter(
    "runkeel_records_proposals_total", "Calls of decide and read", ["operation", "outcome"]
)
ROUNDS = Counter("runkeel_records_rounds_total", "Ballots started")
FAST_BALLOTS = Counter(
    "runkeel_records_fast_ballots_total", "Ballots that ask every member at once", ["outcome"]
)
DUELS = Counter("runkeel_records_duels_total", "Ballots lost to a higher ballot")
REFUSALS = Counter("runkeel_records_refusals_total", "Messages that a replica refused", ["status"])
RECOVERIES = Counter("runkeel_records_recoveries_total", "Recoveries completed")
FORMATIONS = Counter(
    "runkeel_records_formations_total", "Writes of a group object", ["change", "outcome"]
)
RECORDS = Gauge("runkeel_records_held", "Records held by the replica", ["node", "group"])
RECORD_BYTES = Gauge(
    "runkeel_records_held_bytes", "Bytes of keys and values held", ["node", "group"]
)
DECIDE_SECONDS = Histogram(
    "runkeel_records_decide_seconds",
    "Time of successful decide calls",
    buckets=(0.001, 0.002, 0.004, 0.006, 0.008, 0.012, 0.02, 0.05, 0.1, 0.5, 1, 5),
)
DEPARTURES = Counter(
    "runkeel_records_departures_total", "Planned stops, by what allowed them", ["outcome"]
)
