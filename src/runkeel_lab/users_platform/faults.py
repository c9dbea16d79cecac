"""Faults of a deployment: drawn at random, struck, and healed; a trace can strike them again."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import gevent

from runkeel_lab.users_platform.deployment import Deployment
from runkeel_lab.users_platform.servers import PlatformServer
from runkeel_lab.users_platform.trace import TraceEvent

COORDINATOR = "coordinator"
"""Target of a kill that strikes whoever coordinates at that moment."""

HEAL_SECONDS = 2.1
"""The longest fault is over after so long."""

_LONGEST_SECONDS = 2.0
_SHORTEST_SECONDS = 0.3
_SHORTEST_DOWN_SECONDS = 0.05

_SERVER_FAULTS = {"lost_share": (0.5, 0.0), "failed_share": (0.3, 0.0), "slow_factor": (8.0, 1.0)}
"""What goes wrong at a server: the value of the fault and that of a sound server."""

_STORE_FAULTS = {"lost_share": (0.4, 0.0), "refused": (True, False), "slow_seconds": (0.15, 0.0)}


class Faults:
    """Strikes faults at one deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._version = 1
        self._acts: dict[str, Callable[[TraceEvent], None]] = {
            "kill": self._kill,
            "store": self._disturb_store,
            "compact": lambda event: self._deployment.store.objects.compact(),
            "server": self._disturb_server,
            "orders": self._lose_orders,
            "version": lambda event: self._deployment.name_version(event.details["version"]),
        }

    def draw(self, chance: random.Random, at: float) -> TraceEvent:
        """Return a fault for a time of the day; the same chance gives the same fault."""
        act = chance.choice(("kill", "kill", "store", "compact", "server", "orders", "version"))
        seconds = round(chance.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS), 3)
        if act == "kill":
            names = [*self._deployment.node_names, COORDINATOR, COORDINATOR]
            down = round(chance.uniform(_SHORTEST_DOWN_SECONDS, _LONGEST_SECONDS), 3)
            return TraceEvent(at, act, chance.choice(names), details={"seconds": down})
        if act == "store":
            kind = chance.choice(sorted(_STORE_FAULTS))
            return TraceEvent(at, act, details={"kind": kind, "seconds": seconds})
        if act == "server":
            target = chance.choice(self._servers()).server_id
            kind = chance.choice(sorted(_SERVER_FAULTS))
            return TraceEvent(at, act, target, details={"kind": kind, "seconds": seconds})
        if act == "orders":
            target = chance.choice(self._deployment.engines).server_id
            return TraceEvent(at, act, target, details={"seconds": seconds})
        if act == "version":
            self._version += 1
            return TraceEvent(at, act, details={"version": self._version})
        return TraceEvent(at, act)

    def knows(self, act: str) -> bool:
        """Return whether an act is a fault."""
        return act in self._acts

    def strike(self, event: TraceEvent) -> None:
        """Let a fault happen; it ends by itself."""
        self._acts[event.act](event)

    def heal(self) -> None:
        """Wait until every fault is over, and start what is still down."""
        gevent.sleep(HEAL_SECONDS)
        for name in self._deployment.node_names:
            self._start_again(name)

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
                gevent.spawn_later(event.details["seconds"], self._start_again, name)

    def _start_again(self, name: str) -> None:
        if self._deployment.node(name) is None:
            self._deployment.start_node(name)

    def _disturb_store(self, event: TraceEvent) -> None:
        kind = event.details["kind"]
        self._for_a_while(self._deployment.store, kind, *_STORE_FAULTS[kind], event)

    def _disturb_server(self, event: TraceEvent) -> None:
        kind = event.details["kind"]
        server = self._server(event.target)
        self._for_a_while(server.faults, kind, *_SERVER_FAULTS[kind], event)

    def _lose_orders(self, event: TraceEvent) -> None:
        faults = self._server(event.target).faults
        self._for_a_while(faults, "unanswered_orders", 0.7, 0.0, event)

    def _for_a_while(
        self, target: Any, attribute: str, value: Any, normal: Any, event: TraceEvent
    ) -> None:
        setattr(target, attribute, value)
        gevent.spawn_later(event.details["seconds"], setattr, target, attribute, normal)
