"""Fingerprints, which identify a repeated request independent of its id and node, or a server."""

from __future__ import annotations

import hashlib

from runkeel.api.backend_protocol import ForwardedRequest

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
        """Return the fingerprint of a client request."""
        return self._digest(
            request.tenant, request.method, request.host, request.target, request.body
        )

    def of_server(self, incarnation: str) -> str:
        """Return the fingerprint under which a crash is recorded that no request can have caused.

        It differs from that of every request, as no request has an empty method.
        """
        return self._digest("", "", "", incarnation, b"")

    def _digest(self, tenant: str, method: str, host: str, target: str, body: bytes) -> str:
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=self._key)
        for part in (tenant, method, host.lower(), target):
            encoded = part.encode("utf-8", "surrogateescape")
            digest.update(len(encoded).to_bytes(_LENGTH_BYTES, "big"))
            digest.update(encoded)
        digest.update(body)
        return digest.hexdigest()
