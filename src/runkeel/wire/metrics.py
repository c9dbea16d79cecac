"""Metrics of the peer connections."""

from prometheus_client import Counter, Gauge

CONNECTIONS = Gauge("runkeel_peer_connections", "Open connections to peers", ["direction"])
DIAL_FAILURES = Counter("runkeel_peer_dial_failures", "Failed attempts to connect to a peer")
CONNECTIONS_LOST = Counter("runkeel_peer_connections_lost", "Connections that failed while open")
HANDSHAKES_REFUSED = Counter(
    "runkeel_peer_handshakes_refused", "Rejected incoming connections", ["reason"]
)
STREAMS_REFUSED = Counter(
    "runkeel_peer_streams_refused", "Streams rejected because a limit was reached"
)
HANDLER_FAILURES = Counter(
    "runkeel_peer_handler_failures", "Handlers that ended with an unexpected exception"
)
BYTES_SENT = Counter("runkeel_peer_sent_bytes", "Bytes sent to peers over TCP")
BYTES_RECEIVED = Counter("runkeel_peer_received_bytes", "Bytes received from peers over TCP")
