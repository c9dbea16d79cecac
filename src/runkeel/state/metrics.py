"""Metrics of the replicated state."""

from prometheus_client import Counter

RECORDS_TAKEN = Counter(
    "runkeel_state_records_taken_total", "Records that replaced an older one", ["source"]
)
RECORDS_REFUSED = Counter(
    "runkeel_state_records_refused_total", "Records refused because a newer one is held", ["source"]
)
GENERATION_COLLISIONS = Counter(
    "runkeel_state_generation_collisions_total",
    "Records of the held generation with other content; the store was restored older",
)
UNPARSABLE_RECORDS = Counter(
    "runkeel_state_unparsable_records_total", "Records whose spec could not be parsed", ["kind"]
)
PUSHES = Counter("runkeel_state_pushes_total", "Pushes of records to peers", ["outcome"])
SYNCS = Counter("runkeel_state_syncs_total", "Catch-up exchanges with a peer", ["outcome"])
LISTENER_FAILURES = Counter(
    "runkeel_state_listener_failures_total", "Listeners of the state that raised"
)
STORE_READS = Counter(
    "runkeel_state_store_reads_total", "Reads of the platform by this node", ["source", "outcome"]
)
STORE_WRITES = Counter("runkeel_state_store_writes_total", "Writes to the store", ["outcome"])
STORE_REPAIRS = Counter(
    "runkeel_state_store_repairs_total", "Newer records put back into an older store"
)
