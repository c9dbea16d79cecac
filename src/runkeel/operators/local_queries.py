"""Queries that a node answers from its own rows."""

from __future__ import annotations

from dataclasses import dataclass

from runkeel.clock import steady_seconds
from runkeel.operators.diagnostics import bad_command
from runkeel.operators.language import parse_statement
from runkeel.operators.selection import check_columns, select
from runkeel.operators.sources import AGE_COLUMN, QuerySource, QuerySources, Row
from runkeel.operators.statements import ShowQuery


@dataclass(frozen=True, slots=True)
class QueryAnswer:
    """Rows, and how far they can be relied on.

    Attributes:
        age_ms: age of the oldest thing shown.
        unreachable_zones: zones of those nodes, if no other node there answered.
        unreachable_nodes: nodes that did not answer, or that the machine list shows and
            membership does not.
        truncated: some node had more rows than a reply holds.
    """

    columns: tuple[str, ...]
    rows: list[Row]
    age_ms: int
    unreachable_zones: tuple[str, ...] = ()
    unreachable_nodes: tuple[str, ...] = ()
    truncated: bool = False


def answer_locally(sources: QuerySources, text: str) -> QueryAnswer:
    """Answer a query from a node's own tables.

    Raises:
        RunkeelError: BAD_COMMAND.
    """
    query = parse_statement(text)
    if not isinstance(query, ShowQuery):
        raise bad_command(text, 0, "not a query; what runs on a platform is changed there")
    source = find_source(sources, text, query)
    started_at = steady_seconds()
    rows = select(query, source.columns, source.provider())
    return QueryAnswer(source.columns, rows, age_ms(source.columns, rows, started_at))


def find_source(sources: QuerySources, text: str, query: ShowQuery) -> QuerySource:
    """Return the table that a query asks for, having checked its fields.

    Raises:
        RunkeelError: BAD_COMMAND.
    """
    source = sources.get(query.resource.text)
    if source is None:
        word = query.resource
        problem = f"unknown resource {word.text!r}"
        raise bad_command(text, word.column, problem, word.text, sources.names())
    check_columns(text, query, source)
    return source


def age_ms(columns: tuple[str, ...], rows: list[Row], started_at: float) -> int:
    """Return an upper bound of the age of what the rows show."""
    collecting_ms = int((steady_seconds() - started_at) * 1000)
    if AGE_COLUMN not in columns:
        return collecting_ms
    index = columns.index(AGE_COLUMN)
    ages = (int(row[index]) for row in rows if isinstance(row[index], int | float))
    return collecting_ms + max(ages, default=0)
