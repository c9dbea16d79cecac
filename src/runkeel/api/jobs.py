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
        tokens: number of prompt tokens plus the maximum number of tokens to generate.
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
        min_version: oldest weight version that may generate its tokens.
        required_groups: number of complete groups that the trainer waits for.
        step: training step that the job belongs to, as its caller numbers it; 0: not given.
        tenant: tenant that owns the job; empty: none.
    """

    job_id: str
    host: str
    path: str
    submitted_at: float
    items: tuple[JobItem, ...]
    model: str = ""
    min_version: int = 0
    required_groups: int = 0
    step: int = 0
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class JobReference:
    """A job id with the calling tenant; a job of another tenant is treated as not found."""

    job_id: str
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class ItemResult:
    """The result of an item.

    Attributes:
        text: the output, that is the data of all events in order.
        versions: all weight versions that generated events of the output.
        score: signature (not a number) of the scorer's server on its response; empty: the output
            was not scored.
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
