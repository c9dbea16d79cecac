"""Prints the story of a request, an item or a batch job from the nodes' log lines."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

_HIDDEN = ("time", "node", "zone", "level", "message")
_RELATED = ("job",)
_CONTEXT_CODES = (
    "start",
    "stop",
    "reload",
    "store_lost",
    "store_regained",
    "coordinator_gained",
    "coordinator_lost",
    "order_lease",
    "order_lease_lost",
    "peer_lost",
)


def read_lines(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Read the JSON objects of log files, in order of time; what is before one is passed over."""
    lines = []
    for path in paths:
        for text in path.read_text(errors="replace").splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = json.loads(text[start:])
            except ValueError:
                continue
            if isinstance(line, dict) and "code" in line and "time" in line:
                lines.append(line)
    lines.sort(key=lambda line: line["time"])
    return lines


def story_of(lines: list[dict[str, Any]], wanted: str) -> list[dict[str, Any]]:
    """Return the lines about an id and, for an item, those about its job's fate."""
    own = [line for line in lines if wanted in _ids(line)]
    jobs = {line[key] for line in own for key in _RELATED if line.get(key)}
    about_jobs = [
        line for line in lines if line.get("job") in jobs and line["code"].startswith("job")
    ]
    chosen = {id(line): line for line in [*own, *about_jobs]}
    if not chosen:
        return []
    first = min(line["time"] for line in chosen.values()) - 1.0
    last = max(line["time"] for line in chosen.values()) + 1.0
    for line in lines:
        if line["code"] in _CONTEXT_CODES and first <= line["time"] <= last:
            chosen[id(line)] = line
    return sorted(chosen.values(), key=lambda line: line["time"])


def format_story(story: list[dict[str, Any]]) -> str:
    """Return a line of text for each log line, with times from the first one."""
    if not story:
        return "nothing is known of this id"
    start = story[0]["time"]
    rows = []
    for line in story:
        rest = " ".join(
            f"{key}={value}" for key, value in line.items() if key not in _HIDDEN and value != ""
        )
        rows.append(f"{line['time'] - start:9.3f} s  {line['node']}  {line['message']}: {rest}")
    return "\n".join(rows)


def _ids(line: dict[str, Any]) -> tuple[Any, ...]:
    request = str(line.get("request", ""))
    return line.get("request"), line.get("job"), request.rpartition("/")[2]
