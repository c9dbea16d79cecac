"""Continuous batching: admission by priority, preemption, prefill and decode steps."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from dataclasses import asdict

import gevent
from gevent.event import Event

from runkeel_lab.standins.engine.options import EngineOptions
from runkeel_lab.standins.engine.prefix_cache import PrefixCache
from runkeel_lab.standins.engine.sequence import Sequence
from runkeel_lab.standins.journal import Journal

MAX_FINISHED_IDS = 4096
_MAX_CATCH_UP_SECONDS = 0.1


class Batch:
    """The sequences of one engine and the loop that advances them.

    A step takes ``base_ms + per_sequence_ms * running + per_prefill_token_ms * prefill``
    milliseconds; then each sequence whose prefill is done has one more token. The loop
    sleeps that time, so that an engine costs little processor time.
    """

    def __init__(
        self,
        options: EngineOptions,
        cache: PrefixCache,
        journal: Journal,
        version: Callable[[], int],
    ) -> None:
        """Prepare an empty batch.

        Args:
            version: returns the weight version that generates now.
        """
        self.before_step: Callable[[], None] = lambda: None
        self.after_step: Callable[[bool], None] = lambda idle: None
        self.running: list[Sequence] = []
        self.used_blocks = 0
        self.tokens_generated = 0
        self._options = options
        self._cache = cache
        self._journal = journal
        self._version = version
        self._waiting: list[tuple[tuple[int, int], Sequence]] = []
        self._by_id: dict[str, Sequence] = {}
        self._wake = Event()
        self._stall_ms = 0.0
        self._finished: dict[str, None] = {}

    @property
    def waiting_count(self) -> int:
        """Sequences that wait for a place."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether there is no work."""
        return not self.running and not self._waiting

    def find(self, request_id: str) -> Sequence | None:
        """Return a running or waiting sequence, or None."""
        return self._by_id.get(request_id)

    def has_finished(self, request_id: str) -> bool:
        """Return whether a sequence came to its end lately, read by its client or not."""
        return request_id in self._finished

    def submit(self, sequence: Sequence) -> None:
        """Let a sequence wait for its place."""
        self._by_id[sequence.request_id] = sequence
        heapq.heappush(self._waiting, (sequence.rank, sequence))
        self._wake.set()

    def cancel(self, sequence: Sequence, reason: str) -> None:
        """End a sequence early; its stream closes with the finish reason ``cancelled``."""
        if self._by_id.get(sequence.request_id) is not sequence:
            return
        sequence.emit(self._version(), "cancelled")
        self._remove(sequence)
        self._write("cancelled", sequence, reason=reason)

    def cut_all(self) -> None:
        """Break all streams, without a last event."""
        for sequence in list(self._by_id.values()):
            sequence.events.put(None)
            self._remove(sequence)
            self._write("cut", sequence)

    def abandon(self) -> None:
        """Forget all sequences silently, as a crash does: their readers find nothing to cancel."""
        self.running.clear()
        self._waiting.clear()
        self._by_id.clear()

    def flush(self) -> None:
        """Send what is generated, so that the next event holds only the next version."""
        for sequence in self.running:
            sequence.emit(self._version())

    def stall(self, milliseconds: float) -> None:
        """Lengthen the next step."""
        self._stall_ms += milliseconds

    def run(self) -> None:
        """Advance the batch for ever."""
        due = time.monotonic()
        while True:
            if self.idle:
                self.after_step(True)
                self._wake.wait()
                due = time.monotonic()
            self._wake.clear()
            self.before_step()
            self._admit()
            due = max(due, time.monotonic() - _MAX_CATCH_UP_SECONDS) + self._begin_step()
            gevent.sleep(max(0.0, due - time.monotonic()))
            self._finish_step()
            self.after_step(False)

    # Admission

    def _admit(self) -> None:
        while self._waiting:
            candidate = self._waiting[0][1]
            if not self._make_room(candidate):
                return
            heapq.heappop(self._waiting)
            self._start(candidate)

    def _make_room(self, candidate: Sequence) -> bool:
        while not self._fits(candidate):
            victim = max(self.running, key=lambda sequence: sequence.rank, default=None)
            if victim is None or victim.priority <= candidate.priority:
                return False
            self._preempt(victim)
        return True

    def _fits(self, candidate: Sequence) -> bool:
        free_blocks = self._options.kv_total_blocks - self.used_blocks
        return (
            len(self.running) < self._options.max_running
            and candidate.blocks_needed() <= free_blocks
        )

    def _start(self, sequence: Sequence) -> None:
        sequence.blocks = sequence.blocks_needed()
        self.used_blocks += sequence.blocks
        held = max(sequence.kv_tokens, self._cache.matched_tokens(sequence.prompt))
        sequence.prefill_remaining = max(0, sequence.token_count - held)
        sequence.kv_tokens = 0
        self.running.append(sequence)
        event = "resumed" if sequence.started else "started"
        sequence.started = True
        self._write(event, sequence, prefill_tokens=sequence.prefill_remaining)

    def _preempt(self, sequence: Sequence) -> None:
        sequence.emit(self._version())
        self._release(sequence)
        heapq.heappush(self._waiting, (sequence.rank, sequence))
        self._write("preempted", sequence)

    def _release(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        self.used_blocks -= sequence.blocks
        sequence.blocks = 0

    def _remove(self, sequence: Sequence) -> None:
        del self._by_id[sequence.request_id]
        if sequence in self.running:
            self._release(sequence)
            return
        self._waiting = [entry for entry in self._waiting if entry[1] is not sequence]
        heapq.heapify(self._waiting)

    # Steps

    def _begin_step(self) -> float:
        """Spread the prefill budget and return the step's length in seconds."""
        budget = self._options.max_prefill_tokens
        prefill_tokens = 0
        for sequence in self.running:
            share = min(sequence.prefill_remaining, budget - prefill_tokens)
            sequence.prefill_remaining -= share
            prefill_tokens += share
            if share and not sequence.prefill_remaining:
                self._cache.store(sequence.prompt)
        step_ms = (
            self._options.base_ms
            + self._options.per_sequence_ms * len(self.running)
            + self._options.per_prefill_token_ms * prefill_tokens
            + self._stall_ms
        )
        self._stall_ms = 0.0
        return step_ms / 1000

    def _finish_step(self) -> None:
        for sequence in list(self.running):
            if sequence.prefill_remaining or sequence not in self.running:
                continue
            if self._grow(sequence):
                self._decode(sequence)

    def _grow(self, sequence: Sequence) -> bool:
        """Take a KV block when the next token needs one; False when preempted for lack."""
        if sequence.blocks_needed() <= sequence.blocks:
            return True
        while self.used_blocks >= self._options.kv_total_blocks:
            victim = max(self.running, key=lambda other: other.rank)
            self._preempt(victim)
            if victim is sequence:
                return False
        sequence.blocks += 1
        self.used_blocks += 1
        return True

    def _decode(self, sequence: Sequence) -> None:
        if sequence.position < sequence.limit:
            sequence.position += 1
            self.tokens_generated += 1
        if sequence.position >= sequence.limit:
            sequence.emit(self._version(), sequence.limit_reason)
            self._remove(sequence)
            self._remember_finished(sequence.request_id)
            self._write("finished", sequence, finish_reason=sequence.finish_reason)
            return
        pending = sequence.position - sequence.emitted
        first = sequence.position == sequence.first + 1
        if first or pending >= self._options.tokens_per_event:
            sequence.emit(self._version())

    def _remember_finished(self, request_id: str) -> None:
        self._finished[request_id] = None
        if len(self._finished) > MAX_FINISHED_IDS:
            del self._finished[next(iter(self._finished))]

    def _write(self, event: str, sequence: Sequence, **fields: object) -> None:
        self._journal.write(
            event,
            request_id=sequence.request_id,
            first=sequence.first,
            position=sequence.position,
            versions=[asdict(part) for part in sequence.versions],
            **fields,
        )
