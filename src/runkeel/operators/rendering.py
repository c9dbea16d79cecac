"""Renders answers as tables or JSON."""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from runkeel.operators.client import NodeAnswer

TABLE = "table"
JSON = "json"
FORMATS = (TABLE, JSON)
_UNLIMITED_WIDTH = 400


def render(answer: NodeAnswer, output_format: str, out: TextIO | None = None) -> None:
    """Print an answer."""
    out = out or sys.stdout
    if output_format == JSON:
        print(json.dumps(answer.document), file=out)
        return
    # A pipe has no width: rows are not to be cut or wrapped there.
    width = None if out.isatty() else _UNLIMITED_WIDTH
    console = Console(file=out, width=width, highlight=False)
    if answer.is_table:
        _render_table(answer.document, console)
    else:
        _render_outcome(answer.document, console)


def _render_table(document: dict[str, Any], console: Console) -> None:
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in document["columns"]:
        table.add_column(column)
    for row in document["rows"]:
        table.add_row(*(escape(_text(value)) for value in row))
    console.print(table)
    age_seconds = document.get("age_ms", 0) / 1000
    count = len(document["rows"])
    console.print(f"({count} row{'' if count == 1 else 's'}, at most {age_seconds:.1f} s old)")
    if document.get("truncated"):
        console.print("warning: some node had more rows than it may send; add conditions")
    if document.get("unreachable_nodes"):
        console.print(f"warning: no answer from: {', '.join(document['unreachable_nodes'])}")
    if document.get("unreachable_zones"):
        zones = ", ".join(document["unreachable_zones"])
        console.print(f"warning: zones that could not be asked: {zones}")


def _render_outcome(document: dict[str, Any], console: Console) -> None:
    console.print(f"{document['outcome']}: {escape(document['changes'])}")
    console.print(f"command {document['command_id']}")


def _text(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
