"""HTTP adapter for the weight store's catalogue and limits; engines load weights themselves."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from geventhttpclient import HTTPClient
from geventhttpclient._parser import HTTPParseError

from runkeel.api.machines import Address
from runkeel.errors import ErrorCode, RunkeelError, not_run

DEFAULT_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the store bears.

    Attributes:
        concurrent_loads: loads at once without loss of speed.
        load_seconds: how long one load takes then.
    """

    concurrent_loads: int
    load_seconds: float


@dataclass(frozen=True, slots=True)
class WeightVersion:
    """A version of a model that the store holds."""

    version: int
    size_bytes: int


class WeightStoreClient:
    """Reads the weight store; every call raises STORE_UNAVAILABLE when it can't be read.

    Each call opens its own connection: calls are rare, seconds apart at the least.
    """

    def __init__(self, address: Address, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS) -> None:
        self._address = address
        self._timeout_seconds = timeout_seconds

    def limits(self) -> StoreLimits:
        """Return the store's load limits."""
        document = self._get("/v1/limits")
        try:
            concurrent_loads = max(1, int(document["concurrent_loads"]))
            return StoreLimits(concurrent_loads, float(document["load_ms"]) / 1000)
        except (KeyError, TypeError, ValueError) as error:
            raise not_run(ErrorCode.STORE_UNAVAILABLE, f"weight store limits: {error!r}") from error

    def versions(self, model: str) -> tuple[WeightVersion, ...]:
        """Return the versions of a model, lowest first."""
        document = self._get(f"/v1/models/{quote(model, safe='')}/versions")
        try:
            versions = [
                WeightVersion(int(item["version"]), int(item.get("bytes", 0)))
                for item in document["versions"]
            ]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise not_run(ErrorCode.STORE_UNAVAILABLE, f"weight versions: {error!r}") from error
        return tuple(sorted(versions, key=lambda item: item.version))

    def _get(self, target: str) -> dict[str, Any]:
        client = HTTPClient(
            self._address.host,
            self._address.port,
            connection_timeout=self._timeout_seconds,
            network_timeout=self._timeout_seconds,
        )
        try:
            response = client.request("GET", target)
            body = bytes(response.read())
            status = response.status_code
            document = json.loads(body) if status == 200 else None
        except (OSError, HTTPParseError, ValueError) as error:
            raise not_run(ErrorCode.STORE_UNAVAILABLE, f"weight store: {error}") from error
        finally:
            client.close()
        if not isinstance(document, dict):
            raise RunkeelError(ErrorCode.STORE_UNAVAILABLE, f"weight store: HTTP {status}")
        return document
