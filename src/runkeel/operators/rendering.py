"""Renders responses as tables or JSON."""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from runkeel.operators.client import NodeResponse

TABLE = "table"
JSON = "json"
FORMATS = (TABLE, JSON)
_NON_TERMINAL_WIDTH = 400


def render(response: NodeResponse, output_format: str, out: TextIO | None = None) -> None:
    """Print a response to ``out``, by default standard output."""
    out = out or sys.stdout
    if output_format == JSON:
        print(json.dumps(response.document), file=out)
        return
    # Output to a pipe or file has no terminal width; a wide console avoids wrapped rows.
    width = None if out.isatty() else _NON_TERMINAL_WIDTH
    console = Console(file=out, width=width, highlight=False)
    if response.is_table:
        _render_table(response.document, console)
    else:
        _render_outcome(response.document, console)


def _render_table(document: dict[str, Any], console: Console) -> None:
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in document["columns"]:
        table.add_column(column)
    for row in document["rows"]:
        table.add_row(*(escape(_format_cell(value)) for value in row))
    console.print(table)
    age_seconds = document.get("age_ms", 0) / 1000
    count = len(document["rows"])
    console.print(f"({count} row{'' if count == 1 else 's'}, at most {age_seconds:.1f} s old)")
    if document.get("truncated"):
        console.print("warning: incomplete, some node exceeded its limit of rows; add conditions")
    if document.get("unreachable_nodes"):
        console.print(f"warning: no response from: {', '.join(document['unreachable_nodes'])}")
    if document.get("unreachable_zones"):
        zones = ", ".join(document["unreachable_zones"])
        console.print(f"warning: unreachable zones: {zones}")


def _render_outcome(document: dict[str, Any], console: Console) -> None:
    console.print(f"{document['outcome']}: {escape(document['changes'])}")
    console.print(f"command {document['command_id']}")


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
