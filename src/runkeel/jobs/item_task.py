"""State of an open item of a batch job, from submission until its result is listed."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent

from runkeel.api.jobs import JobItem
from runkeel.gateway.backends import BackendState
from runkeel.jobs.generation_run import GenerationRun, PartialOutput
from runkeel.jobs.job_state import JobState
from runkeel.runners.remote_run import RemoteRun


@dataclass(slots=True)
class ItemTask:
    """One open item of a job.

    Attributes:
        failures: number of runs whose outcome was FAILED.
        not_before: steady clock time, in seconds, before which it is not run again.
        resumed: a partial output of an earlier run was received for it, though maybe not used
            because of its versions; such items are placed first.
        route_missing_since: steady clock time, in seconds; 0 if the route is not missing.
        score: signature of the scorer's answer, if the node that ran the item had it scored.
        scoring_error: why that node could not score it; empty if it could or did not need to.
    """

    state: JobState
    item: JobItem
    partial: PartialOutput = field(default_factory=PartialOutput)
    failures: int = 0
    not_before: float = 0.0
    engine: BackendState | None = None
    run: GenerationRun | RemoteRun | None = None
    greenlet: gevent.Greenlet | None = None
    resumed: bool = False
    route_missing_since: float = 0.0
    score: str = ""
    scoring_error: str = ""
    better_output: PartialOutput | None = None
    """A longer partial output received during its run; the next run resumes from it."""
    started: bool = False
    """Whether its greenlet has started; a greenlet killed before that never runs its cleanup."""
    lost_runs: int = 0
    """Number of consecutive runs that broke before their first event."""
    reserved_engine: BackendState | None = None
    """Engine with a slot reserved for this item while it moves there from another engine."""

    @property
    def key(self) -> tuple[str, str]:
        """Job ID and item ID."""
        return self.state.job.job_id, self.item.item_id
