"""Grants single sends of requests that are held back: servers may have ended by chance.

One node decides for all, the coordinator, so that the number of trials is bounded. No two requests
of a service are on trial at once: a server that ends then ends under the one that is.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from runkeel.clock import steady_seconds
from runkeel.metrics import QUARANTINE_TRIALS
from runkeel.quarantine.crash_ledger import HELD_SECONDS, CrashLedger
from runkeel.quarantine.crash_record import CrashRecord

TRIAL_PAUSES_SECONDS = (0.0, 10.0, 900.0)
"""Pauses before each trial, from the last end or trial; after the last trial there is none more.

The first is due at once: a request that lost three servers by chance is served when it comes again.
Three is what the users' platform allows to a request that has crashed three servers.
"""

TRIAL_SECONDS = 3.0
"""A trial of whose end nothing is heard is over after so long.

Its node may have died, or its server neither answered nor ended. Plain requests last for 1.5 s at
most on the users' platform.
"""

BUSY_RETRY_SECONDS = 0.1
"""When to ask again while another request of the service is on trial; most take less."""

NOBODY_RETRY_SECONDS = 1.0
"""When to ask again where no coordinator answers: it is replaced within 1.7 s."""


@dataclass(frozen=True, slots=True)
class TrialAnswer:
    """Whether one send was granted; ``retry_after_seconds`` tells when to ask again if not."""

    granted: bool
    retry_after_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class _Trial:
    """A trial under way: the request as it was when it was granted."""

    record: CrashRecord
    until: float


class TrialArbiter:
    """Decides on trials; asked at the coordinator only."""

    def __init__(self, ledger: CrashLedger, now: Callable[[], float] = steady_seconds) -> None:
        self._ledger = ledger
        self._now = now
        self._trials: dict[str, _Trial] = {}
        """The last trial of each service."""

    def ask(self, record: CrashRecord, source: str) -> TrialAnswer:
        """Decide on a send of a request.

        Args:
            record: what the asking node knows of the request.
            source: that node; empty: this one.
        """
        self._ledger.take(record, source)
        known = self._ledger.get(record.fingerprint)
        answer = TrialAnswer(True) if known is None or not known.held else self._decide(known)
        QUARANTINE_TRIALS.labels("granted" if answer.granted else "denied").inc()
        logger.info(
            "trial of a request that is held back",
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
        if used >= len(TRIAL_PAUSES_SECONDS):
            return TrialAnswer(False, max(0.0, known.changed_at + HELD_SECONDS - now))
        due = known.changed_at + TRIAL_PAUSES_SECONDS[used]
        if now < due:
            return TrialAnswer(False, due - now)
        if self._busy(known.service, now):
            return TrialAnswer(False, BUSY_RETRY_SECONDS)
        self._ledger.note_trial(known.fingerprint)
        on_trial = self._ledger.get(known.fingerprint)
        self._trials[known.service] = _Trial(on_trial, now + TRIAL_SECONDS)
        return TrialAnswer(True)

    def _busy(self, service: str, now: float) -> bool:
        """Return whether a request of a service is on trial: nothing was heard of it since."""
        trial = self._trials.get(service)
        if trial is None or now >= trial.until:
            return False
        return trial.record.same_as(self._ledger.get(trial.record.fingerprint))
