"""A violation of what must always hold."""

from __future__ import annotations

import enum
from dataclasses import asdict, dataclass
from typing import Any


class ViolationKind(enum.StrEnum):
    """Kinds of violations, as ``report.json`` names them."""

    LOST = "lost"
    DOUBLED = "doubled"
    CROSSED = "crossed"
    INCOMPLETE = "incomplete"
    WRONG_TOKENS = "wrong_tokens"
    NEVER_RAN = "never_ran"
    """Answered with success although no back end ran it."""
    FALSE_NOT_RUN = "false_not_run"
    SAMPLE_MISSING = "sample_missing"
    SAMPLE_DUPLICATED = "sample_duplicated"
    SAMPLE_FOREIGN = "sample_foreign"
    SAMPLE_INCOMPLETE = "sample_incomplete"
    SAMPLE_WRONG_VERSION = "sample_wrong_version"
    SAMPLE_TOO_STALE = "sample_too_stale"
    SAMPLE_WRONG_SCORE = "sample_wrong_score"
    NEW_WORK_TO_LEAVING = "new_work_to_leaving"
    IN_FLIGHT_CUT = "in_flight_cut"
    CONFIGURATION_REVERTED = "configuration_reverted"
    CONFIGURATION_LATE = "configuration_late"
    CONFIGURATION_MISSING = "configuration_missing"
    """A node said that a service or model is unknown that was configured before the run."""
    RACE_UNDECIDED = "race_undecided"
    FAULT_NOT_DONE = "fault_not_done"
    """The lab could not bring about a scheduled fault, so the run proves nothing of it."""


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation.

    Attributes:
        subject: nonce, task id, machine or object that it is about.
    """

    kind: ViolationKind
    subject: str
    detail: str = ""

    def as_dict(self) -> dict[str, Any]:
        """Return the violation for the report."""
        return asdict(self)
