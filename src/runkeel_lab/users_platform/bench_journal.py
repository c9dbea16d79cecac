"""Compares the scores in journal entries of the users' benchmark, as a table and as a chart."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  (the backend must be chosen first)

CALM_DAY_SLOT = "quiet"
RANDOM_DAY_PREFIX = "fresh-"
"""Name prefix of days that the benchmark draws at random, which differ between entries."""

_SIZE_INCHES = (9, 4.5)
_GROUP_WIDTH = 0.8


@dataclass(frozen=True, slots=True)
class BenchDay:
    """One day of an entry.

    Attributes:
        slot: category of the day.
        worth: score of the day, ``G`` in the journal.
        prices: share of credit lost to prices.
        broken: number of rule violations.
    """

    name: str
    slot: str
    worth: float
    prices: float
    broken: int


@dataclass(frozen=True, slots=True)
class BenchEntry:
    """One journal entry."""

    entry_id: str
    site: str
    reason: str
    days: tuple[BenchDay, ...]

    @property
    def standard_days(self) -> tuple[BenchDay, ...]:
        """The days that every entry contains."""
        return tuple(day for day in self.days if not day.name.startswith(RANDOM_DAY_PREFIX))

    @property
    def mean_non_calm_worth(self) -> float:
        """Mean worth of the standard days that are not calm; 0 if there are none."""
        found = [day.worth for day in self.standard_days if day.slot != CALM_DAY_SLOT]
        return sum(found) / len(found) if found else 0.0


def read_entry(path: Path) -> BenchEntry:
    """Read a journal entry.

    Raises:
        ValueError: the file is not a journal entry.
    """
    try:
        content = json.loads(path.read_text())
        days = tuple(_day(day) for day in content["days"])
        return BenchEntry(content["id"], content["site"], content["why"], days)
    except (KeyError, TypeError) as error:
        raise ValueError(f"{path}: not a journal entry: {error!r}") from error


def format_entries(entries: Sequence[BenchEntry]) -> str:
    """Return a table with a row per entry, a column per standard day, and the mean last."""
    names = _day_names(entries)
    width = max([len(entry.site) for entry in entries], default=4)
    rows = [f"{'site':<{width}} entry    " + " ".join(f"{n:>9}" for n in names) + "      mean"]
    for entry in entries:
        worth = {day.name: day for day in entry.standard_days}
        cells = " ".join(_cell(worth.get(name)) for name in names)
        mean = f"{entry.mean_non_calm_worth:>9.3f}"
        rows.append(f"{entry.site:<{width}} {entry.entry_id:<8} {cells} {mean}")
    return "\n".join(rows)


def plot_entries(entries: Sequence[BenchEntry], path: Path) -> None:
    """Draw the worth of each standard day as a bar chart, with one colour per entry."""
    names = _day_names(entries)
    figure, axes = pyplot.subplots(figsize=_SIZE_INCHES)
    width = _GROUP_WIDTH / max(1, len(entries))
    for number, entry in enumerate(entries):
        worth = {day.name: day.worth for day in entry.standard_days}
        positions = [index + number * width for index in range(len(names))]
        heights = [worth.get(name, 0.0) for name in names]
        axes.bar(positions, heights, width, label=f"{entry.site} {entry.entry_id}")
    axes.set_xticks([index + _GROUP_WIDTH / 2 - width / 2 for index in range(len(names))], names)
    axes.set_ylabel("worth")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _day(content: dict) -> BenchDay:
    prices = sum(price for _, _, price in content["prices"])
    broken = sum(content["rules"].values())
    return BenchDay(content["name"], content["slot"], content["G"], prices, broken)


def _day_names(entries: Sequence[BenchEntry]) -> list[str]:
    return list(dict.fromkeys(day.name for entry in entries for day in entry.standard_days))


def _cell(day: BenchDay | None) -> str:
    if day is None:
        return f"{'-':>9}"
    return f"{day.worth:>8.3f}{'!' if day.broken else ' '}"
