"""A picture of a demonstration's day: requests, training steps, versions, what was done to it."""

from __future__ import annotations

from pathlib import Path

import matplotlib

from runkeel.clock import steady_seconds

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  (the backend must be chosen first)

_SIZE_INCHES = (11, 6)
_REFUSED = 503


class DayPicture:
    """Collects what happened; times are those of the steady clock."""

    def __init__(self) -> None:
        self._began = steady_seconds()
        self._requests: list[tuple[float, float, int]] = []
        self._steps: list[tuple[float, float, int]] = []
        self._versions: list[tuple[float, int]] = []
        self._marks: list[tuple[float, str]] = []

    def request(self, began: float, ended: float, status: int) -> None:
        """Take a request; status 0: it got no answer."""
        self._requests.append((began - self._began, ended - began, status))

    def step(self, began: float, ended: float, version: int) -> None:
        """Take a training step and the version that made its samples."""
        self._steps.append((began - self._began, ended - began, version))

    def version(self, at: float, version: int) -> None:
        """Take the moment when every engine has a version."""
        self._versions.append((at - self._began, version))

    def mark(self, text: str) -> None:
        """Take something that was done to the deployment just now."""
        self._marks.append((steady_seconds() - self._began, text))

    def write(self, path: Path) -> None:
        """Draw everything into a PNG file."""
        figure, (above, below) = pyplot.subplots(2, 1, sharex=True, figsize=_SIZE_INCHES)
        for label, chosen in (
            ("answered", [one for one in self._requests if one[2] == 200]),
            ("refused, not run", [one for one in self._requests if one[2] == _REFUSED]),
            ("failed", [one for one in self._requests if one[2] not in (200, _REFUSED)]),
        ):
            above.scatter(
                [one[0] for one in chosen], [1000 * one[1] for one in chosen], s=12, label=label
            )
        above.set_ylabel("ms to the answer")
        above.set_yscale("log")
        above.legend(loc="upper right")
        for began, seconds, version in self._steps:
            below.barh(version, seconds, left=began, height=0.5)
        for at, version in self._versions:
            below.plot(at, version, marker="v", color="black")
        below.set_ylabel("weight version of a step")
        below.set_xlabel("s since the start")
        for at, text in self._marks:
            for axes in (above, below):
                axes.axvline(at, color="grey", linewidth=0.6)
            below.text(at, 0.4, f" {text}", rotation=90, fontsize=7, va="bottom")
        figure.tight_layout()
        figure.savefig(path)
        pyplot.close(figure)
