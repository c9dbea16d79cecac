"""An authenticated TCP connection to a peer, with a reader task, a writer task and streams.

Only the dialing side opens streams, so stream ids cannot collide.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent import socket
from gevent.event import Event
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.wire import metrics
from runkeel.wire.frames import CONNECTION_STREAM, FINISH, Frame, FrameDecoder, encode_frame
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.handlers import HandlerRegistry
from runkeel.wire.links import LinkPolicy
from runkeel.wire.streams import Stream

PEER_TIMEOUT_SECONDS = 2.0
"""Timeout after which an unresponsive peer counts as lost.

With open streams, it counts from the last received data, and the peer is pinged after
:data:`KEEPALIVE_SECONDS`. Without streams, the ping is sent only after
:data:`IDLE_KEEPALIVE_SECONDS`. In both cases the peer has ``PEER_TIMEOUT_SECONDS -
KEEPALIVE_SECONDS`` to respond to the ping. Each send on the socket has this timeout too.
"""

KEEPALIVE_SECONDS = 0.5
"""Time without received data after which a connection with open streams is pinged."""

IDLE_KEEPALIVE_SECONDS = 5.0
"""Time without received data after which the dialing side pings a connection without streams."""

IDLE_TIMEOUT_SECONDS = 60.0
"""Time without open streams after which the dialing side closes the connection."""

MAX_STREAMS = 1_024
"""Maximum number of open streams per connection."""

MAX_QUEUED_BYTES = 8 * 1024 * 1024
"""Size of a connection's send queue from which new streams are refused and writers block."""

SEND_QUEUE_TIMEOUT_SECONDS = 5.0
"""Longest wait of a writer while the send queue is full."""

_RECEIVE_BYTES = 64 * 1024
"""Maximum number of bytes read from the socket at once."""

_BATCH_BYTES = 64 * 1024
"""Soft limit on the bytes that are sent at once; the last frame of a batch may exceed it."""

_CHUNKS_PER_YIELD = 16
"""Number of received chunks after which the reader yields to other greenlets."""

_PARTITION_POLL_SECONDS = 0.05
"""Interval between checks whether a partition emulated by the link policy has ended."""

_CONTROL_TYPES = frozenset((FINISH, MessageType.ERROR, MessageType.CANCEL, MessageType.WINDOW))


class _QueuedFrame(NamedTuple):
    stream: Stream | None
    data: bytes
    send_at: float


