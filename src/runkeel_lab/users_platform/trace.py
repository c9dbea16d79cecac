"""Recorded traces: what was done to a deployment, and the outcome that each act must have.

A trace is a file of JSON lines. The first names the deployment's sizes. Each other one has the time
in s since the start, what was done, and for requests and jobs the outcome that was seen when it
was recorded; faults have none.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

COMPLETED = "completed"
"""Outcome of a job: accepted, and read whole at the end."""

REFUSED = "refused"
"""Outcome of a job that was not accepted, and of which nothing may run."""


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One act.

    Attributes:
        at: seconds since the deployment was ready.
        act: ``job``, ``request``, or the name of a fault.
        target: the node that a client sends to, or what a fault strikes.
        subject: id of the job or request.
        details: what else the act needs, by name.
        outcome: of a job or request; empty: any will do.
    """

    at: float
    act: str
    target: str = ""
    subject: str = ""
    details: dict[str, Any] = field(default_factory=dict)
    outcome: str = ""


@dataclass(frozen=True, slots=True)
class Trace:
    """Sizes of a deployment, by the names of its arguments, and what was done to it."""

    sizes: dict[str, int]
    events: tuple[TraceEvent, ...]


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace; the events in the order of their times."""
    lines = [json.dumps({"sizes": trace.sizes})]
    events = sorted(trace.events, key=lambda event: event.at)
    lines += [json.dumps(asdict(event), sort_keys=True) for event in events]
    path.write_text("\n".join(lines) + "\n")


def read_trace(path: Path) -> Trace:
    """Read a trace. Raises ValueError, with the line, for a file of another form."""
    return parse_trace(path.read_text().splitlines())


def parse_trace(lines: Iterable[str]) -> Trace:
    """Read the lines of a trace. Raises ValueError with the number of a wrong line."""
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
