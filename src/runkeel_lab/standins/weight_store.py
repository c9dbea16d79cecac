"""Stand-in for the rate-limited weight store."""

from __future__ import annotations

import math
from typing import Any

import gevent
from pydantic import Field

from runkeel_lab.standins.faults import FaultKind
from runkeel_lab.standins.http import (
    BadRequestError,
    Request,
    Response,
    error_response,
    json_response,
)
from runkeel_lab.standins.server import StandIn, StandInOptions


class WeightStoreOptions(StandInOptions):
    """Options of the weight store.

    Attributes:
        concurrent_loads: loads served at once; more are answered with 429.
        load_ms: how long one load takes.
        models: versions published at the start, by model.
        version_bytes: size of those versions.
    """

    concurrent_loads: int = Field(default=4, ge=1)
    load_ms: int = Field(default=500, ge=0)
    models: dict[str, tuple[int, ...]] = Field(default_factory=dict)
    version_bytes: int = Field(default=1_000_000_000, ge=0)


class WeightStore(StandIn):
    """Weight store over HTTP.

    The lab publishes a version with ``POST /fault/models/{model}/versions/{version}``
    (body ``{"bytes": n}``, optional).
    """

    kind = "weight_store"
    options_class = WeightStoreOptions
    supported_faults = frozenset({FaultKind.DOWN, FaultKind.SLOW, FaultKind.HANG, FaultKind.ERROR})

    def reset(self) -> None:
        """Hold the versions of the options."""
        size = self.options.version_bytes
        self._versions: dict[str, dict[int, int]] = {
            model: dict.fromkeys(versions, size) for model, versions in self.options.models.items()
        }
        self._loading = 0
        self._max_loading = 0
        self._loads = 0
        self._throttled = 0

    def handle(self, request: Request) -> Response:
        """Answer one call of the weight store."""
        self.faults.wait_while(FaultKind.HANG)
        parts = request.segments
        if request.method == "GET" and parts == ["v1", "limits"]:
            limits = {
                "concurrent_loads": self.options.concurrent_loads,
                "load_ms": self.options.load_ms,
            }
            return json_response(200, limits)
        if len(parts) >= 4 and parts[:2] == ["v1", "models"] and parts[3] == "versions":
            if request.method == "GET" and len(parts) == 4:
                return self._list(parts[2])
            if request.method == "POST" and len(parts) == 6 and parts[5] == "load":
                return self._load(parts[2], _version(parts[4]))
        return error_response(404, "no such path")

    def _list(self, model: str) -> Response:
        versions = sorted(self._versions.get(model, {}).items())
        return json_response(
            200, {"versions": [{"version": number, "bytes": size} for number, size in versions]}
        )

    def _load(self, model: str, version: int) -> Response:
        if version not in self._versions.get(model, {}):
            return error_response(404, "no such version")
        if self._loading >= self.options.concurrent_loads:
            self._throttled += 1
            self.journal.write("throttled", model=model, version=version)
            seconds = max(1, math.ceil(self.options.load_ms / 1000))
            return error_response(429, "too many loads", retry_after_seconds=seconds)
        self._loading += 1
        self._max_loading = max(self._max_loading, self._loading)
        self.journal.write("started", model=model, version=version)
        try:
            gevent.sleep(self.options.load_ms / 1000)
        finally:
            self._loading -= 1
        self._loads += 1
        self.journal.write("finished", model=model, version=version)
        return json_response(200, {"model": model, "version": version})

    def control(self, request: Request) -> Response:
        """Publish a version."""
        parts = request.segments
        if request.method != "POST" or len(parts) != 5 or parts[1::2] != ["models", "versions"]:
            return error_response(404, "no such control")
        version = _version(parts[4])
        body = request.json_object() if request.body else {}
        size = int(body.get("bytes", self.options.version_bytes))
        self._versions.setdefault(parts[2], {})[version] = size
        self.journal.write("published", model=parts[2], version=version)
        return json_response(200, {"model": parts[2], "version": version})

    def fault_state(self) -> dict[str, Any]:
        """Return counts of loads."""
        return {
            "loading": self._loading,
            "max_loading": self._max_loading,
            "loads": self._loads,
            "throttled": self._throttled,
        }


def _version(text: str) -> int:
    if not text.isdigit():
        raise BadRequestError("version must be a number")
    return int(text)
