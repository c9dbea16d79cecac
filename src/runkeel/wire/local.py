"""Streams of a node to itself, without a socket."""

from __future__ import annotations

from runkeel.wire.handlers import HandlerRegistry
from runkeel.wire.streams import Stream


class LocalSink:
    """Hands the frames of one end directly to the other. Implements FrameSink."""

    def __init__(self) -> None:
        self._other: Stream | None = None

    def connect(self, other: Stream) -> None:
        """Set the stream that receives what is written here."""
        self._other = other

    def write(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Deliver a frame; the credit of the stream bounds what waits."""
        if self._other is not None:
            self._other.deliver(message_type, body)

    def write_control(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Deliver a control frame."""
        self.write(stream, message_type, body)

    def forget(self, stream: Stream) -> None:
        """Do nothing: an end that is over ignores what it is still sent."""


def open_local_stream(
    registry: HandlerRegistry, node_id: str, message_type: int, body: bytes
) -> Stream:
    """Open a stream to this node's own handlers."""
    caller_sink, handler_sink = LocalSink(), LocalSink()
    caller = Stream(caller_sink, 1, node_id)
    handler = Stream(handler_sink, 1, node_id)
    caller.handed = handler.handed = True
    caller_sink.connect(handler)
    handler_sink.connect(caller)
    registry.serve(handler, message_type, body)
    return caller
