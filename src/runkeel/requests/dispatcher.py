"""Runs requests on some back end: placement, retries, hedging, and resumed generations."""

from __future__ import annotations

import time
from collections.abc import Iterator

from runkeel.api.interfaces import Configuration, PeerClient
from runkeel.api.machines import MachineKind
from runkeel.errors import ErrorCode, RunkeelError, not_run
from runkeel.requests.backend_choice import ROLLOUT_RANK, PoolId
from runkeel.requests.deadline import Deadline
from runkeel.requests.dispatch import Attempts, AttemptSender
from runkeel.requests.generation import GenerationAttempt, GenerationProgress
from runkeel.requests.hedging import HedgedRace
from runkeel.requests.latencies import LatencyQuantile
from runkeel.requests.metrics import RESUMED_GENERATIONS, RETRIES
from runkeel.requests.place import Placement
from runkeel.requests.retry_budget import RetryBudget
from runkeel.wire.generated.requests.ttypes import (
    ApplicationRequest,
    ApplicationResponse,
    ModelRequest,
    TokenChunk,
)

MAXIMUM_ATTEMPTS = 4
MAXIMUM_FREE_ATTEMPTS = 16
MAXIMUM_GENERATION_ATTEMPTS = 16
NO_BACKEND_RETRY_AFTER_SECONDS = 1.0
DEFAULT_RETRY_RATIO = 0.1
MINIMUM_HEDGE_DELAY_SECONDS = 0.002
_ELSEWHERE = frozenset(
    {
        ErrorCode.BACKEND_LOST,
        ErrorCode.BACKEND_REFUSED,
        ErrorCode.BACKEND_UNREACHABLE,
        ErrorCode.CANCELLED,
        ErrorCode.DEADLINE_UNREACHABLE,
        ErrorCode.NODE_LEAVING,
        ErrorCode.NO_BACKEND,
        ErrorCode.OWNER_PAUSED,
        ErrorCode.PEER_LOST,
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.QUEUE_FULL,
        ErrorCode.TRUNCATED_ANSWER,
    }
)
"""Failures after which another owner may succeed."""
_FREE_RETRIES = frozenset({ErrorCode.NODE_LEAVING})
"""Not charged to the budget: a planned stop refuses a bounded number of requests, once."""
_OTHER_BACKEND = frozenset(
    {ErrorCode.BACKEND_LOST, ErrorCode.BACKEND_REFUSED, ErrorCode.TRUNCATED_ANSWER}
)
"""Failures of one back end, after which even the same owner may succeed with another one."""


