"""Grants trials: single sends of a quarantined request, whose crashes may have had another cause.

The coordinator decides for all nodes, which bounds the number of trials. At most one request of a
service is on trial at a time, so that a crash can be attributed to it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.metrics import QUARANTINE_TRIALS
from runkeel.quarantine.crash_ledger import QUARANTINE_RETENTION_SECONDS, CrashLedger
from runkeel.quarantine.crash_record import CrashRecord

TRIAL_DELAYS_SECONDS = (0.0, 10.0, 900.0)
"""Delay before each trial, counted from the last crash or trial; there are no further trials.

The first trial is granted without delay, so that a request that met three unrelated crashes
succeeds on its next retry.
"""

TRIAL_TIMEOUT_SECONDS = 3.0
"""A trial without a reported outcome no longer blocks others of its service after this time.

The node that sent it may have crashed, or the server neither responded nor crashed. Exceeds the
duration of requests that are neither streamed nor items of batch jobs.
"""

BUSY_RETRY_SECONDS = 0.1
"""Retry delay while another request of the service is on trial."""

NO_COORDINATOR_RETRY_SECONDS = 1.0
"""Retry delay while no coordinator responds."""


@dataclass(frozen=True, slots=True)
class TrialAnswer:
    """Whether a trial was granted and, if not, after how many seconds to ask again."""

    granted: bool
    retry_after_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class _Trial:
    """A granted trial: the request's record at that time, and the steady time when it expires."""

    record: CrashRecord
    expires_at: float


class TrialArbiter:
    """Decides on trials; used only on the coordinator."""

    def __init__(self, ledger: CrashLedger, now: Callable[[], float] = steady_seconds) -> None:
        self._ledger = ledger
        self._now = now
        self._trials: dict[str, _Trial] = {}
        """Last trial by service."""

    def ask(self, record: CrashRecord, source: str) -> TrialAnswer:
        """Decide whether a request may be sent once.

        Args:
            record: the requesting node's record of the request.
            source: the requesting node; empty for this node.
        """
        self._ledger.merge_record(record, source)
        known = self._ledger.get(record.fingerprint)
        answer = (
            TrialAnswer(True) if known is None or not known.quarantined else self._decide(known)
        )
        QUARANTINE_TRIALS.labels("granted" if answer.granted else "denied").inc()
        logger.info(
            "trial of a quarantined request decided",
            code="request_trial",
            fingerprint=record.fingerprint,
            service=record.service,
            node=source,
            granted=answer.granted,
            trials=known.trials_used if known is not None else 0,
            retry_after_ms=int(answer.retry_after_seconds * 1000),
        )
        return answer

    def _decide(self, known: CrashRecord) -> TrialAnswer:
        now = self._now()
        used = known.trials_used
        if used >= len(TRIAL_DELAYS_SECONDS):
            return TrialAnswer(
                False, max(0.0, known.changed_at + QUARANTINE_RETENTION_SECONDS - now)
            )
        due_at = known.changed_at + TRIAL_DELAYS_SECONDS[used]
        if now < due_at:
            return TrialAnswer(False, due_at - now)
        if self._trial_in_flight(known.service, now):
            return TrialAnswer(False, BUSY_RETRY_SECONDS)
        self._ledger.record_trial(known.fingerprint)
        on_trial = self._ledger.get(known.fingerprint)
        self._trials[known.service] = _Trial(on_trial, now + TRIAL_TIMEOUT_SECONDS)
        return TrialAnswer(True)

    def _trial_in_flight(self, service: str, now: float) -> bool:
        """Return whether a request of a service is on trial with no outcome reported yet."""
        trial = self._trials.get(service)
        if trial is None or now >= trial.expires_at:
            return False
        return trial.record.same_content(self._ledger.get(trial.record.fingerprint))
