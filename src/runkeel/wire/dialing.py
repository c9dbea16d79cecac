"""Outbound connections: at most one to each peer, opened on demand, with backoff."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.event import Event

from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.wire import metrics
from runkeel.wire.connection import Connection
from runkeel.wire.handshake import HandshakeSocket, LocalIdentity, dial_handshake
from runkeel.wire.links import LinkPolicy

AddressBook = Callable[[str], "tuple[Address, str] | None"]
"""Looks up a node's peer address and zone; None for an unknown node."""

DIAL_TIMEOUT_SECONDS = 2.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_PEERS = 2_048
"""Maximum number of peers whose state is kept; at the limit, disconnected ones are evicted."""

_PARTITION_POLL_SECONDS = 0.05


@dataclass
class _Peer:
    """Connection state of one peer; ``dial_done`` is an event while a dial is in progress."""

    address: Address
    zone: str
    connection: Connection | None = None
    dial_done: Event | None = None
    failures: int = 0
    retry_at: float = 0.0


class Dialer:
    """Keeps the outbound connections of a node."""

    def __init__(
        self, identity: LocalIdentity, address_book: AddressBook, link_policy: LinkPolicy
    ) -> None:
        self._identity = identity
        self._address_book = address_book
        self._link_policy = link_policy
        self._peers: dict[str, _Peer] = {}
        self._dial_tasks: set[gevent.Greenlet] = set()
        self._stopped = False

    def connection(self, node_id: str, deadline: float) -> Connection:
        """Return the connection to a peer, opening one if there is none.

        Raises:
            RunkeelError: PEER_UNREACHABLE or QUEUE_FULL, both NOT_RUN. Raised immediately while
                the peer is in backoff.
        """
        while True:
            peer = self._peer(node_id)
            if peer.connection is not None:
                return peer.connection
            if peer.dial_done is None:
                self._start_dial(node_id, peer)
            dial_done = peer.dial_done
            failures = peer.failures
            if not dial_done.wait(max(0.0, deadline - steady_seconds())):
                raise not_run(ErrorCode.PEER_UNREACHABLE, f"connecting to {node_id} timed out")
            if peer.connection is None and peer.failures > failures:
                raise self._unreachable(node_id, peer)

    def connections(self) -> list[Connection]:
        """Return the open connections."""
        return [peer.connection for peer in self._peers.values() if peer.connection is not None]

    def reset_backoff(self, node_id: str) -> None:
        """Allow an immediate dial, because the peer is known to be alive."""
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.retry_at = 0.0

    def discard(self, node_id: str) -> None:
        """Drop a peer's connection, pending dial and backoff, so that the next call dials.

        Calls that wait for the pending dial use the new one.
        """
        peer = self._peers.pop(node_id, None)
        if peer is None:
            return
        if peer.connection is not None:
            peer.connection.close("replaced by a new connection")
        if peer.dial_done is not None:
            peer.dial_done.set()

    def stop(self) -> None:
        """Close all connections and cancel pending dials."""
        self._stopped = True
        gevent.killall(list(self._dial_tasks), timeout=1.0)
        for connection in self.connections():
            connection.close("this node is stopping")

    def _peer(self, node_id: str) -> _Peer:
        entry = self._address_book(node_id)
        if entry is None or self._stopped:
            raise not_run(
                ErrorCode.PEER_UNREACHABLE,
                f"no address known for {node_id}, or this node is stopping",
            )
        address, zone = entry
        peer = self._peers.get(node_id)
        if peer is not None and (peer.address, peer.zone) == (address, zone):
            return peer
        if peer is not None and peer.connection is not None:
            peer.connection.close("the address of the peer has changed")
        self._evict_disconnected_peers()
        peer = _Peer(address, zone)
        self._peers[node_id] = peer
        return peer

    def _evict_disconnected_peers(self) -> None:
        if len(self._peers) < MAX_PEERS:
            return
        for node_id, peer in list(self._peers.items()):
            if peer.connection is None and peer.dial_done is None:
                del self._peers[node_id]
        if len(self._peers) >= MAX_PEERS:
            raise not_run(ErrorCode.QUEUE_FULL, "too many connected peers")

    def _start_dial(self, node_id: str, peer: _Peer) -> None:
        if steady_seconds() < peer.retry_at:
            raise self._unreachable(node_id, peer)
        peer.dial_done = Event()
        task = gevent.spawn(self._dial, node_id, peer)
        self._dial_tasks.add(task)
        task.rawlink(self._dial_tasks.discard)

    def _unreachable(self, node_id: str, peer: _Peer) -> RunkeelError:
        retry_after = max(0.0, peer.retry_at - steady_seconds())
        return not_run(ErrorCode.PEER_UNREACHABLE, f"can't connect to {node_id}", retry_after)

    def _dial(self, node_id: str, peer: _Peer) -> None:
        try:
            with gevent.Timeout(DIAL_TIMEOUT_SECONDS):
                connection = self._connect(node_id, peer)
        except (OSError, RunkeelError, gevent.Timeout):
            metrics.DIAL_FAILURES.inc()
            self._back_off(peer)
        else:
            # The address may have changed during the dial.
            if self._peers.get(node_id) is peer and not self._stopped:
                peer.connection = connection
                peer.failures = 0
                connection.start()
            else:
                connection.discard()
        finally:
            dial_done, peer.dial_done = peer.dial_done, None
            dial_done.set()

    def _back_off(self, peer: _Peer) -> None:
        backoff = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2 ** min(peer.failures, 10))
        peer.failures += 1
        peer.retry_at = steady_seconds() + backoff * random.uniform(0.5, 1.0)

    def _connect(self, node_id: str, peer: _Peer) -> Connection:
        policy = self._link_policy if peer.zone != self._identity.zone else None
        delay = 0.0
        while policy is not None and policy.is_partitioned(peer.zone):
            gevent.sleep(_PARTITION_POLL_SECONDS)
        if policy is not None:
            delay = policy.delay_seconds(peer.zone)
        sock = socket.create_connection((peer.address.host, peer.address.port))
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            hello = dial_handshake(HandshakeSocket(sock), self._identity, node_id, delay)
        except BaseException:
            sock.close()
            raise
        return Connection(sock, hello.node_id, hello.zone, policy, None, self._on_closed)

    def _on_closed(self, connection: Connection) -> None:
        peer = self._peers.get(connection.peer_node_id)
        if peer is not None and peer.connection is connection:
            peer.connection = None
