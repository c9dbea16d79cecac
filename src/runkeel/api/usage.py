"""Interface for reporting usage to the platform: calls that one node makes for the cluster."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """Node that makes the calls; the fencing token increases with each change of holder."""

    name: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Number of requests of each tenant that started in a time window.

    Attributes:
        window: index of the window; window k starts k window lengths after the epoch.
    """

    window: int
    counts: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class UsageSettings:
    """Settings of the usage reports to the platform.

    Attributes:
        window_seconds: length of a window.
        late_seconds: time after a window's end by which its report is due.
    """

    window_seconds: float
    late_seconds: float


class UsageSink(Protocol):
    """Calls to the platform. Every method raises RunkeelError when a call was not accepted."""

    def report_usage(
        self,
        report: UsageReport,
        holder: LeaseHolder,
        timeout_seconds: float,
        before_send: Callable[[], None],
    ) -> None:
        """Report a window. Repeats must carry the same counts and have no further effect.

        Args:
            before_send: called just before the first byte is sent; if it raises, nothing is sent.
        """
