"""The port to the platform's singleton duties: calls that one node at a time makes for all."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """Who makes a duty's calls; the token rises with each change of holder."""

    name: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """How many requests of each tenant began to run in a window of time.

    Attributes:
        window: its number; window k begins k times its length after the epoch.
    """

    window: int
    counts: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class UsageSettings:
    """What the platform wants to be told of its tenants' usage.

    Attributes:
        window_seconds: length of a window.
        late_seconds: a window's report is due so long after the window's end.
    """

    window_seconds: float
    late_seconds: float


class DutyPlatform(Protocol):
    """The platform's calls. Every method raises RunkeelError when a call was not taken."""

    def report_usage(
        self,
        report: UsageReport,
        holder: DutyHolder,
        timeout_seconds: float,
        before_send: Callable[[], None],
    ) -> None:
        """Report a window. A repeat of the same counts does nothing; others must never follow.

        Args:
            before_send: called right before the first byte is sent; if it raises, nothing is.
        """
