"""Encodes batch jobs and their results as documents in the store.

A job is one document, created before the job is accepted. If it is too large for one document, its
items are in part documents, created before it. An item that is too large for one part is cut into
fragments, each in a part of its own. Results are in segments named by job and number.
Segments are immutable, and segment N+1 is created only by a coordinator that has read segment N.
A new coordinator first creates an empty segment. A coordinator that finds a segment of a later
epoch stops writing, so it can't list results that the new coordinator has not read. All readers
therefore see the same results in the same order.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from runkeel.api.documents import MAX_CONTENT_BYTES, Document
from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultState, ScorerCall

MAX_PART_BYTES = 128_000
"""Bound on the size of a part, in bytes, unless a single item is larger.

Small enough to be written well within a second at a few megabytes per second.
"""

MAX_UNDIVIDED_ITEM_BYTES = 780_000
"""Size of an item, as JSON in bytes, above which it is cut into fragments.

A part with a single item of this size is below the limit on documents.
"""

MAX_FRAGMENT_CHARACTERS = 64_000
"""Length of a fragment; escaping the quotes in it doubles its size in bytes at most."""

_FRAGMENT = "fragment"
_LAST_FRAGMENT = "last"
_SEGMENT_SEPARATOR = "."
_ITEM_SEPARATOR_BYTES = 2
"""Length of the separator between the items of a JSON list."""


@dataclass(frozen=True, slots=True)
class EncodedJob:
    """A job as it is stored.

    Attributes:
        content: content of the job's document.
        parts: contents of the part documents by name; empty if the job's document has the items.
            A part is a list of items, or has one fragment of an item.
    """

    content: dict[str, Any]
    parts: dict[str, list[dict[str, Any]]]

    @property
    def fits_into_documents(self) -> bool:
        """Whether the store can take each of the documents."""
        contents = (self.content, *self.parts.values())
        return all(content_bytes(content) <= MAX_CONTENT_BYTES for content in contents)


def content_bytes(content: Any) -> int:
    """Return the size of a document's content, as JSON in bytes."""
    return len(json.dumps(content))


def serialize_job(encoded: EncodedJob) -> str:
    """Serialize a job's document and parts as JSON."""
    return json.dumps({"content": encoded.content, "parts": encoded.parts})


def deserialize_job(text: str) -> EncodedJob:
    """Parse the output of :func:`serialize_job`. Raises KeyError, TypeError or ValueError."""
    fields = json.loads(text)
    return EncodedJob(dict(fields["content"]), dict(fields["parts"]))


def decode_encoded_job(job_id: str, encoded: EncodedJob) -> BatchJob:
    """Decode a job from its encoded form. Raises KeyError, TypeError or ValueError."""
    return decode_job(job_id, encoded.content, list(encoded.parts.values()))


def segment_name(job_id: str, number: int) -> str:
    """Return the name of a job's results segment."""
    return f"{job_id}{_SEGMENT_SEPARATOR}{number:05d}"


def encode_job(job: BatchJob, part_prefix: str) -> EncodedJob:
    """Encode a job, with its items in parts if they are too large for one document.

    Args:
        part_prefix: prefix of the names of the parts.
    """
    items = [_encode_item(item) for item in job.items]
    serialized_items = [json.dumps(item) for item in items]
    content = _encode_fields(job)
    items_bytes = sum(len(item) + _ITEM_SEPARATOR_BYTES for item in serialized_items)
    if content_bytes(content | {"items": []}) + items_bytes <= MAX_CONTENT_BYTES:
        return EncodedJob(content | {"items": items}, {})
    parts = _split_into_parts(items, serialized_items)
    names = [f"{part_prefix}{_SEGMENT_SEPARATOR}{number:03d}" for number in range(len(parts))]
    return EncodedJob(content | {"parts": names}, dict(zip(names, parts, strict=True)))


def _split_into_parts(
    items: list[dict[str, Any]], serialized_items: list[str]
) -> list[list[dict[str, Any]]]:
    parts: list[list[dict[str, Any]]] = []
    remaining = 0
    for item, serialized in zip(items, serialized_items, strict=True):
        if len(serialized) > MAX_UNDIVIDED_ITEM_BYTES:
            parts.extend([fragment] for fragment in _fragments(serialized))
            remaining = 0
            continue
        size = len(serialized) + _ITEM_SEPARATOR_BYTES
        if size > remaining:
            parts.append([])
            remaining = MAX_PART_BYTES
        parts[-1].append(item)
        remaining -= size
    return parts


