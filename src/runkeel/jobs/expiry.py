"""Expiry time of the items of batch jobs."""

from __future__ import annotations

import math

from runkeel.api.fleet import Route
from runkeel.api.jobs import BatchJob

MAX_CLOCK_SKEW_SECONDS = 4.5
"""Upper bound of the clock skew between the node that accepted a job and the coordinator.

Each clock may be off by 2 s in opposite directions. Expiring an item late is harmless; expiring it
early would break the queue time promised to the client.
"""


def expires_at(job: BatchJob, route: Route) -> float:
    """Return the Unix time in seconds when an item expires; infinity if it never does."""
    if route.max_queue_seconds <= 0:
        return math.inf
    return job.submitted_at + route.max_queue_seconds + MAX_CLOCK_SKEW_SECONDS
