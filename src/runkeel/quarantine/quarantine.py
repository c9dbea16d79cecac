"""Whether a request may be sent to servers, and what came of it; one for all kinds of requests.

Each way on which work reaches servers (attempts, retries, hedges, streams and their continuation,
items of batch jobs, calls of scorers) watches its request by a :class:`WatchedRequest`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.errors import ErrorCode, RunkeelError, Verdict, not_run
from runkeel.gateway.backends import BackendState
from runkeel.metrics import QUARANTINE_RECORDS, QUARANTINE_REFUSALS, SERVERS_ENDED
from runkeel.quarantine.crash_ledger import MAXIMUM_RECORDS, CrashLedger
from runkeel.quarantine.crash_record import CrashRecord
from runkeel.quarantine.fingerprint import Fingerprinter
from runkeel.quarantine.server_ends import EndEvidence, LostConnection, ServerEnds
from runkeel.quarantine.trials import BUSY_RETRY_SECONDS, TrialAnswer

TRIAL_WAIT_SECONDS = 0.3
"""A request waits so long while another one of its service is on trial; most take less."""

LONGEST_DENIAL_SECONDS = 5.0
"""A node asks again after so long at the latest: an operator may have let the request go, or the
coordinator that denied it may have been replaced.
"""

_SILENCES = (ErrorCode.DEADLINE_EXCEEDED, ErrorCode.CANCELLED)
"""Nothing was heard until the attempt was given up; its server may have ended meanwhile."""

_CONNECTION_LOSSES = (ErrorCode.BACKEND_LOST, ErrorCode.TRUNCATED_ANSWER)

TrialAsker = Callable[[CrashRecord], TrialAnswer]
"""Asks the coordinator whether one send of a request that is held back is granted."""


@dataclass(frozen=True, slots=True)
class _Denial:
    """A trial that was not granted for a record with this digest.

    Attributes:
        until: steady time from which on it is asked for again.
        retry_at: steady time at which it may be granted, as the coordinator said.
    """

    digest: int
    until: float
    retry_at: float


class Quarantine:
    """A node's view of the requests under which servers have ended.

    Args:
        secret: for fingerprints; shared by the cluster's nodes.
        ask_trial: asks for a send of a request that is held back.
    """

    def __init__(self, secret: bytes, ask_trial: TrialAsker) -> None:
        self.fingerprints = Fingerprinter(secret)
        self.ledger = CrashLedger()
        self.ends = ServerEnds(self._ended)
        self._ask_trial = ask_trial
        self._denials: dict[str, _Denial] = {}
        self.ledger.on_change(self._changed)

    def watch(self, identify: Callable[[], str], service: str, request_id: str) -> WatchedRequest:
        """Return the watch over one client attempt, or one run.

        Args:
            identify: makes the request's fingerprint; called only where any request is suspected,
                so that the digest of each body isn't paid for.
        """
        return WatchedRequest(self, identify, service, request_id)

    def ask(self, record: CrashRecord, wait_seconds: float) -> TrialAnswer:
        """Ask for one send; waits a little while another request of the service is on trial."""
        deadline = steady_seconds() + wait_seconds
        while True:
            answer = self._ask_once(record)
            busy = not answer.granted and answer.retry_after_seconds <= BUSY_RETRY_SECONDS
            if not busy or steady_seconds() + answer.retry_after_seconds > deadline:
                return answer
            gevent.sleep(answer.retry_after_seconds)

    def _ask_once(self, record: CrashRecord) -> TrialAnswer:
        """Ask, unless a denial still holds: the coordinator's load must not grow with traffic."""
        now = steady_seconds()
        denial = self._denials.get(record.fingerprint)
        if denial is not None and now < denial.until and denial.digest == record.digest:
            return TrialAnswer(False, max(0.0, denial.retry_at - now))
        answer = self._ask_trial(record)
        if answer.granted:
            self._denials.pop(record.fingerprint, None)
            return answer
        until = now + min(answer.retry_after_seconds, LONGEST_DENIAL_SECONDS)
        retry_at = now + answer.retry_after_seconds
        self._denials[record.fingerprint] = _Denial(record.digest, until, retry_at)
        if len(self._denials) > MAXIMUM_RECORDS:
            self._denials.pop(next(iter(self._denials)))
        return answer

    def _ended(self, lost: LostConnection, evidence: EndEvidence) -> None:
        SERVERS_ENDED.labels(lost.service, str(evidence)).inc()
        record = self.ledger.note_ended(lost.fingerprint, lost.service, lost.state.incarnation)
        logger.warning(
            "server ended under a request",
            code="server_ended",
            request=lost.request_id,
            fingerprint=lost.fingerprint,
            service=lost.service,
            backend=lost.state.incarnation,
            evidence=str(evidence),
            ended=len(record.ended),
            age_ms=int((steady_seconds() - lost.lost_at) * 1000),
        )

    def _changed(self, record: CrashRecord, before: CrashRecord | None, source: str) -> None:
        QUARANTINE_RECORDS.set(len(self.ledger))
        if record.held == (before is not None and before.held):
            return
        logger.warning(
            "request held back" if record.held else "request held back no more",
            code="request_held" if record.held else "request_released",
            fingerprint=record.fingerprint,
            service=record.service,
            ended=sorted(record.ended),
            clearance=record.clearance,
            told_by=source,
        )


