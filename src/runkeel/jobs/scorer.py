"""Has a generated text scored by the service that its item names."""

from __future__ import annotations

import base64
from dataclasses import replace

import gevent
from loguru import logger

from runkeel.api.backend_protocol import AnswerClass, BackendProtocol
from runkeel.api.fleet import Route
from runkeel.api.jobs import ScorerCall
from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.gateway.deferrable_calls import DeferrableCalls
from runkeel.gateway.forwarder import Forwarder
from runkeel.gateway.routing import RoutingTable, choose_service

CALL_SECONDS = 1.0
"""Shortest limit of one call; a server that is silent is left then, and the call repeated."""

CALL_SHARE = 2.0
"""A call's limit as a multiple of its route's target.

A scorer that is six times slower than usual still answers within it where the target is four times
the usual time: with a second for all, each of its answers was 504, and its work in vain.
"""

RETRY_SECONDS = 0.1
"""Pause before another scorer is tried. Chosen, not measured."""

LONG_WAIT_SECONDS = 0.1
"""A call that waited so long for its turn is told; shorter waits are common and change little."""

HELD_RETRY_SECONDS = 5.0
"""Longest pause before a call is tried again that is held back since scorers ended under it."""


class ScoringFailedError(Exception):
    """The scorer answered with as many failures as its route allows attempts."""


class ScoringUnfinishedError(Exception):
    """No scorer has answered with success in time; the text may be scored later."""


class Scorer:
    """Calls scorers until one answers with success.

    Args:
        calls: lets the calls begin, so that callers of the same service find room.
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
        """Return the stamp of a successful answer.

        Raises:
            ScoringFailedError: the route's attempts are used up by failures.
            ScoringUnfinishedError: time ran out before.
        """
        failures = 0
        pause = RETRY_SECONDS
        while steady_seconds() < deadline:
            route = self._routing.match(call.host.lower(), call.path.partition("?")[0])
            if route is not None:
                stamp, failed, pause = self._call_in_turn(call, route, deadline)
                if stamp:
                    return stamp
                failures += failed
                if failures >= route.maximum_attempts:
                    raise ScoringFailedError(f"{failures} failures")
            gevent.sleep(max(0.0, min(pause, deadline - steady_seconds())))
        raise ScoringUnfinishedError(f"out of time, {failures} failures")

    def _call_in_turn(
        self, call: ScorerCall, route: Route, deadline: float
    ) -> tuple[str, int, float]:
        """Call once a place is free; returns like :meth:`_call_once`."""
        service = choose_service(route, call.request_id)
        asked_at = steady_seconds()
        with self._calls.place(service, deadline) as granted:
            waited = steady_seconds() - asked_at
            if waited >= LONG_WAIT_SECONDS or not granted:
                logger.info(
                    "scorer call waited for its turn",
                    code="score_waited",
                    request=call.request_id,
                    service=service,
                    granted=granted,
                    ms=int(waited * 1000),
                    limit=self._calls.limit_of(service).limit,
                    waiting=self._calls.waiting(service),
                )
            if not granted:
                return "", 0, RETRY_SECONDS
            return self._call_once(call, route, service, deadline)

    def _call_once(
        self, call: ScorerCall, route: Route, service: str, deadline: float
    ) -> tuple[str, int, float]:
        """Return the stamp (empty: none), the failures answered, and the pause after it."""
        request = self._protocol.score_request(
            call.request_id, call.host, call.path, base64.b64decode(call.body)
        )
        single = replace(route, maximum_attempts=1)
        limit = max(CALL_SECONDS, CALL_SHARE * route.target_latency_seconds)
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
                self._calls.limit_of(service).note_refused()
            held = error.code is ErrorCode.REQUEST_QUARANTINED
            asked = min(HELD_RETRY_SECONDS, error.retry_after_seconds or 0.0) if held else 0.0
            return "", 0, max(RETRY_SECONDS, asked)
        answer_class = self._protocol.classify(call.request_id, answer.status, answer.headers)
        if answer_class is AnswerClass.SUCCESS:
            return self._protocol.stamp(answer.headers), 0, RETRY_SECONDS
        counts = self._protocol.is_failed_attempt(answer.status)
        logger.info(
            "scorer answered with failure",
            code="score",
            request=call.request_id,
            status=answer.status,
            counts=counts,
        )
        return "", int(counts), RETRY_SECONDS
