"""Invalid server entries, as another writer might leave them in the store."""

from __future__ import annotations

import random
from typing import Any

MISSING = object()
"""Marks a field that is left out."""

WRONG_VALUES: dict[str, tuple[Any, ...]] = {
    "State": (MISSING, "paused", 17, None, "READY"),
    "Service": (MISSING, None, 17, [], ""),
    "Slots": (MISSING, 0, -3, [], 2.5, True, float("inf"), 10**30, "6"),
    "Zone": (MISSING, 5, [], None, "a\nb"),
    "Address": (MISSING, "", 80, "127.0.0.1", "127.0.0.1:0", "localhost:80", "127.0.0.1:99999"),
    "Models": ({}, [1], [{"Name": "m"}], [{"Name": "m", "Version": "1"}], "m", None),
    "Sequence": (-1, "2", 1.5, None),
    "born": ("1", 0, -1, True, 1.5, None, 10**30),
    "Version": (17, None, ""),
    "ColdRemainingMs": (-1, "0", float("nan"), None, 10**400),
}
"""Field -> values that make an entry unusable."""

UNREADABLE: tuple[Any, ...] = (None, 17, "entry", [], {}, "\ud800", [[[]]])
"""Values in place of a whole entry."""


def changed(entry: dict[str, Any], field: str, value: Any) -> dict[str, Any]:
    """Return an entry with one field replaced, or removed for ``MISSING``."""
    rest = {name: kept for name, kept in entry.items() if name != field}
    return rest if value is MISSING else {**rest, field: value}


def draw_invalid_entry(entry: dict[str, Any], rng: random.Random) -> Any:
    """Return an invalid variant of an entry; repeatable with a seeded ``rng``."""
    if rng.random() < 0.2:
        return rng.choice(UNREADABLE)
    field = rng.choice(sorted(WRONG_VALUES))
    return changed(entry, field, rng.choice(WRONG_VALUES[field]))
