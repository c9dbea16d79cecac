"""Belief of which engine holds which prompt prefix in its cache.

A wrong belief costs time, never correctness: it only shifts the choice among engines.
"""

from __future__ import annotations

from collections import OrderedDict

PREFIX_CHARACTERS = 256
"""Prompts that agree in this many first characters are taken to share a prefix."""
PREFIXES_PER_ENGINE = 512


def prefix_key(prompt: str) -> int:
    """Return the key of a prompt's prefix."""
    return hash(prompt[:PREFIX_CHARACTERS])


class PrefixBelief:
    """Prefixes that one engine was sent lately, least recently used first."""

    def __init__(self, capacity: int = PREFIXES_PER_ENGINE) -> None:
        self._capacity = capacity
        self._prefixes: OrderedDict[int, None] = OrderedDict()

    def add(self, key: int) -> None:
        """Note that the engine works on a prompt with this prefix."""
        self._prefixes[key] = None
        self._prefixes.move_to_end(key)
        if len(self._prefixes) > self._capacity:
            self._prefixes.popitem(last=False)

    def holds(self, key: int) -> bool:
        """Return whether the engine is believed to hold the prefix."""
        return key in self._prefixes

    def clear(self) -> None:
        """Forget all, for example after the engine has swapped its weights."""
        self._prefixes.clear()
