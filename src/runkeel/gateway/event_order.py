"""Tells whether an event continues a stream.

A server may send a second answer to an earlier run of the same request in the place of the one
that was asked for. It has the right id; only its events tell it from the right one.
"""

from __future__ import annotations


def follows(last_event_id: str | None, event_id: str) -> bool:
    """Return whether an event is the next one after the last; True where the ids don't tell.

    Args:
        last_event_id: None before the first event.
    """
    if not event_id.isdigit():
        return True
    if last_event_id is None:
        return int(event_id) <= 1
    if not last_event_id.isdigit():
        return True
    return int(event_id) == int(last_event_id) + 1
