"""Partitions of a deployment: one zone at a time is cut off from the others and from the store.

Connections across the cut carry nothing, and dials across it stay pending. After the end of a
partition, connections and dials that began before may go on stalling for a while, as lost segments
are sent again with backoff; new connections work at once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import gevent

from runkeel.clock import steady_seconds
from runkeel.wire.links import LinkPolicy
from runkeel_lab.users_platform.deployment import Deployment
from runkeel_lab.users_platform.operations_soak import ENTRY_EXPIRY_SECONDS, ENTRY_REWRITE_SECONDS
from runkeel_lab.users_platform.servers import PlatformServer

MAX_STALL_SECONDS = 2.0
"""Maximum time for which an old connection goes on stalling after a partition."""


@dataclass(frozen=True, slots=True)
class _Heal:
    """End of the last partition of a zone, and how long old connections may stall after it."""

    at: float
    stall_seconds: float


class Partitions:
    """Cuts off zones of a deployment; to be created before the deployment starts."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._heals: dict[str, _Heal] = {}
        self.zone: str | None = None
        """The zone that is cut off; None if there is none."""
        deployment.before_start = self._install_link

    def start(self, zone: str, store_fault: str) -> None:
        """Cut off a zone.

        Args:
            store_fault: how the store fails for the zone's nodes: ``refused`` or ``silent``.
        """
        self.zone = zone
        for name in self._names(zone):
            setattr(self._deployment.store_endpoint(name), store_fault, True)
        gevent.spawn_later(ENTRY_EXPIRY_SECONDS, self._expire_entries, zone, self._heals.get(zone))

    def end(self, stall_seconds: float) -> None:
        """End the partition.

        Args:
            stall_seconds: maximum time for which old connections go on stalling.
        """
        zone, self.zone = self.zone, None
        self._heals[zone] = _Heal(steady_seconds(), stall_seconds)
        for name in self._names(zone):
            endpoint = self._deployment.store_endpoint(name)
            endpoint.refused = endpoint.silent = False
        for name in self._deployment.node_names:
            process = self._deployment.node(name)
            if process is not None:
                self._install_link(process)
        for server in self._servers(zone):
            pause = self._random.uniform(*ENTRY_REWRITE_SECONDS)
            gevent.spawn_later(pause, self._write_entry, server)

    def separates(self, zone: str, other: str) -> bool:
        """Return whether the current partition separates two zones."""
        return zone != other and self.zone in (zone, other)

    def stalls(self, zone: str, other: str, since: float, stall_share: float) -> bool:
        """Return whether a link between two zones in use since ``since`` still stalls.

        Args:
            stall_share: share of the maximum stall that applies to the link.
        """
        now = steady_seconds()
        heals = [self._heals[one] for one in (zone, other) if one in self._heals]
        return any(
            since < heal.at and now < heal.at + heal.stall_seconds * stall_share for heal in heals
        )

    def _install_link(self, process: Any) -> None:
        """Give a node a new link policy; its open connections and dials keep the previous one."""
        node = process.node
        policy = _PartitionedLink(self, node.zone, self._random.random())
        # The product takes no link policy in its settings.
        node._network._link_policy = node._network._dialer._link_policy = policy

    def _names(self, zone: str) -> list[str]:
        names = self._deployment.node_names
        return [name for name in names if self._deployment.zone(name) == zone]

    def _servers(self, zone: str) -> list[PlatformServer]:
        servers = [*self._deployment.engines, *self._deployment.applications]
        return [server for server in servers if server.zone == zone]

    def _expire_entries(self, zone: str, last_heal: _Heal | None) -> None:
        """Remove the entries of a zone's servers if its partition lasts."""
        if self.zone != zone or self._heals.get(zone) is not last_heal:
            return
        for server in self._servers(zone):
            self._deployment.store.objects.remove("servers", server.server_id)

    def _write_entry(self, server: PlatformServer) -> None:
        """Write a server's entry, as its heartbeat does, unless its zone is cut off again."""
        if server.zone != self.zone:
            server.report_state()


class _PartitionedLink(LinkPolicy):
    """Link policy of a node's connections that were opened during a part of the run."""

    def __init__(self, partitions: Partitions, zone: str, stall_share: float) -> None:
        self._partitions = partitions
        self._zone = zone
        self._stall_share = stall_share
        self._since = steady_seconds()

    def is_partitioned(self, zone: str) -> bool:
        if self._partitions.separates(self._zone, zone):
            return True
        return self._partitions.stalls(self._zone, zone, self._since, self._stall_share)
