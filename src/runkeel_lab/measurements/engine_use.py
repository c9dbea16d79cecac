"""How busy emulated engines were in a span of time, from their journals."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from runkeel_lab.journals import JournalEvent, Journals

_BEGINNINGS = frozenset({"started", "resumed"})
_ENDS = frozenset({"finished", "cancelled", "preempted", "cut"})


@dataclass(slots=True)
class EngineUse:
    """What a pool's engines did in a span.

    Attributes:
        slots: sequences that all engines can run at once.
        slot_seconds: time that sequences spent in the batches, added up.
        tokens: tokens generated.
    """

    slots: int
    slot_seconds: float = 0.0
    tokens: float = 0.0


def engine_use(
    journals: Journals, engines: Collection[str], slots: int, began: float, ended: float
) -> EngineUse:
    """Return what the engines did between two monotonic times.

    A sequence's tokens are taken to be spread evenly over its time in the batch. One that never
    left it (because its engine crashed, or the run ended) is left out.
    """
    use = EngineUse(slots)
    open_runs: dict[tuple[str, str], JournalEvent] = {}
    for event in journals.events:
        if event.standin not in engines:
            continue
        key = (event.standin, event.request_id)
        if event.event in _BEGINNINGS:
            open_runs[key] = event
        elif event.event in _ENDS and key in open_runs:
            _add(use, open_runs.pop(key), event, began, ended)
    return use


def _add(
    use: EngineUse, first: JournalEvent, last: JournalEvent, began: float, ended: float
) -> None:
    overlap = min(last.at, ended) - max(first.at, began)
    if overlap <= 0:
        return
    use.slot_seconds += overlap
    tokens = last.fields["position"] - first.fields["position"]
    use.tokens += tokens * overlap / (last.at - first.at)
