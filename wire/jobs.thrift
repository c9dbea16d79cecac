/** The coordinator of batch jobs and weight versions, and the nodes that ask it. */
namespace py runkeel.wire.generated.jobs

include "common.thrift"

struct NodeAddress {
  1: string node_id,
  2: string address,        // of its peer listener, ip:port
  3: string zone,
}

/** Sent by every node to the coordinator. */
struct CoordinatorPing {
  1: string shard,
  2: i64 epoch,             // the highest that the sender knows; an older coordinator steps down
  3: bool preferred,        // the sender should succeed before nodes that are not preferred
  4: NodeAddress sender,
  5: bool coordinating,     // the sender is the coordinator of this epoch itself
  6: i64 neighbours_digest, // of the neighbours that the sender knows; 0: none
}

struct CoordinatorPong {
  1: bool coordinator,      // false: this node is not the coordinator
  2: i32 rank,              // the receiver's place in the order of succession, from 0
  3: i64 interval_ms,       // when to ping again
  4: bool store_reachable,  // false: a successor that reaches the store should take over
  5: list<NodeAddress> witnesses, // nodes to ask before taking over
  6: i64 lease_revision,    // of the order lease's last confirmation; 0: none is known
  7: i64 lease_age_ms,      // time since before that confirmation
  // 8 and 9 are reserved: digests in an earlier version.
  10: list<NodeAddress> successors, // who replaces the coordinator, the likeliest first
  11: i64 epoch,            // in which the receiver coordinates; 0: it does not
  12: bool tentative,       // it runs items until the store is back and can say who coordinates
  13: optional list<NodeAddress> neighbours, // of the receiver, to which it tells news; only where they differ
  14: i64 quarantine_digest, // of what the sender knows of requests under which servers have ended
}

enum FeedState {
  CURRENT = 1,
  STALE = 2,                // the coordinator's own copy was not confirmed by the store lately
  NOT_COORDINATOR = 3,
}

/** Asked of the coordinator by every other node: changes of the documents that all nodes follow. */
struct FeedRead {
  1: string shard,
  2: map<string, i64> revisions, // by kind: the store's revision that the asker's copy reflects
  3: i64 wait_ms,           // how long the reply may be held until there is a change
}

struct FeedDocument {
  1: string name,
  2: i64 revision,
  3: string content,        // JSON, as the store holds it
}

/** What the asker lacks of one kind. */
struct FeedPage {
  1: string kind,
  2: i64 revision,          // the store's, that the asker's copy reflects with this page
  3: bool whole,            // the documents are all there are; others are gone
  4: list<FeedDocument> documents,
  5: list<string> removed,
}

/** What a copy of one kind holds, so that another copy at the same revision can be compared. */
struct FeedCopy {
  1: i64 revision,          // the store's revision that the copy reflects
  2: i64 digest,            // of the documents' names
}

struct FeedReadReply {
  1: i32 state,
  2: list<FeedPage> pages,
  3: optional NodeAddress successor, // who replaced this node, if it has heard from that one
  4: i64 successor_epoch,
  5: optional map<string, FeedCopy> copies, // of the coordinator, by kind; only where it is current
  6: optional i64 confirmed_after_ms, // from the arrival of the request to when the store last confirmed the copy; negative: before; only where it is current
}

/** Asked of other nodes by one that can't reach the coordinator. */
struct CoordinatorWitness {
  1: string shard,
  2: i64 epoch,
}

struct CoordinatorWitnessReply {
  1: bool serving,          // the coordinator of this epoch, or a later one, answers this node
}

enum JobLookup {
  FOUND = 1,
  UNKNOWN = 2,           // this coordinator does not hold the job
  NOT_COORDINATOR = 3,
}

struct JobRead {
  1: string shard,
  2: string job_id,
  3: i32 position,
  4: i64 wait_ms,           // how long the reply may be held until a result exists
  5: i32 maximum_bytes,
  6: string tenant,         // whose job it must be; to others it is unknown
}

struct JobResult {
  1: string item_id,
  2: string state,
  3: string text,
  4: list<i64> versions,
  5: string score,
}

struct JobReadReply {
  1: i32 lookup,
  2: i32 total,
  3: i32 position,
  4: list<JobResult> results,
  5: bool verified,         // the store said lately that this node is the coordinator
}

/** A batch job was accepted; it already stands in the store. */
struct JobAccepted {
  1: string shard,
  2: string job_id,
}

struct JobAcceptedReply {
  1: i32 lookup,
}

/** A batch job was ended; the end already stands in the store. */
struct JobEnded {
  1: string shard,
  2: string job_id,
}

struct JobEndedReply {
  1: i32 lookup,
}

struct JobItemRead {
  1: string shard,
  2: string job_id,
  3: string item_id,
  4: string tenant,         // whose job it must be
}

struct JobItemReadReply {
  1: i32 lookup,
  2: bool known_item,
  3: string body,           // in base64
  4: bool ended,            // the job's end stands in the store
}

