/** What nodes tell each other of requests under which servers have ended. */
namespace py runkeel.wire.generated.quarantine

/** One request, by its fingerprint; see runkeel.quarantine.crash_record. */
struct CrashNews {
  1: string fingerprint,
  2: string service_name,
  3: i64 clearance,         // grows each time the request is cleared; a higher one replaces the rest
  4: list<string> ended_backends, // servers that ended under it
  5: i64 trials,            // granted since it is held back
  6: i64 trials_returned,   // of these, those by which no server was reached
  7: i64 age_ms,            // since the last change that the sender knows of
}

/** Sent to the neighbours when something has changed, and to catch up. */
struct QuarantineNews {
  1: string shard,
  2: list<CrashNews> records,
  3: bool wants_all,        // the reply is to hold everything that the receiver knows
}

struct QuarantineNewsReply {
  1: list<CrashNews> records, // empty unless they were asked for
}

/** Asked of the coordinator before a request that is held back is sent to one server. */
struct TrialRequest {
  1: string shard,
  2: CrashNews record,      // as the sender knows it
}

struct TrialReply {
  1: bool granted,
  2: i64 retry_after_ms,    // when it may be asked again; only where it was not granted
}
