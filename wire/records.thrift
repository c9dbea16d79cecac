/** Replicated write-once records: single-decree Paxos with crash vectors. See docs/design/records.md. */
namespace py runkeel.wire.generated.records

/** Answer of a replica; crosses the wire as i32. */
enum ReplicaStatus {
  OK = 1,
  HIGHER_BALLOT = 2,       // a higher ballot was promised; see promised
  STALE_INCARNATION = 3,   // the message names an older incarnation of a member; see vector
  RECOVERING = 4,          // the replica restarted empty and has not recovered yet
  JOINING = 5,             // the replica never voted in this epoch and has yet to join it
  WRONG_EPOCH = 6,         // see epoch
  NOT_MEMBER = 7,
  FULL = 8,                // no room for a new key
  RETENTION_WAIT = 9,      // the group was formed anew; see wait_ms
}

/** Whether a member is about to end as planned; crosses the wire as i32. */
enum Departure {
  NONE = 0,
  WAITING = 1,     // wants to go, and does not go before it has asked again
  COMMITTED = 2,   // may go at any moment: nobody may count on it
}

/** Entry of a crash vector: the highest incarnation known of a member. */
struct MemberIncarnation {
  1: string node_id,
  2: i64 incarnation,
}

/** Ordered by round, then nonce. The nonce is random and drawn anew for each attempt. */
struct Ballot {
  1: i64 round,
  2: i64 nonce,
}

/** Phase 1a. */
struct Prepare {
  1: string group,
  2: i64 epoch,
  3: string key,
  4: Ballot ballot,
}

/** Phase 2a; quorum names each promising member at its incarnation of phase 1. */
struct Accept {
  1: string group,
  2: i64 epoch,
  3: string key,
  4: Ballot ballot,
  5: binary value,
  6: list<MemberIncarnation> quorum,
}

/** Asks for a replica's state of a key without changing it. */
struct Read {
  1: string group,
  2: i64 epoch,
  3: string key,
}

/** Answers Prepare, Accept and Read. */
struct ReplicaReply {
  1: i32 status,
  2: i64 epoch,
  3: i64 incarnation,
  4: list<MemberIncarnation> vector,
  5: optional Ballot promised,
  6: optional Ballot accepted,
  7: optional binary value,
  8: bool decided,
  9: i64 wait_ms,          // how long votes are still refused after the group was formed anew
  10: i64 remaining_ms,    // how long the record is kept
}

/** A value was chosen. */
struct Learn {
  1: string group,
  2: i64 epoch,
  3: string key,
  4: binary value,
}

struct LearnReply {
}

/** Announces the sender's incarnation and asks for a page of state; limit_bytes 0 only probes. */
struct Recover {
  1: string group,
  2: i64 epoch,
  3: i64 incarnation,
  4: i32 bucket,
  5: string after_key,
  6: i32 limit_bytes,
}

struct RecordState {
  1: string key,
  2: Ballot promised,
  3: optional Ballot accepted,
  4: optional binary value,
  5: bool decided,
  6: i64 remaining_ms,
}

/** A page; the next one starts at (bucket, after_key) unless done. */
struct RecoverReply {
  1: i32 status,
  2: i64 epoch,
  3: i64 incarnation,
  4: list<MemberIncarnation> vector,
  5: list<RecordState> records,
  6: i32 bucket,
  7: string after_key,
  8: bool done,
  9: i64 wait_ms,
  10: i32 departure,
}
