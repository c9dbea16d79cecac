"""An open item of a batch job, from its acceptance until its result is listed."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent

from runkeel.api.jobs import JobItem
from runkeel.gateway.backends import BackendState
from runkeel.jobs.generation_run import GenerationRun, PartialText
from runkeel.jobs.job_state import JobState
from runkeel.quarantine.quarantine import WatchedRequest
from runkeel.runners.remote_run import RemoteRun


@dataclass(slots=True)
class ItemTask:
    """One open item of a job.

    Attributes:
        failures: runs that an engine answered with a failure.
        not_before: steady time before which it isn't run again.
        score: the scorer's stamp, where the node that ran it has had it scored.
        scoring_problem: why that node could not; empty if it could or had not to.
    """

    state: JobState
    item: JobItem
    partial: PartialText = field(default_factory=PartialText)
    failures: int = 0
    not_before: float = 0.0
    engine: BackendState | None = None
    run: GenerationRun | RemoteRun | None = None
    task: gevent.Greenlet | None = None
    carried: bool = False
    route_missing_since: float = 0.0
    score: str = ""
    scoring_problem: str = ""
    better_text: PartialText | None = None
    """A longer text that came while it ran; it goes on from that once its run has ended."""
    begun: bool = False
    """Its greenlet has begun to run; one that is killed before never cleans up."""
    watched: WatchedRequest | None = None
    """Whether the item may be run, as far as crashes of engines go."""
    next_engine: BackendState | None = None
    """Engine with a slot kept for this item, which is leaving a slow one."""

    @property
    def key(self) -> tuple[str, str]:
        """Names the task."""
        return self.state.job.job_id, self.item.item_id
