"""Shape of the tree down which accepted records are pushed inside a zone."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence

from runkeel.state.versioned_record import VersionedRecord
from runkeel.wire.generated.state.ttypes import StateRecord

FAN_OUT = 4
MAX_DEPTH = 12
"""Hops after which a push is dropped; 4-ary trees of any real zone are far lower."""
PAGE_BYTES = 128 * 1024
PAGE_RECORDS = 512
_RECORD_OVERHEAD_BYTES = 32


def tree_children(members: Collection[str], root: str, node_id: str) -> list[str]:
    """Return the children of a node in the k-ary tree over the members, rotated to the root.

    Nodes whose views of the members differ may compute different trees: a node is then
    missed, or reached twice. Catch-up mends the first, and records merge idempotently.
    """
    order = sorted({*members, root, node_id})
    start = order.index(root)
    position = (order.index(node_id) - start) % len(order)
    first = position * FAN_OUT + 1
    positions = range(first, min(first + FAN_OUT, len(order)))
    return [order[(start + index) % len(order)] for index in positions]


def record_bytes(record: StateRecord | VersionedRecord) -> int:
    """Return about how many bytes a record takes on the wire."""
    command_bytes = sum(len(command_id) + 1 for command_id in record.command_ids or ())
    text_bytes = len(record.kind) + len(record.name) + len(record.changed_by or "")
    return len(record.payload) + command_bytes + text_bytes + _RECORD_OVERHEAD_BYTES


def pages(records: Sequence[VersionedRecord]) -> Iterator[list[StateRecord]]:
    """Cut records into messages of bounded size; a single larger record goes alone."""
    page: list[StateRecord] = []
    page_bytes = 0
    for record in records:
        size = record_bytes(record)
        if page and (page_bytes + size > PAGE_BYTES or len(page) >= PAGE_RECORDS):
            yield page
            page = []
            page_bytes = 0
        page.append(record.to_wire())
        page_bytes += size
    if page:
        yield page
