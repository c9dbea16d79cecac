"""Generates the tokens of one task and proves where each of them comes from."""

from __future__ import annotations

import contextlib
import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from runkeel.api.interfaces import Dispatcher
from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample import Sample, VersionRange, pack_tokens
from runkeel.rollouts.step import Attempt, Step, Task
from runkeel.wire.generated.requests.ttypes import ModelRequest, RequestEnvelope, TokenChunk

ROLLOUT_PRIORITY_RANK = 1_000
AHEAD_PRIORITY_RANK = 1_001
"""Of steps that the trainer does not pull yet, so that they take only what the others leave free
also where the steps have different owners."""
ROLLOUT_PRIORITY_CLASS = "rollout"
FINISH_REASONS = frozenset({"stop", "length"})


@dataclass
class UnprovedOriginError(Exception):
    """A generation whose tokens can't all be put down to a weight version."""

    reason: str


class TokenAccumulator:
    """Collects chunks and refuses those that leave a gap, overlap or belong to another request."""

    def __init__(self, request_id: str, max_tokens: int, prior: Sample | None = None) -> None:
        self._request_id = request_id
        self._max_tokens = max_tokens
        self.token_ids: list[int] = [] if prior is None else prior.token_ids
        self.versions: list[VersionRange] = [] if prior is None else list(prior.versions)
        self.finish_reason = ""

    def add(self, chunk: TokenChunk) -> None:
        """Append a chunk.

        Raises:
            UnprovedOriginError: the chunk does not continue what was collected.
        """
        if chunk.request_id != self._request_id:
            raise UnprovedOriginError("crossed")
        if self.finish_reason:
            raise UnprovedOriginError("after_end")
        tokens = chunk.token_ids or []
        if tokens and chunk.position != len(self.token_ids):
            gap = chunk.position is None or chunk.position > len(self.token_ids)
            raise UnprovedOriginError("gap" if gap else "overlap")
        if tokens and (chunk.weight_version is None or chunk.weight_version < 0):
            raise UnprovedOriginError("no_version")
        if len(self.token_ids) + len(tokens) > self._max_tokens:
            raise UnprovedOriginError("too_long")
        if tokens:
            self._extend(tokens, chunk.weight_version)
        self.finish_reason = chunk.finish_reason or ""

    def check_whole(self) -> None:
        """Raise UnprovedOriginError unless the generation ended as it should."""
        if self.finish_reason not in FINISH_REASONS:
            raise UnprovedOriginError("truncated")
        if not self.token_ids:
            raise UnprovedOriginError("empty")

    def _extend(self, tokens: list[int], version: int) -> None:
        if self.versions and self.versions[-1].version == version:
            last = self.versions[-1]
            self.versions[-1] = VersionRange(version, last.first, last.count + len(tokens))
        else:
            self.versions.append(VersionRange(version, len(self.token_ids), len(tokens)))
        self.token_ids.extend(tokens)


class SampleGenerator:
    """Runs generations through the dispatcher."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        node_id: str,
        options: RolloutOptions,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._dispatcher = dispatcher
        self._node_id = node_id
        self._options = options
        self._clock = clock
        self._wall_clock = wall_clock

    def generate(self, step: Step, task: Task, attempt: Attempt, minimum_version: int) -> Sample:
        """Return the task's sample, not yet scored. Goes on from the task's checkpoint.

        The attempt's oldest version and first token time are kept up to date on the way.
        Being killed closes the dispatcher's iterator, which cancels the generation.

        Raises:
            UnprovedOriginError: the tokens' origin can't be proved.
            RunkeelError: the dispatcher gave up.
        """
        prior = self._take_checkpoint(task, attempt)
        request = self._request(step, task, prior, minimum_version)
        request_id = request.envelope.request_id
        accumulator = TokenAccumulator(request_id, task.spec.max_tokens, prior)
        attempt.progress = accumulator
        attempt.token_count = attempt.checkpointed = len(accumulator.token_ids)
        with contextlib.closing(_as_closable(self._dispatcher.generate(request))) as chunks:
            for chunk in chunks:
                accumulator.add(chunk)
                self._note_progress(attempt, accumulator)
        accumulator.check_whole()
        return self._sample(step, task, attempt, accumulator)

    def checkpoint(self, step: Step, task: Task, attempt: Attempt) -> Sample | None:
        """Return the tokens of an attempt so far; None if none can be gone on from."""
        accumulator = attempt.progress
        if accumulator is None or accumulator.finish_reason or not accumulator.token_ids:
            return None
        return self._sample(step, task, attempt, accumulator)

    def _take_checkpoint(self, task: Task, attempt: Attempt) -> Sample | None:
        checkpoint, task.checkpoint = task.checkpoint, None
        if checkpoint is not None:
            attempt.oldest_version = checkpoint.oldest_version
            attempt.first_token_at = checkpoint.first_token_at
        return checkpoint

    def _request(
        self, step: Step, task: Task, prior: Sample | None, minimum_version: int
    ) -> ModelRequest:
        envelope = RequestEnvelope(
            request_id=uuid.uuid4().hex,
            attempt=1,
            remaining_ms=int(self._options.generation_timeout_seconds * 1000),
            priority_rank=ROLLOUT_PRIORITY_RANK if step.pulled else AHEAD_PRIORITY_RANK,
            priority_class=ROLLOUT_PRIORITY_CLASS,
            repeatable=True,
            member="",
            pool=step.key.model,
            entry_node=self._node_id,
        )
        return ModelRequest(
            envelope=envelope,
            prompt=task.spec.prompt,
            prior_token_ids=[] if prior is None else prior.token_ids,
            max_tokens=task.spec.max_tokens,
            minimum_version=minimum_version,
            adapter="",
            avoid_backend="",
            kv_handle="",
        )

    def _note_progress(self, attempt: Attempt, accumulator: TokenAccumulator) -> None:
        if not accumulator.versions:
            return
        attempt.token_count = len(accumulator.token_ids)
        attempt.oldest_version = min(part.version for part in accumulator.versions)
        if attempt.first_token_at is None:
            # The token was made before it arrived here, but not before the attempt began.
            made_at = self._clock() - self._options.first_token_allowance_seconds
            attempt.first_token_at = max(attempt.started_at, made_at)

    def _sample(
        self, step: Step, task: Task, attempt: Attempt, accumulator: TokenAccumulator
    ) -> Sample:
        first_token_at = attempt.first_token_at or attempt.started_at
        return Sample(
            step=step.key,
            step_digest=step.digest,
            task_id=task.spec.task_id,
            group=task.spec.group,
            attempt=attempt.number,
            packed_tokens=pack_tokens(accumulator.token_ids),
            versions=tuple(accumulator.versions),
            finish_reason=accumulator.finish_reason,
            score=0.0,
            first_token_at=first_token_at,
            first_token_unix=self._wall_clock() - (self._clock() - first_token_at),
        )


class _ClosableChunks:
    """Gives a plain iterator a ``close`` method."""

    def __init__(self, chunks: Iterator[TokenChunk]) -> None:
        self._chunks = chunks

    def __iter__(self) -> Iterator[TokenChunk]:
        return self._chunks

    def close(self) -> None:
        """Close the iterator if it can be closed."""
        close = getattr(self._chunks, "close", None)
        if close is not None:
            close()


def _as_closable(chunks: Iterator[TokenChunk]) -> _ClosableChunks:
    return _ClosableChunks(chunks)
