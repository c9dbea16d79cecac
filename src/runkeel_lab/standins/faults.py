"""Faults that the lab sets on a stand-in, each for a limited or unlimited time."""

from __future__ import annotations

import enum
import time

from gevent.event import Event
from pydantic import BaseModel, ConfigDict, Field

_POLL_SECONDS = 0.05


class FaultKind(enum.StrEnum):
    """Kinds of faults; each stand-in supports some of them."""

    CLEAR = "clear"
    """Ends the fault named by ``only``, or all; restarts a stand-in that is down or crashed."""
    DOWN = "down"
    """``mode = "refuse"`` closes the listener; ``"unavailable"`` answers 503."""
    SLOW = "slow"
    """Delays each answer by ``delay_ms``."""
    HANG = "hang"
    """Accepts requests and does nothing with them until the fault ends."""
    CRASH = "crash"
    """Resets all connections, loses all state; back after ``for_ms`` or on ``clear``."""
    ERROR = "error"
    """Answers ``fraction`` of the requests with ``status`` without running them."""
    LOSE_ANSWERS = "lose_answers"
    """Applies ``fraction`` of the writes, then closes the connection unanswered."""
    RESTORE_OLDER = "restore_older"
    """Restores the object store as it was at ``revision``."""
    CUT_ANSWERS = "cut_answers"
    """Closes the connection in the middle of ``fraction`` of the answers."""
    FAIL_SWAP = "fail_swap"
    """The next ``count`` weight swaps fail partway, leaving ``variant``."""


class SwapFailure(enum.StrEnum):
    """What a failed weight swap leaves behind."""

    OLD_VERSION = "old_version"
    """The engine goes on with the weights that it had."""
    HALF_SWAPPED = "half_swapped"
    """Weights are mixed: the engine cuts its streams and is not ready until a new load."""


class Fault(BaseModel):
    """A fault as posted by the lab."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: FaultKind
    only: FaultKind | None = None
    for_ms: int | None = Field(default=None, gt=0)
    mode: str = Field(default="refuse", pattern="^(refuse|unavailable)$")
    delay_ms: int = Field(default=1000, ge=0)
    fraction: float = Field(default=1.0, ge=0.0, le=1.0)
    status: int = Field(default=503, ge=400, le=599)
    revision: int = Field(default=0, ge=0)
    reuse_revisions: bool = False
    variant: SwapFailure = SwapFailure.OLD_VERSION
    count: int = Field(default=1, ge=1)


class FaultBoard:
    """The faults active on one stand-in."""

    def __init__(self) -> None:
        self._active: dict[FaultKind, tuple[Fault, float | None]] = {}
        self._changed = Event()

    def set(self, fault: Fault) -> None:
        """Activate a fault, in place of one of the same kind."""
        ends_at = None if fault.for_ms is None else time.monotonic() + fault.for_ms / 1000
        self._active[fault.kind] = (fault, ends_at)

    def clear(self, kind: FaultKind | None = None) -> None:
        """End one fault, or all."""
        if kind is None:
            self._active.clear()
        else:
            self._active.pop(kind, None)
        self._changed.set()
        self._changed.clear()

    def active(self, kind: FaultKind) -> Fault | None:
        """Return the active fault of a kind, or None."""
        entry = self._active.get(kind)
        if entry is None:
            return None
        fault, ends_at = entry
        if ends_at is not None and time.monotonic() >= ends_at:
            del self._active[kind]
            return None
        return fault

    def wait_while(self, kind: FaultKind) -> None:
        """Block until no fault of the kind is active."""
        while self.active(kind) is not None:
            self._changed.wait(_POLL_SECONDS)

    def kinds(self) -> list[str]:
        """Return the kinds of the active faults."""
        return [kind.value for kind in list(self._active) if self.active(kind) is not None]
