"""Soak test of partitioned zones, with kills, planned stops and store faults that overlap them.

Jobs are submitted and read at edge nodes of all zones, also of the one that is cut off. A trainer
reads each job and ends it; other readers go on reading all jobs from random positions until the end
of the run.

Checked in all reads, at every node, within and without the partition:

- No accepted job is reported as unknown, and its total is its number of items.
- A result that was read is there, later than ``SETTLE_SECONDS`` after it was first read.
- A position never holds another result than it held before, and no item is at two positions.

Checked after recovery, in addition to :mod:`runkeel_lab.users_platform.soak`: each of this at every
node, and the results of the jobs that were not ended early are complete.
"""

from __future__ import annotations

import json
import random

import gevent
from gevent.lock import Semaphore
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel_lab.users_platform.deployment import ZONES
from runkeel_lab.users_platform.faults import COORDINATOR, STORE_FAULTS
from runkeel_lab.users_platform.partition_plan import (
    MAX_FAULT_SECONDS,
    OTHER_ZONES,
    PartitionPlan,
)
from runkeel_lab.users_platform.partitions import Partitions
from runkeel_lab.users_platform.read_log import ReadJob
from runkeel_lab.users_platform.soak import Soak
from runkeel_lab.users_platform.trace import COMPLETED, TraceEvent

SIZES = {
    "edges": 3,
    "disks": 6,
    "engines": 6,
    "applications": 3,
    "tolerated_losses": 1,
    "tolerated_zones": 1,
    "models": 2,
}

RECOVERY_SECONDS = MAX_FAULT_SECONDS + 4.0
"""Time after the last fault; covers its length, a planned stop and the return of servers."""

JOB_INTERVAL_SECONDS = 0.4
ITEM_COUNTS = (4, 32)
"""Range of the number of items of a job."""

EARLY_END_SHARE = 0.2
"""Share of the jobs that their trainer ends before it has read all results."""

END_PAUSE_SECONDS = (0.0, 4.0)
"""Range of the time from a trainer's last read of a job to its end."""

OPEN_SHARE = 0.1
"""Share of the jobs that their trainer never ends."""

READERS = 12
READER_PAUSE_SECONDS = (0.02, 0.1)
TRAINER_PAUSE_SECONDS = (0.2, 0.6)
RETRY_PAUSE_SECONDS = 0.2
RECENT_JOBS = 12
"""Number of newest jobs that readers prefer."""

RECENT_SHARE = 0.6
FIRST_POSITION_SHARE = 0.3
"""Share of the readers' requests that read from the start."""

RESEND_SHARE = 0.02
"""Share of the readers' requests that send a job or an end again."""

WAITS_MS = (0, 0, 200, 1_000)
FINAL_READ_TIMEOUT_SECONDS = 60.0
_ACCEPTED = 202
_OK = 200
_NOT_FOUND = 404


