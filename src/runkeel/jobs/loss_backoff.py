"""Delay before accepted work is sent again after servers were lost under it."""

from __future__ import annotations

LOSSES_WITHOUT_DELAY = 2
"""Number of consecutive losses that cause no delay, as unrelated crashes are that common."""

BASE_DELAY_SECONDS = 0.25
"""Delay after the first loss beyond those; it doubles with each further one."""

MAX_DELAY_SECONDS = 2.0
"""Upper bound of the delay.

Work that is due within seconds must be placed again soon after the servers have recovered.
"""


def delay_after_losses(losses: int) -> float:
    """Return the delay in seconds after a number of consecutive losses."""
    beyond = losses - LOSSES_WITHOUT_DELAY
    if beyond <= 0:
        return 0.0
    # Bounds the exponent, as the number of losses has no bound.
    return min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2.0 ** min(beyond - 1, 16))
