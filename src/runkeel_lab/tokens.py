"""What an emulated engine generates, so that clients can check every token that they receive."""

from __future__ import annotations

import re
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

VOCABULARY_SIZE = 50_000
_STOP = re.compile(r"\[stop=(\d+)\]")


@dataclass(frozen=True, slots=True)
class VersionRange:
    """Consecutive tokens said to be made by one weight version."""

    version: int
    first: int
    count: int

    @classmethod
    def parse_all(cls, content: object) -> tuple[VersionRange, ...]:
        """Parse the ``versions`` list of an answer; anything malformed gives an empty tuple."""
        if not isinstance(content, list):
            return ()
        try:
            return tuple(
                cls(int(entry["version"]), int(entry["first"]), int(entry["count"]))
                for entry in content
            )
        except (KeyError, TypeError, ValueError):
            return ()


def token_at(model: str, version: int, prompt: str, position: int) -> int:
    """Return the token that a version generates at a position (docs/protocols.md)."""
    return zlib.crc32(f"{model}|{version}|{prompt}|{position}".encode()) % VOCABULARY_SIZE


def expected_length(prompt: str, max_tokens: int) -> int:
    """Return how many tokens a whole completion of the prompt has."""
    found = _STOP.search(prompt)
    return min(int(found.group(1)), max_tokens) if found else max_tokens


def versions_cover(versions: Sequence[VersionRange], length: int) -> bool:
    """Return whether the ranges cover positions 0 to ``length`` without gap or overlap."""
    position = 0
    for entry in versions:
        if entry.first != position or entry.count <= 0:
            return False
        position += entry.count
    return position == length


def tokens_match(
    model: str, prompt: str, token_ids: Sequence[int], versions: Sequence[VersionRange]
) -> bool:
    """Return whether each token is what its claimed version generates for the prompt."""
    if not versions_cover(versions, len(token_ids)):
        return False
    return all(
        token_ids[position] == token_at(model, entry.version, prompt, position)
        for entry in versions
        for position in range(entry.first, entry.first + entry.count)
    )
