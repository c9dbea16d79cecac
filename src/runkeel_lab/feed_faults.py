"""The faults of a soak of the feed, which the seed determines."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

FAULT_INTERVAL_SECONDS = (0.1, 1.5)
"""Range of the time between two faults; often shorter than a fault, so that they overlap."""

FAULT_SECONDS = (0.2, 3.5)
SHORT_FAULT_SECONDS = (0.2, 1.4)
"""Ranges of the duration of a fault; short ones often end before a read of the feed times out."""

SERIES_SHARE = 0.5
"""Share of the faults that begin a series: a short one, and another one soon after it ends."""

SERIES_PAUSE_SECONDS = (0.01, 0.15)
"""Range of the time between two faults of a series, in which a message or two gets through."""

REPLY_DELAYS_SECONDS = (0.0, 0.05, 0.2)
"""Additional delays of a message over a link that stalls."""

NOTICE_SECONDS = (0.0, 1.5)
"""Range of the time after which a node or a replaced coordinator learns of a takeover."""


class FaultKind(enum.StrEnum):
    """What a fault of the soak affects."""

    LINK = "link"
    STORE = "store"
    FREEZE = "freeze"
    TAKEOVER = "takeover"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a run.

    Attributes:
        at: time since the start of the run, in seconds.
        seconds: duration; of a takeover: time until the node learns of it.
        reply_delay_seconds: additional delay of messages over the affected links.
    """

    kind: FaultKind
    at: float
    seconds: float
    reply_delay_seconds: float


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run, in the order of their times."""
    chance = random.Random(seed)
    faults = []
    at = 1.0 + chance.uniform(*FAULT_INTERVAL_SECONDS)
    while at < seconds:
        if chance.random() < SERIES_SHARE:
            first = _draw_fault(chance, at, SHORT_FAULT_SECONDS)
            faults.append(first)
            at += first.seconds + chance.uniform(*SERIES_PAUSE_SECONDS)
        faults.append(_draw_fault(chance, at, FAULT_SECONDS))
        at += chance.uniform(*FAULT_INTERVAL_SECONDS)
    return faults


def _draw_fault(chance: random.Random, at: float, duration: tuple[float, float]) -> Fault:
    kind = chance.choice(list(FaultKind))
    if kind is FaultKind.TAKEOVER:
        duration = NOTICE_SECONDS
    return Fault(kind, at, chance.uniform(*duration), chance.choice(REPLY_DELAYS_SECONDS))
