"""Counters of control traffic, read from this process's registry or from a node's metrics page."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from prometheus_client import Metric

DATAGRAM_HEADER_BYTES = 28
"""IPv4 and UDP headers, which the nodes' own counters leave out."""


class Traffic(StrEnum):
    """Counters that a scale run reads; bytes, except the last four."""

    GOSSIP_SENT = "runkeel_gossip_sent_bytes_total"
    GOSSIP_RECEIVED = "runkeel_gossip_received_bytes_total"
    PEER_SENT = "runkeel_peer_sent_bytes_total"
    PEER_RECEIVED = "runkeel_peer_received_bytes_total"
    ENGINE_POLLS = "runkeel_engine_poll_bytes_total"
    DATAGRAMS_SENT = "runkeel_gossip_sent_datagrams_total"
    SUSPICIONS = "runkeel_member_suspicions_total"
    REFUTATIONS = "runkeel_member_refutations_total"
    CONNECTIONS_LOST = "runkeel_peer_connections_lost_total"


BYTE_COUNTERS = (
    Traffic.GOSSIP_SENT,
    Traffic.GOSSIP_RECEIVED,
    Traffic.PEER_SENT,
    Traffic.PEER_RECEIVED,
    Traffic.ENGINE_POLLS,
)


def read_counters(families: Iterable[Metric]) -> dict[str, float]:
    """Return each counter's value, summed over its labels; 0 for one that never counted."""
    values = {str(counter): 0.0 for counter in Traffic}
    for family in families:
        for sample in family.samples:
            if sample.name in values:
                values[sample.name] += sample.value
    return values
