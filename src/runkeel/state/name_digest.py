"""Incremental digest of a set of names."""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 8
"""Two different sets have equal digests with a probability of 2 ** -64."""


class NameDigest:
    """Order-independent digest: equal sets of names have equal digests.

    Attributes:
        value: signed 64-bit integer, 0 for the empty set.
    """

    def __init__(self) -> None:
        self.value = 0

    def toggle(self, name: str) -> None:
        """Add a name that is not in the set, or remove one that is."""
        digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()
        self.value ^= int.from_bytes(digest, "big", signed=True)
