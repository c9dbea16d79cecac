/** Spread and catch-up of the replicated state; see docs/design/configuration.md. */
namespace py runkeel.wire.generated.state

/** One version of one configuration object or machine list entry. */
struct StateRecord {
  1: string kind,
  2: string name,
  3: i64 generation,
  4: binary payload,             // canonical JSON: the object's spec or the machine
  5: bool deleted,
  6: list<string> command_ids,   // latest last
  7: string changed_by,
}

/** Records on their way down the tree of the zone, whose root is the node named. */
struct StatePush {
  1: list<StateRecord> records,
  2: string root,
  3: i32 depth,                  // hops from the root; bounds loops when views differ
}

struct StatePushReply {
  1: i32 taken,
}

struct RecordName {
  1: string kind,
  2: string name,
}

/**
 * One step of an exchange. A first step carries bucket_digests; later ones carry records and
 * the digests of records wanted. Digests are packed as 8 bytes each, big-endian.
 */
struct StateSync {
  1: optional binary bucket_digests,
  2: optional binary wanted,
  3: list<StateRecord> records,
  4: list<RecordName> names,     // records wanted by name, for a writer
}

/** held lists the digests of all records in the buckets covered, a part of those that differ. */
struct StateSyncReply {
  1: list<i32> covered,
  2: i32 differing,              // number of buckets that differ
  3: binary held,
  4: list<StateRecord> records,
}
