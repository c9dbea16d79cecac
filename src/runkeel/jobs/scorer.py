"""Scores generated outputs by calling the scoring service that an item names."""

from __future__ import annotations

import base64
from dataclasses import dataclass, replace

import gevent
from loguru import logger

from runkeel.api.backend_protocol import BackendProtocol, ResponseClass
from runkeel.api.fleet import Route
from runkeel.api.jobs import ScorerCall
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.gateway.deferrable_calls import DeferrableCalls
from runkeel.gateway.forwarder import Forwarder
from runkeel.gateway.routing import RoutingTable, choose_service
from runkeel.jobs.loss_backoff import delay_after_losses

MIN_CALL_SECONDS = 1.0
"""Lower bound of the timeout of one call; a call that times out is retried."""

CALL_TARGET_MULTIPLE = 2.0
"""A call's timeout as a multiple of its route's target latency.

A fixed timeout would make every call to a slow scorer fail.
"""

RETRY_SECONDS = 0.1
"""Delay before a retry."""

LOGGED_WAIT_SECONDS = 0.1
"""Waits for a slot of at least this long are logged."""

_LOSS_CODES = (ErrorCode.BACKEND_LOST, ErrorCode.TRUNCATED_ANSWER)


class ScoringFailedError(Exception):
    """The scorer reported failures until the route's attempts were used up."""


class ScoringUnfinishedError(Exception):
    """No scorer succeeded before the deadline; scoring may be retried later."""


@dataclass(frozen=True, slots=True)
class _CallOutcome:
    """Outcome of one call.

    Attributes:
        stamp: stamp of a successful answer; empty if there was none.
        failed: whether the answer counts as a failed attempt.
        lost: whether the connection was lost before the whole answer.
    """

    stamp: str = ""
    failed: bool = False
    lost: bool = False


class Scorer:
    """Calls scorers until one succeeds.

    Args:
        calls: limits concurrent calls, leaving slots of the service to other requests.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        routing: RoutingTable,
        protocol: BackendProtocol,
        calls: DeferrableCalls,
    ) -> None:
        self._calls = calls
        self._forwarder = forwarder
        self._routing = routing
        self._protocol = protocol

    def score(self, call: ScorerCall, deadline: float) -> str:
        """Return the stamp (signature) of a successful answer.

        Args:
            deadline: steady clock time in seconds.

        Raises:
            ScoringFailedError: failures used up the route's attempts.
            ScoringUnfinishedError: the deadline passed first.
        """
        failures = 0
        losses = 0
        while steady_seconds() < deadline:
            route = self._routing.match(call.host.lower(), call.path.partition("?")[0])
            if route is not None:
                outcome = self._call_with_slot(call, route, deadline)
                if outcome.stamp:
                    return outcome.stamp
                failures += outcome.failed
                if failures >= route.max_attempts:
                    raise ScoringFailedError(f"{failures} failed attempts")
                losses = losses + 1 if outcome.lost else 0
            pause = max(RETRY_SECONDS, delay_after_losses(losses))
            gevent.sleep(max(0.0, min(pause, deadline - steady_seconds())))
        raise ScoringUnfinishedError(f"deadline exceeded after {failures} failed attempts")

    def _call_with_slot(self, call: ScorerCall, route: Route, deadline: float) -> _CallOutcome:
        """Call once a slot is free."""
        service = choose_service(route, call.request_id)
        asked_at = steady_seconds()
        with self._calls.slot(service, deadline) as granted:
            waited = steady_seconds() - asked_at
            if waited >= LOGGED_WAIT_SECONDS or not granted:
                logger.info(
                    "scorer call waited for a slot",
                    code="score_waited",
                    request=call.request_id,
                    service=service,
                    granted=granted,
                    ms=int(waited * 1000),
                    limit=self._calls.limit_of(service).limit,
                    waiting=self._calls.waiting(service),
                )
            if not granted:
                return _CallOutcome()
            return self._call_once(call, route, service, deadline)

    def _call_once(
        self, call: ScorerCall, route: Route, service: str, deadline: float
    ) -> _CallOutcome:
        request = self._protocol.encode_score_request(
            call.request_id, call.host, call.path, base64.b64decode(call.body)
        )
        single = replace(route, max_attempts=1)
        limit = max(MIN_CALL_SECONDS, CALL_TARGET_MULTIPLE * route.target_latency_seconds)
        call_deadline = min(deadline, steady_seconds() + limit)
        try:
            answer = self._forwarder.forward(request, single, service, call_deadline)
        except RunkeelError as error:
            logger.info(
                "scorer call failed",
                code="score",
                request=call.request_id,
                error=str(error.code),
                detail=error.detail,
            )
            if error.code is ErrorCode.QUEUE_FULL:
                self._calls.limit_of(service).record_refusal()
            return _CallOutcome(lost=error.code in _LOSS_CODES)
        answer_class = self._protocol.classify(call.request_id, answer.status, answer.headers)
        if answer_class is ResponseClass.SUCCESS:
            return _CallOutcome(self._protocol.response_signature(answer.headers))
        counts = self._protocol.is_failed_attempt(answer.status)
        logger.info(
            "scorer returned a failure",
            code="score",
            request=call.request_id,
            status=answer.status,
            counts=counts,
        )
        return _CallOutcome(failed=counts)
