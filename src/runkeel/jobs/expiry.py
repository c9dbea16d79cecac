"""When the time of a batch job's item is over, so that it may be given up."""

from __future__ import annotations

import math

from runkeel.api.fleet import Route
from runkeel.api.jobs import BatchJob

CLOCK_DIFFERENCE_SECONDS = 4.5
"""The clock of the node that accepted the job and that of the coordinator differ by less.

Either may be 2 s off for a while, in opposite ways. An item that is given up too early is lost to
its trainer, who was told how long it is tried; one that is given up later costs nobody anything.
"""


def expires_at(job: BatchJob, route: Route) -> float:
    """Return the Unix time from which on an item may be given up; never: infinity."""
    if route.maximum_queue_seconds <= 0:
        return math.inf
    return job.submitted_at + route.maximum_queue_seconds + CLOCK_DIFFERENCE_SECONDS
