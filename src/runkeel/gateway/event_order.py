"""Sequence check of the event ids of a stream.

A server may respond with the stream of an earlier attempt of the same request. Its request id
matches; only a gap in the event ids shows that it is the wrong stream.
"""

from __future__ import annotations

from runkeel.decimal_text import parse_decimal

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event; a server that sends more without an end of the event is in trouble."""


def is_next_event(last_event_id: str | None, event_id: str) -> bool:
    """Return whether an event is the next one in sequence; True if the ids aren't numeric.

    The first id is 0 or 1.

    Args:
        last_event_id: id of the previous event, None before the first one.
        event_id: id of the event to check.
    """
    number = parse_decimal(event_id)
    if number is None:
        return True
    if last_event_id is None:
        return number <= 1
    last_number = parse_decimal(last_event_id)
    return last_number is None or number == last_number + 1