class RequestDispatcher:
    """Implements :class:`runkeel.api.interfaces.Dispatcher`."""

    def __init__(
        self,
        configuration: Configuration,
        placement: Placement,
        sender: AttemptSender,
        peers: PeerClient,
    ) -> None:
        self._configuration = configuration
        self._placement = placement
        self._sender = sender
        self._peers = peers
        self._budgets: dict[PoolId, RetryBudget] = {}
        self._latencies: dict[PoolId, LatencyQuantile] = {}

    def application(self, request: ApplicationRequest) -> ApplicationResponse:
        """Run one application request within its remaining time.

        A request that is not repeatable goes to another owner only on proof that it has not run.

        Raises:
            RunkeelError: NOT_RUN only if every attempt proved it.
        """
        deadline = Deadline.after_ms(request.envelope.remaining_ms)
        pool = PoolId(MachineKind.APPLICATION, request.envelope.pool)
        budget = self._budget(pool)
        attempts = Attempts()
        while True:
            node_id = self._place(pool, attempts)
            try:
                return self._hedged(pool, node_id, request, attempts, deadline)
            except RunkeelError as error:
                attempts.note(error)
                if not self._may_retry(error, request.envelope.repeatable, attempts, budget):
                    raise attempts.final(error) from error
                if deadline.passed:
                    raise attempts.final(error) from error
                RETRIES.inc()

    def generate(self, request: ModelRequest) -> Iterator[TokenChunk]:
        """Yield chunks until one carries a finish reason.

        A repeatable generation that was cut goes on at another engine with the tokens so far; each
        chunk names the version that made it. Closing the iterator cancels at the engine. The
        request id must be new at each call: an owner refuses an attempt that it has seen before.

        Raises:
            RunkeelError: NOT_RUN only if every attempt proved it.
        """
        deadline = Deadline.after_ms(request.envelope.remaining_ms)
        pool = PoolId(MachineKind.ENGINE, request.envelope.pool)
        budget = self._budget(pool)
        attempts = Attempts()
        progress = GenerationProgress(request)
        is_rollout = request.envelope.priority_rank >= ROLLOUT_RANK
        while True:
            before = len(progress.token_ids)
            node_id = self._place(pool, attempts, request.minimum_version or 0, is_rollout)
            try:
                yield from self._generation_attempt(pool, node_id, progress, attempts, deadline)
                return
            except RunkeelError as error:
                attempts.note(error)
                if deadline.passed:
                    raise attempts.final(error) from error
                progressed = len(progress.token_ids) > before
                if progressed and self._may_resume(error, request, attempts):
                    attempts.tried = {node_id}
                    RESUMED_GENERATIONS.inc()
                elif not self._may_retry(error, request.envelope.repeatable, attempts, budget):
                    raise attempts.final(error) from error

    def _generation_attempt(
        self,
        pool: PoolId,
        node_id: str,
        progress: GenerationProgress,
        attempts: Attempts,
        deadline: Deadline,
    ) -> Iterator[TokenChunk]:
        number = attempts.begin()
        self._placement.sent(pool, node_id)
        try:
            attempt = GenerationAttempt(self._sender, self._peers, node_id)
            for chunk in attempt.run(progress.next_request(), number, deadline):
                progress.add(chunk)
                yield chunk
        except RunkeelError:
            attempts.tried.add(node_id)
            raise
        finally:
            self._placement.ended(pool, node_id)

    def _place(
        self,
        pool: PoolId,
        attempts: Attempts,
        minimum_version: int = 0,
        is_rollout: bool = False,
    ) -> str:
        """Return the node for the next attempt; raise the request's final error if none is left."""
        node_id = self._placement.choose(pool, attempts.tried, minimum_version, is_rollout)
        last = attempts.last_error
        if node_id is None and last is not None and last.code in _OTHER_BACKEND:
            node_id = self._placement.choose(pool, (), minimum_version, is_rollout)
        if node_id is not None:
            return node_id
        if last is None:
            last = not_run(ErrorCode.NO_BACKEND, "no live owner", NO_BACKEND_RETRY_AFTER_SECONDS)
        raise attempts.final(last)

    def _may_retry(
        self, error: RunkeelError, repeatable: bool, attempts: Attempts, budget: RetryBudget
    ) -> bool:
        """Return whether another attempt may follow, and charge the budget for it."""
        if error.code not in _ELSEWHERE or (attempts.may_have_run and not repeatable):
            return False
        if error.code in _FREE_RETRIES:
            return attempts.count < MAXIMUM_FREE_ATTEMPTS
        return attempts.count < MAXIMUM_ATTEMPTS and budget.spend()

    def _may_resume(self, error: RunkeelError, request: ModelRequest, attempts: Attempts) -> bool:
        """Return whether a cut generation goes on; not charged, as no work is done twice."""
        return (
            error.code in _ELSEWHERE
            and request.envelope.repeatable
            and attempts.count < MAXIMUM_GENERATION_ATTEMPTS
        )

    def _hedged(
        self,
        pool: PoolId,
        node_id: str,
        request: ApplicationRequest,
        attempts: Attempts,
        deadline: Deadline,
    ) -> ApplicationResponse:
        delay = self._hedge_delay(pool, request)
        if delay is None or delay >= deadline.remaining_seconds():
            return self._attempt(pool, node_id, request, attempts.begin(), attempts, deadline)
        race = HedgedRace(
            run=lambda node, number: self._attempt(pool, node, request, number, attempts, deadline),
            begin=attempts.begin,
            place_hedge=lambda: self._place_hedge(pool, node_id, attempts),
            withdraw=lambda node, number, started: self._sender.withdraw(
                node, request.envelope.request_id, number, started
            ),
            note_failure=attempts.note,
        )
        return race.decide(node_id, delay)

    def _place_hedge(self, pool: PoolId, first: str, attempts: Attempts) -> str | None:
        """Return the node for a second copy: another owner, else the same one's other back end."""
        other = self._placement.choose_spare(pool, attempts.tried | {first})
        chosen = other or self._placement.choose_spare(pool, attempts.tried)
        if chosen is None or not self._budget_of(pool).spend():
            return None
        return chosen

    def _attempt(
        self,
        pool: PoolId,
        node_id: str,
        request: ApplicationRequest,
        number: int,
        attempts: Attempts,
        deadline: Deadline,
    ) -> ApplicationResponse:
        started = time.monotonic()
        self._placement.sent(pool, node_id)
        try:
            response = self._sender.application(node_id, request, number, deadline)
        except RunkeelError:
            attempts.tried.add(node_id)
            raise
        finally:
            self._placement.ended(pool, node_id)
        self._latency(pool).add(time.monotonic() - started)
        return response

    def _hedge_delay(self, pool: PoolId, request: ApplicationRequest) -> float | None:
        service = self._configuration.service(pool.name)
        if service is None or not request.envelope.repeatable or service.hedge_quantile >= 1.0:
            return None
        delay = self._latency(pool).value(service.hedge_quantile)
        return None if delay is None else max(MINIMUM_HEDGE_DELAY_SECONDS, delay)

    def _budget(self, pool: PoolId) -> RetryBudget:
        """Return the pool's budget after noting one more first attempt."""
        budget = self._budget_of(pool)
        spec = self._configuration.service(pool.name) or self._configuration.model(pool.name)
        budget.earn(spec.retry_budget if spec is not None else DEFAULT_RETRY_RATIO)
        return budget

    def _budget_of(self, pool: PoolId) -> RetryBudget:
        budget = self._budgets.get(pool)
        if budget is None:
            budget = self._budgets[pool] = RetryBudget()
        return budget

    def _latency(self, pool: PoolId) -> LatencyQuantile:
        latency = self._latencies.get(pool)
        if latency is None:
            latency = self._latencies[pool] = LatencyQuantile()
        return latency
