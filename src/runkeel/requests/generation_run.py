"""One generation at the owner: from the engine's events to the entry node's stream."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from runkeel.api.interfaces import PeerStream
from runkeel.backends.engine import (
    CompletionEvent,
    CompletionRequest,
    CompletionStream,
    EngineClient,
)
from runkeel.errors import ErrorCode, RunkeelError, may_have_run
from runkeel.requests.backend_choice import ROLLOUT_RANK
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.requests.ttypes import ModelRequest, TokenChunk

CANCEL_TIMEOUT_SECONDS = 2.0
CANCELLED_REASON = "cancelled"
_FINISH_REASONS = frozenset({"stop", "length"})


class GenerationRun:
    """Forwards the tokens of one generation, and cancels it when the entry node gives up."""

    def __init__(
        self, stream: PeerStream, request: ModelRequest, withdraw: Callable[[], object]
    ) -> None:
        self._stream = stream
        self._request = request
        self._withdraw = withdraw
        self._client: EngineClient | None = None
        self._completion: CompletionStream | None = None
        self._watcher: gevent.Greenlet | None = None
        envelope = request.envelope
        self._engine_request_id = f"{envelope.request_id}.{envelope.attempt}"

    def watch_for_cancel(self) -> None:
        """Start the task that notices the entry node's cancellation, also while queued."""
        self._watcher = gevent.spawn(self._watch)

    def run(
        self,
        client: EngineClient,
        backend_id: str,
        deadline: float,
        before_send: Callable[[], None],
    ) -> None:
        """Run the generation on an engine until its finish reason is sent.

        Raises:
            RunkeelError: the engine's failures; CANCELLED (MAY_HAVE_RUN) when it was cancelled.
        """
        self._client = client
        self._completion = client.complete(self._completion_request(), deadline, before_send)
        try:
            self._forward(self._completion, backend_id, deadline)
        except BaseException:
            # Whatever ended the forwarding, the engine must not go on for nobody.
            self.cancel()
            raise

    def _forward(self, completion: CompletionStream, backend_id: str, deadline: float) -> None:
        finished = False
        for events in completion.batches(deadline):
            for event in _merge(events):
                if event.finish_reason == CANCELLED_REASON:
                    raise may_have_run(ErrorCode.CANCELLED, "the generation was cancelled")
                finished = finished or event.finish_reason in _FINISH_REASONS
                self._stream.send(MessageType.TOKEN_CHUNK, self._chunk(event, backend_id))
        if not finished:
            raise may_have_run(ErrorCode.TRUNCATED_ANSWER, "the stream has no finish reason")

    def cancel(self) -> None:
        """Cancel at the engine, without waiting for it."""
        if self._client is not None:
            gevent.spawn(self._cancel_at_engine, self._client)

    def close(self) -> None:
        """Stop the watching task and release the engine's connection."""
        if self._watcher is not None:
            self._watcher.kill(block=False)
        if self._completion is not None:
            self._completion.close()

    def _watch(self) -> None:
        try:
            while self._stream.receive(self._request.envelope.remaining_ms / 1_000)[0]:
                pass
        except RunkeelError:
            # The entry node gave up or is gone, or the time is up. The withdrawal wakes the
            # task that waits in the queue, or calls cancel().
            self._withdraw()

    def _cancel_at_engine(self, client: EngineClient) -> None:
        try:
            client.cancel(self._engine_request_id, CANCEL_TIMEOUT_SECONDS)
        except RunkeelError:
            # Closing the connection is the second way to tell the engine.
            if self._completion is not None:
                self._completion.close()

    def _completion_request(self) -> CompletionRequest:
        request = self._request
        return CompletionRequest(
            request_id=self._engine_request_id,
            model=request.envelope.pool,
            prompt=request.prompt,
            prior_token_ids=list(request.prior_token_ids or ()),
            max_tokens=request.max_tokens,
            # Rollouts don't preempt each other at the engine: each time costs a prefill.
            priority=min(request.envelope.priority_rank, ROLLOUT_RANK),
            adapter=request.adapter or "",
            minimum_version=request.minimum_version or 0,
            kv_handle=request.kv_handle or "",
        )

    def _chunk(self, event: CompletionEvent, backend_id: str) -> TokenChunk:
        envelope = self._request.envelope
        return TokenChunk(
            envelope.request_id,
            envelope.attempt,
            event.position,
            event.token_ids,
            event.text,
            event.weight_version,
            event.finish_reason,
            backend_id,
        )


def _merge(events: list[CompletionEvent]) -> list[CompletionEvent]:
    """Join consecutive events of one version; fewer, larger messages when events pile up."""
    merged = events[:1]
    for event in events[1:]:
        last = merged[-1]
        follows = last.position + len(last.token_ids) == event.position
        if last.finish_reason or last.weight_version != event.weight_version or not follows:
            merged.append(event)
            continue
        last.token_ids = last.token_ids + event.token_ids
        last.text += event.text
        last.finish_reason = event.finish_reason
    return merged
