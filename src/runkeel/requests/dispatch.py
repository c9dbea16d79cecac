"""One attempt of a request at one owner node, and the proof of what became of it."""

from __future__ import annotations

import time
from copy import copy
from dataclasses import dataclass, field

import gevent

from runkeel.api.interfaces import Membership, PeerClient
from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run, not_run
from runkeel.pauses import PauseDetector
from runkeel.requests.accepted import UPTIME_MARGIN_SECONDS, RequestState
from runkeel.requests.deadline import Deadline
from runkeel.requests.metrics import DROPPED_ANSWERS, WITHDRAWALS
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.requests.ttypes import (
    ApplicationRequest,
    ApplicationResponse,
    RequestEnvelope,
    Withdraw,
    WithdrawReply,
)

WITHDRAW_TIMEOUT_SECONDS = 0.25
"""Only waited for after the request has failed already, to learn whether it ran."""
_WITHDRAWABLE = frozenset({ErrorCode.DEADLINE_EXCEEDED, ErrorCode.PEER_LOST, ErrorCode.CANCELLED})


@dataclass(slots=True)
class Attempts:
    """What the attempts of one request have proved so far.

    Attributes:
        count: attempts begun; the number of the newest one.
        may_have_run: whether some attempt's outcome is unknown.
        tried: owner nodes not to be asked again.
        last_error: why the newest failed attempt failed.
    """

    count: int = 0
    may_have_run: bool = False
    last_error: RunkeelError | None = None
    tried: set[str] = field(default_factory=set)

    def begin(self) -> int:
        """Return the number of a new attempt."""
        self.count += 1
        return self.count

    def note(self, error: RunkeelError) -> None:
        """Take an attempt's failure into account."""
        self.last_error = error
        if error.verdict is not Verdict.NOT_RUN:
            self.may_have_run = True

    def final(self, error: RunkeelError) -> RunkeelError:
        """Return the error for the whole request: NOT_RUN only if every attempt proved it."""
        if self.may_have_run and error.verdict is Verdict.NOT_RUN:
            return RunkeelError(
                error.code, error.detail, Verdict.MAY_HAVE_RUN, error.retry_after_seconds
            )
        return error


class AttemptSender:
    """Sends single attempts to owner nodes."""

    def __init__(self, membership: Membership, peers: PeerClient, pauses: PauseDetector) -> None:
        self._membership = membership
        self._peers = peers
        self._pauses = pauses

    def envelope(
        self, envelope: RequestEnvelope, attempt: int, deadline: Deadline
    ) -> RequestEnvelope:
        """Return the envelope of one attempt with the time that is left now."""
        deadline.check()
        stamped = copy(envelope)
        stamped.attempt = attempt
        stamped.remaining_ms = deadline.hop_ms()
        stamped.entry_node = self._membership.node_id
        return stamped

    def application(
        self, node_id: str, request: ApplicationRequest, attempt: int, deadline: Deadline
    ) -> ApplicationResponse:
        """Run one attempt.

        Raises:
            RunkeelError: with the verdict of this attempt alone.
        """
        envelope = self.envelope(request.envelope, attempt, deadline)
        stamped = copy(request)
        stamped.envelope = envelope
        started = time.monotonic()
        try:
            response = self._peers.call(
                node_id,
                MessageType.APPLICATION_REQUEST,
                stamped,
                ApplicationResponse,
                deadline.remaining_seconds(),
            )
        except RunkeelError as error:
            raise self.settle(node_id, envelope, error, started) from error
        if response.request_id != envelope.request_id or response.attempt != attempt:
            DROPPED_ANSWERS.labels("crossed").inc()
            raise may_have_run(ErrorCode.PROTOCOL_ERROR, "the answer belongs to another request")
        return response

    def settle(
        self, node_id: str, envelope: RequestEnvelope, error: RunkeelError, started: float
    ) -> RunkeelError:
        """Try to turn an unknown outcome into a proof by withdrawing the attempt."""
        if error.verdict is not Verdict.MAY_HAVE_RUN or error.code not in _WITHDRAWABLE:
            return error
        if envelope.repeatable and error.code is ErrorCode.PEER_LOST:
            # It may be retried without a proof; the wait for one would only cost time.
            gevent.spawn(self.withdraw, node_id, envelope.request_id, envelope.attempt, started)
            return error
        state = self.withdraw(node_id, envelope.request_id, envelope.attempt, started)
        if state is RequestState.WITHDRAWN:
            return not_run(error.code, error.detail, error.retry_after_seconds)
        return error

    def withdraw(self, node_id: str, request_id: str, attempt: int, started: float) -> RequestState:
        """Withdraw an attempt begun at ``started``; UNKNOWN when the owner can't say."""
        asked = time.monotonic()
        epoch = self._pauses.epoch()
        message = Withdraw(request_id, attempt, int((asked - started) * 1_000) + 1)
        state = RequestState.UNKNOWN
        try:
            reply = self._peers.call(
                node_id, MessageType.WITHDRAW, message, WithdrawReply, WITHDRAW_TIMEOUT_SECONDS
            )
            state = RequestState(reply.state)
        except (RunkeelError, ValueError):
            state = RequestState.UNKNOWN
        # The owner compared the age with its uptime; a reply that took long proves nothing.
        late = time.monotonic() - asked > UPTIME_MARGIN_SECONDS or self._pauses.epoch() != epoch
        if late and state is RequestState.WITHDRAWN:
            state = RequestState.UNKNOWN
        WITHDRAWALS.labels(state.name.lower()).inc()
        return state