/** What a generation has added to its text since the last update. */
struct TextUpdate {
  1: string item_id,
  2: i32 generation,        // grows each time the text is started anew
  3: i32 first_piece,       // number of pieces that the receiver should have already
  4: list<string> pieces,
  5: string last_event_id,
  6: list<i64> versions,
  7: bool whole,
}

/** Sent by the coordinator to its successors, and by a node that keeps copies to a later coordinator. */
struct TextReplication {
  1: string shard,
  2: i64 epoch,             // of the coordinator that ran the generations
  3: list<TextUpdate> updates,
  4: bool handover,         // to the coordinator; updates without pieces offer what it may want
}

struct TextReplicationReply {
  1: list<string> missing,  // items whose whole text is wanted
}

/** Asks a node to run items for the coordinator; it answers by progress from then on. */
struct RunnerInvite {
  1: string shard,
  2: i64 epoch,
  3: NodeAddress coordinator,
}

struct RunnerInviteReply {
  1: bool accepted,         // false: the node knows a later epoch, or stops
}

/** The request that scores a generated text. */
struct ItemScorer {
  1: string request_id,
  2: string host,
  3: string path,
  4: string body,           // in base64
}

/** One item to be run at an engine that the coordinator has chosen. */
struct ItemRunStart {
  1: string shard,
  2: i64 epoch,
  3: string session,        // of the runner, as it told by its progress; in another it refuses
  4: string run_id,
  5: string backend_id,
  6: string request_id,
  7: string host,
  8: string path,
  9: list<common.HttpHeader> headers,
  10: binary body,
  11: i32 urgency,
  12: string resume_after,  // empty: from the start
  13: list<i64> versions,   // that made the text so far
  14: i64 minimum_version,
  15: bool single_version,
  16: i64 remaining_ms,
  17: optional ItemScorer scorer,
  18: string tenant,        // whose job the item is of; empty: nobody's
  19: bool on_trial,        // always set; older runners refuse items under which engines ended
}

struct ItemRunStartReply {
  1: bool accepted,         // false: it has not run and won't
  2: string detail,
}

/** What has come of a run since the last progress. */
struct ItemRunUpdate {
  1: string run_id,
  2: i32 first_piece,       // pieces of this run that were told before
  3: list<string> pieces,
  4: string last_event_id,
  5: list<i64> versions,
  6: bool whole,            // the generation's end was received
  7: string outcome,        // empty while it goes on
  8: string detail,
  9: string score,
}

/** Sent by a runner several times a second; an answer renews the lease of its runs. */
struct ItemRunProgress {
  1: string shard,
  2: i64 epoch,
  3: string session,        // another one after the lease has lapsed
  4: list<ItemRunUpdate> updates,
  5: i64 late_ms,           // how late the runner's own timers are
}

struct ItemRunProgressReply {
  1: bool coordinating,     // false: end all runs
  2: list<string> unwanted, // runs to be ended, and never begun if they come later
  3: list<string> loading,  // runs whose engine is loading a version: a pause is expected
}

/** Requests that one process counted in a window of time, by tenant, in all. */
struct UsageWindow {
  1: i64 number,
  2: map<string, i64> counts,
}

/** Told to the coordinator by every node that serves clients. */
struct UsageCounts {
  1: string shard,
  2: i64 epoch,
  3: string source,              // names the process that counted
  4: list<UsageWindow> windows,  // those that have changed
  5: i64 complete_before_ms,     // since the epoch; what began before is counted
}

struct UsageCountsReply {
  1: bool taken,                 // false: this node is not the coordinator
  2: i64 pause_ms,               // least time between two messages
}

enum JobHintState {
  STORED = 1,               // the job stands in the store
  KEPT = 2,                 // it is kept on the receiver's disk until the store takes it
  REFUSED = 3,              // neither
}

/** A batch job that the sender could not write to the store. */
struct JobHint {
  1: string shard,
  2: string job_id,
  3: string content,        // JSON: its document and its parts
}

struct JobHintReply {
  1: i32 state,
}

/** Asked before a job is said not to be there. */
struct JobHintLookup {
  1: string shard,
  2: string job_id,
}

struct JobHintLookupReply {
  1: bool kept,
  2: bool remembers,        // the receiver would know of a job that it was given
}

/** What a successor lacks of an open job. */
struct JobCopy {
  1: string job_id,
  2: string content,        // JSON as in JobHint; empty where it was sent before
  3: list<string> listed,   // items that have been listed since
  4: bool ended,
}

/** Sent by the coordinator to its likeliest successors. */
struct JobCopies {
  1: string shard,
  2: i64 epoch,
  3: list<JobCopy> jobs,
  4: list<string> told,     // jobs that the receiver should have from before; not in every message
}

struct JobCopiesReply {
  1: list<string> missing,  // jobs whose content is wanted again
}
