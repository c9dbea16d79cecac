"""Compares callers' records with the back ends' journals."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from runkeel_lab.journals import Execution
from runkeel_lab.load.records import CODE_OF_UNSENT, Attempt, CallRecord, Outcome
from runkeel_lab.violations import Violation, ViolationKind

_NOT_RUN = "not_run"
_CODES_OF_UNKNOWN_POOL = frozenset({"unknown_service", "unknown_model"})


class CallerVerifier:
    """Finds what callers were told wrongly.

    Args:
        executions: runs at all back ends.
        configured_pools: services and models that the object API held before the load.
    """

    def __init__(
        self, executions: Iterable[Execution], configured_pools: Iterable[str] = ()
    ) -> None:
        self._configured_pools = frozenset(configured_pools)
        self._by_nonce: dict[str, list[Execution]] = defaultdict(list)
        self._by_request: dict[str, list[Execution]] = defaultdict(list)
        for run in executions:
            if run.nonce:
                self._by_nonce[run.nonce].append(run)
            self._by_request[run.request_id].append(run)

    def verify(self, records: Sequence[CallRecord]) -> list[Violation]:
        """Return the violations of all records."""
        return [violation for record in records for violation in self.verify_one(record)]

    def verify_one(self, record: CallRecord) -> list[Violation]:
        """Return the violations of one record."""
        found = [
            *self._answer_faults(record),
            *self._false_verdicts(record),
            *self._missing_configuration(record),
        ]
        if record.outcome is Outcome.LOST:
            last = record.attempts[-1]
            found.append(_violation(ViolationKind.LOST, record, last.error or str(last.status)))
        runs = self._by_nonce.get(record.nonce, [])
        if not record.repeatable and len(runs) > 1:
            places = ", ".join(f"{run.standin} at {run.started:.3f}" for run in runs)
            found.append(_violation(ViolationKind.DOUBLED, record, places))
        return found

    def _answer_faults(self, record: CallRecord) -> list[Violation]:
        found = []
        for flag, kind in (
            (record.crossed, ViolationKind.CROSSED),
            (record.incomplete, ViolationKind.INCOMPLETE),
            (record.wrong_tokens, ViolationKind.WRONG_TOKENS),
        ):
            if flag:
                found.append(_violation(kind, record, f"{record.tokens} tokens"))
        if record.outcome is Outcome.ANSWERED and not record.prompt:
            ended = [run for run in self._by_nonce.get(record.nonce, []) if run.finished]
            if not ended:
                found.append(_violation(ViolationKind.NEVER_RAN, record, ""))
        return found

    def _false_verdicts(self, record: CallRecord) -> list[Violation]:
        """Find runs behind a "not run": by its request id, or begun while nothing else could run.

        The latter holds while each attempt before it was proved not to run as well; after an
        attempt of unknown outcome a run may be that one's.
        """
        found = []
        proved_so_far = True
        for number, attempt in enumerate(record.attempts):
            told_not_run = attempt.verdict == _NOT_RUN
            proved_so_far = proved_so_far and (told_not_run or attempt.code == CODE_OF_UNSENT)
            if not told_not_run:
                continue
            later = record.attempts[number + 1 :]
            until = later[0].sent if later else float("inf")
            for run in self._runs_of(record, attempt):
                own = run.request_id == attempt.request_id
                in_its_time = proved_so_far and attempt.sent <= run.started < until
                if own or in_its_time:
                    detail = f"attempt {number + 1} ran on {run.standin} as {run.request_id}"
                    found.append(_violation(ViolationKind.FALSE_NOT_RUN, record, detail))
        return found

    def _missing_configuration(self, record: CallRecord) -> list[Violation]:
        if record.pool not in self._configured_pools:
            return []
        return [
            _violation(
                ViolationKind.CONFIGURATION_MISSING, record, f"{attempt.node} said {attempt.code}"
            )
            for attempt in record.attempts
            if attempt.code in _CODES_OF_UNKNOWN_POOL
        ]

    def _runs_of(self, record: CallRecord, attempt: Attempt) -> list[Execution]:
        runs = list(self._by_nonce.get(record.nonce, ()))
        if attempt.request_id:
            runs += [r for r in self._by_request.get(attempt.request_id, ()) if r not in runs]
        return runs


def _violation(kind: ViolationKind, record: CallRecord, detail: str) -> Violation:
    return Violation(kind, record.nonce, f"{record.caller_class}: {detail}")
