"""Streams from a node to its own handlers, without a socket."""

from __future__ import annotations

from runkeel.wire.handlers import HandlerRegistry
from runkeel.wire.streams import Stream


class LocalSink:
    """Delivers the frames of one end directly to the other. Implements FrameSink."""

    def __init__(self) -> None:
        self._peer_end: Stream | None = None

    def connect(self, other: Stream) -> None:
        """Set the stream that receives the frames written to this sink."""
        self._peer_end = other

    def write(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Deliver a frame; the stream's credit bounds how many stay unread."""
        if self._peer_end is not None:
            self._peer_end.deliver(message_type, body)

    def write_control(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Deliver a control frame."""
        self.write(stream, message_type, body)

    def remove_stream(self, stream: Stream) -> None:
        """Do nothing: a finished end ignores frames that still arrive."""


def open_local_stream(
    registry: HandlerRegistry, node_id: str, message_type: int, body: bytes
) -> Stream:
    """Open a stream to this node's own handlers."""
    caller_sink, handler_sink = LocalSink(), LocalSink()
    caller = Stream(caller_sink, 1, node_id)
    handler = Stream(handler_sink, 1, node_id)
    caller.opening_sent = handler.opening_sent = True
    caller_sink.connect(handler)
    handler_sink.connect(caller)
    registry.serve(handler, message_type, body)
    return caller
