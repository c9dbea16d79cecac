"""Streams of messages between two nodes, with credit-based flow control.

Each direction of a stream starts with :data:`WINDOW_CREDIT`. A frame costs one, and one more for
each 16 KiB of its body; the receiver returns the credit of what its application has taken. A
receiver that does not read thus holds up its own stream only, never the connection. The opening
frame is free: the number of streams bounds it.
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
"""Longest wait for a receiver that is alive but does not read."""


class FrameSink(Protocol):
    """Where a stream writes its frames."""

    def write(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Queue an application frame; blocks while too much is queued. Raises RunkeelError."""

    def write_control(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Queue a control frame; never blocks, and does nothing when the connection is gone."""

    def forget(self, stream: Stream) -> None:
        """Drop the stream from the connection's table."""


def frame_cost(body: bytes) -> int:
    """Return the credit that a frame costs."""
    return 1 + len(body) // CREDIT_UNIT_BYTES


class Stream:
    """One end of a stream.

    Attributes:
        handed: the opening frame has been given to the kernel (or to the local handler), so
            the peer may act on it.
        withdrawn: given up before the opening frame was handed over; no frame will leave.
    """

    __slots__ = (
        "peer_node_id",
        "stream_id",
        "handed",
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
        self.handed = False
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
        """Whether the peer has cancelled or is gone, or this side has cancelled."""
        return self._send_error is not None

    def send(self, message_type: int, message: Any) -> None:
        """Send a message; blocks while the receiver grants no credit. Raises RunkeelError."""
        body = encode(message)
        self._wait_for_credit()
        self._send_credit -= frame_cost(body)
        self._sink.write(self, message_type, body)

    def receive(self, timeout_seconds: float | None = None) -> tuple[int, bytes]:
        """Return the next message's type and body; ``(0, b"")`` at the end. Raises RunkeelError."""
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
        """End this side's stream normally."""
        if self._local_finished or self._send_error is not None:
            return
        self._local_finished = True
        self._sink.write_control(self, FINISH, b"")
        self._forget_if_over()

    def cancel(self) -> None:
        """Give up on the stream; the other side's calls raise CANCELLED."""
        over = self._local_finished and self._remote_finished
        if self._send_error is not None or over:
            return
        error = may_have_run(ErrorCode.CANCELLED, "cancelled by this side")
        if self.handed:
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
        """Send the one reply of a call, which ends the stream on both sides."""
        if self._send_error is None:
            self._sink.write(self, message_type, body)

    def close(self) -> None:
        """End both directions after the handler has returned."""
        self.finish()
        if not self._remote_finished and self._send_error is None:
            # The peer may be waiting for credit that nobody will grant any more.
            self._sink.write_control(self, MessageType.CANCEL, b"")
            self._end(may_have_run(ErrorCode.CANCELLED, "the handler has returned"))

    def release(self) -> None:
        """Forget the stream without a word to the peer, for which it is over."""
        self._sink.forget(self)

    def deliver(self, message_type: int, body: bytes) -> None:
        """Take a frame from the peer; called by the connection's reader, never blocks."""
        if message_type == MessageType.WINDOW:
            self._grant(decode(WindowUpdate, body).credit)
        elif message_type == FINISH:
            self._remote_finished = True
            self._changed.set()
            self._forget_if_over()
        elif message_type == MessageType.CANCEL:
            self._on_cancel()
        elif message_type == MessageType.ERROR:
            self._end(error_from_report(decode(ErrorReport, body)))
        else:
            self._on_message(message_type, body)

    def lose(self) -> None:
        """End the stream because its connection has failed."""
        if self.handed:
            self._end(may_have_run(ErrorCode.PEER_LOST, f"lost {self.peer_node_id}"))
        else:
            self.withdrawn = True
            detail = f"lost {self.peer_node_id} before anything was sent"
            self._end(not_run(ErrorCode.PEER_UNREACHABLE, detail))

    def _on_message(self, message_type: int, body: bytes) -> None:
        if self._remote_finished or self._receive_error is not None:
            return
        self._receive_credit -= frame_cost(body)
        # The sender may overdraw its credit by the last frame, and by no more.
        if self._receive_credit + frame_cost(body) <= 0:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "the peer exceeded its credit")
        self._inbox.append((message_type, body))
        self._changed.set()

    def _on_cancel(self) -> None:
        error = may_have_run(ErrorCode.CANCELLED, f"cancelled by {self.peer_node_id}")
        if self._remote_finished:
            # The handler has returned: what it sent may still be read, nothing more be sent.
            self._send_error = self._send_error or error
            self._changed.set()
            self._sink.forget(self)
            return
        self._inbox.clear()
        self._end(error)

    def _end(self, error: RunkeelError) -> None:
        if self._send_error is None:
            self._send_error = error
        if self._receive_error is None and not self._remote_finished:
            self._receive_error = error
        self._changed.set()
        self._sink.forget(self)

    def _forget_if_over(self) -> None:
        if self._local_finished and self._remote_finished:
            self._sink.forget(self)

    def _grant(self, credit: int) -> None:
        if not isinstance(credit, int) or not 0 < credit <= WINDOW_CREDIT * 2 + _LARGEST_COST:
            raise RunkeelError(ErrorCode.PROTOCOL_ERROR, "credit out of range")
        self._send_credit += credit
        self._changed.set()

    def _return_credit(self, credit: int) -> None:
        self._credit_to_return += credit
        over = self._remote_finished or self._send_error is not None
        if over or self._credit_to_return < WINDOW_CREDIT // 2:
            return
        update = WindowUpdate(self._credit_to_return)
        self._receive_credit += self._credit_to_return
        self._credit_to_return = 0
        self._sink.write_control(self, MessageType.WINDOW, encode(update))

    def _wait_for_credit(self) -> None:
        deadline = steady_seconds() + SEND_TIMEOUT_SECONDS
        while self._send_error is None and self._send_credit <= 0:
            if not self._wait_for_change(deadline):
                raise may_have_run(ErrorCode.DEADLINE_EXCEEDED, "the peer does not read")
        if self._send_error is not None:
            raise dataclasses.replace(self._send_error)
        if self._local_finished:
            raise RunkeelError(ErrorCode.INTERNAL, "send after finish")

    def _wait_for_change(self, deadline: float | None) -> bool:
        self._changed.clear()
        if deadline is None:
            return self._changed.wait()
        remaining = deadline - steady_seconds()
        return remaining > 0 and self._changed.wait(remaining)


_LARGEST_COST = 1 + 16 * 1024 * 1024 // CREDIT_UNIT_BYTES


def error_report(error: RunkeelError) -> ErrorReport:
    """Return the wire form of an error."""
    retry_after_ms = None
    if error.retry_after_seconds is not None:
        retry_after_ms = int(error.retry_after_seconds * 1000)
    return ErrorReport(str(error.code), int(error.verdict), error.detail, retry_after_ms)


def error_from_report(report: ErrorReport) -> RunkeelError:
    """Return the error that a peer reported; what is unknown here becomes INTERNAL."""
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
