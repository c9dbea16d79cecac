"""Chart of a demonstration: requests, training steps, weight versions, and marked events."""

from __future__ import annotations

from pathlib import Path

import matplotlib

from runkeel.clock import steady_seconds

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  (the backend must be chosen first)

_SIZE_INCHES = (11, 6)
_STATUS_REFUSED = 503


class RunChart:
    """Collects events and draws them; times are those of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._started_at = steady_seconds()
        self._requests: list[tuple[float, float, int]] = []
        self._steps: list[tuple[float, float, int]] = []
        self._versions: list[tuple[float, int]] = []
        self._marks: list[tuple[float, str]] = []

    def add_request(self, started: float, ended: float, status: int) -> None:
        """Add a request; status 0 means that there was no response."""
        self._requests.append((started - self._started_at, ended - started, status))

    def add_step(self, started: float, ended: float, version: int) -> None:
        """Add a training step and the weight version that generated its samples."""
        self._steps.append((started - self._started_at, ended - started, version))

    def add_version(self, at: float, version: int) -> None:
        """Add the time at which a version was loaded."""
        self._versions.append((at - self._started_at, version))

    def add_mark(self, text: str) -> None:
        """Add a labelled event at the current time."""
        self._marks.append((steady_seconds() - self._started_at, text))

    def write(self, path: Path) -> None:
        """Draw the chart into a PNG file."""
        figure, (latency_axes, step_axes) = pyplot.subplots(2, 1, sharex=True, figsize=_SIZE_INCHES)
        for label, chosen in (
            ("answered", [one for one in self._requests if one[2] == 200]),
            ("refused, not run", [one for one in self._requests if one[2] == _STATUS_REFUSED]),
            ("failed", [one for one in self._requests if one[2] not in (200, _STATUS_REFUSED)]),
        ):
            latency_axes.scatter(
                [one[0] for one in chosen], [1000 * one[1] for one in chosen], s=12, label=label
            )
        latency_axes.set_ylabel("response time in ms")
        latency_axes.set_yscale("log")
        latency_axes.legend(loc="upper right")
        for started, seconds, version in self._steps:
            step_axes.barh(version, seconds, left=started, height=0.5)
        for at, version in self._versions:
            step_axes.plot(at, version, marker="v", color="black")
        step_axes.set_ylabel("weight version")
        step_axes.set_xlabel("time since the start in s")
        for at, text in self._marks:
            for axes in (latency_axes, step_axes):
                axes.axvline(at, color="grey", linewidth=0.6)
            step_axes.text(at, 0.4, f" {text}", rotation=90, fontsize=7, va="bottom")
        figure.tight_layout()
        figure.savefig(path)
        pyplot.close(figure)
