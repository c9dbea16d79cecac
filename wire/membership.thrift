/** Datagrams between the nodes: failure detection, membership news and load summaries. */
namespace py runkeel.wire.generated.membership

/** Addresses are 4 or 16 bytes of IP and 2 of port; left out for nodes that are gone or suspected. */
struct MemberRecord {
  1: string node_id,
  2: string zone,
  3: i64 incarnation,
  4: i8 status,              // runkeel.api.machines.MemberStatus
  5: optional binary http,
  6: optional binary peer,
  7: optional binary gossip,
}

/** Load of one pool's back ends at one node; the pool's name is hashed. Left out: zero. */
struct PoolLoad {
  1: i32 pool,
  2: i32 backends,
  3: i32 slots,
  4: i32 in_flight,
  5: optional i32 queued,
  6: optional i32 projected_wait_ms,
  7: optional i64 minimum_version,
  8: optional i64 version_spread,
}

/** Left out: the sender's number, and age zero. */
struct NodeLoad {
  1: optional i32 node_number,
  2: i64 sequence,
  3: optional i32 age_ms,
  4: list<PoolLoad> pools,
}

/** Hash of a zone's live members. */
struct ZoneHash {
  1: string zone,
  2: i32 hash,
}

enum DatagramKind {
  PING = 1,
  ACK = 2,
  PROBE_REQUEST = 3,
  HEARTBEAT = 4,
  BRIDGE = 5,
  BRIDGE_REPLY = 6,
  JOIN = 7,
  SYNC_REQUEST = 8,
  SYNC = 9,
  NEWS = 10,
}

/** A sender that the receiver knows gives its number (a hash of its id) in place of its id. */
struct Datagram {
  1: i8 kind,
  2: optional string sender,
  3: optional i64 incarnation,
  4: optional string zone,             // the sender's, where the receiver may be of another
  5: optional i32 number,              // of the probe
  6: optional string target,           // of an indirect probe
  7: optional i64 state_digest,
  8: optional i32 view_hash,           // of the sender's whole table
  9: optional list<ZoneHash> zone_hashes,
  10: optional list<MemberRecord> records,
  11: optional list<NodeLoad> loads,
  13: optional i32 sender_number,
  12: optional list<string> lost_zones,        // by a bridge only: zones that it does not hear
}
