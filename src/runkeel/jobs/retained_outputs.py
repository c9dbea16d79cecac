"""Partial outputs retained for items that no current job runs; later jobs may contain the items."""

from __future__ import annotations

from runkeel.jobs.generation_run import PartialOutput

MAX_OUTPUTS = 2_000
"""Upper bound of retained outputs; the oldest are evicted first."""


class RetainedOutputs:
    """The most recent partial outputs by item ID."""

    def __init__(self) -> None:
        self._outputs: dict[str, PartialOutput] = {}

    def keep(self, item_id: str, output: PartialOutput) -> None:
        """Retain an item's partial output; ignored if it is empty."""
        if not output.pieces:
            return
        self._outputs[item_id] = output
        while len(self._outputs) > MAX_OUTPUTS:
            self._outputs.pop(next(iter(self._outputs)))

    def get(self, item_id: str) -> PartialOutput | None:
        return self._outputs.get(item_id)

    def take(self, item_id: str) -> PartialOutput | None:
        """Remove and return an item's partial output."""
        return self._outputs.pop(item_id, None)
