"""Batch jobs: many generations that are submitted together and run later."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class ResultState(enum.StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ScorerCall:
    """The request that scores an item's text; ``body`` is in base64."""

    request_id: str
    host: str
    path: str
    body: str


@dataclass(frozen=True, slots=True)
class JobItem:
    """One generation of a batch job.

    Attributes:
        headers: passed on to the server.
        body: in base64, as submitted.
        tokens: of the prompt and the most out, together.
        group: items of a group share their prompt and are wanted together.
        guessed_tokens: the caller's guess of the tokens to be generated; 0: none. Often far off.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: str
    tokens: int = 0
    group: str = ""
    scorer: ScorerCall | None = None
    guessed_tokens: int = 0


@dataclass(frozen=True, slots=True)
class BatchJob:
    """A batch job as accepted.

    Attributes:
        path: path it was submitted to; its route is looked up by host and path.
        submitted_at: seconds since the epoch.
        minimum_version: oldest weight version that may make its tokens.
        wanted_groups: whole groups that the trainer waits for.
        tenant: whose job it is; empty: nobody's.
    """

    job_id: str
    host: str
    path: str
    submitted_at: float
    items: tuple[JobItem, ...]
    model: str = ""
    minimum_version: int = 0
    wanted_groups: int = 0
    step: int = 0
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class JobReference:
    """A job as a caller names it: to another tenant it isn't there."""

    job_id: str
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class ItemResult:
    """The listed outcome of an item.

    Attributes:
        text: the data of all events in order.
        versions: every weight version that made an event of the text.
        score: the scorer's stamp.
    """

    item_id: str
    state: ResultState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results of a batch job from a position on; ``total`` counts its items."""

    total: int
    position: int
    results: tuple[ItemResult, ...] = field(default_factory=tuple)
