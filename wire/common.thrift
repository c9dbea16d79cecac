/** Messages shared by all parts. Enums cross the wire as i32. */
namespace py runkeel.wire.generated.common

/** Frame payload type. Each part owns a range of a hundred. */
enum MessageType {
  ERROR = 1,          // ErrorReport, ends a call or stream
  CANCEL = 2,         // no payload: the other side has given up on the stream
  WINDOW = 3,         // WindowUpdate: flow-control credit for a stream
  HELLO = 4,          // Hello: first frame of a connection, both ways
  HELLO_PROOF = 5,    // HelloProof: answers the peer's challenge
  PING = 6,           // no payload: asks for a PONG
  PONG = 7,           // no payload

  // 100 to 699 are reserved: messages of an earlier form of the product.

  COORDINATOR_PING = 700,
  COORDINATOR_PONG = 701,
  JOB_READ = 702,
  JOB_READ_REPLY = 703,
  JOB_ENDED = 704,
  JOB_ENDED_REPLY = 705,
  JOB_ITEM_READ = 706,
  JOB_ITEM_READ_REPLY = 707,
  COORDINATOR_WITNESS = 708,
  COORDINATOR_WITNESS_REPLY = 709,
  TEXT_REPLICATION = 710,
  TEXT_REPLICATION_REPLY = 711,
  JOB_ACCEPTED = 712,
  JOB_ACCEPTED_REPLY = 713,
  FEED_READ = 714,
  FEED_READ_REPLY = 715,
  RUNNER_INVITE = 716,
  RUNNER_INVITE_REPLY = 717,
  ITEM_RUN_START = 718,
  ITEM_RUN_START_REPLY = 719,
  ITEM_RUN_PROGRESS = 720,
  ITEM_RUN_PROGRESS_REPLY = 721,
  USAGE_COUNTS = 722,
  USAGE_COUNTS_REPLY = 723,
  JOB_HINT = 724,
  JOB_HINT_REPLY = 725,
  JOB_HINT_LOOKUP = 726,
  JOB_HINT_LOOKUP_REPLY = 727,
  JOB_COPIES = 728,
  JOB_COPIES_REPLY = 729,
  QUARANTINE_NEWS = 730,
  QUARANTINE_NEWS_REPLY = 731,
  QUARANTINE_TRIAL = 732,
  QUARANTINE_TRIAL_REPLY = 733,
}

/** An error sent to a peer; verdict is runkeel.errors.Verdict. */
struct ErrorReport {
  1: string code,
  2: i32 verdict,
  3: string detail,
  4: optional i64 retry_after_ms,
}

/** Credit granted to the sender. A frame costs one, and one more for each 16 KiB of its body. */
struct WindowUpdate {
  1: i32 credit,
}

/** Opens a connection; challenge is 16 random bytes. */
struct Hello {
  1: i32 protocol_version,
  2: string cluster,
  3: string node_id,
  4: string zone,
  5: i64 incarnation,
  6: binary challenge,
}

/** HMAC-SHA256 with the cluster key over role, cluster, both challenges and both node ids. */
struct HelloProof {
  1: binary proof,
}

struct HttpHeader {
  1: string name,
  2: string value,
}
