/** Queries that one node asks of the others for an operator. */
namespace py runkeel.wire.generated.operators

/** One value of a row; no field set is null. */
struct Cell {
  1: optional i64 integer,
  2: optional double number,
  3: optional string text,
  4: optional bool flag,
}

struct QueryRequest {
  1: string query,          // the text of a show query
}

struct QueryReply {
  1: list<string> columns,
  2: list<list<Cell>> rows,
  3: bool truncated,        // more rows than a reply holds
}
