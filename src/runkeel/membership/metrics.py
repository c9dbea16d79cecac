"""Metrics of membership."""

from prometheus_client import Counter, Gauge

LIVE_MEMBERS = Gauge("runkeel_members_live", "Nodes believed alive", ["node"])
BYTES_SENT = Counter("runkeel_gossip_sent_bytes", "UDP payload bytes sent", ["kind"])
BYTES_RECEIVED = Counter("runkeel_gossip_received_bytes", "UDP payload bytes received")
DATAGRAMS_SENT = Counter("runkeel_gossip_sent_datagrams", "Datagrams sent", ["kind"])
DATAGRAMS_IGNORED = Counter("runkeel_gossip_ignored_datagrams", "Datagrams ignored", ["reason"])
SUSPICIONS = Counter("runkeel_member_suspicions", "Probes that ended in a suspicion")
REFUTATIONS = Counter("runkeel_member_refutations", "Own incarnation raised", ["reason"])
ZONE_CHANGES = Counter("runkeel_zone_changes", "Zones lost or found again", ["state"])
STATE_MISMATCHES = Counter("runkeel_state_mismatches", "Reported differences of state digests")
