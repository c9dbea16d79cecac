/** The caller's path between an entry node and the owner of a back end. */
namespace py runkeel.wire.generated.requests
include "common.thrift"

/** Carried by every hop. Remaining time, never a wall-clock time. */
struct RequestEnvelope {
  1: string request_id,
  2: i32 attempt,
  3: i64 remaining_ms,
  4: i32 priority_rank,      // 0 is the most urgent
  5: string priority_class,
  6: bool repeatable,
  7: string member,
  8: string pool,            // service or model name
  9: string entry_node,
}

struct ApplicationRequest {
  1: RequestEnvelope envelope,
  2: string method,
  3: string path,            // with the query string, as the back end sees it
  4: list<common.HttpHeader> headers,
  5: binary body,
}

struct ApplicationResponse {
  1: string request_id,
  2: i32 attempt,
  3: i32 status,
  4: list<common.HttpHeader> headers,
  5: binary body,
  6: string backend_id,
}

/** A generation. prior_token_ids were generated before, by an attempt that was cut or moved. */
struct ModelRequest {
  1: RequestEnvelope envelope,
  2: string prompt,
  3: list<i32> prior_token_ids,
  4: i32 max_tokens,
  5: i64 minimum_version,    // refuse engines that report an older version; 0 for any
  6: string adapter,         // empty for none
  7: string avoid_backend,   // placement hint, empty for none
  8: string kv_handle,       // exported KV cache to import, empty for none
}

/** Consecutive tokens made by one weight version. position counts prior tokens. */
struct TokenChunk {
  1: string request_id,
  2: i32 attempt,
  3: i32 position,
  4: list<i32> token_ids,
  5: string text,
  6: i64 weight_version,
  7: string finish_reason,   // empty while the stream goes on; else stop, length
  8: string backend_id,
}

/** States of an accepted request at its owner. */
enum RequestState {
  UNKNOWN = 0,
  QUEUED = 1,
  SENT = 2,
  FINISHED = 3,
  WITHDRAWN = 4,
}

/** Asks the owner to take back a request; the reply WITHDRAWN is proof that it did not run. */
struct Withdraw {
  1: string request_id,
  2: i32 attempt,
  3: i64 age_ms,             // since the sender began to send the request; see docs/design/requests.md
}

struct WithdrawReply {
  1: i32 state,
}

/** Value of a claim record: who may dispatch the request, once. */
struct Claim {
  1: string node_id,
  2: i64 incarnation,
  3: string request_id,
  4: binary request_digest,  // SHA-256 of method, path and body
}

/** Asks the claimant of an idempotency key for the answer that it recorded. */
struct AnswerLookup {
  1: string key,             // request id of the claimant's request
  2: i64 wait_ms,
}

struct AnswerLookupReply {
  1: bool found,
  2: bool in_progress,
  3: optional ApplicationResponse response,
  4: optional common.ErrorReport error,  // NOT_RUN: the claim is closed for good without a run
}
