"""Batch jobs: generations that are submitted together and run asynchronously."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class ResultState(enum.StrEnum):
    """Final state of an item."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ScorerCall:
    """The request that scores an item's output; ``body`` is in base64."""

    request_id: str
    host: str
    path: str
    body: str


@dataclass(frozen=True, slots=True)
class JobItem:
    """One generation of a batch job.

    Attributes:
        headers: forwarded to the server.
        body: in base64, as submitted.
        tokens: prompt tokens plus the maximum of generated tokens.
        group: items of a group share a prompt and are needed together.
        estimated_tokens: the caller's estimate of the tokens to generate, often inaccurate; 0:
            none.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: str
    tokens: int = 0
    group: str = ""
    scorer: ScorerCall | None = None
    estimated_tokens: int = 0


@dataclass(frozen=True, slots=True)
class BatchJob:
    """An accepted batch job.

    Attributes:
        path: path that it was submitted to; host and path determine its route.
        submitted_at: seconds since the epoch.
        minimum_version: oldest weight version that may generate its tokens.
        required_groups: number of complete groups that the trainer waits for.
        tenant: tenant that owns the job; empty: none.
    """

    job_id: str
    host: str
    path: str
    submitted_at: float
    items: tuple[JobItem, ...]
    model: str = ""
    minimum_version: int = 0
    required_groups: int = 0
    step: int = 0
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class JobReference:
    """A job as a caller refers to it; other tenants' jobs count as nonexistent."""

    job_id: str
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class ItemResult:
    """The result of an item.

    Attributes:
        text: the output, that is the data of all events in order.
        versions: all weight versions that generated events of the output.
        score: the signature of the scorer's response.
    """

    item_id: str
    state: ResultState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results of a batch job, starting at a position; ``total`` is its number of items."""

    total: int
    position: int
    results: tuple[ItemResult, ...] = field(default_factory=tuple)
