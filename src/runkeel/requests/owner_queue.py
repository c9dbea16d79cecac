"""Queue of one pool at the owner of its back ends.

Requests wait by priority rank; within a rank the members take turns, first come first served among
the requests of one member (start-time fair queueing, Goyal, Vin and Cheng, 1996). What can't meet
its deadline by the projected wait is refused at once, when it comes or as soon as the projection
shows it.
"""

from __future__ import annotations

import bisect
import time
from collections import deque
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
GRANT_HISTORY = 64
MINIMUM_SHARE = 0.1
"""Share of the slots that the projection leaves a rank, however much urgent work there is."""
ADMISSION_MARGIN = 1.5
"""A new request must fit with a longer wait than projected, so that few are refused later on."""
SERVICE_MARGIN = 1.1
RETURN_MARGIN_SECONDS = 0.005
"""For the answer's way back, and turns of a busy loop."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A request in the queue.

    Attributes:
        turn: place among the requests of the same rank; the n-th waiting request of a member
            comes after the first ones of all others.
    """

    demand: Demand
    deadline: Deadline
    turn: float = 0.0
    result: AsyncResult = field(default_factory=AsyncResult)


class PoolQueue:
    """Grants the slots of one pool's back ends."""

    def __init__(self, pool: PoolId, backends: OwnedBackends) -> None:
        self._pool = pool
        self._backends = backends
        self._waiting: list[Waiter] = []
        self._service_seconds = {False: 0.0, True: 0.0}
        self._turn = 0.0
        self._granted_ranks: deque[int] = deque(maxlen=GRANT_HISTORY)
        self._last_turns: dict[tuple[int, str], float] = {}
        self._last_caller_at = -CALLERS_PRESENT_SECONDS
        self._callers_in_flight = 0
        self.in_flight = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def projected_wait_seconds(self, rank: int) -> float:
        """Return how long a new request of this rank would wait for a slot."""
        slots = self._backends.total_slots(self._pool)
        waiter = Waiter(Demand(self._pool, rank), Deadline(0.0), turn=self._turn + 1.0)
        ahead = self._position(waiter)
        running = self.in_flight if waiter.demand.is_rollout else self._callers_in_flight
        if running + ahead < slots:
            return 0.0
        return self._wait_seconds(waiter.demand, ahead, slots)

    def enter(self, demand: Demand, deadline: Deadline) -> Waiter:
        """Take a slot or a place in the queue; wait for the outcome with :meth:`wait`.

        Raises:
            RunkeelError: NO_BACKEND, QUEUE_FULL or DEADLINE_UNREACHABLE, all NOT_RUN.
        """
        if not demand.is_rollout:
            self._last_caller_at = time.monotonic()
        waiter = Waiter(demand, deadline, self._next_turn(demand))
        if not self._waiting and self._grant(waiter):
            return waiter
        if not self._backends.could_serve(demand):
            raise not_run(ErrorCode.NO_BACKEND, "no back end in service", retry_after_seconds=1.0)
        self._refuse_if_late(waiter)
        self._make_room(waiter)
        self._last_turns[demand.rank, demand.member] = waiter.turn
        self._waiting.insert(self._position(waiter), waiter)
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
        self._callers_in_flight -= not demand.is_rollout
        if service_seconds is not None:
            self._note_service_time(demand, service_seconds)
        self.pump()

    def pump(self) -> None:
        """Grant free slots to those that wait, the most urgent first."""
        for waiter in list(self._waiting):
            if self._is_hopeless(waiter, 0.0):
                # A slot would be wasted on an answer that comes too late.
                self.refuse(waiter, _unreachable(0.0))
            elif self._grant(waiter):
                self._waiting.remove(waiter)
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
            wait = self._wait_seconds(waiter.demand, kept, slots)
            if not self._backends.could_serve(waiter.demand):
                self.refuse(waiter, not_run(ErrorCode.NO_BACKEND, "no back end in service"))
            elif self._is_hopeless(waiter, wait):
                self.refuse(waiter, _unreachable(wait))
            else:
                kept += 1

    def mean_service_seconds(self, demand: Demand) -> float:
        """Return the moving average for such requests; 0 before the first answer."""
        return self._service_seconds[demand.is_rollout]

    def _grant(self, waiter: Waiter) -> bool:
        callers_present = time.monotonic() - self._last_caller_at < CALLERS_PRESENT_SECONDS
        backend = self._backends.choose(waiter.demand, callers_present)
        if backend is None:
            return False
        self._backends.take(backend, waiter.demand)
        self.in_flight += 1
        self._callers_in_flight += not waiter.demand.is_rollout
        self._turn = max(self._turn, waiter.turn - 1.0)
        self._granted_ranks.append(waiter.demand.rank)
        waiter.result.set(backend)
        return True

    def _abandon(self, waiter: Waiter) -> None:
        """Undo a wait that ended from outside; it may have got its slot in the same turn."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.result.successful():
            self.release(waiter.result.value, waiter.demand, None)

    def _next_turn(self, demand: Demand) -> float:
        if not self._waiting:
            self._last_turns.clear()
        last = self._last_turns.get((demand.rank, demand.member), 0.0)
        return max(self._turn, last) + 1.0

    def _position(self, waiter: Waiter) -> int:
        return bisect.bisect_right(self._waiting, _order(waiter), key=_order)

    def _expected_ahead(self, waiter: Waiter) -> int:
        """Return how many requests will go before: present ones, and later ones of other members.

        A member with fewer waiting overtakes until it has had as many turns.
        """
        rank = waiter.demand.rank
        members = sum(
            key_rank == rank and turn > self._turn
            for (key_rank, _member), turn in self._last_turns.items()
        )
        turns_before = int(waiter.turn - self._turn) - 1
        return max(self._position(waiter), turns_before * members)

    def _wait_seconds(self, demand: Demand, ahead: int, slots: int) -> float:
        """Return the projected wait; more urgent work keeps its recent share of the slots."""
        urgent = sum(rank < demand.rank for rank in self._granted_ranks)
        share = max(MINIMUM_SHARE, 1.0 - urgent / max(1, len(self._granted_ranks)))
        return (ahead + 1) * self.mean_service_seconds(demand) / (max(1, slots) * share)

    def _is_hopeless(self, waiter: Waiter, wait_seconds: float) -> bool:
        """Return whether an answer could not come in time after such a wait."""
        service = self.mean_service_seconds(waiter.demand) * SERVICE_MARGIN
        needed = wait_seconds + service + RETURN_MARGIN_SECONDS
        return needed > waiter.deadline.remaining_seconds()

    def _refuse_if_late(self, waiter: Waiter) -> None:
        slots = self._backends.total_slots(self._pool)
        wait = self._wait_seconds(waiter.demand, self._expected_ahead(waiter), slots)
        if self._is_hopeless(waiter, wait * ADMISSION_MARGIN):
            raise _unreachable(wait)

    def _make_room(self, waiter: Waiter) -> None:
        limits = self._backends.limits(self._pool)
        backends = len(self._backends.eligible(self._pool))
        if limits is not None and len(self._waiting) < limits.max_queue * max(1, backends):
            return
        full = not_run(
            ErrorCode.QUEUE_FULL,
            "the queue is full",
            max(MINIMUM_RETRY_AFTER_SECONDS, self.projected_wait_seconds(waiter.demand.rank)),
        )
        if not self._waiting or _order(self._waiting[-1]) <= _order(waiter):
            raise full
        self.refuse(self._waiting[-1], full)

    def _note_service_time(self, demand: Demand, seconds: float) -> None:
        mean = self._service_seconds[demand.is_rollout] or seconds
        mean += SERVICE_TIME_WEIGHT * (seconds - mean)
        self._service_seconds[demand.is_rollout] = mean


def _order(waiter: Waiter) -> tuple[int, float]:
    return waiter.demand.rank, waiter.turn


def _unreachable(wait_seconds: float) -> RunkeelError:
    return not_run(
        ErrorCode.DEADLINE_UNREACHABLE,
        f"the projected wait of {wait_seconds * 1_000:.0f} ms does not fit into the deadline",
        retry_after_seconds=max(MINIMUM_RETRY_AFTER_SECONDS, wait_seconds),
    )
