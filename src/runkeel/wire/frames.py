"""Frames of a peer connection: length, stream id, message type, body.

The length (four bytes, big-endian) counts what follows it. Stream 0 belongs to the connection.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.wire.codec import MAXIMUM_BODY_BYTES

CONNECTION_STREAM = 0
"""Stream id of frames that concern the connection itself."""

FINISH = 0
"""Message type that ends one direction of a stream; it has no body."""

_HEADER = struct.Struct(">IQH")
_LENGTH_BYTES = 4
_OVERHEAD_AFTER_LENGTH = _HEADER.size - _LENGTH_BYTES


class Frame(NamedTuple):
    """One received frame."""

    stream_id: int
    message_type: int
    body: bytes


def encode_frame(stream_id: int, message_type: int, body: bytes) -> bytes:
    """Return a frame's bytes."""
    return _HEADER.pack(len(body) + _OVERHEAD_AFTER_LENGTH, stream_id, message_type) + body


class FrameDecoder:
    """Cuts a byte stream into frames."""

    def __init__(self, maximum_body_bytes: int = MAXIMUM_BODY_BYTES) -> None:
        self.maximum_body_bytes = maximum_body_bytes
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> Iterator[Frame]:
        """Add received bytes and yield the frames that they complete.

        Raises:
            RunkeelError: PROTOCOL_ERROR when a frame's length is out of range.
        """
        self._buffer += chunk
        offset = 0
        try:
            while len(self._buffer) - offset >= _HEADER.size:
                length, stream_id, message_type = _HEADER.unpack_from(self._buffer, offset)
                self._check_length(length)
                end = offset + _LENGTH_BYTES + length
                if len(self._buffer) < end:
                    break
                body = bytes(self._buffer[offset + _HEADER.size : end])
                offset = end
                yield Frame(stream_id, message_type, body)
        finally:
            del self._buffer[:offset]

    def _check_length(self, length: int) -> None:
        body_bytes = length - _OVERHEAD_AFTER_LENGTH
        if not 0 <= body_bytes <= self.maximum_body_bytes:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"frame length {length} is out of range")