def _fragments(serialized_item: str) -> Iterator[dict[str, Any]]:
    """Cut an item's JSON into fragments, in order; each says whether it is the last one."""
    for start in range(0, len(serialized_item), MAX_FRAGMENT_CHARACTERS):
        end = start + MAX_FRAGMENT_CHARACTERS
        yield {
            _FRAGMENT: serialized_item[start:end],
            _LAST_FRAGMENT: end >= len(serialized_item),
        }


def _join_fragments(entries: Iterable[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    """Yield the items of all parts in order. Raises KeyError or ValueError."""
    fragments: list[str] = []
    for entry in entries:
        if _FRAGMENT not in entry:
            yield entry
            continue
        fragments.append(entry[_FRAGMENT])
        if entry[_LAST_FRAGMENT]:
            yield json.loads("".join(fragments))
            fragments.clear()
    if fragments:
        raise ValueError("the last fragment of an item is missing")


def _encode_fields(job: BatchJob) -> dict[str, Any]:
    return {
        "host": job.host,
        "path": job.path,
        "submitted_at": job.submitted_at,
        "model": job.model,
        "minimum_version": job.min_version,
        "wanted_groups": job.required_groups,
        "step": job.step,
        "item_count": len(job.items),
        "tenant": job.tenant,
    }


def job_tenant(content: dict[str, Any]) -> str:
    """Return the tenant of a job's document; empty if it has none."""
    return str(content.get("tenant", ""))


def may_belong_to_tenant(document: Document | None, tenant: str) -> bool:
    """Return whether a job's document may belong to a tenant; true if its content is unknown."""
    if document is None or document.content is None:
        return True
    return job_tenant(document.content) == tenant


def item_count(content: dict[str, Any]) -> int:
    """Return the number of items of a job, without its parts; 0 if its document is malformed."""
    count = content.get("item_count")
    return count if isinstance(count, int) else 0


def part_names(content: dict[str, Any]) -> tuple[str, ...]:
    """Return the names of a job's parts; empty if its document has the items."""
    return tuple(content.get("parts", ()))


def decode_job(
    job_id: str, content: dict[str, Any], parts: Sequence[list[dict[str, Any]]] = ()
) -> BatchJob:
    """Decode a job from the contents of its document and parts.

    Raises KeyError, TypeError or ValueError.
    """
    entries = (entry for part in parts for entry in part)
    items = _join_fragments(entries) if parts else content["items"]
    return BatchJob(
        job_id=job_id,
        host=content["host"],
        path=content["path"],
        submitted_at=float(content["submitted_at"]),
        items=tuple(_decode_item(item) for item in items),
        model=content["model"],
        min_version=int(content["minimum_version"]),
        required_groups=int(content["wanted_groups"]),
        step=int(content["step"]),
        tenant=job_tenant(content),
    )


def encode_segment(epoch: int, results: list[ItemResult]) -> dict[str, Any]:
    """Encode a results segment with the epoch of the coordinator that writes it."""
    return {"epoch": epoch, "results": _encode_results(results)}


def encoded_result_bytes(result: ItemResult) -> int:
    """Return the size of a result in a segment, as JSON in bytes."""
    return content_bytes(_encode_results([result]))


def decode_segment(content: dict[str, Any]) -> tuple[int, list[ItemResult]]:
    """Decode a results segment into its writer's epoch and its results."""
    return int(content["epoch"]), _decode_results(content["results"])


def _encode_results(results: list[ItemResult]) -> list[dict[str, Any]]:
    return [
        {
            "item": result.item_id,
            "state": result.state.value,
            "text": result.text,
            "versions": list(result.versions),
            "score": result.score,
        }
        for result in results
    ]


def _decode_results(content: list[dict[str, Any]]) -> list[ItemResult]:
    return [
        ItemResult(
            item["item"],
            ResultState(item["state"]),
            item["text"],
            tuple(item["versions"]),
            item["score"],
        )
        for item in content
    ]


def _encode_item(item: JobItem) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "id": item.item_id,
        "path": item.path,
        "headers": [list(pair) for pair in item.headers],
        "body": item.body,
        "tokens": item.tokens,
        "group": item.group,
    }
    if item.estimated_tokens:
        encoded["guessed_tokens"] = item.estimated_tokens
    if item.scorer is not None:
        scorer = item.scorer
        encoded["scorer"] = [scorer.request_id, scorer.host, scorer.path, scorer.body]
    return encoded


def _decode_item(content: dict[str, Any]) -> JobItem:
    scorer = content.get("scorer")
    return JobItem(
        item_id=content["id"],
        path=content["path"],
        headers=tuple((name, value) for name, value in content["headers"]),
        body=content["body"],
        tokens=int(content["tokens"]),
        group=content["group"],
        scorer=ScorerCall(*scorer) if scorer else None,
        estimated_tokens=int(content.get("guessed_tokens", 0)),
    )
