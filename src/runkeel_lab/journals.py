"""Reads the stand-ins' journals: what truly reached them and ran."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class JournalEvent:
    """One line of a journal; ``at`` is monotonic, in s."""

    at: float
    standin: str
    event: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """The request's id as runkeel gave it, or empty."""
        return str(self.fields.get("request_id", ""))


@dataclass(slots=True)
class Execution:
    """One run of a request at a back end.

    Attributes:
        finished: monotonic time, in s; 0 when the run did not end.
    """

    standin: str
    request_id: str
    nonce: str
    started: float
    finished: float = 0.0


@dataclass(slots=True)
class Journals:
    """All journals of one deployment."""

    events: list[JournalEvent] = field(default_factory=list)

    @classmethod
    def read(cls, folder: Path) -> Journals:
        """Read every journal in a folder; a last line cut by a kill is left out."""
        events = [event for path in sorted(folder.glob("*.jsonl")) for event in _read_file(path)]
        return cls(sorted(events, key=lambda event: event.at))

    def of(self, standin: str, *kinds: str) -> Iterator[JournalEvent]:
        """Yield a stand-in's events of some kinds, in order."""
        return (each for each in self.events if each.standin == standin and each.event in kinds)

    def executions(self, standins: Iterable[str]) -> list[Execution]:
        """Return all runs at some back ends, in order of their starts."""
        wanted = set(standins)
        runs: list[Execution] = []
        open_runs: dict[tuple[str, str, str], list[Execution]] = {}
        for each in self.events:
            if each.standin not in wanted:
                continue
            key = (each.standin, each.request_id, _nonce_of(each))
            if each.event == "started":
                run = Execution(each.standin, each.request_id, key[2], each.at)
                runs.append(run)
                open_runs.setdefault(key, []).append(run)
            elif each.event == "finished" and open_runs.get(key):
                open_runs[key].pop(0).finished = each.at
        return runs


def _nonce_of(event: JournalEvent) -> str:
    """Return the caller's nonce: the idempotency key, else the last part of a lookup's path."""
    key = str(event.fields.get("key") or "")
    path = str(event.fields.get("path", ""))
    return key or (path.rpartition("/")[2] if path.startswith("/lookup/") else "")


def _read_file(path: Path) -> Iterator[JournalEvent]:
    with path.open("rb") as file:
        for line in file:
            if not line.endswith(b"\n"):
                return
            content = json.loads(line)
            yield JournalEvent(
                content.pop("t"), content.pop("standin"), content.pop("event"), content
            )
