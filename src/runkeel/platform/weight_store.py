"""HTTP adapter for the weight store's catalogue and limits; engines load weights themselves."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from runkeel.api.machines import Address
from runkeel.errors import ErrorCode, not_run
from runkeel.platform.json_http import JsonHttpClient, unexpected_status

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
    """Reads the weight store; every call raises STORE_UNAVAILABLE when it can't be read."""

    def __init__(self, address: Address, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS) -> None:
        self._client = JsonHttpClient(address)
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

    def _get(self, path: str) -> dict[str, Any]:
        response = self._client.call("GET", path, self._timeout_seconds)
        if response.status != 200:
            raise unexpected_status(response, "weight store")
        if not isinstance(response.body, dict):
            raise not_run(ErrorCode.STORE_UNAVAILABLE, "weight store: not a JSON object")
        return response.body
