"""Stand-in for the service that scores samples."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Sequence
from typing import Any

import gevent
from pydantic import BaseModel, ConfigDict, Field

from runkeel_lab.standins.faults import FaultKind
from runkeel_lab.standins.http import Request, Response, error_response, json_response
from runkeel_lab.standins.server import StandIn, StandInOptions

SCORE_STEPS = 10_000


def expected_score(prompt: str, token_ids: Sequence[int]) -> float:
    """Return the score of a sample, from 0 up to but excluding 1.

    A function of the prompt and the tokens alone, so that whoever holds a sample can
    tell its own score from another's.
    """
    text = f"{prompt}|{','.join(map(str, token_ids))}"
    return zlib.crc32(text.encode()) % SCORE_STEPS / SCORE_STEPS


class ScorerOptions(StandInOptions):
    """Options of the scorer.

    Attributes:
        service_ms: how long a score takes.
        max_concurrency: scores at once; more are answered with 429.
    """

    service_ms: float = Field(default=5.0, ge=0)
    max_concurrency: int = Field(default=64, ge=1)


class _ScoreRequest(BaseModel):
    model_config = ConfigDict(strict=True)

    sample_id: str
    prompt: str
    token_ids: list[int]


@dataclasses.dataclass(slots=True)
class _Counts:
    running: int = 0
    scored: int = 0


class Scorer(StandIn):
    """Scorer over HTTP."""

    kind = "scorer"
    options_class = ScorerOptions
    supported_faults = frozenset(
        {FaultKind.DOWN, FaultKind.SLOW, FaultKind.HANG, FaultKind.ERROR, FaultKind.CRASH}
    )

    def reset(self) -> None:
        """Begin idle."""
        self._counts = _Counts()

    def handle(self, request: Request) -> Response:
        """Answer ``POST /v1/score``."""
        self.faults.wait_while(FaultKind.HANG)
        if request.method != "POST" or request.segments != ["v1", "score"]:
            return error_response(404, "no such path")
        sample = _ScoreRequest.model_validate(request.json_object())
        # A crash replaces the counts while killed requests still leave the old ones.
        counts = self._counts
        if counts.running >= self.options.max_concurrency:
            self.journal.write("refused", sample_id=sample.sample_id, status=429)
            return error_response(429, "too many scores", retry_after_seconds=1)
        self.journal.write("started", sample_id=sample.sample_id)
        counts.running += 1
        try:
            gevent.sleep(self.options.service_ms / 1000)
        finally:
            counts.running -= 1
        score = expected_score(sample.prompt, sample.token_ids)
        counts.scored += 1
        self.journal.write("finished", sample_id=sample.sample_id, score=score)
        return json_response(200, {"sample_id": sample.sample_id, "score": score})

    def fault_state(self) -> dict[str, Any]:
        """Return counts of scores."""
        return dataclasses.asdict(self._counts)
