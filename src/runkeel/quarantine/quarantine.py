"""Decides whether a request may be sent to servers and records the outcome of each attempt.

Every path of a client's request to the servers (attempts, retries, hedges, streams and their
continuation) tracks it with a :class:`WatchedRequest`. Items of batch jobs and their scorer calls
are accepted work that has to be done and don't crash servers by themselves; they are tracked with
an :class:`ExemptRequest`, only to tell the other nodes which servers have crashed.
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
from runkeel.quarantine.crash_detector import CrashDetector, CrashEvidence, LostConnection
from runkeel.quarantine.crash_ledger import MAX_RECORDS, CrashLedger
from runkeel.quarantine.crash_record import CrashRecord
from runkeel.quarantine.fingerprint import Fingerprinter
from runkeel.quarantine.trials import BUSY_RETRY_SECONDS, TrialAnswer

TRIAL_WAIT_SECONDS = 0.3
"""Maximum wait of a request while another one of its service is on trial."""

MAX_DENIAL_CACHE_SECONDS = 5.0
"""Maximum time for which a denied trial is cached.

In the meantime an operator may have released the request, or the coordinator may have been
replaced.
"""

_NO_RESPONSE_CODES = (ErrorCode.DEADLINE_EXCEEDED, ErrorCode.CANCELLED)
"""Failures of attempts that were abandoned without a response; the server may have crashed."""

_CONNECTION_LOSS_CODES = (ErrorCode.BACKEND_LOST, ErrorCode.TRUNCATED_ANSWER)

TrialAsker = Callable[[CrashRecord], TrialAnswer]
"""Asks the coordinator to grant a trial, one send of a quarantined request."""


@dataclass(frozen=True, slots=True)
class _Denial:
    """A cached denial of a trial, valid for a record with this digest.

    Attributes:
        expires_at: steady time in seconds at which the denial expires.
        retry_at: steady time in seconds at which a trial may be granted.
    """

    digest: int
    expires_at: float
    retry_at: float


class Quarantine:
    """A node's view of the requests during which servers crashed.

    Args:
        secret: fingerprint key shared by the cluster's nodes.
        ask_trial: asks the coordinator for a trial.
    """

    def __init__(self, secret: bytes, ask_trial: TrialAsker) -> None:
        self.fingerprinter = Fingerprinter(secret)
        self.ledger = CrashLedger()
        self.crash_detector = CrashDetector(self._on_server_crashed)
        self._ask_trial = ask_trial
        self._denials: dict[str, _Denial] = {}
        self.ledger.on_change(self._on_record_changed)

    def watch(self, identify: Callable[[], str], service: str, request_id: str) -> WatchedRequest:
        """Start tracking a client's request over all its attempts.

        A request that the client sends again is tracked anew.

        Args:
            identify: computes the request's fingerprint; called only when needed, to avoid hashing
                every body.
        """
        return WatchedRequest(self, identify, service, request_id)

    def watch_exempt(self, service: str, request_id: str) -> ExemptRequest:
        """Start tracking a run of an item or a scorer call, which is never withheld."""
        return ExemptRequest(self, lambda: "", service, request_id)

    def ask(self, record: CrashRecord, wait_seconds: float) -> TrialAnswer:
        """Ask for a trial, repeatedly while another request of the service is on trial.

        Args:
            record: the record of the quarantined request.
            wait_seconds: time after which to stop asking again.
        """
        deadline = steady_seconds() + wait_seconds
        while True:
            answer = self._ask_once(record)
            # The retry delay is this short while another request of the service is on trial.
            # Denials for other reasons mostly have a longer one.
            busy = not answer.granted and answer.retry_after_seconds <= BUSY_RETRY_SECONDS
            if not busy or steady_seconds() + answer.retry_after_seconds > deadline:
                return answer
            gevent.sleep(answer.retry_after_seconds)

    def _ask_once(self, record: CrashRecord) -> TrialAnswer:
        """Ask, unless a cached denial applies; keeps coordinator load independent of traffic."""
        now = steady_seconds()
        denial = self._denials.get(record.fingerprint)
        if denial is not None and now < denial.expires_at and denial.digest == record.digest:
            return TrialAnswer(False, max(0.0, denial.retry_at - now))
        answer = self._ask_trial(record)
        if answer.granted:
            self._denials.pop(record.fingerprint, None)
            return answer
        expires_at = now + min(answer.retry_after_seconds, MAX_DENIAL_CACHE_SECONDS)
        retry_at = now + answer.retry_after_seconds
        self._denials[record.fingerprint] = _Denial(record.digest, expires_at, retry_at)
        if len(self._denials) > MAX_RECORDS:
            self._denials.pop(next(iter(self._denials)))
        return answer

    def _on_server_crashed(self, lost: LostConnection, evidence: CrashEvidence) -> None:
        SERVERS_ENDED.labels(lost.service, str(evidence)).inc()
        record = self.ledger.record_crash(lost.fingerprint, lost.service, lost.state.incarnation)
        logger.warning(
            "server crashed while running a request",
            code="server_ended",
            request=lost.request_id,
            fingerprint=lost.fingerprint,
            service=lost.service,
            backend=lost.state.incarnation,
            evidence=str(evidence),
            ended=len(record.crashed_servers),
            age_ms=int((steady_seconds() - lost.lost_at) * 1000),
        )

    def _on_record_changed(
        self, record: CrashRecord, before: CrashRecord | None, source: str
    ) -> None:
        QUARANTINE_RECORDS.set(len(self.ledger))
        if record.quarantined == (before is not None and before.quarantined):
            return
        logger.warning(
            "request quarantined" if record.quarantined else "request released from quarantine",
            code="request_held" if record.quarantined else "request_released",
            fingerprint=record.fingerprint,
            service=record.service,
            ended=sorted(record.crashed_servers),
            clearance=record.clearance,
            told_by=source,
        )


class WatchedRequest:
    """A client's request, tracked over all its attempts.

    See :meth:`Quarantine.watch`.

    Attributes:
        on_trial: whether the coordinator has granted a trial that is not used yet.
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
        """The request's fingerprint, computed on first use."""
        if not self._fingerprint:
            self._fingerprint = self._identify()
        return self._fingerprint

    @property
    def suspected(self) -> bool:
        """Whether a server has crashed during the request since the request was last cleared.

        Unlike :attr:`quarantined`, true from the first crash on.
        """
        record = self._record()
        return record is not None and bool(record.crashed_servers)

    @property
    def quarantined(self) -> bool:
        """Whether the request is quarantined."""
        record = self._record()
        return record is not None and record.quarantined

    def admit(self) -> None:
        """Check before the first send that the request may be sent.

        A quarantined request needs a trial granted by the coordinator.

        Raises:
            RunkeelError: REQUEST_QUARANTINED (NOT_RUN) if the request must not be sent.
        """
        if self.on_trial or not self.quarantined:
            return
        answer = self.ask_trial(TRIAL_WAIT_SECONDS)
        if not answer.granted:
            QUARANTINE_REFUSALS.labels(self._service).inc()
            raise not_run(
                ErrorCode.REQUEST_QUARANTINED,
                f"request quarantined after server crashes, fingerprint {self.fingerprint}",
                answer.retry_after_seconds,
            )

    def ask_trial(self, wait_seconds: float = 0.0) -> TrialAnswer:
        """Ask for a trial of a quarantined request.

        Args:
            wait_seconds: maximum wait while another request of the service is on trial.
        """
        answer = self._quarantine.ask(self._record(), wait_seconds)
        self.on_trial = answer.granted
        return answer

    def record_failure(self, state: BackendState, error: RunkeelError) -> None:
        """Record an attempt that got no complete response; may block to probe the server."""
        if error.verdict is Verdict.NOT_RUN:
            return
        self.record_delivery()
        no_response = error.code in _NO_RESPONSE_CODES
        if error.code not in _CONNECTION_LOSS_CODES and not no_response:
            return
        fingerprint = self._crash_fingerprint(state)
        lost = LostConnection(self._request_id, fingerprint, self._service, state, steady_seconds())
        self._quarantine.crash_detector.classify(lost, probe=not no_response)

    def record_success(self) -> None:
        """Record a complete response, which clears the request."""
        if self.suspected:
            self._quarantine.ledger.clear(self.fingerprint)

    def record_delivery(self) -> None:
        """Record that a server received the request, which uses up a granted trial."""
        self.on_trial = False

    def return_trial(self) -> None:
        """Return a granted trial that reached no server."""
        if self.on_trial:
            self.on_trial = False
            self._quarantine.ledger.record_returned_trial(self.fingerprint)

    def _crash_fingerprint(self, state: BackendState) -> str:
        """Return the fingerprint under which a crash of a server is recorded."""
        return self.fingerprint

    def _record(self) -> CrashRecord | None:
        ledger = self._quarantine.ledger
        return ledger.get(self.fingerprint) if len(ledger) else None


class ExemptRequest(WatchedRequest):
    """A run of an item or a scorer call; crashes are attributed to the servers alone."""

    __slots__ = ()

    def _crash_fingerprint(self, state: BackendState) -> str:
        return self._quarantine.fingerprinter.of_server(state.incarnation)

    def _record(self) -> CrashRecord | None:
        return None
