"""Prints a report as tables."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table

_SHOWN_VIOLATIONS = 20
_WIDTH_WITHOUT_TERMINAL = 160
_CALLER_COLUMNS = (
    "sent",
    "answered",
    "not_run",
    "may_have_run",
    "lost",
    "doubled",
    "crossed",
    "false_not_run",
    "p50_ms",
    "p99_ms",
    "p999_ms",
)
_TRAINER_COLUMNS = (
    "steps",
    "samples",
    "idle_fraction",
    "idle_lower_bound",
    "staleness_versions",
    "too_stale",
    "missing",
    "duplicated",
    "wrong_version",
)
_NODE_COLUMNS = ("cpu_percent", "rss_mb", "control_bytes_per_s")


def make_console() -> Console:
    """Return a console that is wide enough for the tables when it writes to a file."""
    console = Console()
    return console if console.is_terminal else Console(width=_WIDTH_WITHOUT_TERMINAL)


def print_summary(report: dict[str, Any], console: Console | None = None) -> None:
    """Print callers, trainers, nodes, control times and violations."""
    console = console or make_console()
    console.print(
        f"{report['experiment']} on {report['deployment']}: "
        f"{report['seconds']} s, seed {report['seed']}"
    )
    for title, key, columns in (
        ("callers", "callers", _CALLER_COLUMNS),
        ("trainers", "trainers", _TRAINER_COLUMNS),
        ("nodes", "nodes", _NODE_COLUMNS),
    ):
        if report[key]:
            console.print(make_table(title, report[key], columns))
    console.print(make_table("control", {"all": report["control"]}, tuple(report["control"])))
    _print_violations(report["violations"], console)


def make_table(title: str, rows: dict[str, dict[str, Any]], columns: tuple[str, ...]) -> Table:
    """Return a table with a line for each row."""
    table = Table(title=title, title_justify="left")
    table.add_column("")
    for column in columns:
        table.add_column(column, justify="right")
    for name, values in rows.items():
        table.add_row(name, *(_text(values.get(column)) for column in columns))
    return table


def _text(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 10 else f"{value:.1f}"
    if isinstance(value, dict):
        return " ".join(f"{key}:{count}" for key, count in value.items())
    return str(value)


def _print_violations(violations: list[dict[str, Any]], console: Console) -> None:
    console.print(f"violations: {len(violations)}")
    for violation in violations[:_SHOWN_VIOLATIONS]:
        console.print(
            f"  {violation['kind']} {violation['subject']}: {violation['detail']}", markup=False
        )
    if len(violations) > _SHOWN_VIOLATIONS:
        console.print(f"  and {len(violations) - _SHOWN_VIOLATIONS} more in report.json")
