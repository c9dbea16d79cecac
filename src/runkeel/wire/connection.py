"""One authenticated TCP connection to a peer: a reader task, a writer task and its streams.

Only the dialling side opens streams, so stream ids need no agreement.
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
"""Silence after which a peer that owes an answer counts as lost."""

PING_AFTER_SECONDS = 0.5
"""Silence after which a connection with open streams is probed."""

IDLE_PING_SECONDS = 5.0
"""Silence after which a connection without streams is probed by its dialling side."""

IDLE_CLOSE_SECONDS = 60.0
"""Time without streams after which the dialling side closes."""

MAXIMUM_STREAMS = 1_024
MAXIMUM_QUEUED_BYTES = 8 * 1024 * 1024
WRITE_ROOM_TIMEOUT_SECONDS = 5.0
_RECEIVE_BYTES = 64 * 1024
_BATCH_BYTES = 64 * 1024
_CHUNKS_PER_TURN = 16
_CUT_POLL_SECONDS = 0.05
_CONTROL_TYPES = frozenset((FINISH, MessageType.ERROR, MessageType.CANCEL, MessageType.WINDOW))


class _QueuedFrame(NamedTuple):
    stream: Stream | None
    data: bytes
    due: float


class Connection:
    """A connection in use. Implements :class:`runkeel.wire.streams.FrameSink`.

    Args:
        registry: serves the peer's streams; None on the dialling side.
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
        self._queue_filled = Event()
        self._queue_drained = Event()
        self._received_at = steady_seconds()
        self._unanswered_ping_at: float | None = None
        self._used_at = steady_seconds()
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the reader and the writer."""
        metrics.CONNECTIONS.labels(self._direction).inc()
        self._tasks = [gevent.spawn(self._read), gevent.spawn(self._write)]

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
            raise not_run(ErrorCode.PEER_UNREACHABLE, f"lost {self.peer_node_id}")
        if len(self._streams) >= MAXIMUM_STREAMS or self._queued_bytes >= MAXIMUM_QUEUED_BYTES:
            metrics.STREAMS_REFUSED.inc()
            raise not_run(ErrorCode.QUEUE_FULL, f"too much is under way to {self.peer_node_id}")
        self._last_stream_id += 1
        stream = Stream(self, self._last_stream_id, self.peer_node_id)
        self._streams[stream.stream_id] = stream
        self._put(stream, message_type, body)
        return stream

    def write(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Queue an application frame; blocks while too much is queued."""
        deadline = steady_seconds() + WRITE_ROOM_TIMEOUT_SECONDS
        while self._queued_bytes >= MAXIMUM_QUEUED_BYTES and not self.closed:
            self._queue_drained.clear()
            if not self._queue_drained.wait(max(0.0, deadline - steady_seconds())):
                raise RunkeelError(ErrorCode.DEADLINE_EXCEEDED, "the connection does not drain")
        if self.closed:
            raise RunkeelError(ErrorCode.PEER_LOST, f"lost {self.peer_node_id}")
        self._put(stream, message_type, body)

    def write_control(self, stream: Stream | None, message_type: int, body: bytes) -> None:
        """Queue a small frame without blocking."""
        if not self.closed:
            self._put(stream, message_type, body)

    def forget(self, stream: Stream) -> None:
        """Drop a stream that is over."""
        if self._streams.get(stream.stream_id) is stream:
            del self._streams[stream.stream_id]
            self._used_at = steady_seconds()

    def check(self, now: float) -> None:
        """Probe a silent peer, and close a lost or unused connection; called regularly."""
        if self._unanswered_ping_at is not None:
            if now - self._unanswered_ping_at > PEER_TIMEOUT_SECONDS - PING_AFTER_SECONDS:
                self.fail("no answer to a keep-alive probe")
            return
        dialled = self._registry is None
        if not self._streams and dialled and now - self._used_at > IDLE_CLOSE_SECONDS:
            self.close("unused")
            return
        ping_after = PING_AFTER_SECONDS if self._streams else IDLE_PING_SECONDS
        if (self._streams or dialled) and now - self._received_at > ping_after:
            self._unanswered_ping_at = now
            self.write_control(None, MessageType.PING, b"")

    def forgive(self, now: float) -> None:
        """Restart the silence clock: this process was paused, not the peer."""
        self._received_at = now
        if self._unanswered_ping_at is not None:
            self._unanswered_ping_at = now

    def fail(self, reason: str) -> None:
        """End the connection after a failure."""
        if not self.closed:
            metrics.CONNECTIONS_LOST.inc()
            logger.info(
                "peer connection lost: {}", reason, code="peer_lost", peer=self.peer_node_id
            )
        self.close(reason)

    def close(self, reason: str) -> None:
        """End the connection and all its streams."""
        if self.closed:
            return
        self.closed = True
        metrics.CONNECTIONS.labels(self._direction).dec()
        self._socket.close()
        streams = list(self._streams.values())
        self._streams.clear()
        for stream in streams:
            stream.lose()
        self._queue.clear()
        self._queue_drained.set()
        self._on_closed(self)
        # Last, because the task that closes may be one of them.
        current = gevent.getcurrent()
        gevent.killall([task for task in self._tasks if task is not current], block=False)

    @property
    def _direction(self) -> str:
        return "out" if self._registry is None else "in"

    def _put(self, stream: Stream | None, message_type: int, body: bytes) -> None:
        stream_id = CONNECTION_STREAM if stream is None else stream.stream_id
        data = encode_frame(stream_id, message_type, body)
        policy = self._link_policy
        due = 0.0
        if policy is not None:
            delay = policy.delay_seconds(self._peer_zone)
            due = steady_seconds() + delay if delay else 0.0
        self._queue.append(_QueuedFrame(stream, data, due))
        self._queued_bytes += len(data)
        self._queue_filled.set()

    def _write(self) -> None:
        try:
            while not self.closed:
                self._queue_filled.clear()
                if not self._queue:
                    self._queue_filled.wait()
                    continue
                self._wait_for_link()
                self._send(self._next_batch())
        except (OSError, gevent.Timeout) as error:
            self.fail(f"send: {error}")

    def _wait_for_link(self) -> None:
        """Hold the queue's head back as the emulated link demands."""
        if self._link_policy is None:
            return
        delay = self._queue[0].due - steady_seconds()
        if delay > 0:
            gevent.sleep(delay)
        self._wait_while_cut()

    def _wait_while_cut(self) -> None:
        policy = self._link_policy
        while policy is not None and not self.closed and policy.is_cut(self._peer_zone):
            gevent.sleep(_CUT_POLL_SECONDS)

    def _next_batch(self) -> bytes:
        """Take the frames that are due; from here on they count as handed to the kernel."""
        parts = []
        size = 0
        now = steady_seconds() if self._link_policy is not None else 0.0
        while self._queue and size < _BATCH_BYTES and self._queue[0].due <= now:
            stream, data, _ = self._queue.popleft()
            self._queued_bytes -= len(data)
            if stream is not None:
                if stream.withdrawn:
                    continue
                stream.handed = True
            parts.append(data)
            size += len(data)
        self._queue_drained.set()
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
                self._wait_while_cut()
                if not chunk:
                    self.fail("closed by the peer") if self._streams else self.close("closed")
                    return
                self._received_at = steady_seconds()
                self._unanswered_ping_at = None
                metrics.BYTES_RECEIVED.inc(len(chunk))
                for frame in decoder.feed(chunk):
                    self._take(frame)
                chunks += 1
                if chunks % _CHUNKS_PER_TURN == 0:
                    # A socket that always has data never yields by itself.
                    gevent.sleep(0)
        except (OSError, RunkeelError) as error:
            self.fail(f"receive: {error}")

    def _take(self, frame: Frame) -> None:
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
        stream.handed = True
        self._streams[frame.stream_id] = stream
        self._registry.serve(stream, frame.message_type, frame.body)
