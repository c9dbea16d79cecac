"""Checks every read of a batch job against what was read of it before."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from runkeel.backends.http_connection import HttpResponse

SETTLE_SECONDS = 1.0
"""Time after the first read of a result from which every node must have it."""

_OK = 200
_NOT_FOUND = 404


class _SeenResult(NamedTuple):
    content: dict[str, Any]
    read_at: float


@dataclass(slots=True)
class ReadJob:
    """An accepted job and the results that were read of it.

    Attributes:
        seen: contents by position, without gaps.
        ended: whether a request to end the job was sent.
    """

    job_id: str
    items: list[str]
    accepted_at: float
    ended: bool = False
    seen: list[_SeenResult] = field(default_factory=list)

    @property
    def complete(self) -> bool:
        return len(self.seen) >= len(self.items)

    @property
    def contents(self) -> list[dict[str, Any]]:
        """The results that were read, in order."""
        return [one.content for one in self.seen]

    def check(
        self, response: HttpResponse, position: int, sent_at: float, received_at: float
    ) -> list[str]:
        """Check the response to a read from ``position``, at most the number of results seen.

        Returns:
            Descriptions of the violations. Responses other than 200 and 404 are allowed.
        """
        if response.status == _NOT_FOUND:
            return [f"404 at {sent_at - self.accepted_at:.2f} s after it was accepted"]
        if response.status != _OK:
            return []
        page = json.loads(response.body)
        results = page["Results"]
        violations = []
        if page["Total"] != len(self.items):
            violations.append(f"Total {page['Total']} instead of {len(self.items)}")
        if page["NextToken"] != position + len(results):
            violations.append(f"NextToken {page['NextToken']} with {len(results)} results")
        if not results and position < len(self.seen):
            age = sent_at - self.seen[position].read_at
            if age > SETTLE_SECONDS:
                violations.append(f"no result at a position that was read {age:.2f} s before")
        return violations + self._add(results, position, received_at)

    def _add(self, results: list[dict[str, Any]], position: int, now: float) -> list[str]:
        """Compare results with those seen at the same positions, and keep the new ones."""
        violations = []
        listed = {one.content["Id"]: number for number, one in enumerate(self.seen)}
        for number, result in enumerate(results, position):
            if number < len(self.seen):
                if result != self.seen[number].content:
                    violations.append(f"another result at position {number}: {result['Id']}")
                continue
            if result["Id"] in listed:
                first = listed[result["Id"]]
                violations.append(f"{result['Id']} at positions {first} and {number}")
            listed[result["Id"]] = number
            self.seen.append(_SeenResult(result, now))
        return violations
