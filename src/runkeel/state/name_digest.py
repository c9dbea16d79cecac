"""A digest of a set of names that is kept up to date name by name."""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 8
"""Two different sets have the same digest by chance once in 2 ** 64 comparisons."""


class NameDigest:
    """Equal sets have equal digests, in whatever order their names came.

    Attributes:
        value: a signed number of 64 bits, 0 for the empty set.
    """

    def __init__(self) -> None:
        self.value = 0

    def toggle(self, name: str) -> None:
        """Add a name that isn't in the set, or take out one that is."""
        digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()
        self.value ^= int.from_bytes(digest, "big", signed=True)
