"""Tells whether two requests are the same one, whatever their ids, connections and nodes."""

from __future__ import annotations

import hashlib

from runkeel.api.backend_protocol import GenerationRequest, PlainRequest

DIGEST_BYTES = 16
"""Two of a thousand million requests share a digest of so many bytes by a chance of 1e-21."""

_LENGTH_BYTES = 8


class Fingerprinter:
    """Makes fingerprints of requests: of caller, method, host, path with query, and body.

    A fingerprint is a keyed digest: it holds neither body nor key of the caller, and nobody outside
    can make a request that has another one's. The caller is part of it, so that no tenant can have
    another one's request held back.

    Args:
        secret: shared by the cluster's nodes, and the same after a restart.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.blake2b(secret).digest()

    def of_plain(self, request: PlainRequest) -> str:
        """Return the fingerprint of a client's request or a scorer's call."""
        return self._digest(
            request.tenant, request.method, request.host, request.target, request.body
        )

    def of_generation(self, request: GenerationRequest) -> str:
        """Return the fingerprint of a run of a batch job's item."""
        return self.of_item(request.tenant, request.host, request.path, request.body)

    def of_item(self, tenant: str, host: str, path: str, body: bytes) -> str:
        """Return the fingerprint of an item of a batch job: that of the request that runs it."""
        return self._digest(tenant, "POST", host, path, body)

    def _digest(self, tenant: str, method: str, host: str, target: str, body: bytes) -> str:
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=self._key)
        for part in (tenant, method, host.lower(), target):
            encoded = part.encode("utf-8", "surrogateescape")
            digest.update(len(encoded).to_bytes(_LENGTH_BYTES, "big"))
            digest.update(encoded)
        digest.update(body)
        return digest.hexdigest()
