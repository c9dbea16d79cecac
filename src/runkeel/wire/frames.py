"""Frames of a peer connection: length, stream id, message type, body.

The length (four bytes, big-endian) excludes itself. Stream 0 belongs to the connection. Large
bodies are compressed to reduce traffic between zones; a flag in the message type marks them.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.wire.codec import MAX_BODY_BYTES

CONNECTION_STREAM = 0
"""Stream id of frames that concern the connection itself."""

FINISH = 0
"""Message type that ends one direction of a stream; it has no body."""

COMPRESSED_FLAG = 0x8000
"""Flag in the message type of a frame whose body is compressed (zlib)."""

MIN_COMPRESSED_BYTES = 512
"""Smallest body that is compressed, in bytes."""

_COMPRESSION_LEVEL = 1
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
    if len(body) >= MIN_COMPRESSED_BYTES:
        compressed = zlib.compress(body, _COMPRESSION_LEVEL)
        if len(compressed) < len(body):
            message_type |= COMPRESSED_FLAG
            body = compressed
    return _HEADER.pack(len(body) + _OVERHEAD_AFTER_LENGTH, stream_id, message_type) + body


class FrameDecoder:
    """Splits a byte stream into frames."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> Iterator[Frame]:
        """Append received bytes and yield the frames that are now complete.

        Raises:
            RunkeelError: PROTOCOL_ERROR when a frame's length is out of range or a compressed body
                is invalid.
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
                if message_type & COMPRESSED_FLAG:
                    message_type ^= COMPRESSED_FLAG
                    body = self._decompress(body)
                yield Frame(stream_id, message_type, body)
        finally:
            del self._buffer[:offset]

    def _decompress(self, body: bytes) -> bytes:
        decompressor = zlib.decompressobj()
        try:
            plain = decompressor.decompress(body, self.max_body_bytes)
        except zlib.error as error:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"compressed body: {error}") from error
        if not decompressor.eof or decompressor.unused_data:
            raise RunkeelError(
                ErrorCode.PROTOCOL_ERROR, "compressed body is too large or truncated"
            )
        return plain

    def _check_length(self, length: int) -> None:
        body_bytes = length - _OVERHEAD_AFTER_LENGTH
        if not 0 <= body_bytes <= self.max_body_bytes:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, f"frame length {length} is out of range")
