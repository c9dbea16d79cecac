"""Checks leaving back ends, planned stops, races and the configuration in force."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from runkeel_lab.experiment import FaultKind
from runkeel_lab.faults import FaultRecord
from runkeel_lab.journals import Journals
from runkeel_lab.load.records import CallRecord
from runkeel_lab.operators import CommandRecord
from runkeel_lab.violations import Violation, ViolationKind

DRAIN_BOUND_SECONDS = 1.0
"""New work ends so long after a drain command was accepted."""
LIST_LEAVING_BOUND_SECONDS = 3.0
"""New work ends so long after the machine list shows the machine as leaving."""
_CRASH_KINDS = frozenset({FaultKind.KILL, FaultKind.ENGINE_CRASH, FaultKind.APPLICATION_CRASH})
_CODES_OF_CUT = frozenset({"cancelled", "peer_lost", "truncated_answer"})
_OBSERVED_AFTER_CRASH_SECONDS = 10.0


@dataclass(slots=True)
class ControlFindings:
    """Times in s of the control plane; None where nothing of the kind happened."""

    leaving_to_last_new_work_s: float | None = None
    crash_to_last_wrong_send_s: float | None = None
    in_flight_cut: int = 0
    violations: list[Violation] = field(default_factory=list)


def verify_control(
    faults: Sequence[FaultRecord], journals: Journals, records: Sequence[CallRecord]
) -> ControlFindings:
    """Check every fault that was brought about."""
    findings = ControlFindings()
    for fault in faults:
        if fault.error:
            subject = f"{fault.spec.kind} {fault.spec.target}"
            findings.violations.append(
                Violation(ViolationKind.FAULT_NOT_DONE, subject, fault.error)
            )
        elif fault.spec.kind in (FaultKind.DRAIN, FaultKind.LIST_LEAVING):
            _check_leaving(fault, journals, findings)
        elif fault.spec.kind is FaultKind.PLANNED_STOP:
            _check_planned_stop(fault, records, findings)
        elif fault.spec.kind in _CRASH_KINDS:
            _measure_crash(fault, records, findings)
    return findings


def verify_races(races: Sequence[Sequence[CommandRecord]]) -> list[Violation]:
    """Check that no two racing commands were both told that they made the same generation."""
    found = []
    for race in races:
        accepted = [record for record in race if record.accepted]
        generations = [record.content.get("generation") for record in accepted]
        if len(set(generations)) < len(generations):
            detail = f"accepted generations {generations}"
            found.append(Violation(ViolationKind.RACE_UNDECIDED, race[0].command, detail))
        for record in race:
            if not record.accepted and not record.content.get("verdict"):
                detail = f"no verdict: {record.status} {record.content}"
                found.append(Violation(ViolationKind.RACE_UNDECIDED, record.command, detail))
    return found


def _check_leaving(fault: FaultRecord, journals: Journals, findings: ControlFindings) -> None:
    target = fault.spec.target
    began, bound = fault.effective, DRAIN_BOUND_SECONDS
    if fault.spec.kind is FaultKind.LIST_LEAVING:
        shown = [
            each.at
            for each in journals.of("machine-list", "machine_shown")
            if each.fields.get("machine") == target and each.at >= fault.began
        ]
        if not shown:
            return
        began, bound = shown[0], LIST_LEAVING_BOUND_SECONDS
    ended = fault.undone or float("inf")
    late = [each.at - began for each in journals.of(target, "received") if began <= each.at < ended]
    last = max(late, default=0.0)
    findings.leaving_to_last_new_work_s = max(findings.leaving_to_last_new_work_s or 0.0, last)
    if last > bound:
        detail = f"new work {last:.2f} s after {fault.spec.kind}; bound {bound} s"
        findings.violations.append(Violation(ViolationKind.NEW_WORK_TO_LEAVING, target, detail))


def _check_planned_stop(
    fault: FaultRecord, records: Iterable[CallRecord], findings: ControlFindings
) -> None:
    for record in records:
        for attempt in record.attempts:
            in_flight = attempt.sent < fault.began < attempt.ended
            cut = bool(attempt.error) or attempt.code in _CODES_OF_CUT
            if attempt.node == fault.spec.target and in_flight and cut:
                findings.in_flight_cut += 1
                detail = f"{record.caller_class} on {attempt.node}: {attempt.error}"
                findings.violations.append(
                    Violation(ViolationKind.IN_FLIGHT_CUT, record.nonce, detail)
                )


def _measure_crash(
    fault: FaultRecord, records: Iterable[CallRecord], findings: ControlFindings
) -> None:
    """Note the last failure that a caller saw after a crash, from any node that lives."""
    until = min(fault.began + _OBSERVED_AFTER_CRASH_SECONDS, fault.undone or float("inf"))
    last = 0.0
    for record in records:
        for attempt in record.attempts:
            failed = attempt.status in (0, 502) and attempt.node != fault.spec.target
            if failed and fault.began <= attempt.sent <= until:
                last = max(last, attempt.sent - fault.began)
    findings.crash_to_last_wrong_send_s = max(findings.crash_to_last_wrong_send_s or 0.0, last)
