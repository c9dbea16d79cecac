"""Cache of prompt prefixes in limited memory, and its late and gappy events."""

from __future__ import annotations

import hashlib
import random
import time
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from gevent.event import Event

from runkeel_lab.standins.engine.tokens import BYTES_PER_TOKEN

BLOCK_TOKENS = 16
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
PREFIX_DIGEST_BYTES = 8
MAX_EVENTS = 8192


def prefix_digests(prompt: str, limit: int) -> Iterator[str]:
    """Yield the digest of each prefix made of whole blocks, shortest first.

    The digest of ``k`` blocks is BLAKE2b with 8 bytes over the first ``64 * k`` bytes of
    the prompt in UTF-8.
    """
    data = prompt.encode()
    state = hashlib.blake2b(digest_size=PREFIX_DIGEST_BYTES)
    for start in range(0, min(len(data) // BLOCK_BYTES, limit) * BLOCK_BYTES, BLOCK_BYTES):
        state.update(data[start : start + BLOCK_BYTES])
        yield state.hexdigest()


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix that was stored or evicted."""

    sequence: int
    kind: str
    prefix: str
    visible_at: float

    def to_json(self) -> dict[str, object]:
        """Return the wire form."""
        return {"sequence": self.sequence, "kind": self.kind, "prefix": self.prefix}


class CacheEventLog:
    """Events shown some time after they happened, some of them never."""

    def __init__(self, lag_seconds: float, gap_fraction: float, source: random.Random) -> None:
        self._lag_seconds = lag_seconds
        self._gap_fraction = gap_fraction
        self._random = source
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0
        self._added = Event()

    def add(self, kind: str, prefix: str) -> None:
        """Record an event; its sequence is used up even when it will never be shown."""
        self._sequence += 1
        if self._gap_fraction and self._random.random() < self._gap_fraction:
            return
        visible_at = time.monotonic() + self._lag_seconds
        self._events.append(CacheEvent(self._sequence, kind, prefix, visible_at))
        self._added.set()
        self._added.clear()

    def clamp(self, sequence: int) -> int:
        """Return a reader's sequence, or 0 when it is later than any of this log."""
        return sequence if sequence <= self._sequence else 0

    def since(self, sequence: int) -> list[CacheEvent]:
        """Return the visible events after a sequence; all when it lies in the future.

        A reader that knows a later sequence than the log has seen the engine before it
        restarted.
        """
        after = self.clamp(sequence)
        now = time.monotonic()
        return [
            event for event in self._events if event.sequence > after and event.visible_at <= now
        ]

    def wait(self, sequence: int, wait_seconds: float) -> list[CacheEvent]:
        """Return like :meth:`since`, once there is an event or the time is over."""
        deadline = time.monotonic() + wait_seconds
        while not (events := self.since(sequence)):
            now = time.monotonic()
            if now >= deadline:
                return []
            pending = [event.visible_at for event in self._events if event.visible_at > now]
            wake_at = min(pending[0], deadline) if pending else deadline
            self._added.wait(max(wake_at - now, 0.001))
        return events


class PrefixCache:
    """Least-recently-used cache of prefixes, one entry a block."""

    def __init__(self, capacity_blocks: int, events: CacheEventLog) -> None:
        self._capacity = capacity_blocks
        self._events = events
        self._entries: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def matched_tokens(self, prompt: str) -> int:
        """Return how many of the prompt's first tokens are cached, and mark them used."""
        matched = 0
        for digest in prefix_digests(prompt, self._capacity):
            if digest not in self._entries:
                break
            self._entries.move_to_end(digest)
            matched += BLOCK_TOKENS
        return matched

    def store(self, prompt: str) -> None:
        """Cache all whole blocks of a prompt, evicting the least recently used ones."""
        for digest in prefix_digests(prompt, self._capacity):
            if digest in self._entries:
                self._entries.move_to_end(digest)
                continue
            self._entries[digest] = None
            self._events.add("stored", digest)
        while len(self._entries) > self._capacity:
            evicted, _ = self._entries.popitem(last=False)
            self._events.add("evicted", evicted)

    def clear(self) -> None:
        """Evict everything, as a change of weights does."""
        for digest in self._entries:
            self._events.add("evicted", digest)
        self._entries.clear()
