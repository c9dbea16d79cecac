"""Asks the coordinator, and other nodes, what they do and know: one kind of message, a ping."""

from __future__ import annotations

from collections.abc import Iterable

import gevent

from runkeel.errors import RunkeelError
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.jobs.ttypes import CoordinatorPing, CoordinatorPong, NodeAddress
from runkeel.wire.network import PeerNetwork

PING_TIMEOUT_SECONDS = 0.35
"""Longest wait for the answer to a ping."""


class PingSender:
    """Pings other nodes in this one's name.

    Attributes:
        own_address: where this node is reached; told with each ping.
        neighbours_digest: of the neighbours that this node was told; it is told others if they
            differ from the coordinator's view.
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
        """Ping a node; None without an answer.

        Args:
            epoch: the latest term that this node knows.
            coordinating: this node coordinates in that term.
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

    def ping_all(self, node_ids: Iterable[str], epoch: int) -> dict[str, CoordinatorPong]:
        """Ping nodes all at once; returns who answered what."""
        asked = {one: gevent.spawn(self.ping, one, epoch) for one in node_ids}
        gevent.joinall(list(asked.values()), timeout=PING_TIMEOUT_SECONDS)
        return {one: task.value for one, task in asked.items() if task.value is not None}
