"""Calls and streams between the nodes of a cluster."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from loguru import logger

from runkeel.api.machines import Address
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.wire import metrics
from runkeel.wire.codec import decode, encode
from runkeel.wire.connection import Connection
from runkeel.wire.dialing import DIAL_TIMEOUT_SECONDS, AddressBook, Dialer
from runkeel.wire.frames import FINISH
from runkeel.wire.handlers import HandlerRegistry
from runkeel.wire.handshake import (
    HandshakeSocket,
    LocalIdentity,
    accept_handshake,
    receive_hello,
)
from runkeel.wire.links import LinkPolicy
from runkeel.wire.local import open_local_stream
from runkeel.wire.streams import Stream

MAX_ACCEPTED_CONNECTIONS = 2_048
MAX_PENDING_HANDSHAKES = 64
HANDSHAKE_TIMEOUT_SECONDS = 2.0
CHECK_INTERVAL_SECONDS = 0.25
"""Interval of the liveness checks of all connections."""

LISTEN_BACKLOG = 256
_MAX_CHECK_DELAY_SECONDS = 1.0
"""Delay of a liveness check above which this process is assumed to have been paused."""

_ACCEPT_RETRY_SECONDS = 0.5
_PARTITION_POLL_SECONDS = 0.05


class PeerNetwork:
    """A node's connections to its peers, the calls and streams on them, and their handlers.

    Args:
        cluster_key: secret shared by the cluster's nodes; must not be empty.
        listen_address: port 0 lets the kernel choose; see :attr:`address`.
        address_book: queried for every call, so that address changes take effect.
        link_policy: delays and partitions that tests emulate between zones; None: neither.
    """

    def __init__(
        self,
        node_id: str,
        zone: str,
        cluster_name: str,
        cluster_key: bytes,
        incarnation: int,
        listen_address: Address,
        address_book: AddressBook,
        link_policy: LinkPolicy | None = None,
    ) -> None:
        if not cluster_key:
            raise ValueError("cluster_key must not be empty")
        self._identity = LocalIdentity(cluster_name, cluster_key, node_id, zone, incarnation)
        self._link_policy = link_policy or LinkPolicy()
        self._registry = HandlerRegistry()
        self._dialer = Dialer(self._identity, address_book, self._link_policy)
        self._accepted: set[Connection] = set()
        self._handshakes: set[gevent.Greenlet] = set()
        self._listen_address = listen_address
        self._listener: socket.socket | None = None
        self._tasks: list[gevent.Greenlet] = []

    @property
    def address(self) -> Address:
        """Address that peers connect to; the port is known after :meth:`start`."""
        if self._listener is None:
            return self._listen_address
        host, port = self._listener.getsockname()[:2]
        return Address(host, port)

    def start(self) -> None:
        """Listen for peers. Raises OSError when the address can't be bound."""
        address = (self._listen_address.host, self._listen_address.port)
        self._listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self._tasks = [gevent.spawn(self._accept_loop), gevent.spawn(self._check_connections)]

    def stop(self) -> None:
        """Stop listening, end the handlers and close all connections."""
        gevent.killall([*self._tasks, *self._handshakes], timeout=1.0)
        if self._listener is not None:
            self._listener.close()
        self._registry.stop()
        self._dialer.stop()
        for connection in list(self._accepted):
            connection.close("this node is stopping")

    def on_call(
        self, message_type: int, request_class: type, handler: Callable[[str, Any], tuple[int, Any]]
    ) -> None:
        """Register ``handler(peer_node_id, request) -> (reply type, reply)``, run in its own task.

        The handler runs to completion even if the caller cancels; its reply is then discarded.
        """
        self._registry.on_call(message_type, request_class, handler)

    def on_stream(
        self, message_type: int, request_class: type, handler: Callable[[Stream, Any], None]
    ) -> None:
        """Register ``handler(stream, first_message)``, run in its own task."""
        self._registry.on_stream(message_type, request_class, handler)

    def call(
        self,
        node_id: str,
        message_type: int,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Any:
        """Send a request and return its reply.

        Raises:
            RunkeelError: with verdict NOT_RUN if nothing was sent: PEER_UNREACHABLE, QUEUE_FULL,
                DEADLINE_EXCEEDED or PROTOCOL_ERROR; otherwise with MAY_HAVE_RUN: PEER_LOST,
                DEADLINE_EXCEEDED or PROTOCOL_ERROR; or the error that the peer reported.
        """
        deadline = steady_seconds() + timeout_seconds
        stream = self._open_to(node_id, message_type, message, deadline)
        try:
            reply_type, body = stream.receive(deadline - steady_seconds())
        except BaseException as error:
            timed_out = isinstance(error, RunkeelError) and not stream.cancelled
            stream.cancel()
            if timed_out and stream.withdrawn:
                raise not_run(
                    ErrorCode.DEADLINE_EXCEEDED, "timed out before the request was sent"
                ) from None
            raise
        stream.release()
        if reply_type == FINISH:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "the peer sent no reply")
        return decode(reply_class, body)

    def reconnect(self, node_id: str) -> None:
        """Use a new connection for the next call to a peer, without waiting for the backoff.

        For use after a partition: the old connection, or a dial that began meanwhile, may not
        recover for seconds. Calls in flight on the old connection fail.
        """
        self._dialer.discard(node_id)

    def open_stream(self, node_id: str, message_type: int, message: Any) -> Stream:
        """Open a stream with its first message.

        Raises the NOT_RUN errors of :meth:`call`, except DEADLINE_EXCEEDED.
        """
        return self._open_to(
            node_id, message_type, message, steady_seconds() + DIAL_TIMEOUT_SECONDS
        )

    def _open_to(self, node_id: str, message_type: int, message: Any, deadline: float) -> Stream:
        try:
            body = encode(message)
        except RunkeelError as error:
            raise not_run(error.code, error.detail) from error
        if node_id == self._identity.node_id:
            return open_local_stream(self._registry, node_id, message_type, body)
        return self._dialer.connection(node_id, deadline).open_stream(message_type, body)

    def _accept_loop(self) -> None:
        while True:
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                # For example EMFILE: retry once other descriptors have been closed.
                logger.warning("accepting peer connections failed: {}", error, code="accept_failed")
                gevent.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            self._start_handshake(sock, address)

    def _start_handshake(self, sock: socket.socket, address: tuple) -> None:
        too_many_handshakes = len(self._handshakes) >= MAX_PENDING_HANDSHAKES
        if too_many_handshakes or len(self._accepted) >= MAX_ACCEPTED_CONNECTIONS:
            metrics.HANDSHAKES_REFUSED.labels("limit").inc()
            sock.close()
            return
        task = gevent.spawn(self._accept, sock, address)
        self._handshakes.add(task)
        task.rawlink(self._handshakes.discard)

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_SECONDS):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection = self._authenticate(sock)
        except (OSError, RunkeelError, gevent.Timeout) as error:
            metrics.HANDSHAKES_REFUSED.labels("failed").inc()
            logger.debug(
                "peer handshake failed: {}", error, code=ErrorCode.PROTOCOL_ERROR, peer=address
            )
            sock.close()
            return
        except BaseException:
            sock.close()
            raise
        self._accepted.add(connection)
        connection.start()
        self._dialer.reset_backoff(connection.peer_node_id)

    def _authenticate(self, sock: socket.socket) -> Connection:
        link = HandshakeSocket(sock)
        hello = receive_hello(link, self._identity)
        policy = self._link_policy if hello.zone != self._identity.zone else None
        delay = 0.0
        while policy is not None and policy.is_partitioned(hello.zone):
            gevent.sleep(_PARTITION_POLL_SECONDS)
        if policy is not None:
            delay = policy.delay_seconds(hello.zone)
        accept_handshake(link, self._identity, hello, delay)
        return Connection(
            sock, hello.node_id, hello.zone, policy, self._registry, self._accepted.discard
        )

    def _check_connections(self) -> None:
        """Check all connections periodically.

        After a pause of this process the peers' timeouts restart, as their messages may not have
        been read yet.
        """
        last = steady_seconds()
        while True:
            gevent.sleep(CHECK_INTERVAL_SECONDS)
            now = steady_seconds()
            paused = now - last > CHECK_INTERVAL_SECONDS + _MAX_CHECK_DELAY_SECONDS
            last = now
            for connection in [*self._accepted, *self._dialer.connections()]:
                if paused:
                    connection.restart_peer_timeout(now)
                else:
                    connection.check_liveness(now)
