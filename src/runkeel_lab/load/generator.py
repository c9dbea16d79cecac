"""Open-loop load: calls start at their planned times, however slow the answers are."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence

import gevent
from gevent.pool import Pool

from runkeel_lab.load.caller import Caller, NodeTarget
from runkeel_lab.load.classes import CallerClass
from runkeel_lab.load.plans import PlannedCall, plan_calls
from runkeel_lab.load.records import CallRecord

_MAX_CALLS_AT_ONCE = 5_000


class LoadGenerator:
    """Runs all classes of callers of an experiment.

    Attributes:
        records: one for each call that has ended.
        late_seconds: the most that the generator itself was behind its plan; figures of a run
            with much of it measure the lab, not runkeel.
    """

    def __init__(
        self,
        classes: Iterable[CallerClass],
        targets: Sequence[NodeTarget],
        zones: dict[str, str],
        client_delay_seconds: float,
        seed: int,
        seconds: float,
    ) -> None:
        self.records: list[CallRecord] = []
        self.late_seconds = 0.0
        self._plans = [(each, list(plan_calls(each, seed, seconds))) for each in classes]
        self._targets = targets
        self._zones = zones
        self._delay = client_delay_seconds
        self._pool = Pool(_MAX_CALLS_AT_ONCE)

    @property
    def planned(self) -> int:
        """Number of calls in the plan."""
        return sum(len(plan) for _, plan in self._plans)

    def run(self) -> None:
        """Send all planned calls and wait for the end of each."""
        start = time.monotonic()
        feeders = [
            gevent.spawn(self._feed, caller_class, plan, start)
            for caller_class, plan in self._plans
        ]
        gevent.joinall(feeders, raise_error=True)
        self._pool.join()

    def _feed(self, caller_class: CallerClass, plan: Sequence[PlannedCall], start: float) -> None:
        targets = [
            target
            for target in self._targets
            if not caller_class.zone or self._zones[target.node_id] == caller_class.zone
        ]
        caller = Caller(targets, self._delay)
        for number, call in enumerate(plan):
            arrival = start + call.at_seconds
            gevent.sleep(max(0.0, arrival - time.monotonic()))
            self.late_seconds = max(self.late_seconds, time.monotonic() - arrival)
            self._pool.spawn(self._run_call, caller, call, number, arrival)

    def _run_call(self, caller: Caller, call: PlannedCall, number: int, arrival: float) -> None:
        self.records.append(caller.run(call, number, arrival))