class WatchedRequest:
    """One client attempt or run of a request; see :class:`Quarantine`.

    Attributes:
        on_trial: only one send is allowed, and it was granted by the coordinator.
    """

    __slots__ = ("_fingerprint", "_identify", "_quarantine", "_request_id", "_service", "on_trial")

    def __init__(
        self,
        quarantine: Quarantine,
        identify: Callable[[], str],
        service: str,
        request_id: str,
    ) -> None:
        self._quarantine = quarantine
        self._identify = identify
        self._service = service
        self._request_id = request_id
        self._fingerprint = ""
        self.on_trial = False

    @property
    def fingerprint(self) -> str:
        """The request's fingerprint."""
        if not self._fingerprint:
            self._fingerprint = self._identify()
        return self._fingerprint

    @property
    def suspected(self) -> bool:
        """Whether a server has ended under the request, and no success has cleared it."""
        record = self._record()
        return record is not None and bool(record.ended)

    @property
    def held(self) -> bool:
        """Whether the request is kept away from servers."""
        record = self._record()
        return record is not None and record.held

    def admit(self) -> None:
        """Call before the first send. Raises REQUEST_QUARANTINED (NOT_RUN) if there must be none.

        A request that is held back gets one send if the coordinator grants it.
        """
        if self.on_trial or not self.held:
            return
        answer = self.ask_trial(TRIAL_WAIT_SECONDS)
        if not answer.granted:
            QUARANTINE_REFUSALS.labels(self._service).inc()
            raise not_run(
                ErrorCode.REQUEST_QUARANTINED,
                f"servers ended under this request, its fingerprint is {self.fingerprint}",
                answer.retry_after_seconds,
            )

    def ask_trial(self, wait_seconds: float = 0.0) -> TrialAnswer:
        """Ask for one send of a request that is held back.

        Args:
            wait_seconds: longest wait while another request of the service is on trial.
        """
        answer = self._quarantine.ask(self._record(), wait_seconds)
        self.on_trial = answer.granted
        return answer

    def lost(self, state: BackendState, error: RunkeelError) -> None:
        """Take note of an attempt without a whole answer; returns once its cause was looked for."""
        if error.verdict is Verdict.NOT_RUN:
            return
        self.note_reached()
        silent = error.code in _SILENCES
        if error.code not in _CONNECTION_LOSSES and not silent:
            return
        lost = LostConnection(
            self._request_id, self.fingerprint, self._service, state, steady_seconds()
        )
        self._quarantine.ends.judge(lost, probe=not silent)

    def succeeded(self) -> None:
        """Take note of a whole answer: the request is innocent."""
        if self.suspected:
            self._quarantine.ledger.clear(self.fingerprint)

    def note_reached(self) -> None:
        """Take note that a server got the request: a trial is used up by it."""
        self.on_trial = False

    def return_trial(self) -> None:
        """Take note that no server was reached by the trial."""
        if self.on_trial:
            self.on_trial = False
            self._quarantine.ledger.note_trial_returned(self.fingerprint)

    def _record(self) -> CrashRecord | None:
        ledger = self._quarantine.ledger
        return ledger.get(self.fingerprint) if len(ledger) else None
