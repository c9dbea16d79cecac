"""Sends pings, whose answers report the state of the coordinator or of another node."""

from __future__ import annotations

from collections.abc import Iterable

import gevent

from runkeel.errors import RunkeelError
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import CoordinatorPing, CoordinatorPong, NodeAddress
from runkeel.wire.network import PeerNetwork

PING_TIMEOUT_SECONDS = 0.35


class PingSender:
    """Sends this node's pings.

    Attributes:
        own_address: address at which peers reach this node; sent with each ping.
        neighbours_digest: digest of this node's overlay neighbours; the coordinator answers with
            the neighbours if they differ.
    """

    def __init__(
        self, network: PeerNetwork, shard: str, preferred: bool, own_address: NodeAddress
    ) -> None:
        self._network = network
        self._shard = shard
        self._preferred = preferred
        self.own_address = own_address
        self.neighbours_digest = 0

    def ping(self, node_id: str, epoch: int, coordinating: bool = False) -> CoordinatorPong | None:
        """Ping a node; returns None if it does not answer.

        Args:
            epoch: epoch of the latest term known to this node.
            coordinating: whether this node coordinates in that term.
        """
        message = CoordinatorPing(
            self._shard,
            epoch,
            self._preferred,
            self.own_address,
            coordinating,
            self.neighbours_digest,
        )
        try:
            return self._network.call(
                node_id,
                MessageType.COORDINATOR_PING,
                message,
                CoordinatorPong,
                PING_TIMEOUT_SECONDS,
            )
        except RunkeelError:
            return None

    def ping_anew(self, node_id: str, epoch: int) -> CoordinatorPong | None:
        """Ping a node on a new connection; returns None if it does not answer."""
        self._network.reconnect(node_id)
        return self.ping(node_id, epoch)

    def ping_all(self, node_ids: Iterable[str], epoch: int) -> dict[str, CoordinatorPong]:
        """Ping nodes concurrently; returns the answers by node."""
        tasks = {one: gevent.spawn(self.ping, one, epoch) for one in node_ids}
        gevent.joinall(list(tasks.values()), timeout=PING_TIMEOUT_SECONDS)
        return {one: task.value for one, task in tasks.items() if task.value is not None}
