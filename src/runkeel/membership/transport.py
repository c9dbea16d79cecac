"""Sends and receives datagrams over UDP."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from loguru import logger

from runkeel.api.machines import Address
from runkeel.errors import RunkeelError
from runkeel.membership import metrics
from runkeel.membership.datagrams import MAXIMUM_DATAGRAM_BYTES, DatagramCodec
from runkeel.wire.generated.membership.ttypes import Datagram, DatagramKind
from runkeel.wire.links import LinkPolicy

MAXIMUM_DELAYED_DATAGRAMS = 4_096
_DATAGRAMS_PER_TURN = 32
_RECEIVE_RETRY_SECONDS = 0.1
_KIND_NAMES = {value: name.lower() for value, name in DatagramKind._VALUES_TO_NAMES.items()}


@dataclass(slots=True)
class Traffic:
    """UDP payload bytes and datagrams of one node."""

    bytes_sent: int = 0
    bytes_received: int = 0
    datagrams_sent: int = 0
    datagrams_received: int = 0


class DatagramTransport:
    """A UDP socket with authentication and the emulated links between zones.

    Args:
        receive: called with each authentic datagram and its source; must not block.
    """

    def __init__(
        self,
        zone: str,
        listen_address: Address,
        codec: DatagramCodec,
        link_policy: LinkPolicy,
        receive: Callable[[Datagram, Address], None],
    ) -> None:
        self.traffic = Traffic()
        self._zone = zone
        self._listen_address = listen_address
        self._codec = codec
        self._link_policy = link_policy
        self._receive = receive
        self._socket: socket.socket | None = None
        self._task: gevent.Greenlet | None = None
        self._delayed: set[gevent.Greenlet] = set()

    def bind(self) -> Address:
        """Bind the socket and return its address. Raises OSError."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self._listen_address.host, self._listen_address.port))
        host, port = self._socket.getsockname()[:2]
        return Address(host, port)

    def start(self) -> None:
        """Start to receive."""
        self._task = gevent.spawn(self._receive_all)

    def stop(self) -> None:
        """Stop to receive and drop what is delayed."""
        gevent.killall([task for task in (self._task, *self._delayed) if task], timeout=1.0)
        if self._socket is not None:
            self._socket.close()

    def send(self, datagram: Datagram, targets: list[tuple[Address, str | None]]) -> int:
        """Send one datagram to targets, given as address and zone (None: unknown).

        Datagrams may be lost, so no error is raised. Returns the payload's bytes.
        """
        if not targets:
            return 0
        try:
            data = self._codec.seal(datagram)
        except RunkeelError:
            metrics.DATAGRAMS_IGNORED.labels("too_large").inc()
            return 0
        for address, zone in targets:
            self._send_over_link(data, address, zone)
        kind = _KIND_NAMES[datagram.kind]
        metrics.DATAGRAMS_SENT.labels(kind).inc(len(targets))
        metrics.BYTES_SENT.labels(kind).inc(len(targets) * len(data))
        return len(data)

    def _send_over_link(self, data: bytes, address: Address, zone: str | None) -> None:
        if zone is None or zone == self._zone:
            self._send_now(data, address)
            return
        if self._link_policy.is_cut(zone):
            return
        delay = self._link_policy.delay_seconds(zone)
        if not delay:
            self._send_now(data, address)
        elif len(self._delayed) < MAXIMUM_DELAYED_DATAGRAMS:
            task = gevent.spawn_later(delay, self._send_now, data, address)
            self._delayed.add(task)
            task.rawlink(self._delayed.discard)

    def _send_now(self, data: bytes, address: Address) -> None:
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            metrics.DATAGRAMS_IGNORED.labels("send_failed").inc()
            return
        self.traffic.bytes_sent += len(data)
        self.traffic.datagrams_sent += 1

    def _receive_all(self) -> None:
        received = 0
        while True:
            try:
                data, source = self._socket.recvfrom(MAXIMUM_DATAGRAM_BYTES + 1)
            except OSError:
                # An ICMP error of an earlier send is reported here.
                gevent.sleep(_RECEIVE_RETRY_SECONDS)
                continue
            self._take(data, Address(source[0], source[1]))
            received += 1
            if received % _DATAGRAMS_PER_TURN == 0:
                gevent.sleep(0)

    def _take(self, data: bytes, source: Address) -> None:
        self.traffic.bytes_received += len(data)
        self.traffic.datagrams_received += 1
        metrics.BYTES_RECEIVED.inc(len(data))
        try:
            datagram = self._codec.open(data)
            self._receive(datagram, source)
        except RunkeelError:
            metrics.DATAGRAMS_IGNORED.labels("garbage").inc()
        except Exception as error:
            # An authentic datagram that lacks a field which its kind needs, or a fault of ours:
            # neither may end the receiving task.
            metrics.DATAGRAMS_IGNORED.labels("malformed").inc()
            logger.opt(exception=error).error("datagram failed", code="internal")


def monotonic() -> float:
    """Return monotonic seconds; one place, so that tests can stop the clock."""
    return time.monotonic()
