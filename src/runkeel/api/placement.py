"""Names of the placement policies, as the settings state them."""

from __future__ import annotations

import enum


class PlacementPolicy(enum.StrEnum):
    """How callers' requests are placed on owners and on back ends.

    The last two do not look at load. They are baselines for measurement, not for production.
    """

    LEAST_LOADED = "least_loaded"
    ROUND_ROBIN = "round_robin"
    RANDOM = "random"
