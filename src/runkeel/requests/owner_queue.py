"""Queue of one pool at the owner of its back ends.

Requests wait by priority rank, first come first served within a rank. What can't meet its deadline
by the projected wait is refused at once, when it comes or as soon as the projection shows it.
"""

from __future__ import annotations

import bisect
import time
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult

from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.requests.backend_choice import Backend, Demand, OwnedBackends, PoolId
from runkeel.requests.deadline import Deadline

SERVICE_TIME_WEIGHT = 0.02
"""Weight of the newest sample in the moving average of service times."""
CALLERS_PRESENT_SECONDS = 5.0
"""Rollouts keep to their share for so long after a caller's last request."""
MINIMUM_RETRY_AFTER_SECONDS = 0.1
ADMISSION_MARGIN = 1.3
"""Projected time times this must fit into the deadline of a request that comes in.

What is admitted should not have to be refused later because service times vary.
"""
OVERTAKING_WEIGHT = 0.02
"""Weight of the newest grant in the moving average of overtaking grants."""
MAXIMUM_OVERTAKING = 0.9


@dataclass(slots=True, eq=False)
class Waiter:
    """A request in the queue."""

    demand: Demand
    deadline: Deadline
    result: AsyncResult = field(default_factory=AsyncResult)


class PoolQueue:
    """Grants the slots of one pool's back ends."""

    def __init__(self, pool: PoolId, backends: OwnedBackends) -> None:
        self._pool = pool
        self._backends = backends
        self._waiting: list[Waiter] = []
        self._service_seconds = 0.0
        self._overtaking_fraction = 0.0
        self._overtaking_rank = 0
        self._last_caller_at = -CALLERS_PRESENT_SECONDS
        self.in_flight = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def projected_wait_seconds(self, rank: int) -> float:
        """Return how long a new request of this rank would wait for a slot."""
        slots = self._backends.total_slots(self._pool)
        if self.in_flight + len(self._waiting) < slots:
            return 0.0
        return self._wait_seconds(self._position(rank), slots, rank)

    def enter(self, demand: Demand, deadline: Deadline) -> Waiter:
        """Take a slot or a place in the queue; wait for the outcome with :meth:`wait`.

        Raises:
            RunkeelError: NO_BACKEND, QUEUE_FULL or DEADLINE_UNREACHABLE, all NOT_RUN.
        """
        if not demand.is_rollout:
            self._last_caller_at = time.monotonic()
        waiter = Waiter(demand, deadline)
        if not self._waiting and self._grant(waiter):
            return waiter
        if not self._backends.could_serve(demand):
            raise not_run(ErrorCode.NO_BACKEND, "no back end in service", retry_after_seconds=1.0)
        self._refuse_if_late(waiter)
        self._make_room(demand)
        self._waiting.insert(self._position(demand.rank), waiter)
        self.pump()
        return waiter

    def wait(self, waiter: Waiter) -> Backend:
        """Wait for a slot. Raises what the request is refused with, always NOT_RUN."""
        if waiter.result.ready():
            return waiter.result.get()
        timeout = gevent.Timeout.start_new(waiter.deadline.remaining_seconds())
        try:
            return waiter.result.get()
        except gevent.Timeout as caught:
            if caught is not timeout:
                raise
            self._abandon(waiter)
            raise not_run(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed in the queue") from None
        except gevent.GreenletExit:
            self._abandon(waiter)
            raise
        finally:
            timeout.close()

    def refuse(self, waiter: Waiter, error: RunkeelError) -> None:
        """End a waiter's wait with an error; does nothing once it has its slot."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            waiter.result.set_exception(error)

    def refuse_all(self, code: ErrorCode, detail: str) -> None:
        """Refuse all that wait."""
        for waiter in list(self._waiting):
            self.refuse(waiter, not_run(code, detail))

    def release(self, backend: Backend, demand: Demand, service_seconds: float | None) -> None:
        """Give a slot back. ``service_seconds`` is None for a request that was not answered."""
        self._backends.give_back(backend, demand)
        self.in_flight -= 1
        if service_seconds is not None:
            self._note_service_time(service_seconds)
        self.pump()

    def pump(self) -> None:
        """Grant free slots to those that wait, the most urgent first."""
        for waiter in list(self._waiting):
            if self._grant(waiter):
                self._waiting.remove(waiter)
                self._note_grant(waiter.demand.rank)
            elif not waiter.demand.is_rollout and not waiter.demand.minimum_version:
                # Nobody behind it can use a slot that the most urgent caller can't use.
                return

    def shed(self) -> None:
        """Refuse now whoever can no longer get a slot before its deadline."""
        if not self._waiting:
            return
        slots = self._backends.total_slots(self._pool)
        kept = 0
        for waiter in list(self._waiting):
            wait = self._wait_seconds(kept, slots, waiter.demand.rank)
            if not self._backends.could_serve(waiter.demand):
                self.refuse(waiter, not_run(ErrorCode.NO_BACKEND, "no back end in service"))
            elif wait + self._service_seconds > waiter.deadline.remaining_seconds():
                self.refuse(waiter, _unreachable(wait))
            else:
                kept += 1

    @property
    def mean_service_seconds(self) -> float:
        """Moving average of the service times; 0 before the first answer."""
        return self._service_seconds

    def _grant(self, waiter: Waiter) -> bool:
        callers_present = time.monotonic() - self._last_caller_at < CALLERS_PRESENT_SECONDS
        backend = self._backends.choose(waiter.demand, callers_present)
        if backend is None:
            return False
        self._backends.take(backend, waiter.demand)
        self.in_flight += 1
        waiter.result.set(backend)
        return True

    def _abandon(self, waiter: Waiter) -> None:
        """Undo a wait that ended from outside; it may have got its slot in the same turn."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.result.successful():
            self.release(waiter.result.value, waiter.demand, None)

    def _position(self, rank: int) -> int:
        return bisect.bisect_right(self._waiting, rank, key=lambda waiter: waiter.demand.rank)

    def _wait_seconds(self, ahead: int, slots: int, rank: int) -> float:
        wait = (ahead + 1) * self._service_seconds / max(1, slots)
        if rank <= self._overtaking_rank:
            return wait
        return wait / (1.0 - min(MAXIMUM_OVERTAKING, self._overtaking_fraction))

    def _note_grant(self, rank: int) -> None:
        """Follow which share of the slots goes to more urgent work than what waits last."""
        if not self._waiting:
            return
        overtaking = self._waiting[-1].demand.rank > rank
        if overtaking:
            self._overtaking_rank = rank
        self._overtaking_fraction += OVERTAKING_WEIGHT * (overtaking - self._overtaking_fraction)

    def _refuse_if_late(self, waiter: Waiter) -> None:
        slots = self._backends.total_slots(self._pool)
        rank = waiter.demand.rank
        wait = self._wait_seconds(self._position(rank), slots, rank)
        projected = ADMISSION_MARGIN * (wait + self._service_seconds)
        if projected > waiter.deadline.remaining_seconds():
            raise _unreachable(wait)

    def _make_room(self, demand: Demand) -> None:
        limits = self._backends.limits(self._pool)
        backends = len(self._backends.eligible(self._pool))
        if limits is not None and len(self._waiting) < limits.max_queue * max(1, backends):
            return
        full = not_run(
            ErrorCode.QUEUE_FULL,
            "the queue is full",
            max(MINIMUM_RETRY_AFTER_SECONDS, self.projected_wait_seconds(demand.rank)),
        )
        if not self._waiting or self._waiting[-1].demand.rank <= demand.rank:
            raise full
        self.refuse(self._waiting[-1], full)

    def _note_service_time(self, seconds: float) -> None:
        if not self._service_seconds:
            self._service_seconds = seconds
        self._service_seconds += SERVICE_TIME_WEIGHT * (seconds - self._service_seconds)


def _unreachable(wait_seconds: float) -> RunkeelError:
    return not_run(
        ErrorCode.DEADLINE_UNREACHABLE,
        f"the projected wait of {wait_seconds * 1_000:.0f} ms does not fit into the deadline",
        retry_after_seconds=max(MINIMUM_RETRY_AFTER_SECONDS, wait_seconds),
    )
