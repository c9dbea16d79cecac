"""One caller's request: its attempts, retries and the checks of its answer."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import gevent

from runkeel_lab.http_client import Answer, HttpClient, TransportError
from runkeel_lab.load.classes import CallKind
from runkeel_lab.load.plans import PlannedCall
from runkeel_lab.load.records import CODE_OF_UNSENT, Attempt, CallRecord, Outcome
from runkeel_lab.tokens import VersionRange, expected_length, tokens_match

_GRACE_SECONDS = 2.0
"""How much longer than its deadline a caller waits for the answer or the verdict."""
_PROBLEM_TYPE = "application/problem+json"
_RETRYABLE_STATUS = frozenset({429, 502, 503, 504, 0})


@dataclass(frozen=True, slots=True)
class NodeTarget:
    """A node as callers see it."""

    node_id: str
    client: HttpClient


@dataclass(slots=True)
class _Draft:
    """What has been received of a model's answer."""

    token_ids: list[int]
    versions: tuple[VersionRange, ...]
    finish_reason: str
    done: bool
    own: bool = True
    first_token: float = 0.0


class Caller:
    """Sends planned calls and judges the answers."""

    def __init__(self, targets: Sequence[NodeTarget], client_delay_seconds: float) -> None:
        self._targets = targets
        self._delay = client_delay_seconds

    def run(self, call: PlannedCall, number: int, arrival: float) -> CallRecord:
        """Run one call to its end; ``number`` picks the first node."""
        chosen = call.caller_class
        record = CallRecord(
            chosen.name,
            str(chosen.kind),
            chosen.pool,
            call.nonce,
            call.headers.get("Idempotency-Key", ""),
            chosen.kind.repeatable,
            arrival,
            call.prompt,
        )
        for attempt_number in range(chosen.attempts):
            target = self._targets[(number + attempt_number) % len(self._targets)]
            attempt = self._attempt(call, target, record)
            record.attempts.append(attempt)
            if not _wants_retry(attempt, record):
                break
            gevent.sleep(chosen.retry_wait_ms / 1000.0)
        record.outcome = _settle(record)
        record.latency_ms = (record.attempts[-1].ended - arrival) * 1000.0
        return record

    def _attempt(self, call: PlannedCall, target: NodeTarget, record: CallRecord) -> Attempt:
        attempt = Attempt(target.node_id, time.monotonic())
        timeout = call.caller_class.deadline_ms / 1000.0 + _GRACE_SECONDS
        gevent.sleep(self._delay)
        try:
            with gevent.Timeout(timeout, TransportError("no answer in time", True)):
                self._exchange(call, target, record, attempt, timeout)
        except TransportError as error:
            attempt.error = str(error)
            attempt.code = "" if error.sent else CODE_OF_UNSENT
        gevent.sleep(self._delay)
        attempt.ended = time.monotonic()
        return attempt

    def _exchange(
        self,
        call: PlannedCall,
        target: NodeTarget,
        record: CallRecord,
        attempt: Attempt,
        timeout: float,
    ) -> None:
        if call.caller_class.kind is not CallKind.DRAFT_STREAM:
            answer = target.client.request(
                call.method, call.target, call.body or None, call.headers, timeout
            )
            _note_answer(attempt, answer)
            if answer.status < 300:
                _check_whole(call, record, attempt, answer)
            return
        draft = _Draft([], (), "", False)
        answer = target.client.stream(
            call.target, call.body, call.headers, timeout, _collector(draft, attempt)
        )
        _note_answer(attempt, answer)
        if answer.status < 300 and not attempt.verdict:
            if not draft.done:
                raise TransportError("the stream ended early", True)
            _check_draft(call, record, draft)
            record.first_token_ms = (draft.first_token + self._delay - record.arrival) * 1000.0


def _collector(draft: _Draft, attempt: Attempt) -> Callable[[bytes], None]:
    def collect(data: bytes) -> None:
        if data == b"[DONE]":
            draft.done = True
            return
        event = json.loads(data)
        if "verdict" in event:
            _note_problem(attempt, event)
            return
        request_id = event.get("request_id", "")
        attempt.request_id = attempt.request_id or request_id
        draft.own = draft.own and request_id == attempt.request_id
        if event.get("token_ids"):
            draft.first_token = draft.first_token or time.monotonic()
            draft.own = draft.own and event.get("position") == len(draft.token_ids)
            draft.token_ids.extend(event["token_ids"])
        draft.finish_reason = event.get("finish_reason") or draft.finish_reason
        if event.get("versions"):
            draft.versions = VersionRange.parse_all(event["versions"])

    return collect


def _note_answer(attempt: Attempt, answer: Answer) -> None:
    attempt.status = answer.status
    attempt.request_id = answer.headers.get("x-runkeel-request-id", attempt.request_id)
    attempt.backend = answer.headers.get("x-runkeel-backend", "")
    if answer.headers.get("content-type", "").startswith(_PROBLEM_TYPE):
        _note_problem(attempt, answer.json() or {})


def _note_problem(attempt: Attempt, problem: dict[str, Any]) -> None:
    attempt.code = str(problem.get("code", ""))
    attempt.verdict = str(problem.get("verdict", ""))
    attempt.request_id = attempt.request_id or str(problem.get("request_id", ""))


def _check_whole(call: PlannedCall, record: CallRecord, attempt: Attempt, answer: Answer) -> None:
    content = answer.json()
    if not isinstance(content, dict):
        record.incomplete = True
        return
    if not call.caller_class.kind.is_model:
        record.crossed = record.crossed or content.get("key") != call.nonce
        return
    draft = _Draft(
        list(content.get("token_ids", ())),
        VersionRange.parse_all(content.get("versions")),
        str(content.get("finish_reason", "")),
        True,
    )
    _check_draft(call, record, draft)


def _check_draft(call: PlannedCall, record: CallRecord, draft: _Draft) -> None:
    wanted = expected_length(call.prompt, call.caller_class.max_tokens)
    record.tokens = len(draft.token_ids)
    record.versions = [entry.version for entry in draft.versions]
    record.incomplete = record.incomplete or record.tokens != wanted
    record.crossed = record.crossed or not draft.own
    record.wrong_tokens = not tokens_match(
        call.caller_class.pool, call.prompt, draft.token_ids, draft.versions
    )


def _wants_retry(attempt: Attempt, record: CallRecord) -> bool:
    """Retry what did not run, and what may have: by key, or where repeating does no harm."""
    broken_off = attempt.status < 300 and bool(attempt.error or attempt.verdict)
    if not broken_off and attempt.status not in _RETRYABLE_STATUS:
        return False
    if attempt.verdict == "not_run" or attempt.code == CODE_OF_UNSENT:
        return True
    safe = record.repeatable or bool(record.idempotency_key)
    return safe and attempt.verdict != "ran"


def _settle(record: CallRecord) -> Outcome:
    """Conclude from all attempts: one that may have run outweighs later proof about others."""
    last = record.attempts[-1]
    if last.status and not last.verdict and not last.error:
        return Outcome.ANSWERED if last.status < 400 else Outcome.REFUSED
    if last.verdict == "ran":
        return Outcome.RAN
    told = [attempt.verdict for attempt in record.attempts]
    unsent = [attempt.code == CODE_OF_UNSENT for attempt in record.attempts]
    if all(
        verdict == "not_run" or not_sent for verdict, not_sent in zip(told, unsent, strict=True)
    ):
        return Outcome.NOT_RUN
    if any(verdict == "may_have_run" for verdict in told):
        return Outcome.MAY_HAVE_RUN
    return Outcome.LOST
