"""The owner's side: accepts requests from entry nodes and runs them on its back ends."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event

from runkeel.api.interfaces import Configuration, Membership, PeerHandlers, PeerStream
from runkeel.api.machines import MachineKind, PoolSummary
from runkeel.errors import ErrorCode, RunkeelError, Verdict, not_run
from runkeel.pauses import PauseDetector
from runkeel.requests.accepted import AcceptedRequest, AcceptedRequests, RequestKey
from runkeel.requests.backend_choice import Backend, Demand, OwnedBackends, PoolId
from runkeel.requests.deadline import Deadline
from runkeel.requests.generation_run import GenerationRun
from runkeel.requests.metrics import OWNER_REFUSALS
from runkeel.requests.owner_queue import PoolQueue
from runkeel.requests.prefix_cache import prefix_key
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.requests.ttypes import (
    ApplicationRequest,
    ApplicationResponse,
    ModelRequest,
    RequestEnvelope,
    Withdraw,
    WithdrawReply,
)

MAXIMUM_BACKEND_TRIES = 3
LOWEST_CALLER_RANK = 999
SETTLING_SECONDS = 0.1
"""After a pause, what is read from sockets may have waited there through the pause."""
TIMEOUT_FAILURE_FACTOR = 4.0
"""A time-out speaks against the back end only if it had this many mean service times."""
_BACKEND_FAILURES = frozenset(
    {
        ErrorCode.BACKEND_LOST,
        ErrorCode.BACKEND_REFUSED,
        ErrorCode.BACKEND_UNREACHABLE,
        ErrorCode.TRUNCATED_ANSWER,
    }
)


@dataclass(slots=True)
class _Run:
    """One accepted request on its way to a back end."""

    row: AcceptedRequest
    envelope: RequestEnvelope
    deadline: Deadline
    epoch: int


class Owner:
    """Serves APPLICATION_REQUEST, MODEL_REQUEST and WITHDRAW to the entry nodes."""

    def __init__(
        self,
        membership: Membership,
        configuration: Configuration,
        backends: OwnedBackends,
        pauses: PauseDetector,
        accepted: AcceptedRequests | None = None,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._backends = backends
        self._pauses = pauses
        self._accepted = accepted or AcceptedRequests()
        self._queues: dict[PoolId, PoolQueue] = {}
        self._queued = Event()
        self._leaving = False
        self._summary_sequence = 0

    def register(self, handlers: PeerHandlers) -> None:
        """Register with the peers' handlers."""
        handlers.on_call(MessageType.APPLICATION_REQUEST, ApplicationRequest, self.run_application)
        handlers.on_stream(MessageType.MODEL_REQUEST, ModelRequest, self.run_model)
        handlers.on_call(MessageType.WITHDRAW, Withdraw, self.withdraw)

    def run_application(
        self, _peer: str, request: ApplicationRequest
    ) -> tuple[int, ApplicationResponse]:
        """Run an application request and return the back end's whole answer."""
        pool = PoolId(MachineKind.APPLICATION, request.envelope.pool)
        demand = Demand(pool, request.envelope.priority_rank, request.envelope.member or "")

        def attempt(run: _Run, backend: Backend) -> ApplicationResponse:
            return backend.client.run(
                request, run.deadline.at, lambda: self._before_send(run, backend)
            )

        response = self._run(request.envelope, demand, attempt)
        return MessageType.APPLICATION_RESPONSE, response

    def run_model(self, stream: PeerStream, request: ModelRequest) -> None:
        """Run a generation and stream its tokens."""
        demand = Demand(
            PoolId(MachineKind.ENGINE, request.envelope.pool),
            request.envelope.priority_rank,
            request.envelope.member or "",
            request.avoid_backend or "",
            request.minimum_version or 0,
            prefix_key(request.prompt),
        )
        key = RequestKey(request.envelope.request_id, request.envelope.attempt)
        generation = GenerationRun(stream, request, lambda: self._accepted.withdraw(key, 0.0))

        def attempt(run: _Run, backend: Backend) -> None:
            run.row.on_cancel = generation.cancel
            generation.run(
                backend.client,
                backend.backend_id,
                run.deadline.at,
                lambda: self._before_send(run, backend),
            )

        try:
            self._run(request.envelope, demand, attempt, generation.watch_for_cancel)
        finally:
            generation.close()
        stream.finish()

    def withdraw(self, _peer: str, request: Withdraw) -> tuple[int, WithdrawReply]:
        """Take a request back if it was not sent."""
        key = RequestKey(request.request_id, request.attempt)
        state = self._accepted.withdraw(key, (request.age_ms or 0) / 1_000)
        return MessageType.WITHDRAW_REPLY, WithdrawReply(int(state))

    def leave(self) -> None:
        """Refuse new and queued requests, so that the entry nodes place them elsewhere."""
        self._leaving = True
        for queue in self._queues.values():
            queue.refuse_all(ErrorCode.NODE_LEAVING, "the node is leaving")

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
        return sum(queue.in_flight for queue in self._queues.values())

    def backends_changed(self) -> None:
        """Take over changes of ownership, configuration or the machine list."""
        self._backends.refresh()
        for queue in self._queues.values():
            queue.shed()
            queue.pump()

    def wait_for_queued(self, timeout_seconds: float) -> None:
        """Return once a request waits for a slot, or after the time-out."""
        if not any(self._queues.values()):
            self._queued.clear()
            self._queued.wait(timeout_seconds)

    def tick(self) -> None:
        """Refuse what has become hopeless; call some times a second."""
        for queue in self._queues.values():
            queue.shed()
            queue.pump()

    def summaries(self) -> list[PoolSummary]:
        """Return the present load of each owned pool."""
        self._summary_sequence += 1
        return [] if self._leaving else [self._summary(pool) for pool in self._backends.pools()]

    def _summary(self, pool: PoolId) -> PoolSummary:
        queue = self._queue(pool)
        versions = list(self._backends.versions(pool))
        wait = queue.projected_wait_seconds(LOWEST_CALLER_RANK)
        return PoolSummary(
            node_id=self._membership.node_id,
            pool=pool.name,
            sequence=self._summary_sequence,
            # Ejected back ends don't count: entry nodes shall go to other owners instead.
            backends=len(self._backends.healthy(pool)),
            slots=self._backends.healthy_slots(pool),
            in_flight=queue.in_flight,
            queued=len(queue),
            projected_wait_ms=int(wait * 1_000),
            minimum_version=min(versions, default=0),
            maximum_version=max(versions, default=0),
        )

    def _queue(self, pool: PoolId) -> PoolQueue:
        queue = self._queues.get(pool)
        if queue is None:
            queue = self._queues[pool] = PoolQueue(pool, self._backends)
        return queue

    def _run(
        self,
        envelope: RequestEnvelope,
        demand: Demand,
        attempt: Callable[[_Run, Backend], ApplicationResponse | None],
        accepted: Callable[[], None] = lambda: None,
    ) -> ApplicationResponse | None:
        """Accept a request, wait for a slot and run it; settle it whatever happens."""
        deadline = Deadline.after_ms(envelope.remaining_ms)
        # Accepted before any other check: a duplicate must never be told NOT_RUN.
        row = self._accepted.accept(
            RequestKey(envelope.request_id, envelope.attempt), envelope.repeatable
        )
        try:
            accepted()
            self._check_in_service(demand.pool)
            run = _Run(row, envelope, deadline, self._pauses.epoch())
            return self._try_backends(run, demand, attempt)
        except RunkeelError as error:
            if error.verdict is Verdict.NOT_RUN:
                OWNER_REFUSALS.labels(error.code.value).inc()
            raise
        finally:
            self._accepted.settle(row)

    def _check_in_service(self, pool: PoolId) -> None:
        if self._leaving:
            raise not_run(ErrorCode.NODE_LEAVING, "the node is leaving")
        if not self._pauses.settled(SETTLING_SECONDS):
            raise not_run(ErrorCode.OWNER_PAUSED, "the owner has just been paused")
        if pool not in self._backends.pools():
            # Refused before a queue is made for it, so that queues stay bounded.
            raise not_run(ErrorCode.NO_BACKEND, "this node owns no back end of the pool")

    def _try_backends(
        self,
        run: _Run,
        demand: Demand,
        attempt: Callable[[_Run, Backend], ApplicationResponse | None],
    ) -> ApplicationResponse | None:
        """Run on one back end; go to another only while no byte was sent."""
        for tries_left in reversed(range(MAXIMUM_BACKEND_TRIES)):
            backend = self._acquire(run, demand)
            try:
                return self._run_on(run, demand, backend, attempt)
            except RunkeelError as error:
                unreachable = error.code is ErrorCode.BACKEND_UNREACHABLE
                if not (unreachable and error.verdict is Verdict.NOT_RUN and tries_left):
                    raise
            demand = dataclasses.replace(demand, avoid=backend.backend_id)
        raise AssertionError("unreachable: the last try returns or raises")

    def _acquire(self, run: _Run, demand: Demand) -> Backend:
        queue = self._queue(demand.pool)
        waiter = queue.enter(demand, run.deadline)
        if not waiter.result.ready():
            self._queued.set()
        run.row.on_withdraw = lambda: queue.refuse(
            waiter, not_run(ErrorCode.WITHDRAWN, "the request was withdrawn")
        )
        return queue.wait(waiter)

    def _run_on(
        self,
        run: _Run,
        demand: Demand,
        backend: Backend,
        attempt: Callable[[_Run, Backend], ApplicationResponse | None],
    ) -> ApplicationResponse | None:
        queue = self._queue(demand.pool)
        started = time.monotonic()
        service_seconds = None
        try:
            response = attempt(run, backend)
            service_seconds = time.monotonic() - started
            backend.outlier.record_success(started + service_seconds)
            return response
        except RunkeelError as error:
            waited = time.monotonic() - started
            mean = queue.mean_service_seconds(demand)
            slow = waited > TIMEOUT_FAILURE_FACTOR * mean > 0
            timed_out = error.code is ErrorCode.DEADLINE_EXCEEDED and slow
            if error.code in _BACKEND_FAILURES or timed_out:
                backend.outlier.record_failure(time.monotonic())
            raise
        finally:
            queue.release(backend, demand, service_seconds)

    def _before_send(self, run: _Run, backend: Backend) -> None:
        """Last check before the first byte leaves; nothing here yields to another task."""
        if self._pauses.epoch() != run.epoch:
            raise not_run(ErrorCode.OWNER_PAUSED, "the owner was paused with the request queued")
        run.deadline.check()
        if not self._backends.accepts_work(backend):
            raise not_run(ErrorCode.BACKEND_UNREACHABLE, "the back end has just been taken out")
        run.row.mark_sent()
