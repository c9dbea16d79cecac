"""Recorded traces: stimuli with stated outcomes, one JSON object a line.

The format is documented in ``docs/lab.md``.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from runkeel_lab.experiment import FaultSpec
from runkeel_lab.load.classes import CallKind
from runkeel_lab.load.records import Outcome


class _Line(BaseModel):
    """Base of all lines: unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TraceHeader(_Line):
    """First line: what the trace runs on."""

    line: Literal["trace"]
    name: str
    deployment: str
    """Path of the deployment file, relative to the trace's."""
    seed: int = 1


class ExpectedCall(_Line):
    """Stated outcome of a call."""

    outcomes: tuple[Outcome, ...] = Field((Outcome.ANSWERED,), min_length=1)
    """Any of these is right."""
    runs: tuple[int, int] | None = None
    """Fewest and most executions at back ends."""
    within_ms: float | None = None
    versions: tuple[int, ...] | None = None
    """Weight versions, any of which may have made the tokens."""


class TraceCall(_Line):
    """A caller's request; sending the same ``key`` again is a retry by the caller."""

    line: Literal["call"]
    at: float = Field(ge=0)
    key: str
    kind: CallKind
    pool: str
    node: str = ""
    """Node that it goes to first; empty: the first node."""
    service_ms: float = 5.0
    tokens: int = Field(16, ge=1)
    deadline_ms: int = Field(2_000, gt=0)
    attempts: int = Field(1, ge=1)
    expect: ExpectedCall = ExpectedCall()


class TraceFault(_Line):
    """A fault, as in an experiment's schedule."""

    line: Literal["fault"]
    fault: FaultSpec


class TraceCommand(_Line):
    """An operator's command."""

    line: Literal["command"]
    at: float = Field(ge=0)
    command: str
    node: str = ""
    status: tuple[int, ...] = (200, 202)
    """HTTP statuses, any of which is right."""


class TraceStep(_Line):
    """A trainer's step; every sample must come once, whole and truly labelled."""

    line: Literal["step"]
    at: float = Field(ge=0)
    name: str
    model: str
    tasks: int = Field(16, ge=1)
    tokens: int = Field(32, ge=1)
    version: int = Field(1, ge=0)
    within_s: float = Field(30.0, gt=0)


Stimulus = TraceCall | TraceFault | TraceCommand | TraceStep
_STIMULUS: TypeAdapter[Stimulus] = TypeAdapter(Annotated[Stimulus, Field(discriminator="line")])


@dataclass(frozen=True, slots=True)
class Trace:
    """A whole trace."""

    header: TraceHeader
    stimuli: tuple[Stimulus, ...] = field(default=())

    @property
    def end_seconds(self) -> float:
        """When the last stimulus begins, in s from the start."""
        return max((_start_of(each) for each in self.stimuli), default=0.0)


def load_trace(path: Path) -> Trace:
    """Read a trace.

    Raises:
        OSError: the file can't be read.
        ValueError: a line is not of the format; the message names it.
    """
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if not lines:
        raise ValueError(f"{path}: empty")
    number = 1
    try:
        header = TraceHeader.model_validate_json(lines[0])
        stimuli = []
        for number, line in enumerate(lines[1:], start=2):  # noqa: B007  (used in the message)
            stimuli.append(_STIMULUS.validate_python(json.loads(line)))
    except (ValidationError, ValueError) as error:
        raise ValueError(f"{path}:{number}: {error}") from None
    return Trace(header, tuple(stimuli))


def _start_of(stimulus: Stimulus) -> float:
    return stimulus.fault.at if isinstance(stimulus, TraceFault) else stimulus.at
