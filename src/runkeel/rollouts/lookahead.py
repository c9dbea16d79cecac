"""How many versions pass between a step's submission and its first pull."""

from __future__ import annotations

_RISE = 0.5
_FALL = 0.1


class LookaheadHistory:
    """Expected number of versions by model.

    A trainer that submits steps ahead pulls them some versions later. Samples that are made at
    once are then at least that old, which shows whether it pays to make them yet.
    """

    def __init__(self) -> None:
        self._versions: dict[str, float] = {}

    def note(self, model: str, versions: int) -> None:
        """Take a first pull into account; the estimate rises faster than it falls."""
        past = self._versions.get(model, 0.0)
        weight = _RISE if versions > past else _FALL
        self._versions[model] = past + weight * (versions - past)

    def expected(self, model: str) -> float:
        """Return the expected number of versions; 0 before the first pull."""
        return self._versions.get(model, 0.0)