class PartitionSoak(Soak):
    """One soak run; the seed determines the plan of faults.

    Args:
        seconds: length of the part of the run in which faults are injected.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        super().__init__(seed, seconds, SIZES)
        self._partitions = Partitions(self._deployment, seed)
        self._plan = PartitionPlan(seed, seconds, self._deployment.node_names).draw()
        self._jobs: list[ReadJob] = []
        self._submitted = 0
        self._readers_stopped = False
        self._clients: list[gevent.Greenlet] = []
        self._partition_lock = Semaphore()
        self._store_faults: dict[str, int] = {}
        """Number of current store faults by kind."""

    @property
    def plan(self) -> list[TraceEvent]:
        """The acts that inject faults."""
        return self._plan

    def _start_tasks(self, end: float) -> list[gevent.Greenlet]:
        for _ in range(READERS):
            rng = random.Random(self._random.random())
            self._clients.append(gevent.spawn(self._read_until_stopped, rng))
        last_job_at = end + MAX_FAULT_SECONDS
        gevent.spawn(self._repeat, last_job_at, JOB_INTERVAL_SECONDS, self._start_job)
        return [gevent.spawn(self._execute_plan), gevent.spawn(gevent.sleep, self._seconds)]

    def _execute_plan(self) -> None:
        for act in self._plan:
            gevent.sleep(max(0.0, self._started_at + act.at - steady_seconds()))
            self._report.faults[act.act] = self._report.faults.get(act.act, 0) + 1
            logger.info("act", code="act", act=act.act, target=act.target, **act.details)
            gevent.spawn(self._execute, act)

    def _execute(self, act: TraceEvent) -> None:
        """Inject a fault, which ends by itself."""
        details = act.details
        if act.act == "partition":
            self._partition(act)
        elif act.act == "kill":
            self._kill(act)
        elif act.act == "stop":
            self._deployment.restart_node(act.target, details["seconds"])
        elif act.act == "store":
            self._degrade_store(details["kind"], details["seconds"])
        elif act.act == "version":
            for model in self._deployment.models:
                self._deployment.publish_version(details["version"], model)
        else:
            self._deployment.store.objects.compact()

    def _partition(self, act: TraceEvent) -> None:
        with self._partition_lock:
            self._partitions.start(self._zone(act.target), act.details["store_fault"])
            gevent.sleep(act.details["seconds"])
            self._partitions.end(act.details["stall_seconds"])

    def _zone(self, target: str) -> str:
        """Return the zone that a partition's target stands for at this moment."""
        coordinators = self._deployment.coordinators()
        zone = self._deployment.zone(coordinators[0]) if coordinators else ZONES[0]
        others = [one for one in ZONES if one != zone]
        return zone if target == COORDINATOR else others[OTHER_ZONES.index(target)]

    def _kill(self, act: TraceEvent) -> None:
        names = [act.target]
        if act.target == COORDINATOR:
            names = self._deployment.coordinators()[:1]
        for name in names:
            self._deployment.kill_node(name)
            if act.details["disk_lost"]:
                self._deployment.replace_disk(name)
            gevent.spawn_later(act.details["seconds"], self._deployment.start_if_down, name)

    def _degrade_store(self, kind: str, seconds: float) -> None:
        """Start a fault of the store for all machines; faults of the same kind may overlap."""
        fault, normal = STORE_FAULTS[kind]
        self._store_faults[kind] = self._store_faults.get(kind, 0) + 1
        setattr(self._deployment.store, kind, fault)
        gevent.sleep(seconds)
        self._store_faults[kind] -= 1
        if not self._store_faults[kind]:
            setattr(self._deployment.store, kind, normal)

    def _start_job(self) -> None:
        rng = random.Random(self._random.random())
        self._clients.append(gevent.spawn(self._train, self._submitted, rng))
        self._submitted += 1

    def _train(self, number: int, rng: random.Random) -> None:
        """Submit a job, read its results at changing nodes, and end it."""
        job_id = f"job{number}-{rng.randrange(1 << 30)}"
        items = [f"{job_id}-g{n // 4}-{n}" for n in range(rng.randint(*ITEM_COUNTS))]
        if not self._submit_until_accepted(job_id, items, rng):
            return
        job = ReadJob(job_id, items, steady_seconds())
        self._jobs.append(job)
        self._report.accepted += 1
        kind = rng.random()
        wanted = rng.randrange(len(items)) if kind < EARLY_END_SHARE else len(items)
        while len(job.seen) < wanted:
            if self._readers_stopped:
                return
            self._read_at(job, self._draw_edge(rng), len(job.seen), rng.choice(WAITS_MS))
            gevent.sleep(rng.uniform(*TRAINER_PAUSE_SECONDS))
        if kind < 1.0 - OPEN_SHARE:
            gevent.sleep(rng.uniform(*END_PAUSE_SECONDS))
            self._end_until_acknowledged(job, rng)

    def _submit_until_accepted(self, job_id: str, items: list[str], rng: random.Random) -> bool:
        """Submit a job at changing nodes; return False if it was not accepted in this run."""
        while not self._readers_stopped:
            if self._submit_at(self._draw_edge(rng), job_id, items) == _ACCEPTED:
                return True
            gevent.sleep(RETRY_PAUSE_SECONDS)
        return False

    def _submit_at(self, edge: str, job_id: str, items: list[str]) -> int:
        at = self._elapsed()
        models = self._deployment.models
        model = models[len(items) % len(models)]
        status = self._deployment.submit(edge, job_id, items, model=model)
        outcome = COMPLETED if status == _ACCEPTED else ""
        self._events.append(TraceEvent(at, "job", edge, job_id, {"items": len(items)}, outcome))
        return status

    def _end_until_acknowledged(self, job: ReadJob, rng: random.Random) -> None:
        job.ended = True
        while not self._readers_stopped and not self._end_at(job, self._draw_edge(rng)):
            gevent.sleep(RETRY_PAUSE_SECONDS)

    def _end_at(self, job: ReadJob, edge: str) -> bool:
        status = self._deployment.end(edge, job.job_id)
        if status == _NOT_FOUND:
            self._report_violation(f"{job.job_id}: 404 to its end at {edge}")
        return status == _OK

    def _read_until_stopped(self, rng: random.Random) -> None:
        """Read random jobs from random positions at random nodes."""
        while not self._readers_stopped:
            if self._jobs:
                recent = rng.random() < RECENT_SHARE
                job = rng.choice(self._jobs[-RECENT_JOBS:] if recent else self._jobs)
                self._call_at(job, self._draw_edge(rng), rng)
            gevent.sleep(rng.uniform(*READER_PAUSE_SECONDS))

    def _call_at(self, job: ReadJob, edge: str, rng: random.Random) -> None:
        """Read a job, mostly; seldom send it or its end again."""
        if rng.random() < RESEND_SHARE:
            if job.ended:
                self._end_at(job, edge)
            else:
                self._submit_at(edge, job.job_id, job.items)
            return
        position = 0 if rng.random() < FIRST_POSITION_SHARE else rng.randint(0, len(job.seen))
        self._read_at(job, edge, position, rng.choice(WAITS_MS))

    def _read_at(self, job: ReadJob, edge: str, position: int, wait_ms: int) -> int | None:
        """Read a job at a node and check the response.

        Returns:
            The number of results in the response; None unless it has status 200.
        """
        sent_at = steady_seconds()
        response = self._deployment.read(edge, job.job_id, position, wait_ms)
        if response is None:
            return None
        for violation in job.check(response, position, sent_at, steady_seconds()):
            at = round(sent_at - self._started_at, 3)
            self._report_violation(
                f"{job.job_id}: {at} s, {edge} (zone {self._deployment.zone(edge)}), position "
                f"{position}: {violation}; {len(job.seen)} read, partition: {self._partitions.zone}"
            )
        if response.status != _OK:
            return None
        self._report.reads += 1
        return len(json.loads(response.body)["Results"])

    def _draw_edge(self, rng: random.Random) -> str:
        return rng.choice(self._deployment.edge_names)

    def _report_violation(self, text: str) -> None:
        super()._report_violation(text)
        logger.error(text, code="violation")

    def _recover(self) -> None:
        """Wait until all faults are over; readers go on meanwhile."""
        gevent.sleep(RECOVERY_SECONDS)
        for name in self._deployment.node_names:
            self._deployment.start_if_down(name)
        self._deployment.wait_ready()

    def _check_jobs(self) -> None:
        deadline = steady_seconds() + FINAL_READ_TIMEOUT_SECONDS
        for job in self._jobs:
            self._check_job(job, deadline)
        self._readers_stopped = True
        gevent.joinall(self._clients, raise_error=True)

    def _check_job(self, job: ReadJob, deadline: float) -> None:
        """Check that a job is complete, unless it was ended early, and the same at every node."""
        for edge in self._deployment.edge_names:
            while not self._has_all_results(job, edge):
                if steady_seconds() > deadline:
                    self._report_violation(f"{job.job_id}: not read completely at {edge}")
                    break
                gevent.sleep(RETRY_PAUSE_SECONDS)
        self._check_contents(job.contents)
        unknown = {result["Id"] for result in job.contents} - set(job.items)
        if unknown:
            self._report_violation(f"{job.job_id}: results of unknown items {sorted(unknown)}")

    def _has_all_results(self, job: ReadJob, edge: str) -> bool:
        """Read a job from the start; return whether it has all results that it must have."""
        count = self._read_at(job, edge, 0, 0)
        complete = job.complete or job.ended
        return complete and count is not None and count >= len(job.seen)
