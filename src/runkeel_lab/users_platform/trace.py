"""Recorded traces: the acts performed on a deployment, and their expected outcomes.

A trace is a file of JSON lines. The first line holds the sizes of the deployment. Every other line
holds one act: its time in seconds since the start, its parameters and, for requests and jobs, the
outcome when recorded. Faults have no outcome.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

COMPLETED = "completed"
"""Outcome of a job that was accepted, and whose results must be complete at the end."""

REFUSED = "refused"
"""Outcome of a job that was not accepted."""


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One act of a trace.

    Attributes:
        at: seconds since the deployment was ready.
        act: ``job``, ``request``, or the name of a fault.
        target: the node that a client sends to, or the node or server that a fault affects.
        subject: id of the job or request.
        details: further parameters of the act, by name.
        outcome: expected outcome of a job or request; empty accepts any.
    """

    at: float
    act: str
    target: str = ""
    subject: str = ""
    details: dict[str, Any] = field(default_factory=dict)
    outcome: str = ""


@dataclass(frozen=True, slots=True)
class Trace:
    """Sizes of a deployment, by argument name, and the acts performed on it."""

    sizes: dict[str, int]
    events: tuple[TraceEvent, ...]


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace, with its events sorted by time."""
    lines = [json.dumps({"sizes": trace.sizes})]
    events = sorted(trace.events, key=lambda event: event.at)
    lines += [json.dumps(asdict(event), sort_keys=True) for event in events]
    path.write_text("\n".join(lines) + "\n")


def read_trace(path: Path) -> Trace:
    """Read a trace from a file.

    Raises:
        ValueError: the file is not a trace; the message names the line.
    """
    return parse_trace(path.read_text().splitlines())


def parse_trace(lines: Iterable[str]) -> Trace:
    """Parse the lines of a trace.

    Raises:
        ValueError: a line is malformed; the message names its number.
    """
    sizes: dict[str, int] | None = None
    events = []
    for number, line in enumerate(lines, 1):
        try:
            content = json.loads(line)
            if sizes is None:
                sizes = {name: int(size) for name, size in content["sizes"].items()}
            else:
                events.append(TraceEvent(**content))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise ValueError(f"line {number} of the trace: {error!r}") from error
    if sizes is None:
        raise ValueError("the trace is empty")
    return Trace(sizes, tuple(events))
