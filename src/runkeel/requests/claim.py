"""Claims of requests that must not run twice.

A claim is a write-once record, decided by majority before the one dispatch. It names the node that
may dispatch, and its request id. Whoever finds another's claim asks the claimant for the answer.
When the claimant proves that its request did not run and never will, the claim is closed and the
next round's record may be claimed; see docs/design/requests.md.
"""

from __future__ import annotations

import hashlib
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from urllib.parse import quote

from gevent.event import Event

from runkeel.api.interfaces import Membership, PeerClient, PeerHandlers, Records
from runkeel.errors import ErrorCode, RunkeelError, Verdict, may_have_run, not_run
from runkeel.requests.deadline import Deadline
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.common.ttypes import ErrorReport, MessageType
from runkeel.wire.generated.requests.ttypes import (
    AnswerLookup,
    AnswerLookupReply,
    ApplicationResponse,
    Claim,
    RequestEnvelope,
)

MAXIMUM_ROUNDS = 8
MAXIMUM_ANSWERS = 10_000
MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
ANSWER_RETENTION_SECONDS = 600.0
MAXIMUM_LOOKUP_WAIT_SECONDS = 5.0
_ROW_OVERHEAD_BYTES = 512
_TRIM_STEPS = 16


@dataclass(slots=True)
class RecordedAnswer:
    """Outcome of a claimed request at its claimant; neither field is set while it runs."""

    started: float
    done: Event = field(default_factory=Event)
    response: ApplicationResponse | None = None
    error: RunkeelError | None = None

    @property
    def bytes_held(self) -> int:
        """Rough size in memory."""
        return _ROW_OVERHEAD_BYTES + (len(self.response.body) if self.response else 0)


class RecordedAnswers:
    """Bounded table of the outcomes of this node's claimed requests, by request id."""

    def __init__(self) -> None:
        self._answers: OrderedDict[str, RecordedAnswer] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._answers)

    def begin(self, request_id: str) -> RecordedAnswer:
        """Enter a request that is in progress.

        Raises:
            RunkeelError: QUEUE_FULL (NOT_RUN) when only requests in progress are held.
        """
        self._trim()
        if len(self._answers) >= MAXIMUM_ANSWERS:
            raise not_run(ErrorCode.QUEUE_FULL, "too many requests in progress", 1.0)
        answer = self._answers[request_id] = RecordedAnswer(time.monotonic())
        self._bytes += answer.bytes_held
        return answer

    def finish(
        self,
        answer: RecordedAnswer,
        response: ApplicationResponse | None = None,
        error: RunkeelError | None = None,
    ) -> None:
        """Record the outcome, and wake whoever waits for it."""
        self._bytes -= answer.bytes_held
        answer.response, answer.error = response, error
        self._bytes += answer.bytes_held
        answer.done.set()

    def get(self, request_id: str) -> RecordedAnswer | None:
        """Return a request's row, or None when it is not held (any more)."""
        return self._answers.get(request_id)

    def items(self) -> list[tuple[str, RecordedAnswer]]:
        """Return all rows with their request ids."""
        return list(self._answers.items())

    def _trim(self) -> None:
        """Drop the oldest outcomes that are too old or too many; a few steps a call."""
        oldest_allowed = time.monotonic() - ANSWER_RETENTION_SECONDS
        for _ in range(_TRIM_STEPS):
            if not self._answers:
                return
            request_id, answer = next(iter(self._answers.items()))
            full = len(self._answers) >= MAXIMUM_ANSWERS or self._bytes > MAXIMUM_ANSWER_BYTES
            if answer.started > oldest_allowed and not full:
                return
            if answer.done.is_set():
                del self._answers[request_id]
                self._bytes -= answer.bytes_held
            else:
                self._answers.move_to_end(request_id)


@dataclass(slots=True)
class ClaimOutcome:
    """What became of an attempt to claim: ours to dispatch, or another's answer."""

    mine: RecordedAnswer | None = None
    response: ApplicationResponse | None = None


