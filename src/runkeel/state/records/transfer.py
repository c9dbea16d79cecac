"""State transfer to a recovering replica: pages of records, and taking them over."""

from __future__ import annotations

import math

from runkeel.state.records.ballots import to_ballot_number, to_wire_ballot
from runkeel.state.records.table import BUCKETS, Record, RecordTable
from runkeel.wire.generated.records.ttypes import RecordState, Recover, RecoverReply


def remaining_ms(record: Record, now: float) -> int:
    """Return how long a record is still kept, in ms; times of two machines can't be compared."""
    return math.ceil((record.expires_at - now) * 1000)


def fill_page(table: RecordTable, reply: RecoverReply, request: Recover, now: float) -> None:
    """Add records from the requested position on, until the page is full or none is left."""
    table.expire()
    room = request.limit_bytes
    after_key = request.after_key
    for bucket in range(request.bucket, BUCKETS):
        for record in table.page(bucket, after_key):
            reply.records.append(_record_state(record, now))
            room -= record.size
            if room <= 0:
                reply.bucket, reply.after_key = bucket, record.key
                return
        after_key = ""
    reply.done = True


def _record_state(record: Record, now: float) -> RecordState:
    return RecordState(
        key=record.key,
        promised=to_wire_ballot(record.promised),
        accepted=to_wire_ballot(record.accepted),
        value=record.value,
        decided=record.decided,
        remaining_ms=remaining_ms(record, now),
    )


def merge_record(table: RecordTable, state: RecordState, now: float) -> bool:
    """Take over a member's state of one key; False when there is no room."""
    expires_at = now + state.remaining_ms / 1000
    record = table.get(state.key) or table.create(state.key, expires_at)
    if record is None:
        return False
    record.expires_at = max(record.expires_at, expires_at)
    record.promised = max(record.promised, to_ballot_number(state.promised))
    if record.decided:
        return True
    accepted = to_ballot_number(state.accepted)
    higher = accepted is not None and (record.accepted is None or accepted > record.accepted)
    if state.decided or higher:
        if not table.set_value(record, state.value):
            return False
        record.accepted = accepted
        record.decided = state.decided
    return True
