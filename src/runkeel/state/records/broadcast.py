"""One message to several replicas in parallel, the local one without the network."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.queue import Queue

from runkeel.api.interfaces import PeerClient
from runkeel.errors import RunkeelError
from runkeel.state.records.options import RecordOptions


class Broadcast:
    """Calls replicas from a bounded pool of tasks."""

    def __init__(
        self,
        node_id: str,
        peers: PeerClient,
        local: Callable[[int, Any], Any],
        options: RecordOptions,
    ) -> None:
        self._node_id = node_id
        self._peers = peers
        self._local = local
        self._options = options
        self._pool = Pool(options.max_calls)

    def gather(
        self,
        targets: tuple[str, ...],
        message_type: int,
        request: Any,
        reply_class: type,
        timeout_seconds: float,
        enough: Callable[[dict[str, Any]], bool],
        note: Callable[[str, Any], None],
    ) -> dict[str, Any]:
        """Return the replies by node id, as soon as they are enough or the time is up.

        Replicas that failed, or for which no task was free, are missing. Calls still running
        end by their own time-out; their replies reach only ``note``, which sees every reply.
        """
        arrivals: Queue = Queue()
        waiting = 0
        for node_id in targets:
            if node_id != self._node_id:
                waiting += self._spawn(
                    node_id, message_type, request, reply_class, timeout_seconds, arrivals, note
                )
        replies: dict[str, Any] = {}
        if self._node_id in targets:
            replies[self._node_id] = self._local(message_type, request)
            note(self._node_id, replies[self._node_id])
        if timeout_seconds <= 0:
            return replies
        with gevent.Timeout(timeout_seconds, False):
            while waiting and not (replies and enough(replies)):
                node_id, reply = arrivals.get()
                waiting -= 1
                if reply is not None:
                    replies[node_id] = reply
        return replies

    def send(
        self, targets: tuple[str, ...], message_type: int, request: Any, reply_class: type
    ) -> None:
        """Send without waiting for the replies."""
        for node_id in targets:
            if node_id == self._node_id:
                self._local(message_type, request)
            else:
                self._spawn(
                    node_id,
                    message_type,
                    request,
                    reply_class,
                    self._options.call_timeout_seconds,
                    None,
                    None,
                )

    def stop(self) -> None:
        """Cancel the calls in flight."""
        self._pool.kill(timeout=1.0)

    def _spawn(
        self,
        node_id: str,
        message_type: int,
        request: Any,
        reply_class: type,
        timeout_seconds: float,
        arrivals: Queue | None,
        note: Callable[[str, Any], None] | None,
    ) -> bool:
        if self._pool.full():
            return False
        self._pool.spawn(
            self._call, node_id, message_type, request, reply_class, timeout_seconds, arrivals, note
        )
        return True

    def _call(
        self,
        node_id: str,
        message_type: int,
        request: Any,
        reply_class: type,
        timeout_seconds: float,
        arrivals: Queue | None,
        note: Callable[[str, Any], None] | None,
    ) -> None:
        reply = None
        try:
            reply = self._peers.call(node_id, message_type, request, reply_class, timeout_seconds)
            if note is not None:
                note(node_id, reply)
        except RunkeelError:
            # A replica that does not answer is missing from the quorum; nothing else follows.
            pass
        finally:
            if arrivals is not None:
                arrivals.put((node_id, reply))
