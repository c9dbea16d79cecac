"""A server that sends bytes without end, from a native thread."""

from __future__ import annotations

import socket
import time

import gevent.monkey
from gevent.threadpool import ThreadPool

MAX_FLOOD_SECONDS = 4.0
"""Time after which the server closes, so that a client that never gives up ends as well."""

SEND_BYTES = 64 * 1024


class FloodingServer:
    """Answers each connection with ``head``, then ``endless`` again and again, at full speed."""

    def __init__(self, head: bytes, endless: bytes) -> None:
        self.sent_bytes = 0
        self._stopped = False
        self._head = head
        self._endless = endless * max(1, SEND_BYTES // len(endless))
        # A greenlet would send only while the client waits.
        self._socket_class = gevent.monkey.get_original("socket", "socket")
        self._listener = self._socket_class(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(8)
        self.port = self._listener.getsockname()[1]
        self._threads = ThreadPool(1)
        self._threads.spawn(self._serve)

    def stop(self) -> None:
        """Stop once the current connection has ended."""
        self._stopped = True
        with self._socket_class(socket.AF_INET, socket.SOCK_STREAM) as waker:
            waker.connect(self._listener.getsockname())
        self._threads.join()
        self._threads.kill()
        self._listener.close()

    def _serve(self) -> None:
        try:
            while not self._stopped:
                connection, _ = self._listener.accept()
                with connection:
                    self._flood(connection)
        except OSError:
            return

    def _flood(self, connection: socket.socket) -> None:
        end = time.monotonic() + MAX_FLOOD_SECONDS
        connection.settimeout(MAX_FLOOD_SECONDS)
        try:
            connection.recv(65_536)
            connection.sendall(self._head)
            while time.monotonic() < end:
                connection.sendall(self._endless)
                self.sent_bytes += len(self._endless)
        except OSError:
            return
