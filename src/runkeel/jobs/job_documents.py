"""Batch jobs, their results and their ends as documents in the store.

A job is one document, made before it is accepted. Results are segments named by job and number;
a segment is made once and never changed, and number N+1 is made only by who has read number N.
A new coordinator makes an empty one first: who finds a segment of a later epoch writes no more, so
that nothing is listed behind the new coordinator's back. The order and content of results are thus
the same for everybody, whoever wrote them.
"""

from __future__ import annotations

from typing import Any

from runkeel.api.jobs import BatchJob, ItemResult, JobItem, ResultState, ScorerCall

SEGMENT_SEPARATOR = "."


def segment_name(job_id: str, number: int) -> str:
    """Return the name of a job's results segment."""
    return f"{job_id}{SEGMENT_SEPARATOR}{number:05d}"


def encode_job(job: BatchJob) -> dict[str, Any]:
    """Return a job's document."""
    return {
        "host": job.host,
        "path": job.path,
        "submitted_at": job.submitted_at,
        "model": job.model,
        "minimum_version": job.minimum_version,
        "wanted_groups": job.wanted_groups,
        "step": job.step,
        "items": [_encode_item(item) for item in job.items],
    }


def decode_job(job_id: str, content: dict[str, Any]) -> BatchJob:
    """Return the job of a document. Raises KeyError or ValueError."""
    return BatchJob(
        job_id=job_id,
        host=content["host"],
        path=content["path"],
        submitted_at=float(content["submitted_at"]),
        items=tuple(_decode_item(item) for item in content["items"]),
        model=content["model"],
        minimum_version=int(content["minimum_version"]),
        wanted_groups=int(content["wanted_groups"]),
        step=int(content["step"]),
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
