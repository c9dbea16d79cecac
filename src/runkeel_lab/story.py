"""Timeline of a request, an item or a batch job from the nodes' log lines."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

_HIDDEN_FIELDS = ("time", "node", "zone", "level", "message")
_JOB_KEYS = ("job",)
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
    """Read the JSON objects in log files, sorted by time; text before an object is skipped."""
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


def collect_story(lines: list[dict[str, Any]], subject_id: str) -> list[dict[str, Any]]:
    """Return the lines about an id, the job-level lines of its job, and concurrent node events."""
    matching = [line for line in lines if subject_id in _ids(line)]
    jobs = {line[key] for line in matching for key in _JOB_KEYS if line.get(key)}
    job_lines = [
        line for line in lines if line.get("job") in jobs and line["code"].startswith("job")
    ]
    selected = {id(line): line for line in [*matching, *job_lines]}
    if not selected:
        return []
    first = min(line["time"] for line in selected.values()) - 1.0
    last = max(line["time"] for line in selected.values()) + 1.0
    for line in lines:
        if line["code"] in _CONTEXT_CODES and first <= line["time"] <= last:
            selected[id(line)] = line
    return sorted(selected.values(), key=lambda line: line["time"])


def format_story(story: list[dict[str, Any]]) -> str:
    """Format each log line as one line of text, with times in seconds from the first."""
    if not story:
        return "no log line mentions this id"
    start = story[0]["time"]
    rows = []
    for line in story:
        fields = " ".join(
            f"{key}={value}"
            for key, value in line.items()
            if key not in _HIDDEN_FIELDS and value != ""
        )
        rows.append(f"{line['time'] - start:9.3f} s  {line['node']}  {line['message']}: {fields}")
    return "\n".join(rows)


def _ids(line: dict[str, Any]) -> tuple[Any, ...]:
    request = str(line.get("request", ""))
    return line.get("request"), line.get("job"), request.rpartition("/")[2]
