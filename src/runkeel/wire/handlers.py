"""Handlers of incoming calls and streams, each run in its own task."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.pool import Group
from loguru import logger

from runkeel.errors import ErrorCode, RunkeelError, may_have_run, not_run
from runkeel.wire import metrics
from runkeel.wire.codec import decode, encode
from runkeel.wire.streams import Stream

MAX_RUNNING_HANDLERS = 4_096
"""Concurrent handlers of a node, over all its peers."""

MAX_HANDLERS_PER_PEER = 1_024
"""Concurrent handlers for one peer, so that no peer uses up the node's limit."""

_BUSY_RETRY_AFTER_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class _Registration:
    request_class: type
    run: Callable[[Stream, Any], None]


class HandlerRegistry:
    """Runs the handler of each incoming stream, within concurrency limits."""

    def __init__(self) -> None:
        self._registrations: dict[int, _Registration] = {}
        self._running = Group()
        self._running_by_peer: dict[str, int] = {}
        self._stopped = False

    def on_call(
        self, message_type: int, request_class: type, handler: Callable[[str, Any], tuple[int, Any]]
    ) -> None:
        """Register ``handler(peer_node_id, request) -> (reply type, reply)``."""

        def run(stream: Stream, request: Any) -> None:
            reply_type, reply = handler(stream.peer_node_id, request)
            stream.reply(reply_type, encode(reply))

        self._registrations[message_type] = _Registration(request_class, run)

    def on_stream(
        self, message_type: int, request_class: type, handler: Callable[[Stream, Any], None]
    ) -> None:
        """Register ``handler(stream, first_message)``."""

        def run(stream: Stream, request: Any) -> None:
            handler(stream, request)
            stream.close()

        self._registrations[message_type] = _Registration(request_class, run)

    def serve(self, stream: Stream, message_type: int, body: bytes) -> None:
        """Start the handler of a new stream, or reject the stream; never blocks."""
        registration = self._registrations.get(message_type)
        refusal = self._refusal(stream.peer_node_id, registration, message_type)
        if refusal is not None:
            stream.fail(refusal)
            return
        peer = stream.peer_node_id
        self._running_by_peer[peer] = self._running_by_peer.get(peer, 0) + 1
        self._running.start(gevent.Greenlet(self._run, stream, registration, body))

    def stop(self) -> None:
        """Reject new streams and kill the running handlers."""
        self._stopped = True
        self._running.kill(timeout=1.0)

    def _refusal(
        self, peer: str, registration: _Registration | None, message_type: int
    ) -> RunkeelError | None:
        if self._stopped:
            return not_run(ErrorCode.NODE_LEAVING, "the node is stopping")
        if registration is None:
            return not_run(ErrorCode.PROTOCOL_ERROR, f"no handler for message type {message_type}")
        running_for_peer = self._running_by_peer.get(peer, 0)
        if running_for_peer >= MAX_HANDLERS_PER_PEER or len(self._running) >= MAX_RUNNING_HANDLERS:
            metrics.STREAMS_REFUSED.inc()
            return not_run(
                ErrorCode.QUEUE_FULL, "too many running handlers", _BUSY_RETRY_AFTER_SECONDS
            )
        return None

    def _run(self, stream: Stream, registration: _Registration, body: bytes) -> None:
        try:
            self._run_handler(stream, registration, body)
        except RunkeelError as error:
            stream.fail(error)
        except Exception as error:
            metrics.HANDLER_FAILURES.inc()
            logger.opt(exception=error).error("peer handler failed", code=ErrorCode.INTERNAL)
            stream.fail(may_have_run(ErrorCode.INTERNAL, type(error).__name__))
        finally:
            stream.release()
            self._decrement_running(stream.peer_node_id)

    def _run_handler(self, stream: Stream, registration: _Registration, body: bytes) -> None:
        try:
            request = decode(registration.request_class, body)
        except RunkeelError as error:
            raise not_run(error.code, error.detail) from error
        registration.run(stream, request)

    def _decrement_running(self, peer: str) -> None:
        remaining = self._running_by_peer[peer] - 1
        if remaining:
            self._running_by_peer[peer] = remaining
        else:
            del self._running_by_peer[peer]
