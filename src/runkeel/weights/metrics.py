"""Metrics of weight roll-outs."""

from prometheus_client import Counter, Gauge

ORDERS = Counter("runkeel_weights_orders_total", "Orders sent to engines", ["kind", "outcome"])
ORDERS_WITHHELD = Counter(
    "runkeel_weights_orders_withheld_total", "Orders not sent, by reason", ["reason"]
)
SWAPS = Counter("runkeel_weights_swaps_total", "Weight swaps as reported by engines", ["outcome"])
ENGINES_HELD = Gauge(
    "runkeel_weights_engines_held", "Engines kept out of service after failed swaps", ["node"]
)
PERMITS_GRANTED = Counter("runkeel_weights_permits_granted_total", "Swap permits granted")
PERMITS_EXPIRED = Counter("runkeel_weights_permits_expired_total", "Leases that were not renewed")
STORE_PROBES = Counter("runkeel_weights_store_probes_total", "Reads of store limits", ["outcome"])
