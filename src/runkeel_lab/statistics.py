"""Quantiles of measured values."""

from __future__ import annotations

import math
from collections.abc import Sequence


def quantile(values: Sequence[float], fraction: float) -> float | None:
    """Return the nearest-rank quantile, or None of no values."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(1, math.ceil(fraction * len(ordered)))
    return ordered[rank - 1]
