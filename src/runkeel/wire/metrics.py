"""Metrics of the peer connections."""

from prometheus_client import Counter, Gauge

CONNECTIONS = Gauge("runkeel_peer_connections", "Open connections to peers", ["direction"])
DIAL_FAILURES = Counter("runkeel_peer_dial_failures", "Failed attempts to connect to a peer")
CONNECTIONS_LOST = Counter("runkeel_peer_connections_lost", "Connections that failed in use")
HANDSHAKES_REFUSED = Counter("runkeel_peer_handshakes_refused", "Refused connections", ["reason"])
STREAMS_REFUSED = Counter("runkeel_peer_streams_refused", "Streams refused at a limit")
HANDLER_FAILURES = Counter("runkeel_peer_handler_failures", "Handlers ended by an unforeseen error")
BYTES_SENT = Counter("runkeel_peer_sent_bytes", "Bytes sent to peers over TCP")
BYTES_RECEIVED = Counter("runkeel_peer_received_bytes", "Bytes received from peers over TCP")
