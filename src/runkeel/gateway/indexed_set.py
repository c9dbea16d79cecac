"""A set from which random members are drawn in a time that does not grow with its size."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member")


class IndexedSet(Generic[Member]):
    """Members by key; adding, removing and drawing one cost the same whatever their number."""

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
        """Add a member, or replace the one of this key; True when the key is new."""
        position = self._positions.get(key)
        if position is not None:
            self._members[position] = member
            return False
        self._positions[key] = len(self._members)
        self._members.append(member)
        self._keys.append(key)
        return True

    def discard(self, key: str) -> bool:
        """Remove a member; False when there is none. The last one takes its position."""
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
        """Return a member."""
        position = self._positions.get(key)
        return None if position is None else self._members[position]

    def sample(self, count: int) -> list[Member]:
        """Return so many random members, or all if there are no more."""
        if len(self._members) <= count:
            return list(self._members)
        return random.sample(self._members, count)
