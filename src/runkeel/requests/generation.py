"""The entry's side of a generation: one attempt, and the progress over all attempts."""

from __future__ import annotations

import time
from collections.abc import Iterator
from copy import copy

from runkeel.api.interfaces import PeerClient
from runkeel.errors import ErrorCode, RunkeelError, may_have_run
from runkeel.requests.deadline import Deadline
from runkeel.requests.dispatch import AttemptSender
from runkeel.requests.metrics import DROPPED_ANSWERS
from runkeel.wire.codec import decode
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.requests.ttypes import ModelRequest, RequestEnvelope, TokenChunk


class GenerationProgress:
    """Tokens that a generation has so far, over all its attempts."""

    def __init__(self, request: ModelRequest) -> None:
        self.request = request
        self.token_ids: list[int] = list(request.prior_token_ids or ())
        self._last_backend = request.avoid_backend or ""
        self._started = False

    def next_request(self) -> ModelRequest:
        """Return the request that goes on where the last attempt ended."""
        request = copy(self.request)
        request.prior_token_ids = list(self.token_ids)
        request.avoid_backend = self._last_backend
        if self._started:
            request.kv_handle = ""
        self._started = True
        return request

    def add(self, chunk: TokenChunk) -> None:
        """Take a chunk's tokens.

        Raises:
            RunkeelError: PROTOCOL_ERROR when tokens are missing or repeated.
        """
        if chunk.position != len(self.token_ids):
            raise may_have_run(ErrorCode.PROTOCOL_ERROR, "the tokens are not consecutive")
        self.token_ids.extend(chunk.token_ids)
        self._last_backend = chunk.backend_id or ""


class GenerationAttempt:
    """One attempt of a generation at one owner node."""

    def __init__(self, sender: AttemptSender, peers: PeerClient, node_id: str) -> None:
        self._sender = sender
        self._peers = peers
        self._node_id = node_id

    def run(self, request: ModelRequest, number: int, deadline: Deadline) -> Iterator[TokenChunk]:
        """Yield the chunks up to the one with a finish reason; closing cancels at the owner.

        Raises:
            RunkeelError: with the verdict of this attempt alone.
        """
        envelope = self._sender.envelope(request.envelope, number, deadline)
        request.envelope = envelope
        started = time.monotonic()
        stream = None
        received = finished = False
        try:
            stream = self._peers.open_stream(self._node_id, MessageType.MODEL_REQUEST, request)
            while not finished:
                message_type, body = stream.receive(deadline.remaining_seconds())
                chunk = _decode_chunk(message_type, body, envelope)
                if chunk is None:
                    continue
                received = True
                finished = bool(chunk.finish_reason)
                yield chunk
        except RunkeelError as error:
            if stream is not None:
                stream.cancel()
            if received:
                raise may_have_run(error.code, error.detail) from error
            raise self._sender.settle(self._node_id, envelope, error, started) from error
        finally:
            if stream is not None and not finished:
                stream.cancel()


def _decode_chunk(message_type: int, body: bytes, envelope: RequestEnvelope) -> TokenChunk | None:
    if message_type == 0:
        raise may_have_run(ErrorCode.TRUNCATED_ANSWER, "the stream ended without a finish reason")
    if message_type != MessageType.TOKEN_CHUNK:
        raise may_have_run(ErrorCode.PROTOCOL_ERROR, f"unexpected message type {message_type}")
    chunk = decode(TokenChunk, body)
    if chunk.request_id != envelope.request_id or chunk.attempt != envelope.attempt:
        DROPPED_ANSWERS.labels("crossed").inc()
        return None
    return chunk
