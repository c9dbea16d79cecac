"""Microbenchmarks of single decisions at several fleet sizes; no request is sent."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import gevent
from loguru import logger

from runkeel.api.backend_protocol import ForwardedRequest
from runkeel.api.fleet import (
    Backend,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceDescription,
    ServiceShare,
)
from runkeel.api.jobs import BatchJob, JobItem
from runkeel.api.machines import Address
from runkeel.gateway.backends import BackendDirectory, choose_backend
from runkeel.gateway.routing import RoutingTable
from runkeel.jobs.engine_placement import EnginePlacement
from runkeel.jobs.job_state import JobState
from runkeel.jobs.scheduler import Scheduler
from runkeel.quarantine.crash_ledger import MAX_RECORDS
from runkeel.quarantine.quarantine import Quarantine
from runkeel.quarantine.trials import TrialAnswer

DEFAULT_ENGINE_COUNTS = (40, 400, 4_200)
_BODY = b"x" * 1_024
_SERVICE = "engines"
_MODEL = "m"
_SLOTS = 6
_REPETITIONS = 300
_ITEM_BODY = "Ym9keQ=="
_MICROSECONDS = 1e6


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Median and 99th percentile of the time of one decision, in microseconds."""

    name: str
    engines: int
    waiting: int
    median_us: float
    p99_us: float


class _NullProtocol:
    """Protocol whose runs block and send nothing, so that only the decision is timed."""

    def encode_generation(self, request: object, backend: Backend, remaining: float) -> None:
        gevent.sleep(3600.0)


def measure(engines: int, waiting: int) -> list[DecisionCost]:
    """Measure decisions with a number of engines and of waiting items."""
    logger.remove()
    directory = BackendDirectory()
    for number in range(engines):
        address = Address("127.0.0.1", 1)
        zone = f"zone-{number % 5}"
        directory.put(Backend(f"e{number}", _SERVICE, address, zone, _SLOTS, False, {_MODEL: 1}))
    placement = EnginePlacement(directory, lambda backend_id, model: False)
    job = _job(waiting)
    item = job.items[0]

    def choose_server() -> None:
        choose_backend(directory.candidates(_SERVICE), set(), "zone-0")

    def choose_engine() -> None:
        placement.choose(job, item, _SERVICE)

    costs = [
        _measure_cost("server selection", engines, 0, choose_server),
        _measure_cost("engine selection", engines, 0, choose_engine),
    ]
    scheduler = _saturated_scheduler(placement, directory, job)
    costs.append(_measure_cost("placement, no free slot", engines, waiting, scheduler._place_all))
    scheduler.stop()
    return costs


def measure_quarantine() -> list[DecisionCost]:
    """Measure the quarantine check; ``engines`` in the result is the number of records."""
    quarantine = Quarantine(b"decisions", lambda record: TrialAnswer(False))
    request = ForwardedRequest("r", "POST", "/count/x", "host", (), _BODY, tenant="tenant")

    def check_quarantine() -> None:
        identify = partial(quarantine.fingerprinter.of_forwarded_request, request)
        _ = quarantine.watch(identify, _SERVICE, request.request_id).quarantined

    costs = []
    for records in (0, 1, MAX_RECORDS):
        for number in range(records):
            quarantine.ledger.record_crash(f"{number:032x}", _SERVICE, "server")
        costs.append(_measure_cost("quarantine check", records, 0, check_quarantine))
    return costs


def _saturated_scheduler(
    placement: EnginePlacement, directory: BackendDirectory, job: BatchJob
) -> Scheduler:
    """Return a scheduler whose items wait because all slots are in use."""
    for state in directory.all():
        for _ in range(_SLOTS):
            placement.acquire_slot(state)
    routing = RoutingTable()
    share = ServiceShare(_SERVICE, 1.0)
    route = Route("r", "host", "/", RouteKind.BATCH, (share,), max_queue_seconds=3600.0, rank=1)
    description = ServiceDescription(_SERVICE, models=(_MODEL,))
    routing.apply(RoutingConfiguration(1, (route,), {_SERVICE: description}))
    scheduler = Scheduler(
        placement,
        routing,
        _NullProtocol(),
        None,
        lambda backend_id, model: False,
        Quarantine(b"decisions", lambda record: TrialAnswer(False)),
    )
    scheduler.add(JobState(job))
    return scheduler


def _job(items: int) -> BatchJob:
    return BatchJob(
        job_id="job",
        host="host",
        path="/",
        submitted_at=time.time(),
        items=tuple(
            JobItem(f"i{number}", "/x", (), _ITEM_BODY, 10, f"g{number // 8}")
            for number in range(items)
        ),
        model=_MODEL,
        min_version=1,
    )


def _measure_cost(
    name: str, engines: int, waiting: int, decide: Callable[[], None]
) -> DecisionCost:
    times = []
    for _ in range(_REPETITIONS):
        started = time.perf_counter()
        decide()
        times.append((time.perf_counter() - started) * _MICROSECONDS)
    times.sort()
    return DecisionCost(
        name, engines, waiting, statistics.median(times), times[int(0.99 * len(times))]
    )


def format_costs(costs: list[DecisionCost]) -> str:
    """Return a table with one line per cost."""
    lines = [f"{'decision':26} {'engines':>8} {'waiting':>8} {'median us':>10} {'p99 us':>10}"]
    lines += [
        f"{one.name:26} {one.engines:8,} {one.waiting:8,} {one.median_us:10.1f} {one.p99_us:10.1f}"
        for one in costs
    ]
    return "\n".join(lines)
