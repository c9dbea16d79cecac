"""A set that supports random sampling in a time independent of its size."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member")


class IndexedSet(Generic[Member]):
    """Members by key; adding, removing and sampling a member take constant time."""

    def __init__(self) -> None:
        self._members: list[Member] = []
        self._keys: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    def __contains__(self, key: str) -> bool:
        return key in self._positions

    def add(self, key: str, member: Member) -> bool:
        """Add a member or replace the one with this key; returns True if the key is new."""
        position = self._positions.get(key)
        if position is not None:
            self._members[position] = member
            return False
        self._positions[key] = len(self._members)
        self._members.append(member)
        self._keys.append(key)
        return True

    def discard(self, key: str) -> bool:
        """Remove a member, moving the last one to its position; returns False if none exists."""
        position = self._positions.pop(key, None)
        if position is None:
            return False
        member, moved_key = self._members.pop(), self._keys.pop()
        if position < len(self._members):
            self._members[position] = member
            self._keys[position] = moved_key
            self._positions[moved_key] = position
        return True

    def get(self, key: str) -> Member | None:
        """Return the member with this key, None if none exists."""
        position = self._positions.get(key)
        return None if position is None else self._members[position]

    def sample(self, count: int) -> list[Member]:
        """Return ``count`` random members, or all if there are fewer."""
        if len(self._members) <= count:
            return list(self._members)
        return random.sample(self._members, count)
