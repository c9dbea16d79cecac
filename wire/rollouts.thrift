/** Steps of rollouts: submission, pulls, sample replicas and delivery entries. */
namespace py runkeel.wire.generated.rollouts

/** Consecutive tokens made by one weight version. */
struct VersionRange {
  1: i64 version,
  2: i32 first,
  3: i32 count,
}

struct RolloutTask {
  1: string task_id,
  2: string group,
  3: string prompt,
  4: i32 max_tokens,
  5: i32 expected_tokens,      // hint of the trainer; 0 for none
}

struct StepSubmit {
  1: string model,
  2: string step_id,
  3: list<RolloutTask> tasks,
  4: i64 trainer_version,
  5: bool moved,               // passed on by the earlier owner: not to be passed on again
  6: list<string> running,     // tasks that the earlier owner still works on
  7: i64 running_ms,           // for how long it may do so
}

struct StepSubmitReply {
  1: i32 tasks,
  2: i32 delivered,            // tasks that stand in decided entries
  3: i32 adopted,              // undelivered samples taken over from other nodes
}

struct StepPull {
  1: string model,
  2: string step_id,
  3: i32 cursor,
  4: i64 trainer_version,
  5: i64 wait_ms,
  6: i32 max_samples,
  7: bool moved,               // as in StepSubmit
}

/** ready is false when nothing could be handed over within wait_ms. */
struct StepPullReply {
  1: i32 cursor,
  2: bool ready,
  3: list<SampleRecord> samples,
  4: bool last,
  5: i64 held_ms,              // from the pull's arrival until the samples' ages were taken
}

/** A finished sample. Its digest covers all fields but the two times. */
struct SampleRecord {
  1: string model,
  2: string step_id,
  3: binary step_digest,
  4: string task_id,
  5: string group,
  6: i32 attempt,
  7: binary token_ids,         // little-endian 32-bit integers
  8: list<VersionRange> versions,
  9: string finish_reason,
  10: double score,
  11: i64 age_ms,              // since the first token, when the message was made
  12: i64 first_token_unix_ms, // wall clock of the node that generated it
}

/** Stores second copies; the reply names those that are held. */
struct SampleStore {
  1: list<SampleRecord> samples,
  2: list<SampleRecord> checkpoints,  // unfinished: without finish reason and score
}

struct SampleStoreReply {
  1: list<binary> digests,
}

/** Fetches samples of a step by digest; no digests means all, in pages ordered by digest. */
struct SampleFetch {
  1: string model,
  2: string step_id,
  3: list<binary> digests,
  4: binary after,
  5: bool checkpoints,         // the unfinished samples in place of the finished ones
}

struct SampleFetchReply {
  1: list<SampleRecord> samples,
  2: bool more,
}

/** Drops copies; no digests means all of the step. */
struct SampleRelease {
  1: string model,
  2: string step_id,
  3: list<binary> digests,
}

struct SampleReleaseReply {
  1: i32 released,
}

struct ManifestItem {
  1: string task_id,
  2: i32 attempt,
  3: list<VersionRange> versions,
  4: binary digest,
  5: list<string> holders,     // node ids that held a copy when the entry was proposed
}

/** One entry of a step's delivery record, the value of a replicated record. */
struct DeliveryEntry {
  1: binary step_digest,
  2: i32 cursor,
  3: i32 revision,
  4: string proposer,
  5: list<ManifestItem> items,
  6: binary entered_before,    // bitmap of the tasks in earlier entries, in the step's order
}
