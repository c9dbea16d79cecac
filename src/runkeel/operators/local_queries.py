"""Runs queries on the tables of one node."""

from __future__ import annotations

from dataclasses import dataclass

from runkeel.clock import steady_seconds
from runkeel.operators.diagnostics import bad_command
from runkeel.operators.language import parse_statement
from runkeel.operators.selection import check_columns, select
from runkeel.operators.sources import AGE_COLUMN, QuerySource, QuerySources, Row
from runkeel.operators.statements import ShowQuery


@dataclass(frozen=True, slots=True)
class QueryResult:
    """Rows of a query, with their age and completeness.

    Attributes:
        age_ms: upper bound of the age of the rows, in milliseconds.
        unreachable_zones: zones of unreachable nodes in which no other node responded.
        unreachable_nodes: nodes that did not respond, or that are in the machine list but not in
            the membership.
        truncated: whether some node had more rows than fit into one reply.
    """

    columns: tuple[str, ...]
    rows: list[Row]
    age_ms: int
    unreachable_zones: tuple[str, ...] = ()
    unreachable_nodes: tuple[str, ...] = ()
    truncated: bool = False


def run_query(sources: QuerySources, text: str) -> QueryResult:
    """Run a query on a node's tables.

    Raises:
        RunkeelError: BAD_COMMAND.
    """
    query = parse_statement(text)
    if not isinstance(query, ShowQuery):
        raise bad_command(text, 0, "not a query; queries have the form: show RESOURCE [where ...]")
    source = find_source(sources, text, query)
    started_at = steady_seconds()
    rows = select(query, source.columns, source.provider())
    return QueryResult(source.columns, rows, max_age_ms(source.columns, rows, started_at))


def find_source(sources: QuerySources, text: str, query: ShowQuery) -> QuerySource:
    """Return the table that a query reads, after checking the columns that the query names.

    Raises:
        RunkeelError: BAD_COMMAND.
    """
    source = sources.get(query.resource.text)
    if source is None:
        word = query.resource
        problem = f"unknown resource {word.text!r}"
        raise bad_command(text, word.position, problem, word.text, sources.names())
    check_columns(text, query, source)
    return source


def max_age_ms(columns: tuple[str, ...], rows: list[Row], started_at: float) -> int:
    """Return an upper bound of the age of rows, in milliseconds."""
    elapsed_ms = int((steady_seconds() - started_at) * 1000)
    if AGE_COLUMN not in columns:
        return elapsed_ms
    index = columns.index(AGE_COLUMN)
    ages = (int(row[index]) for row in rows if isinstance(row[index], int | float))
    return elapsed_ms + max(ages, default=0)
