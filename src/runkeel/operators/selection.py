"""Filters, sorts and limits the rows of a table."""

from __future__ import annotations

import operator
from collections.abc import Callable
from typing import Any

from runkeel.operators.diagnostics import bad_command
from runkeel.operators.sources import QuerySource, Row
from runkeel.operators.statements import Comparison, Condition, Scalar, ShowQuery
from runkeel.operators.values import parse_scalar

_NULL = "null"
_COMPARATORS: dict[Comparison, Callable[[Any, Any], bool]] = {
    Comparison.EQUAL: operator.eq,
    Comparison.NOT_EQUAL: operator.ne,
    Comparison.LESS: operator.lt,
    Comparison.LESS_OR_EQUAL: operator.le,
    Comparison.GREATER: operator.gt,
    Comparison.GREATER_OR_EQUAL: operator.ge,
}


def check_columns(statement: str, query: ShowQuery, source: QuerySource) -> None:
    """Check that the table has all columns that a query names.

    Raises:
        RunkeelError: BAD_COMMAND.
    """
    words = [condition.field for condition in query.conditions]
    if query.order_by is not None:
        words.append(query.order_by)
    for word in words:
        if word.text not in source.columns:
            problem = f"{source.name} has no field {word.text!r}"
            raise bad_command(statement, word.position, problem, word.text, source.columns)


def select(query: ShowQuery, columns: tuple[str, ...], rows: list[Row]) -> list[Row]:
    """Apply the conditions, order and limit of a query to rows."""
    for condition in query.conditions:
        index = columns.index(condition.field.text)
        rows = [row for row in rows if _matches(row[index], condition)]
    if query.order_by is not None:
        rows = _sorted_by(rows, columns.index(query.order_by.text), query.descending)
    return rows if query.limit is None else rows[: query.limit]


def _sorted_by(rows: list[Row], index: int, descending: bool) -> list[Row]:
    return sorted(rows, key=lambda row: _sort_key(row[index]), reverse=descending)


def _sort_key(value: Scalar) -> tuple[int, Any]:
    """Order null before numbers before text, so that mixed columns can be sorted."""
    if value is None:
        return (0, 0)
    if isinstance(value, bool | int | float):
        return (1, value)
    return (2, value)


def _matches(value: Scalar, condition: Condition) -> bool:
    """Return whether a value meets a condition.

    A null cell equals the word ``null``, and no other cell does; null is neither less nor greater
    than anything.
    """
    text = condition.value.text
    if condition.comparison is Comparison.CONTAINS:
        return text in _to_text(value)
    if value is None or text == _NULL:
        equal = value is None and text == _NULL
        return (
            equal
            if condition.comparison is Comparison.EQUAL
            else (condition.comparison is Comparison.NOT_EQUAL and not equal)
        )
    operand = text if isinstance(value, str) else parse_scalar(text)
    if isinstance(value, str) != isinstance(operand, str):
        return condition.comparison is Comparison.NOT_EQUAL
    return _COMPARATORS[condition.comparison](value, operand)


def _to_text(value: Scalar) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return "" if value is None else str(value)
