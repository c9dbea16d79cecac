"""Streams of messages between two nodes, with credit-based flow control.

Each direction of a stream starts with :data:`WINDOW_CREDIT`. A frame costs one credit plus one for
each full 16 KiB of its body. The receiver returns credit as the application consumes messages, so a
slow receiver blocks only its own stream and not the connection. Opening frames cost no credit: the
limit on streams bounds them.
"""

from __future__ import annotations

import dataclasses
from collections import deque
from typing import Any, Protocol

from gevent.event import Event

from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run, not_run
from runkeel.wire.codec import decode, encode
from runkeel.wire.frames import FINISH
from runkeel.wire.generated.common.ttypes import ErrorReport, MessageType, WindowUpdate

WINDOW_CREDIT = 64
CREDIT_UNIT_BYTES = 16 * 1024
SEND_TIMEOUT_SECONDS = 60.0
"""Longest time that a send waits for the receiver to grant credit."""


class FrameSink(Protocol):
    """Destination of the frames that a stream writes."""

    def write(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Queue an application frame; blocks while the send queue is full. Raises RunkeelError."""

    def write_control(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Queue a control frame; never blocks; does nothing when the connection is closed."""

    def remove_stream(self, stream: Stream) -> None:
        """Remove a finished stream from the connection."""


def frame_cost(body: bytes) -> int:
    """Return the credit that a frame costs."""
    return 1 + len(body) // CREDIT_UNIT_BYTES


class Stream:
    """One end of a stream.

    Attributes:
        opening_sent: the opening frame was passed to the kernel (or to the local handler), so the
            peer may act on it.
        withdrawn: the stream ended before its opening frame was sent; no frame will be sent.
    """

    __slots__ = (
        "peer_node_id",
        "stream_id",
        "opening_sent",
        "withdrawn",
        "_sink",
        "_send_credit",
        "_receive_credit",
        "_credit_to_return",
        "_inbox",
        "_changed",
        "_receive_error",
        "_send_error",
        "_local_finished",
        "_remote_finished",
    )

    def __init__(self, sink: FrameSink, stream_id: int, peer_node_id: str) -> None:
        self.peer_node_id = peer_node_id
        self.stream_id = stream_id
        self.opening_sent = False
        self.withdrawn = False
        self._sink = sink
        self._send_credit = WINDOW_CREDIT
        self._receive_credit = WINDOW_CREDIT
        self._credit_to_return = 0
        self._inbox: deque[tuple[int, bytes]] = deque()
        self._changed = Event()
        self._receive_error: RunkeelError | None = None
        self._send_error: RunkeelError | None = None
        self._local_finished = False
        self._remote_finished = False

    @property
    def cancelled(self) -> bool:
        """Whether either side cancelled the stream or it ended with an error."""
        return self._send_error is not None

    def send(self, message_type: int, message: Any) -> None:
        """Send a message; blocks until the receiver grants credit. Raises RunkeelError."""
        body = encode(message)
        self._wait_for_credit()
        self._send_credit -= frame_cost(body)
        self._sink.write(self, message_type, body)

    def receive(self, timeout_seconds: float | None = None) -> tuple[int, bytes]:
        """Return the next message's type and body, ``(0, b"")`` at the end. Raises RunkeelError."""
        deadline = None if timeout_seconds is None else steady_seconds() + timeout_seconds
        while not self._inbox:
            if self._receive_error is not None:
                raise dataclasses.replace(self._receive_error)
            if self._remote_finished:
                return FINISH, b""
            if not self._wait_for_change(deadline):
                raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, "no message from the peer in time")
        message_type, body = self._inbox.popleft()
        self._return_credit(frame_cost(body))
        return message_type, body

    def finish(self) -> None:
        """End the sending direction normally."""
        if self._local_finished or self._send_error is not None:
            return
        self._local_finished = True
        self._sink.write_control(self, FINISH, b"")
        self._remove_if_finished()

    def cancel(self) -> None:
        """Cancel the stream; the peer's sends and receives raise CANCELLED."""
        ended = self._local_finished and self._remote_finished
        if self._send_error is not None or ended:
            return
        error = may_have_run(ErrorCode.CANCELLED, "cancelled by this side")
        if self.opening_sent:
            self._sink.write_control(self, MessageType.CANCEL, b"")
        else:
            self.withdrawn = True
            error = not_run(ErrorCode.CANCELLED, "withdrawn before it was sent")
        self._inbox.clear()
        self._end(error)

    def fail(self, error: RunkeelError) -> None:
        """Report an error to the peer and end the stream."""
        if self._send_error is not None or self._local_finished:
            return
        self._local_finished = True
        self._sink.write_control(self, MessageType.ERROR, encode(error_report(error)))
        self._end(error)

    def reply(self, message_type: int, body: bytes) -> None:
        """Send the only reply of a call, which ends the stream on both sides."""
        if self._send_error is None:
            self._sink.write(self, message_type, body)

    def close(self) -> None:
        """End both directions after the handler has returned."""
        self.finish()
        if not self._remote_finished and self._send_error is None:
            # Unblocks a peer that waits for credit, which no one will grant any more.
            self._sink.write_control(self, MessageType.CANCEL, b"")
            self._end(may_have_run(ErrorCode.CANCELLED, "the stream handler has returned"))

    def release(self) -> None:
        """Remove the stream from its connection without notifying the peer."""
        self._sink.remove_stream(self)

    def deliver(self, message_type: int, body: bytes) -> None:
        """Process a frame from the peer; called by the connection's reader, never blocks."""
        if message_type == MessageType.WINDOW:
            self._add_send_credit(decode(WindowUpdate, body).credit)
        elif message_type == FINISH:
            self._remote_finished = True
            self._changed.set()
            self._remove_if_finished()
        elif message_type == MessageType.CANCEL:
            self._on_cancel()
        elif message_type == MessageType.ERROR:
            self._end(error_from_report(decode(ErrorReport, body)))
        else:
            self._on_message(message_type, body)

    def on_connection_lost(self) -> None:
        """End the stream because its connection has failed."""
        if self.opening_sent:
            self._end(may_have_run(ErrorCode.PEER_LOST, f"connection to {self.peer_node_id} lost"))
        else:
            self.withdrawn = True
            detail = f"connection to {self.peer_node_id} lost before the stream was opened"
            self._end(not_run(ErrorCode.PEER_UNREACHABLE, detail))

    def _on_message(self, message_type: int, body: bytes) -> None:
        if self._remote_finished or self._receive_error is not None:
            return
        self._receive_credit -= frame_cost(body)
        # A sender with positive credit may send one frame that costs more than it has left.
        if self._receive_credit + frame_cost(body) <= 0:
            raise RunkeelError(
                ErrorCode.PROTOCOL_ERROR, "the peer exceeded its flow-control credit"
            )
        self._inbox.append((message_type, body))
        self._changed.set()

    def _on_cancel(self) -> None:
        error = may_have_run(ErrorCode.CANCELLED, f"cancelled by {self.peer_node_id}")
        if self._remote_finished:
            # The peer's handler has returned: received messages stay readable, sending fails.
            self._send_error = self._send_error or error
            self._changed.set()
            self._sink.remove_stream(self)
            return
        self._inbox.clear()
        self._end(error)

    def _end(self, error: RunkeelError) -> None:
        if self._send_error is None:
            self._send_error = error
        if self._receive_error is None and not self._remote_finished:
            self._receive_error = error
        self._changed.set()
        self._sink.remove_stream(self)

    def _remove_if_finished(self) -> None:
        if self._local_finished and self._remote_finished:
            self._sink.remove_stream(self)

    def _add_send_credit(self, credit: int) -> None:
        if not isinstance(credit, int) or not 0 < credit <= WINDOW_CREDIT * 2 + _MAX_FRAME_COST:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "flow-control credit out of range")
        self._send_credit += credit
        self._changed.set()

    def _return_credit(self, credit: int) -> None:
        self._credit_to_return += credit
        ended = self._remote_finished or self._send_error is not None
        if ended or self._credit_to_return < WINDOW_CREDIT // 2:
            return
        update = WindowUpdate(self._credit_to_return)
        self._receive_credit += self._credit_to_return
        self._credit_to_return = 0
        self._sink.write_control(self, MessageType.WINDOW, encode(update))

    def _wait_for_credit(self) -> None:
        deadline = steady_seconds() + SEND_TIMEOUT_SECONDS
        while self._send_error is None and self._send_credit <= 0:
            if not self._wait_for_change(deadline):
                raise may_have_run(
                    ErrorCode.DEADLINE_EXCEEDED, "the peer granted no credit in time"
                )
        if self._send_error is not None:
            raise dataclasses.replace(self._send_error)
        if self._local_finished:
            raise RunkeelError(ErrorCode.INTERNAL, "send on a finished stream")

    def _wait_for_change(self, deadline: float | None) -> bool:
        self._changed.clear()
        if deadline is None:
            return self._changed.wait()
        remaining = deadline - steady_seconds()
        return remaining > 0 and self._changed.wait(remaining)


_MAX_FRAME_COST = 1 + 16 * 1024 * 1024 // CREDIT_UNIT_BYTES


def error_report(error: RunkeelError) -> ErrorReport:
    """Return the wire form of an error."""
    retry_after_ms = None
    if error.retry_after_seconds is not None:
        retry_after_ms = int(error.retry_after_seconds * 1000)
    return ErrorReport(str(error.code), int(error.verdict), error.detail, retry_after_ms)


def error_from_report(report: ErrorReport) -> RunkeelError:
    """Return the error that a peer reported; unknown codes become INTERNAL."""
    try:
        code = ErrorCode(report.code)
    except ValueError:
        code = ErrorCode.INTERNAL
    try:
        verdict = Verdict(report.verdict)
    except ValueError:
        verdict = Verdict.MAY_HAVE_RUN
    retry_after_seconds = None
    if report.retry_after_ms is not None:
        retry_after_seconds = report.retry_after_ms / 1000
    return RunkeelError(code, report.detail or "", verdict, retry_after_seconds)
