"""A peer network in memory: several nodes in one process, with cuts between them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from runkeel.errors import ErrorCode, may_have_run, not_run

Handler = Callable[[str, Any], tuple[int, Any]]


class MemoryNetwork:
    """All nodes' handlers, and which nodes don't reach each other.

    Attributes:
        silent: nodes that are not reached; callers learn so at once.
        dark: nodes that say nothing; callers wait in vain.
    """

    def __init__(self) -> None:
        self.silent: set[str] = set()
        self.dark: set[str] = set()
        self._cuts: set[frozenset[str]] = set()
        self._handlers: dict[tuple[str, int], Handler] = {}

    def node(self, node_id: str) -> NodeNetwork:
        """Return the network as one node sees it."""
        return NodeNetwork(self, node_id)

    def cut(self, one: str, other: str) -> None:
        """Cut two nodes from each other."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def register(self, node_id: str, message_type: int, handler: Handler) -> None:
        """Take a node's handler."""
        self._handlers[node_id, message_type] = handler

    def call(self, caller: str, node_id: str, message_type: int, message: Any) -> Any:
        """Have a node handle a message, unless it can't be reached."""
        gevent.sleep(0)
        handler = self._handlers.get((node_id, message_type))
        unreachable = frozenset((caller, node_id)) in self._cuts or node_id in self.silent
        if handler is None or unreachable or caller in self.silent:
            raise not_run(ErrorCode.PEER_UNREACHABLE, node_id)
        return handler(caller, message)[1]


class NodeNetwork:
    """The part of :class:`runkeel.wire.network.PeerNetwork` that calls need."""

    def __init__(self, network: MemoryNetwork, node_id: str) -> None:
        self._network = network
        self._node_id = node_id

    def on_call(self, message_type: int, request_class: type, handler: Handler) -> None:
        """Register a handler."""
        self._network.register(self._node_id, message_type, handler)

    def call(
        self,
        node_id: str,
        message_type: int,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Any:
        """Call another node."""
        if node_id in self._network.dark:
            gevent.sleep(timeout_seconds)
            raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, f"{timeout_seconds} s")
        return self._network.call(self._node_id, node_id, message_type, message)
