"""What is known of each window's usage, and what was decided to be reported of it.

The ledger is one document in the store, replaced on condition of its revision. A window is decided
by a replacement that names its counts: whoever coordinates later finds them there, and reports
these and no others.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

KEPT_DECISIONS = 8
"""Decided windows that stay in the ledger; a later holder of the duty may report them again."""

Counts = dict[str, int]
"""Requests by tenant."""


@dataclass(frozen=True, slots=True)
class WindowSummary:
    """A window as operators see it; ``state`` is ``open``, ``decided`` or ``reported``."""

    window: int
    state: str
    requests: int
    tenants: int
    ended_ms_ago: int


@dataclass(slots=True)
class UsageLedger:
    """Counts by window.

    Attributes:
        epoch: term of the coordinator that wrote it last.
        decided_through: the last window that is decided; what comes of it or before is too late.
        decided: the latest decided windows, with what is reported of them.
        open: what nodes' processes told of the windows that are not decided, by window and source.
        reported: decided windows of which the platform has confirmed the report.
    """

    epoch: int = 0
    decided_through: int = 0
    decided: dict[int, Counts] = field(default_factory=dict)
    open: dict[int, dict[str, Counts]] = field(default_factory=dict)
    reported: set[int] = field(default_factory=set)

    def merge(self, window: int, source: str, counts: Counts) -> bool:
        """Take what a source has counted in a window in all; False when that is too late or known.

        Counts only grow, so that of two the larger is the later.
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
        """Decide the next window: what is known of it now is what will be reported."""
        if window != self.decided_through + 1:
            raise ValueError(f"window {window} follows {self.decided_through}")
        counts = self.counts_so_far(window)
        self.open.pop(window, None)
        self.decided[window] = counts
        self.decided_through = window
        for old in sorted(self.decided)[:-KEPT_DECISIONS]:
            del self.decided[old]
        self.reported &= set(self.decided)
        return counts

    def missed(self, window: int, counts: Counts) -> int:
        """Return how many requests of a decided window came too late to be reported."""
        decided = self.decided.get(window)
        if decided is None:
            return 0
        return sum(max(0, count - decided.get(tenant, 0)) for tenant, count in counts.items())

    def unreported(self) -> list[int]:
        """Return the decided windows that are still to be reported, in order."""
        return sorted(set(self.decided) - self.reported)

    def counts_so_far(self, window: int) -> Counts:
        """Return what is known of a window that is not decided."""
        counts: Counts = {}
        for told in self.open.get(window, {}).values():
            for tenant, count in told.items():
                counts[tenant] = counts.get(tenant, 0) + count
        return counts

    def encode(self) -> dict[str, Any]:
        """Return the content of the ledger's document."""
        return {
            "epoch": self.epoch,
            "decided_through": self.decided_through,
            "decided": {str(window): dict(counts) for window, counts in self.decided.items()},
            "open": {
                str(window): {source: dict(counts) for source, counts in told.items()}
                for window, told in self.open.items()
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
                int(window): {source: dict(counts) for source, counts in told.items()}
                for window, told in content["open"].items()
            },
            reported={int(window) for window in content["reported"]},
        )
