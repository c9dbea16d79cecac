"""Conversion between the store's objects and records, and repair of a store that is behind."""

from __future__ import annotations

import json

from runkeel.platform.object_api import ObjectContent, ObjectStore, StoredObject
from runkeel.state import metrics
from runkeel.state.versioned_record import MACHINE_KIND, VersionedRecord, canonical_json


def record_from_object(stored: StoredObject | None) -> VersionedRecord | None:
    """Convert a stored object; None where it isn't runkeel's.

    An object of the kind that machine list entries use is not taken, so that nobody who can
    write to the store can invent machines.
    """
    if stored is None or stored.content is None or stored.kind == MACHINE_KIND:
        return None
    content = stored.content
    return VersionedRecord(
        kind=stored.kind,
        name=stored.name,
        generation=content.generation,
        payload=canonical_json(content.spec),
        deleted=content.deleted,
        command_ids=content.command_ids,
        changed_by=content.changed_by,
    )


def content_from_record(record: VersionedRecord) -> ObjectContent:
    """Convert a record to the content that gives the same record when read back."""
    return ObjectContent(
        generation=record.generation,
        spec=json.loads(record.payload),
        deleted=record.deleted,
        command_ids=record.command_ids,
        changed_by=record.changed_by,
    )


def put_back(
    store: ObjectStore, record: VersionedRecord, expected_revision: int, timeout_seconds: float
) -> bool:
    """Write a held record into a store that shows an older one; return whether it was taken.

    The write is conditional: where the reading was merely old, it changes nothing.

    Raises:
        RunkeelError: STORE_UNAVAILABLE.
    """
    content = content_from_record(record)
    result = store.write(record.kind, record.name, content, expected_revision, timeout_seconds)
    if result.accepted:
        metrics.STORE_REPAIRS.inc()
    return result.accepted
