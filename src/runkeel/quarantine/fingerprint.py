"""Request fingerprints, which identify a repeated request independent of its id and node."""

from __future__ import annotations

import hashlib

from runkeel.api.backend_protocol import ForwardedRequest, GenerationRequest

DIGEST_BYTES = 16
"""The probability of any collision among 1e9 requests is about 1e-21."""

_LENGTH_BYTES = 8


class Fingerprinter:
    """Computes fingerprints from a request's tenant, method, host, path with query, and body.

    A fingerprint is a keyed digest: it reveals neither the body nor the caller's key, and clients
    cannot construct collisions. The tenant is included, so that no tenant can have another
    tenant's request quarantined.

    Args:
        secret: digest key, shared by all nodes of the cluster and stable across restarts.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.blake2b(secret).digest()

    def of_forwarded_request(self, request: ForwardedRequest) -> str:
        """Return the fingerprint of a client request or scorer call."""
        return self._digest(
            request.tenant, request.method, request.host, request.target, request.body
        )

    def of_generation(self, request: GenerationRequest) -> str:
        """Return the fingerprint of a run of a batch item."""
        return self.of_item(request.tenant, request.host, request.path, request.body)

    def of_item(self, tenant: str, host: str, path: str, body: bytes) -> str:
        """Return the fingerprint of a batch item, equal to that of the request that runs it."""
        return self._digest(tenant, "POST", host, path, body)

    def _digest(self, tenant: str, method: str, host: str, target: str, body: bytes) -> str:
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=self._key)
        for part in (tenant, method, host.lower(), target):
            encoded = part.encode("utf-8", "surrogateescape")
            digest.update(len(encoded).to_bytes(_LENGTH_BYTES, "big"))
            digest.update(encoded)
        digest.update(body)
        return digest.hexdigest()
