"""Fenced orders: loading of models, adapters and versions, and changes of role."""

from __future__ import annotations

import math
import time
from collections import OrderedDict
from collections.abc import Callable
from http.client import HTTPException
from typing import Any, Literal

import gevent
from geventhttpclient import HTTPClient
from pydantic import BaseModel, Field

from runkeel.api.machines import Address
from runkeel_lab.standins.engine.options import EngineOptions
from runkeel_lab.standins.faults import FaultBoard, FaultKind, SwapFailure
from runkeel_lab.standins.http import Response, json_response
from runkeel_lab.standins.journal import Journal

MAX_REMEMBERED_ORDERS = 256
RETRY_SECONDS = 0.25
_IDLE_POLL_SECONDS = 0.02


class Order(BaseModel):
    """An order as posted by the engine's owner."""

    order_id: str = Field(min_length=1)
    fence: int = Field(ge=0)
    kind: Literal["load", "role"]
    model: str = ""
    version: int = Field(default=0, ge=0)
    adapter: str = ""
    role: str = ""


class LoadError(Exception):
    """The weights could not be loaded."""


class EngineControl:
    """What an engine serves, changed only by orders.

    Attributes:
        weight_version: 0 while the weights are mixed after a half-done swap.
        swap: ``idle``, ``loading`` or ``failed``.
    """

    def __init__(self, model: str, options: EngineOptions, faults: FaultBoard, journal: Journal):
        """Begin with the model and version of the options.

        The engine sets ``spawn``, ``changed``, ``before_swap``, ``after_half_swap`` and
        ``is_idle``.
        """
        self.model = model
        self.weight_version = options.weight_version
        self.role = options.role
        self.adapters: tuple[str, ...] = ()
        self.fence = 0
        self.swap: Literal["idle", "loading", "failed"] = "idle"
        self.swap_order_id = ""
        self.half_swapped = False
        self.changing_model = False
        self.spawn: Callable[..., gevent.Greenlet] = gevent.spawn
        self.changed: Callable[[], None] = lambda: None
        self.before_swap: Callable[[], None] = lambda: None
        self.after_half_swap: Callable[[], None] = lambda: None
        self.is_idle: Callable[[], bool] = lambda: True
        self._options = options
        self._faults = faults
        self._journal = journal
        self._accepted: OrderedDict[str, None] = OrderedDict()
        self._task: gevent.Greenlet | None = None

    def submit(self, order: Order) -> Response:
        """Accept an order, or refuse it when its fence is older than the highest seen."""
        if order.fence < self.fence:
            self._write("order_refused", order, highest_fence=self.fence)
            return json_response(409, {"fence": self.fence})
        self.fence = order.fence
        if order.order_id in self._accepted:
            self._write("order_repeated", order)
            self.changed()
            return json_response(200, {"fence": self.fence})
        self._write("order", order)
        self._remember(order.order_id)
        if order.kind == "role":
            self.role = order.role
        else:
            self._begin_load(order)
        self.changed()
        return json_response(202, {"fence": self.fence})

    def _remember(self, order_id: str) -> None:
        self._accepted[order_id] = None
        while len(self._accepted) > MAX_REMEMBERED_ORDERS:
            self._accepted.popitem(last=False)

    def _begin_load(self, order: Order) -> None:
        """Start a load, in place of one that is under way."""
        if self._task is not None:
            self._task.kill(block=False)
        self.swap = "loading"
        self.swap_order_id = order.order_id
        self.changing_model = bool(order.model) and order.model != self.model
        self._task = self.spawn(self._load, order)

    def _load(self, order: Order) -> None:
        self._write("swap_started", order)
        try:
            while self.changing_model and not self.is_idle():
                gevent.sleep(_IDLE_POLL_SECONDS)
            self._load_weights(order)
            if order.adapter:
                gevent.sleep(self._options.adapter_load_ms / 1000)
        except LoadError as error:
            self._fail(order, str(error))
            return
        self._take(order)

    def _load_weights(self, order: Order) -> None:
        model = order.model or self.model
        if order.adapter and order.version in (0, self.weight_version) and model == self.model:
            return
        if self._options.weight_store is None:
            gevent.sleep(self._options.local_load_ms / 1000)
        else:
            self._download(model, order.version)
        self._raise_injected_failure()

    def _download(self, model: str, version: int) -> None:
        deadline = time.monotonic() + self._options.load_timeout_ms / 1000
        while True:
            status, retry_after = self._request_load(model, version, deadline)
            if status == 200:
                return
            if status == 404:
                raise LoadError("unknown version")
            if time.monotonic() + retry_after >= deadline:
                raise LoadError("weight store gave no weights in time")
            gevent.sleep(retry_after)

    def _request_load(self, model: str, version: int, deadline: float) -> tuple[int, float]:
        """Ask once; returns the status (0 when unreachable) and when to ask again."""
        address = Address.parse(self._options.weight_store or "")
        remaining = max(0.1, deadline - time.monotonic())
        client = HTTPClient(
            address.host, address.port, connection_timeout=remaining, network_timeout=remaining
        )
        try:
            response = client.post(f"/v1/models/{model}/versions/{version}/load", body=b"")
            response.read()
            return response.status_code, _retry_after(response.get("retry-after"))
        except (OSError, HTTPException):
            return 0, RETRY_SECONDS
        finally:
            client.close()

    def _raise_injected_failure(self) -> None:
        fault = self._faults.active(FaultKind.FAIL_SWAP)
        if fault is None:
            return
        self._faults.clear(FaultKind.FAIL_SWAP)
        if fault.count > 1:
            self._faults.set(fault.model_copy(update={"count": fault.count - 1}))
        if fault.variant is SwapFailure.HALF_SWAPPED:
            self.half_swapped = True
        raise LoadError(f"injected: {fault.variant}")

    def _fail(self, order: Order, reason: str) -> None:
        self.swap = "failed"
        self.changing_model = False
        self._accepted.pop(order.order_id, None)
        if self.half_swapped:
            self.after_half_swap()
            self.weight_version = 0
        self._write("swap_failed", order, reason=reason, half_swapped=self.half_swapped)
        self.changed()

    def _take(self, order: Order) -> None:
        """Serve the new weights from the next token on."""
        model = order.model or self.model
        version = order.version or self.weight_version
        if model != self.model or version != self.weight_version:
            self.before_swap()
        self.model, self.weight_version = model, version
        if order.adapter:
            kept = tuple(name for name in self.adapters if name != order.adapter)
            self.adapters = (*kept, order.adapter)[-self._options.max_adapters :]
        self.swap = "idle"
        self.half_swapped = self.changing_model = False
        self._write("swapped", order)
        self.changed()

    def _write(self, event: str, order: Order, **fields: Any) -> None:
        self._journal.write(
            event,
            order_id=order.order_id,
            fence=order.fence,
            order_kind=order.kind,
            model=order.model,
            version=order.version,
            adapter=order.adapter,
            role=order.role,
            serving_version=self.weight_version,
            **fields,
        )


def _retry_after(text: str | None) -> float:
    try:
        seconds = float(text or RETRY_SECONDS)
    except ValueError:
        return RETRY_SECONDS
    return seconds if math.isfinite(seconds) and seconds > 0 else RETRY_SECONDS
