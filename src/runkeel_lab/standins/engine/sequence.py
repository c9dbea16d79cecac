"""One completion in the emulated engine's batch."""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent.queue import Queue

from runkeel_lab.standins.engine.prefix_cache import BLOCK_TOKENS
from runkeel_lab.standins.engine.tokens import stream_seed, token_at


@dataclass(frozen=True, slots=True)
class TokenEvent:
    """Consecutive tokens of one version; ``finish_reason`` only on the last event."""

    position: int
    token_ids: tuple[int, ...]
    weight_version: int
    finish_reason: str | None


@dataclass(slots=True)
class VersionRange:
    """Tokens made by one weight version."""

    version: int
    first: int
    count: int


@dataclass(slots=True, eq=False)
class Sequence:
    """State of one completion.

    Attributes:
        arrival: order of arrival; breaks ties of priority.
        limit: position after the last token.
        limit_reason: finish reason on reaching ``limit``.
        position: next position to generate, prior tokens counted.
        emitted: next position to send.
        prefill_remaining: prompt and prior tokens still to be processed.
        kv_tokens: tokens covered by an imported KV cache.
        events: ``TokenEvent`` for the reader; ``None`` tells it to cut the stream.
    """

    request_id: str
    model: str
    prompt: str
    prompt_tokens: int
    priority: int
    arrival: int
    first: int
    limit: int
    limit_reason: str
    kv_tokens: int = 0
    position: int = 0
    emitted: int = 0
    prefill_remaining: int = 0
    blocks: int = 0
    started: bool = False
    finish_reason: str | None = None
    versions: list[VersionRange] = field(default_factory=list)
    events: Queue = field(default_factory=Queue)
    _seed_version: int = -1
    _seed: int = 0

    def __post_init__(self) -> None:
        self.position = self.emitted = self.first

    @property
    def rank(self) -> tuple[int, int]:
        """Order of service; lower goes first."""
        return (self.priority, self.arrival)

    @property
    def token_count(self) -> int:
        """Prompt, prior and generated tokens."""
        return self.prompt_tokens + self.position

    def blocks_needed(self) -> int:
        """KV blocks that hold all tokens and one more."""
        return self.token_count // BLOCK_TOKENS + 1

    def emit(self, version: int, finish_reason: str | None = None) -> None:
        """Send the tokens generated since the last event, all made by ``version``."""
        if self.finish_reason is not None or (
            self.emitted == self.position and finish_reason is None
        ):
            return
        seed = self._version_seed(version)
        token_ids = tuple(
            token_at(seed, position) for position in range(self.emitted, self.position)
        )
        self._record(version, len(token_ids))
        self.events.put(TokenEvent(self.emitted, token_ids, version, finish_reason))
        self.emitted = self.position
        self.finish_reason = finish_reason

    def _version_seed(self, version: int) -> int:
        if version != self._seed_version:
            self._seed = stream_seed(self.model, version, self.prompt)
            self._seed_version = version
        return self._seed

    def _record(self, version: int, count: int) -> None:
        if not count:
            return
        if self.versions and self.versions[-1].version == version:
            self.versions[-1].count += count
        else:
            self.versions.append(VersionRange(version, self.emitted, count))
