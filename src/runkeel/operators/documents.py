"""Bodies of the operators' requests and answers."""

from __future__ import annotations

import json
from typing import Any

from runkeel.errors import ErrorCode, not_run
from runkeel.operators.local_queries import QueryAnswer


def parse_document(body: bytes) -> dict[str, Any]:
    """Parse a request's body. Raises RunkeelError BAD_REQUEST."""
    try:
        document = json.loads(body)
    except ValueError as error:
        raise not_run(ErrorCode.BAD_REQUEST, f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise not_run(ErrorCode.BAD_REQUEST, "the body must be a JSON object")
    return document


def text_of(document: dict[str, Any], key: str) -> str:
    """Return a text that a body must have. Raises RunkeelError BAD_REQUEST."""
    text = document.get(key)
    if not isinstance(text, str) or not text.strip():
        raise not_run(ErrorCode.BAD_REQUEST, f"the body needs the text {key!r}")
    return text


def answer_document(answer: QueryAnswer) -> dict[str, Any]:
    """Render the answer to a query."""
    return {
        "columns": list(answer.columns),
        "rows": [list(row) for row in answer.rows],
        "age_ms": answer.age_ms,
        "unreachable_zones": list(answer.unreachable_zones),
        "unreachable_nodes": list(answer.unreachable_nodes),
        "truncated": answer.truncated,
    }
