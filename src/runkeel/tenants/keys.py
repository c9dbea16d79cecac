"""API keys of callers, stored as digests only.

A key read from a request or from the configuration is hashed immediately. Logs, stored data,
metrics and messages between nodes never contain the key itself.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

_DIGEST_BYTES = 16
"""128 bits, so that a key with a given digest is infeasible to find."""

_SCHEME = "bearer"


def key_digest(key: str) -> str:
    """Return the digest by which a key is stored and compared."""
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def presented_key(authorizations: Sequence[str]) -> str | None:
    """Return the bearer key of a request, or None unless it has exactly one well-formed key.

    Args:
        authorizations: values of all Authorization headers of the request.
    """
    if len(authorizations) != 1:
        return None
    scheme, _, key = authorizations[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key or " " in key:
        return None
    return key
