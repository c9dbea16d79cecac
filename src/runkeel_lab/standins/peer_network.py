"""In-memory peer network: several nodes in one process, with injected partitions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from runkeel.errors import ErrorCode, may_have_run, not_run

Handler = Callable[[str, Any], tuple[int, Any]]


class MemoryNetwork:
    """Message handlers of all nodes, and the partitions between them.

    Attributes:
        unreachable: calls from and to these nodes fail at once.
        unresponsive: nodes that never reply; calls to them time out.
    """

    def __init__(self) -> None:
        self.unreachable: set[str] = set()
        self.unresponsive: set[str] = set()
        self._partitions: set[frozenset[str]] = set()
        self._stale: set[frozenset[str]] = set()
        """Pairs of nodes between which calls fail until one of them reconnects."""
        self._handlers: dict[tuple[str, int], Handler] = {}

    def node(self, node_id: str) -> NodeNetwork:
        """Return the network as seen from one node."""
        return NodeNetwork(self, node_id)

    def cut(self, one: str, other: str) -> None:
        """Partition two nodes from each other."""
        self._partitions.add(frozenset((one, other)))

    def heal(self) -> None:
        """Remove all partitions."""
        self._partitions.clear()

    def heal_without_reconnecting(self) -> None:
        """Remove all partitions; calls across them fail until one of the nodes reconnects."""
        self._stale.update(self._partitions)
        self._partitions.clear()

    def reconnect(self, caller: str, node_id: str) -> None:
        """Replace the connection between two nodes."""
        self._stale.discard(frozenset((caller, node_id)))

    def register(self, node_id: str, message_type: int, handler: Handler) -> None:
        """Register a node's handler for a message type."""
        self._handlers[node_id, message_type] = handler

    def call(self, caller: str, node_id: str, message_type: int, message: Any) -> Any:
        """Deliver a message to a node and return its reply."""
        gevent.sleep(0)
        handler = self._handlers.get((node_id, message_type))
        pair = frozenset((caller, node_id))
        unreachable = pair in self._partitions or pair in self._stale or node_id in self.unreachable
        if handler is None or unreachable or caller in self.unreachable:
            raise not_run(ErrorCode.PEER_UNREACHABLE, node_id)
        return handler(caller, message)[1]


class NodeNetwork:
    """The subset of :class:`runkeel.wire.network.PeerNetwork` that callers use, for one node."""

    def __init__(self, network: MemoryNetwork, node_id: str) -> None:
        self._network = network
        self._node_id = node_id

    def on_call(self, message_type: int, request_class: type, handler: Handler) -> None:
        self._network.register(self._node_id, message_type, handler)

    def call(
        self,
        node_id: str,
        message_type: int,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Any:
        if node_id in self._network.unresponsive:
            gevent.sleep(timeout_seconds)
            raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, f"{timeout_seconds} s")
        return self._network.call(self._node_id, node_id, message_type, message)

    def reconnect(self, node_id: str) -> None:
        self._network.reconnect(self._node_id, node_id)
