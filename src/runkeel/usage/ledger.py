"""Usage counts of each window, and the final counts decided for its report.

The ledger is one document in the store, changed by compare-and-swap on its revision. A window's
final counts are written to it before they are reported, so that every later coordinator reports
exactly these.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MAX_DECIDED_WINDOWS = 8
"""Number of decided windows kept in the ledger; a later coordinator may report them again."""

Counts = dict[str, int]
"""Number of requests by tenant."""


@dataclass(frozen=True, slots=True)
class WindowSummary:
    """A window as shown to operators; ``state`` is ``open``, ``decided`` or ``reported``."""

    window: int
    state: str
    requests: int
    tenants: int
    ended_ms_ago: int


@dataclass(slots=True)
class UsageLedger:
    """Counts by window.

    Attributes:
        epoch: term of the coordinator that wrote the ledger last.
        decided_through: the last decided window; later counts for it or earlier ones are dropped.
        decided: final counts of the most recently decided windows.
        open: counts of the undecided windows, by window and source (a node's process).
        reported: decided windows whose report the platform has confirmed.
    """

    epoch: int = 0
    decided_through: int = 0
    decided: dict[int, Counts] = field(default_factory=dict)
    open: dict[int, dict[str, Counts]] = field(default_factory=dict)
    reported: set[int] = field(default_factory=set)

    def merge(self, window: int, source: str, counts: Counts) -> bool:
        """Merge a source's total counts of a window; returns whether the ledger changed.

        Counts only grow, so the larger of two values is the newer one.
        """
        if window <= self.decided_through:
            return False
        known = self.open.setdefault(window, {}).setdefault(source, {})
        changed = False
        for tenant, count in counts.items():
            if count > known.get(tenant, 0):
                known[tenant] = count
                changed = True
        return changed

    def decide(self, window: int) -> Counts:
        """Decide the next window: its current counts become final and are returned."""
        if window != self.decided_through + 1:
            raise ValueError(f"cannot decide window {window}: last decided {self.decided_through}")
        counts = self.current_counts(window)
        self.open.pop(window, None)
        self.decided[window] = counts
        self.decided_through = window
        for old in sorted(self.decided)[:-MAX_DECIDED_WINDOWS]:
            del self.decided[old]
        self.reported &= set(self.decided)
        return counts

    def late_requests(self, window: int, counts: Counts) -> int:
        """Return how many requests of a decided window are missing from its final counts."""
        decided = self.decided.get(window)
        if decided is None:
            return 0
        return sum(max(0, count - decided.get(tenant, 0)) for tenant, count in counts.items())

    def unreported(self) -> list[int]:
        """Return the decided windows not reported yet, in order."""
        return sorted(set(self.decided) - self.reported)

    def current_counts(self, window: int) -> Counts:
        """Return the current counts of an undecided window."""
        counts: Counts = {}
        for source_counts in self.open.get(window, {}).values():
            for tenant, count in source_counts.items():
                counts[tenant] = counts.get(tenant, 0) + count
        return counts

    def encode(self) -> dict[str, Any]:
        """Return the content of the ledger's document."""
        return {
            "epoch": self.epoch,
            "decided_through": self.decided_through,
            "decided": {str(window): dict(counts) for window, counts in self.decided.items()},
            "open": {
                str(window): {source: dict(counts) for source, counts in sources.items()}
                for window, sources in self.open.items()
            },
            "reported": sorted(self.reported),
        }

    @classmethod
    def decode(cls, content: dict[str, Any]) -> UsageLedger:
        """Return the ledger of a document's content. Raises KeyError, TypeError or ValueError."""
        return cls(
            epoch=int(content["epoch"]),
            decided_through=int(content["decided_through"]),
            decided={int(window): dict(counts) for window, counts in content["decided"].items()},
            open={
                int(window): {source: dict(counts) for source, counts in sources.items()}
                for window, sources in content["open"].items()
            },
            reported={int(window) for window in content["reported"]},
        )
