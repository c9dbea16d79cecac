"""In-memory connections between a node, its coordinators and the store that may stall."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from runkeel.api.documents import (
    CALL_TIMEOUT_SECONDS,
    DocumentChanges,
    DocumentKind,
    DocumentList,
    Freshness,
)
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, may_have_run, not_run
from runkeel.wire.codec import decode, encode
from runkeel_lab.standins.document_store import MemoryDocumentStore

STORE_MARGIN_SECONDS = 0.7
"""Timeout of a watch of the store, in addition to its wait."""


class StallingLink:
    """A link whose messages wait until it no longer stalls."""

    def __init__(self) -> None:
        self._stalled_until = 0.0
        self._delay_seconds = 0.0

    def stall(self, seconds: float, delay_seconds: float) -> None:
        """Hold all messages back for a time, and delay each by a further time."""
        self._stalled_until = max(self._stalled_until, steady_seconds() + seconds)
        self._delay_seconds = delay_seconds

    def cross(self) -> None:
        """Return once a message that is sent now has arrived."""
        while (remaining := self._stalled_until - steady_seconds()) > 0:
            gevent.sleep(remaining)
            gevent.sleep(self._delay_seconds)


class StallingStore:
    """A coordinator's connection to the store, over a link that may stall."""

    def __init__(self, store: MemoryDocumentStore, link: StallingLink) -> None:
        self._store = store
        self._link = link

    def list(
        self,
        kind: DocumentKind,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        freshness: Freshness = Freshness.CURRENT,
    ) -> DocumentList:
        """Return all documents of a kind."""
        return self._call(timeout_seconds, self._store.list, kind, timeout_seconds, freshness)

    def watch(self, kind: DocumentKind, revision: int, wait_seconds: float) -> DocumentChanges:
        """Wait for changes of a kind after a revision."""
        timeout_seconds = wait_seconds + STORE_MARGIN_SECONDS
        return self._call(timeout_seconds, self._store.watch, kind, revision, wait_seconds)

    def _call(self, timeout_seconds: float, method: Callable, *arguments: Any) -> Any:
        task = gevent.spawn(_call_over, self._link, method, *arguments)
        try:
            return task.get(timeout=timeout_seconds)
        except gevent.Timeout:
            raise not_run(ErrorCode.STORE_UNAVAILABLE, f"{timeout_seconds} s") from None


def _call_over(link: StallingLink, method: Callable, *arguments: Any) -> Any:
    link.cross()
    outcome = method(*arguments)
    link.cross()
    return outcome


class StallingNetwork:
    """A node's peer network over links that may stall; messages are encoded as on the wire.

    Args:
        node_id: name of this node.
        links: the links to the other nodes, by name.

    Attributes:
        calls: number of calls.
    """

    def __init__(self, node_id: str, links: dict[str, StallingLink]) -> None:
        self._node_id = node_id
        self._links = links
        self._handlers: dict[str, Callable] = {}
        self.calls = 0

    def handlers_of(self, node_id: str) -> HandlerRegistry:
        """Return the part of the network with which a node registers its handlers."""
        return HandlerRegistry(node_id, self._handlers)

    def call(
        self,
        node_id: str,
        message_type: int,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Any:
        """Send a request to a coordinator and return its reply."""
        self.calls += 1
        received = decode(type(message), encode(message))
        task = gevent.spawn(
            _call_over, self._links[node_id], self._handlers[node_id], self._node_id, received
        )
        try:
            _, reply = task.get(timeout=timeout_seconds)
        except gevent.Timeout:
            raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, f"{timeout_seconds} s") from None
        return decode(reply_class, encode(reply))


class HandlerRegistry:
    """Registers the handler of a node, which has only one."""

    def __init__(self, node_id: str, handlers: dict[str, Callable]) -> None:
        self._node_id = node_id
        self._handlers = handlers

    def on_call(self, message_type: int, request_class: type, handler: Callable) -> None:
        self._handlers[self._node_id] = handler
