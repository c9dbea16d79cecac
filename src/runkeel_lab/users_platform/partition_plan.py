"""The faults of a partition soak: a list of acts that the seed determines."""

from __future__ import annotations

import random

from runkeel_lab.users_platform.faults import COORDINATOR, STORE_FAULTS
from runkeel_lab.users_platform.partitions import MAX_STALL_SECONDS
from runkeel_lab.users_platform.trace import TraceEvent

OTHER_ZONES = ("other-0", "other-1")
"""Targets of a partition: a zone without the coordinator; ``COORDINATOR`` stands for its zone."""

PARTITION_SECONDS = ((0.5, 3.5), (3.5, 5.0), (5.0, 7.5))
"""Ranges of the length of a partition.

A node begins a tentative term after 2.5 to 4.5 s; in the last range, it has often lasted for some
seconds when the partition ends.
"""

PARTITION_WEIGHTS = (3, 2, 5)
"""Relative frequencies of these ranges."""

PARTITION_PAUSE_SECONDS = (0.3, 3.0)
"""Range of the time between the end of a partition and the start of the next one."""

FAULT_PAUSE_SECONDS = (0.3, 3.7)
"""Range of the pause between two other faults; often shorter than a fault, so that they overlap."""

STORE_FAULT_SECONDS = (0.3, 4.0)
DOWNTIME_SECONDS = (0.05, 4.0)
STOP_PAUSE_SECONDS = (0.0, 0.5)

HEAL_KILL_SHARE = 0.7
"""Share of the partitions near whose end the coordinator is killed."""

HEAL_KILL_OFFSET_SECONDS = (-0.6, 0.1)
"""Range of the time from the end of such a partition to the kill."""

DISK_LOSS_SHARE = 0.3
"""Share of the coordinator's kills in which its disk is lost."""

MIN_DISK_LOSS_INTERVAL_SECONDS = 15.0
"""Time between two lost disks, in which the jobs that one held are copied to the store."""

MAX_FAULT_SECONDS = max(PARTITION_SECONDS[-1][1], STORE_FAULT_SECONDS[1], DOWNTIME_SECONDS[1])
"""Maximum duration of a fault."""

_ACTS = ("kill", "kill", "coordinator", "stop", "store", "compact", "version")


class PartitionPlan:
    """Draws the acts of a run.

    Args:
        names: names of the machines.
    """

    def __init__(self, seed: int, seconds: float, names: list[str]) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._names = names
        self._version = 1
        self._disk_lost_at = -MIN_DISK_LOSS_INTERVAL_SECONDS

    def draw(self) -> list[TraceEvent]:
        """Return the acts, in the order of their times."""
        acts = [*self._draw_partitions(), *self._draw_other_faults()]
        acts.sort(key=lambda act: act.at)
        return [self._with_disk(act) for act in acts]

    def _draw_partitions(self) -> list[TraceEvent]:
        """Draw partitions, some with a kill of the coordinator near their end."""
        acts = []
        at = self._uniform((0.5, 1.5))
        while at < self._seconds:
            seconds = self._uniform(*self._random.choices(PARTITION_SECONDS, PARTITION_WEIGHTS))
            details = {
                "seconds": seconds,
                "stall_seconds": self._uniform((0.0, MAX_STALL_SECONDS)),
                "store_fault": self._random.choice(("refused", "refused", "silent")),
            }
            target = self._random.choice((COORDINATOR, *OTHER_ZONES))
            acts.append(TraceEvent(at, "partition", target, details=details))
            end = at + seconds
            if self._random.random() < HEAL_KILL_SHARE:
                acts.append(self._kill(end + self._uniform(HEAL_KILL_OFFSET_SECONDS), COORDINATOR))
            at = round(end + self._uniform(PARTITION_PAUSE_SECONDS), 3)
        return acts

    def _draw_other_faults(self) -> list[TraceEvent]:
        acts = []
        at = self._uniform(FAULT_PAUSE_SECONDS)
        while at < self._seconds:
            acts.append(self._draw_other_fault(at))
            at = round(at + self._uniform(FAULT_PAUSE_SECONDS), 3)
        return acts

    def _draw_other_fault(self, at: float) -> TraceEvent:
        act = self._random.choice(_ACTS)
        if act == "coordinator":
            return self._kill(at, COORDINATOR)
        if act == "kill":
            return self._kill(at, self._random.choice(self._names))
        if act == "stop":
            pause = self._uniform(STOP_PAUSE_SECONDS)
            return TraceEvent(at, act, self._random.choice(self._names), details={"seconds": pause})
        if act == "store":
            kind = self._random.choice(sorted(STORE_FAULTS))
            seconds = self._uniform(STORE_FAULT_SECONDS)
            return TraceEvent(at, act, details={"kind": kind, "seconds": seconds})
        if act == "version":
            self._version += 1
            return TraceEvent(at, act, details={"version": self._version})
        return TraceEvent(at, act)

    def _kill(self, at: float, target: str) -> TraceEvent:
        details = {"seconds": self._uniform(DOWNTIME_SECONDS), "disk_lost": False}
        return TraceEvent(round(at, 3), "kill", target, details=details)

    def _with_disk(self, act: TraceEvent) -> TraceEvent:
        """Let some kills of the coordinator lose its disk."""
        if act.act != "kill" or act.target != COORDINATOR:
            return act
        if self._random.random() >= DISK_LOSS_SHARE:
            return act
        if act.at - self._disk_lost_at < MIN_DISK_LOSS_INTERVAL_SECONDS:
            return act
        self._disk_lost_at = act.at
        return TraceEvent(act.at, act.act, act.target, details={**act.details, "disk_lost": True})

    def _uniform(self, bounds: tuple[float, float]) -> float:
        return round(self._random.uniform(*bounds), 3)
