"""Bodies of operators' requests and responses."""

from __future__ import annotations

import json
from typing import Any

from runkeel.errors import ErrorCode, not_run
from runkeel.operators.local_queries import QueryResult


def parse_document(body: bytes) -> dict[str, Any]:
    """Parse the JSON object in a request's body. Raises RunkeelError BAD_REQUEST."""
    try:
        document = json.loads(body)
    except ValueError as error:
        raise not_run(ErrorCode.BAD_REQUEST, f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise not_run(ErrorCode.BAD_REQUEST, "the body must be a JSON object")
    return document


def string_field(document: dict[str, Any], key: str) -> str:
    """Return a required, non-empty string of a body. Raises RunkeelError BAD_REQUEST."""
    text = document.get(key)
    if not isinstance(text, str) or not text.strip():
        raise not_run(ErrorCode.BAD_REQUEST, f"the body must have a non-empty string {key!r}")
    return text


def result_document(result: QueryResult) -> dict[str, Any]:
    """Return the response body for the result of a query."""
    return {
        "columns": list(result.columns),
        "rows": [list(row) for row in result.rows],
        "age_ms": result.age_ms,
        "unreachable_zones": list(result.unreachable_zones),
        "unreachable_nodes": list(result.unreachable_nodes),
        "truncated": result.truncated,
    }