class Claims:
    """Claims requests, and serves the recorded answers to the other nodes."""

    def __init__(self, membership: Membership, records: Records, peers: PeerClient) -> None:
        self._membership = membership
        self._records = records
        self._peers = peers
        self._answers = RecordedAnswers()

    def recorded(self) -> list[tuple[str, RecordedAnswer]]:
        """Return the requests that this node has claimed lately, for queries."""
        return self._answers.items()

    def register(self, handlers: PeerHandlers) -> None:
        """Register with the peers' handlers."""
        handlers.on_call(MessageType.ANSWER_LOOKUP, AnswerLookup, self.lookup)

    def claim(
        self, envelope: RequestEnvelope, digest: bytes, key: str, deadline: Deadline
    ) -> ClaimOutcome:
        """Claim a request for its one dispatch by this node, or return the answer it had.

        A claim of ours must be ended by :meth:`finish`, whatever happens.

        Args:
            digest: tells requests with the same key apart; see :func:`request_digest`.

        Raises:
            RunkeelError: RECORDS_UNAVAILABLE (NOT_RUN: this request is never dispatched, even if
                its claim is decided later); CONFLICT (NOT_RUN) when the key was used for another
                request; OUTCOME_UNKNOWN (MAY_HAVE_RUN); or the recorded failure.
        """
        mine = self._answers.begin(envelope.request_id)
        claimed = False
        try:
            outcome = self._walk_rounds(envelope, digest, key, deadline, mine)
            claimed = outcome.mine is not None
            return outcome
        finally:
            if not claimed:
                # Never dispatched, now or later: whoever meets our claim may take the next round.
                self._answers.finish(mine, error=not_run(ErrorCode.WITHDRAWN, "never dispatched"))

    def finish(
        self,
        mine: RecordedAnswer,
        response: ApplicationResponse | None = None,
        error: RunkeelError | None = None,
    ) -> None:
        """Record the outcome of a claimed request."""
        self._answers.finish(mine, response, error)

    def lookup(self, _peer: str, request: AnswerLookup) -> tuple[int, AnswerLookupReply]:
        """Serve a recorded answer, waiting for one in progress."""
        answer = self._answers.get(request.key)
        if answer is None:
            reply = AnswerLookupReply(found=False, in_progress=False)
            return MessageType.ANSWER_LOOKUP_REPLY, reply
        wait = min(MAXIMUM_LOOKUP_WAIT_SECONDS, max(0, request.wait_ms) / 1_000)
        if not answer.done.wait(wait):
            reply = AnswerLookupReply(found=False, in_progress=True)
        elif answer.response is not None:
            reply = AnswerLookupReply(found=True, in_progress=False, response=answer.response)
        else:
            error = answer.error or may_have_run(ErrorCode.OUTCOME_UNKNOWN, "no outcome recorded")
            report = ErrorReport(error.code.value, int(error.verdict), error.detail)
            reply = AnswerLookupReply(found=True, in_progress=False, error=report)
        return MessageType.ANSWER_LOOKUP_REPLY, reply

    def _walk_rounds(
        self,
        envelope: RequestEnvelope,
        digest: bytes,
        key: str,
        deadline: Deadline,
        mine: RecordedAnswer,
    ) -> ClaimOutcome:
        local = self._membership.local()
        claim = Claim(local.node_id, local.incarnation, envelope.request_id, digest)
        value = encode(claim)
        name = claim_key(envelope.pool, envelope.member, key)
        for round_number in range(1, MAXIMUM_ROUNDS + 1):
            decided = self._decide(f"{name}/{round_number}", value, deadline)
            if decided == value:
                return ClaimOutcome(mine=mine)
            found = decode(Claim, decided)
            if found.request_digest != claim.request_digest:
                raise not_run(ErrorCode.CONFLICT, "the key was used for another request")
            response = self._answer_of(found, deadline)
            if response is not None:
                return ClaimOutcome(response=response)
        raise not_run(ErrorCode.CONFLICT, "the key was used up by requests that did not run")

    def _decide(self, name: str, value: bytes, deadline: Deadline) -> bytes:
        deadline.check()
        try:
            return self._records.decide(name, value, deadline.remaining_seconds())
        except RunkeelError as error:
            # Our claim may still be decided, but this request will not be dispatched by it.
            raise not_run(error.code, error.detail, error.retry_after_seconds or 1.0) from error

    def _answer_of(self, found: Claim, deadline: Deadline) -> ApplicationResponse | None:
        """Return the claimant's answer, or None when it proves that its request did not run."""
        while True:
            reply = self._ask(found, deadline)
            if reply.response is not None:
                return reply.response
            if reply.error is not None:
                verdict = Verdict(reply.error.verdict)
                if verdict is Verdict.NOT_RUN:
                    return None
                raise RunkeelError(ErrorCode(reply.error.code), reply.error.detail, verdict)
            if not reply.in_progress:
                raise may_have_run(ErrorCode.OUTCOME_UNKNOWN, "the claimant holds no answer")
            if deadline.passed:
                raise may_have_run(
                    ErrorCode.OUTCOME_UNKNOWN, "an earlier request with this key is in progress"
                )

    def _ask(self, found: Claim, deadline: Deadline) -> AnswerLookupReply:
        wait_ms = deadline.hop_ms()
        question = AnswerLookup(found.request_id, wait_ms)
        try:
            if found.node_id == self._membership.node_id:
                return self.lookup(found.node_id, question)[1]
            return self._peers.call(
                found.node_id,
                MessageType.ANSWER_LOOKUP,
                question,
                AnswerLookupReply,
                deadline.remaining_seconds(),
            )
        except RunkeelError as error:
            raise may_have_run(
                ErrorCode.OUTCOME_UNKNOWN, f"the claimant can't be asked: {error.code}"
            ) from error


def claim_key(service: str, member: str, key: str) -> str:
    """Return the record's name without the round; the parts can't run into each other."""
    parts = (quote(part, safe="") for part in (service, member, key))
    return "claim/" + "/".join(parts)


def request_digest(*parts: bytes) -> bytes:
    """Return the SHA-256 over the parts of a request, such as method, path and body."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
