/** Permits that pace the roll-out of weights. */
namespace py runkeel.wire.generated.weights

struct EngineKey {
  1: string model,
  2: string backend_id,
}

/** All that one owner wants and holds now; replaces what it said before. Renews its leases. */
struct PermitRequest {
  1: i64 incarnation,
  2: i64 sequence,          // grows with each request of this incarnation
  3: string zone,
  4: list<EngineKey> wants,
  5: list<EngineKey> holds,
  6: i64 wait_ms,           // how long the coordinator may keep the call open
  7: i32 failures,          // loads that have failed since the last request
}

struct PermitReply {
  1: bool coordinator,      // false: this node does not believe to be the coordinator
  2: list<string> granted,  // back ends that may swap now
  3: i64 lease_ms,
}
