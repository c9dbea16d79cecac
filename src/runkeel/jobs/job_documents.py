"""Batch jobs, their results and their ends as documents in the store.

A job is one document, made before it is accepted. The items of one that is too large for a document
stand in parts, made before it. Results are segments named by job and number;
a segment is made once and never changed, and number N+1 is made only by who has read number N.
A new coordinator makes an empty one first: who finds a segment of a later epoch writes no more, so
that nothing is listed behind the new coordinator's back. The order and content of results are thus
the same for everybody, whoever wrote them.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from runkeel.api.documents import MAXIMUM_CONTENT_BYTES, Document
from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultState, ScorerCall

PART_BYTES = 128_000
"""Size of a part. Links may carry a few megabytes a second: it is written well within a second."""

SEGMENT_SEPARATOR = "."
_SEPARATOR_BYTES = 2
"""Between the items of a JSON list."""


@dataclass(frozen=True, slots=True)
class EncodedJob:
    """A job as it is stored.

    Attributes:
        content: of its document.
        parts: by name, the contents of the documents that hold its items; empty if it holds them.
    """

    content: dict[str, Any]
    parts: dict[str, list[dict[str, Any]]]


def job_text(encoded: EncodedJob) -> str:
    """Return a job's document and parts as one text, for other nodes and for disks."""
    return json.dumps({"content": encoded.content, "parts": encoded.parts})


def job_from_text(text: str) -> EncodedJob:
    """Return what :func:`job_text` wrote. Raises KeyError, TypeError or ValueError."""
    fields = json.loads(text)
    return EncodedJob(dict(fields["content"]), dict(fields["parts"]))


def decode_encoded_job(job_id: str, encoded: EncodedJob) -> BatchJob:
    """Return the job of a document and its parts. Raises KeyError, TypeError or ValueError."""
    return decode_job(job_id, encoded.content, list(encoded.parts.values()))


def segment_name(job_id: str, number: int) -> str:
    """Return the name of a job's results segment."""
    return f"{job_id}{SEGMENT_SEPARATOR}{number:05d}"


def encode_job(job: BatchJob, part_prefix: str) -> EncodedJob:
    """Return a job's document and the parts that hold its items; none if they fit the document.

    Args:
        part_prefix: of the names of the parts.
    """
    items = [_encode_item(item) for item in job.items]
    content = _encode_head(job)
    parts = _in_parts(items)
    if len(parts) * PART_BYTES <= MAXIMUM_CONTENT_BYTES:
        return EncodedJob(content | {"items": items}, {})
    names = [f"{part_prefix}{SEGMENT_SEPARATOR}{number:03d}" for number in range(len(parts))]
    return EncodedJob(content | {"parts": names}, dict(zip(names, parts, strict=True)))


def _in_parts(items: list[dict[str, Any]]) -> list[list[dict[str, Any]]]:
    parts: list[list[dict[str, Any]]] = []
    room = 0
    for item in items:
        size = len(json.dumps(item)) + _SEPARATOR_BYTES
        if size > room:
            parts.append([])
            room = PART_BYTES
        parts[-1].append(item)
        room -= size
    return parts


def _encode_head(job: BatchJob) -> dict[str, Any]:
    return {
        "host": job.host,
        "path": job.path,
        "submitted_at": job.submitted_at,
        "model": job.model,
        "minimum_version": job.minimum_version,
        "wanted_groups": job.wanted_groups,
        "step": job.step,
        "item_count": len(job.items),
        "tenant": job.tenant,
    }


def tenant_of_job(content: dict[str, Any]) -> str:
    """Return whose job a document is of; empty: nobody's."""
    return str(content.get("tenant", ""))


def may_be_of_tenant(document: Document | None, tenant: str) -> bool:
    """Return whether a job's document may be that of a tenant's job; None: it isn't known."""
    if document is None or document.content is None:
        return True
    return tenant_of_job(document.content) == tenant


def parts_of_job(content: dict[str, Any]) -> tuple[str, ...]:
    """Return the names of the parts of a job's document; none if it holds the items itself."""
    return tuple(content.get("parts", ()))


def decode_job(
    job_id: str, content: dict[str, Any], parts: Sequence[list[dict[str, Any]]] = ()
) -> BatchJob:
    """Return the job of a document and its parts. Raises KeyError or ValueError."""
    items = [item for part in parts for item in part] if parts else content["items"]
    return BatchJob(
        job_id=job_id,
        host=content["host"],
        path=content["path"],
        submitted_at=float(content["submitted_at"]),
        items=tuple(_decode_item(item) for item in items),
        model=content["model"],
        minimum_version=int(content["minimum_version"]),
        wanted_groups=int(content["wanted_groups"]),
        step=int(content["step"]),
        tenant=tenant_of_job(content),
    )


def encode_segment(epoch: int, results: list[ItemResult]) -> dict[str, Any]:
    """Return the content of a results segment, with the epoch of the coordinator that writes it."""
    return {"epoch": epoch, "results": _encode_results(results)}


def decode_segment(content: dict[str, Any]) -> tuple[int, list[ItemResult]]:
    """Return the writer's epoch and the results of a segment."""
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
    if item.guessed_tokens:
        encoded["guessed_tokens"] = item.guessed_tokens
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
        guessed_tokens=int(content.get("guessed_tokens", 0)),
    )