class Connection:
    """A connection to one peer. Implements :class:`runkeel.wire.streams.FrameSink`.

    Args:
        link_policy: delays and partitions that tests emulate between zones; the default policy has
            neither. None for a peer in the same zone.
        registry: handles streams that the peer opens; None on the dialing side.
        on_closed: called once when the connection has ended.
    """

    def __init__(
        self,
        sock: socket.socket,
        peer_node_id: str,
        peer_zone: str,
        link_policy: LinkPolicy | None,
        registry: HandlerRegistry | None,
        on_closed: Callable[[Connection], None],
    ) -> None:
        self.peer_node_id = peer_node_id
        self.closed = False
        self._peer_zone = peer_zone
        self._socket = sock
        self._link_policy = link_policy
        self._registry = registry
        self._on_closed = on_closed
        self._streams: dict[int, Stream] = {}
        self._last_stream_id = 0
        self._queue: deque[_QueuedFrame] = deque()
        self._queued_bytes = 0
        self._frames_queued = Event()
        """Set when a frame is queued; cleared by the writer task before it checks the queue."""
        self._frames_dequeued = Event()
        """Set when frames are removed from the queue; cleared by a writer that waits for space."""
        self._last_received_at = steady_seconds()
        self._ping_sent_at: float | None = None
        self._last_used_at = steady_seconds()
        self._io_tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the reader and writer tasks."""
        metrics.CONNECTIONS.labels(self._direction).inc()
        self._io_tasks = [gevent.spawn(self._read), gevent.spawn(self._write)]

    def discard(self) -> None:
        """Close a connection that was never started."""
        self.closed = True
        self._socket.close()

    def open_stream(self, message_type: int, body: bytes) -> Stream:
        """Open a stream with its first message.

        Raises:
            RunkeelError: PEER_UNREACHABLE or QUEUE_FULL, both NOT_RUN.
        """
        if self.closed:
            raise not_run(
                ErrorCode.PEER_UNREACHABLE, f"connection to {self.peer_node_id} is closed"
            )
        if len(self._streams) >= MAX_STREAMS or self._queued_bytes >= MAX_QUEUED_BYTES:
            metrics.STREAMS_REFUSED.inc()
            raise not_run(
                ErrorCode.QUEUE_FULL, f"too many streams or queued bytes to {self.peer_node_id}"
            )
        self._last_stream_id += 1
        stream = Stream(self, self._last_stream_id, self.peer_node_id)
        self._streams[stream.stream_id] = stream
        self._enqueue(stream, message_type, body)
        return stream

    def write(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Queue an application frame; blocks while the send queue is full.

        Raises:
            RunkeelError: DEADLINE_EXCEEDED when the queue stays full, PEER_LOST when the connection
                is closed.
        """
        deadline = steady_seconds() + SEND_QUEUE_TIMEOUT_SECONDS
        while self._queued_bytes >= MAX_QUEUED_BYTES and not self.closed:
            self._frames_dequeued.clear()
            if not self._frames_dequeued.wait(max(0.0, deadline - steady_seconds())):
                raise RunkeelError(ErrorCode.DEADLINE_EXCEEDED, "send queue stayed full")
        if self.closed:
            raise RunkeelError(ErrorCode.PEER_LOST, f"connection to {self.peer_node_id} is closed")
        self._enqueue(stream, message_type, body)

    def write_control(self, stream: Stream | None, message_type: int, body: bytes) -> None:
        """Queue a control frame without blocking; does nothing on a closed connection."""
        if not self.closed:
            self._enqueue(stream, message_type, body)

    def remove_stream(self, stream: Stream) -> None:
        """Remove a finished stream from the connection."""
        if self._streams.get(stream.stream_id) is stream:
            del self._streams[stream.stream_id]
            self._last_used_at = steady_seconds()

    def check_liveness(self, now: float) -> None:
        """Ping a silent peer; close the connection if it is lost or idle. Called periodically."""
        if self._ping_sent_at is not None:
            if now - self._ping_sent_at > PEER_TIMEOUT_SECONDS - KEEPALIVE_SECONDS:
                self.fail("keepalive ping timed out")
            return
        outbound = self._registry is None
        if not self._streams and outbound and now - self._last_used_at > IDLE_TIMEOUT_SECONDS:
            self.close("idle")
            return
        ping_after = KEEPALIVE_SECONDS if self._streams else IDLE_KEEPALIVE_SECONDS
        if (self._streams or outbound) and now - self._last_received_at > ping_after:
            self._ping_sent_at = now
            self.write_control(None, MessageType.PING, b"")

    def restart_peer_timeout(self, now: float) -> None:
        """Restart the peer's timeout after this process, rather than the peer, was paused."""
        self._last_received_at = now
        if self._ping_sent_at is not None:
            self._ping_sent_at = now

    def fail(self, reason: str) -> None:
        """Close the connection after a failure."""
        if not self.closed:
            metrics.CONNECTIONS_LOST.inc()
            logger.info(
                "peer connection lost: {}", reason, code="peer_lost", peer=self.peer_node_id
            )
        self.close(reason)

    def close(self, reason: str) -> None:
        """Close the connection and end all its streams."""
        if self.closed:
            return
        self.closed = True
        metrics.CONNECTIONS.labels(self._direction).dec()
        self._socket.close()
        streams = list(self._streams.values())
        self._streams.clear()
        for stream in streams:
            stream.on_connection_lost()
        self._queue.clear()
        self._frames_dequeued.set()
        self._on_closed(self)
        # Done last, and not for the current task, which may be the reader or the writer.
        current = gevent.getcurrent()
        gevent.killall([task for task in self._io_tasks if task is not current], block=False)

    @property
    def _direction(self) -> str:
        return "out" if self._registry is None else "in"

    def _enqueue(self, stream: Stream | None, message_type: int, body: bytes) -> None:
        stream_id = CONNECTION_STREAM if stream is None else stream.stream_id
        data = encode_frame(stream_id, message_type, body)
        policy = self._link_policy
        send_at = 0.0
        if policy is not None:
            delay = policy.delay_seconds(self._peer_zone)
            send_at = steady_seconds() + delay if delay else 0.0
        self._queue.append(_QueuedFrame(stream, data, send_at))
        self._queued_bytes += len(data)
        self._frames_queued.set()

    def _write(self) -> None:
        try:
            while not self.closed:
                self._frames_queued.clear()
                if not self._queue:
                    self._frames_queued.wait()
                    continue
                self._wait_for_emulated_link()
                self._send(self._next_batch())
        except (OSError, gevent.Timeout) as error:
            self.fail(f"send failed: {error}")

    def _wait_for_emulated_link(self) -> None:
        """Hold back the first queued frame as the link policy requires."""
        if self._link_policy is None:
            return
        delay = self._queue[0].send_at - steady_seconds()
        if delay > 0:
            gevent.sleep(delay)
        self._wait_while_partitioned()

    def _wait_while_partitioned(self) -> None:
        policy = self._link_policy
        while policy is not None and not self.closed and policy.is_partitioned(self._peer_zone):
            gevent.sleep(_PARTITION_POLL_SECONDS)

    def _next_batch(self) -> bytes:
        """Return the frames to send now.

        Marks the opening frames of their streams as sent: from here on, the peer may act on them,
        even if the stream is cancelled.
        """
        parts = []
        size = 0
        now = steady_seconds() if self._link_policy is not None else 0.0
        while self._queue and size < _BATCH_BYTES and self._queue[0].send_at <= now:
            stream, data, _ = self._queue.popleft()
            self._queued_bytes -= len(data)
            if stream is not None:
                if stream.withdrawn:
                    continue
                stream.opening_sent = True
            parts.append(data)
            size += len(data)
        self._frames_dequeued.set()
        return b"".join(parts) if len(parts) != 1 else parts[0]

    def _send(self, batch: bytes) -> None:
        view = memoryview(batch)
        while view:
            with gevent.Timeout(PEER_TIMEOUT_SECONDS):
                sent = self._socket.send(view)
            metrics.BYTES_SENT.inc(sent)
            view = view[sent:]

    def _read(self) -> None:
        decoder = FrameDecoder()
        chunks = 0
        try:
            while not self.closed:
                chunk = self._socket.recv(_RECEIVE_BYTES)
                self._wait_while_partitioned()
                if not chunk:
                    self.fail(
                        "closed by the peer with open streams"
                    ) if self._streams else self.close("closed by the peer")
                    return
                self._last_received_at = steady_seconds()
                self._ping_sent_at = None
                metrics.BYTES_RECEIVED.inc(len(chunk))
                for frame in decoder.feed(chunk):
                    self._dispatch(frame)
                chunks += 1
                if chunks % _CHUNKS_PER_YIELD == 0:
                    # recv() does not yield to other greenlets while the socket has data.
                    gevent.sleep(0)
        except (OSError, RunkeelError) as error:
            self.fail(f"receive failed: {error}")

    def _dispatch(self, frame: Frame) -> None:
        if frame.stream_id == CONNECTION_STREAM:
            if frame.message_type == MessageType.PING:
                self.write_control(None, MessageType.PONG, b"")
            return
        stream = self._streams.get(frame.stream_id)
        if stream is not None:
            stream.deliver(frame.message_type, frame.body)
            return
        is_new = self._registry is not None and frame.stream_id > self._last_stream_id
        if is_new and frame.message_type not in _CONTROL_TYPES:
            self._accept_stream(frame)

    def _accept_stream(self, frame: Frame) -> None:
        self._last_stream_id = frame.stream_id
        stream = Stream(self, frame.stream_id, self.peer_node_id)
        stream.opening_sent = True
        self._streams[frame.stream_id] = stream
        self._registry.serve(stream, frame.message_type, frame.body)
