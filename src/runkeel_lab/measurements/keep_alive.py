"""A lean keep-alive HTTP/1.1 client, so that the client costs little beside what it measures."""

from __future__ import annotations

from gevent import socket

from runkeel.api.machines import Address

_RECEIVE_BYTES = 65_536
_HEAD_END = b"\r\n\r\n"


class KeepAliveConnection:
    """One connection. Answers must carry Content-Length or be chunked."""

    def __init__(self, address: Address) -> None:
        self._socket = socket.create_connection((address.host, address.port), timeout=30)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = b""

    def get(self, target: str) -> int:
        """Send a GET and return the status after the whole answer."""
        request = f"GET {target} HTTP/1.1\r\nHost: lab\r\n\r\n"
        self._socket.sendall(request.encode())
        head = self._read_head()
        length = int(_header(head, b"content-length"))
        while len(self._buffer) < length:
            self._receive()
        self._buffer = self._buffer[length:]
        return int(head[9:12])

    def stream(self, target: str, body: bytes) -> tuple[int, int]:
        """Post and read a chunked answer to its end; return its status and number of events."""
        head = f"POST {target} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(body)}\r\n\r\n"
        self._socket.sendall(head.encode() + body)
        answer = self._read_head()
        if b"transfer-encoding: chunked" not in answer.lower():
            raise OSError(f"not streamed: {answer[:200]!r} {self._buffer[:400]!r}")
        events = 0
        tail = self._buffer
        self._buffer = b""
        events += tail.count(b"data: {")
        while not tail.endswith(b"0\r\n\r\n"):
            part = self._socket.recv(_RECEIVE_BYTES)
            if not part:
                raise OSError("the connection was closed in mid-answer")
            events += part.count(b"data: {")
            tail = (tail + part)[-16:]
        return int(answer[9:12]), events

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _read_head(self) -> bytes:
        while _HEAD_END not in self._buffer:
            self._receive()
        head, self._buffer = self._buffer.split(_HEAD_END, 1)
        return head

    def _receive(self) -> None:
        part = self._socket.recv(_RECEIVE_BYTES)
        if not part:
            raise OSError("the connection was closed in mid-answer")
        self._buffer += part


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    raise OSError(f"no header {name.decode()}")
