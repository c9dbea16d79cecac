"""Fault injection for a deployment, with faults drawn at random or read from a trace."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import gevent

from runkeel_lab.users_platform.deployment import Deployment
from runkeel_lab.users_platform.servers import PlatformServer
from runkeel_lab.users_platform.trace import TraceEvent

COORDINATOR = "coordinator"
"""Target of a kill that applies to the node that is coordinator at that moment."""

RECOVERY_SECONDS = 2.1
"""Time after which every fault is over; longer than ``_MAX_FAULT_SECONDS``."""

_MAX_FAULT_SECONDS = 2.0
_MIN_FAULT_SECONDS = 0.3
_MIN_DOWNTIME_SECONDS = 0.05

_SERVER_FAULTS = {"lost_share": (0.5, 0.0), "failed_share": (0.3, 0.0), "slow_factor": (8.0, 1.0)}
"""Attribute of ``ServerFaults`` -> its value during the fault, and its normal value."""

STORE_FAULTS = {"lost_share": (0.4, 0.0), "refused": (True, False), "slow_seconds": (0.15, 0.0)}
"""Attribute of ``StoreServer`` -> its value during the fault, and its normal value."""


class Faults:
    """Draws and injects faults of one deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._version = 1
        self._acts: dict[str, Callable[[TraceEvent], None]] = {
            "kill": self._kill,
            "store": self._degrade_store,
            "compact": lambda event: self._deployment.store.objects.compact(),
            "server": self._degrade_server,
            "orders": self._drop_order_responses,
            "version": lambda event: self._deployment.publish_version(event.details["version"]),
        }

    def draw(self, rng: random.Random, at: float) -> TraceEvent:
        """Return a random fault for ``at`` seconds into the run, repeatable by seed."""
        act = rng.choice(("kill", "kill", "store", "compact", "server", "orders", "version"))
        seconds = round(rng.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS), 3)
        if act == "kill":
            names = [*self._deployment.node_names, COORDINATOR, COORDINATOR]
            down = round(rng.uniform(_MIN_DOWNTIME_SECONDS, _MAX_FAULT_SECONDS), 3)
            return TraceEvent(at, act, rng.choice(names), details={"seconds": down})
        if act == "store":
            kind = rng.choice(sorted(STORE_FAULTS))
            return TraceEvent(at, act, details={"kind": kind, "seconds": seconds})
        if act == "server":
            target = rng.choice(self._servers()).server_id
            kind = rng.choice(sorted(_SERVER_FAULTS))
            return TraceEvent(at, act, target, details={"kind": kind, "seconds": seconds})
        if act == "orders":
            target = rng.choice(self._deployment.engines).server_id
            return TraceEvent(at, act, target, details={"seconds": seconds})
        if act == "version":
            self._version += 1
            return TraceEvent(at, act, details={"version": self._version})
        return TraceEvent(at, act)

    def is_fault(self, act: str) -> bool:
        """Return whether an act of a trace is a fault."""
        return act in self._acts

    def inject(self, event: TraceEvent) -> None:
        """Inject a fault; it ends by itself."""
        self._acts[event.act](event)

    def wait_until_recovered(self) -> None:
        """Wait until every fault is over, then start the nodes that are down."""
        gevent.sleep(RECOVERY_SECONDS)
        for name in self._deployment.node_names:
            self._deployment.start_if_down(name)

    def _servers(self) -> list[PlatformServer]:
        return [*self._deployment.engines, *self._deployment.applications]

    def _server(self, server_id: str) -> PlatformServer:
        return next(one for one in self._servers() if one.server_id == server_id)

    def _kill(self, event: TraceEvent) -> None:
        names = [event.target]
        if event.target == COORDINATOR:
            names = self._deployment.coordinators()[:1]
        for name in names:
            if self._deployment.node(name) is not None:
                self._deployment.kill_node(name)
                gevent.spawn_later(event.details["seconds"], self._deployment.start_if_down, name)

    def _degrade_store(self, event: TraceEvent) -> None:
        kind = event.details["kind"]
        self._set_temporarily(self._deployment.store, kind, *STORE_FAULTS[kind], event)

    def _degrade_server(self, event: TraceEvent) -> None:
        kind = event.details["kind"]
        server = self._server(event.target)
        self._set_temporarily(server.faults, kind, *_SERVER_FAULTS[kind], event)

    def _drop_order_responses(self, event: TraceEvent) -> None:
        faults = self._server(event.target).faults
        self._set_temporarily(faults, "unanswered_orders", 0.7, 0.0, event)

    def _set_temporarily(
        self, target: Any, attribute: str, value: Any, normal: Any, event: TraceEvent
    ) -> None:
        setattr(target, attribute, value)
        gevent.spawn_later(event.details["seconds"], setattr, target, attribute, normal)
