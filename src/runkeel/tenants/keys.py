"""Keys of callers, kept as digests only.

A key is read from a request or from the operators' configuration and turned into a digest at once.
Nothing that is logged, stored, counted or sent to another node ever holds the key itself.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

_DIGEST_BYTES = 16
"""128 bits: two keys of the same digest won't be found."""

_SCHEME = "bearer"


def key_digest(key: str) -> str:
    """Return what stands for a key wherever it is kept or compared."""
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def presented_key(authorizations: Sequence[str]) -> str | None:
    """Return the key that a request presents; None when it presents none or not exactly one.

    Args:
        authorizations: the values of all its authorization headers.
    """
    if len(authorizations) != 1:
        return None
    scheme, _, key = authorizations[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key or " " in key:
        return None
    return key
