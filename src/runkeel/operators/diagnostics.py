"""Errors in an operator's text: where, what, and the nearest word that would have been right."""

from __future__ import annotations

import difflib
from collections.abc import Iterable

from runkeel.errors import ErrorCode, RunkeelError, not_run


def nearest(word: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate most like the word, or None when none is like it."""
    matches = difflib.get_close_matches(word.lower(), list(candidates), n=1, cutoff=0.5)
    return matches[0] if matches else None


def bad_command(
    text: str, column: int, problem: str, word: str = "", candidates: Iterable[str] = ()
) -> RunkeelError:
    """Build a BAD_COMMAND error that shows the text with a caret under the column.

    Args:
        column: column of the offending word, from 0.
        candidates: what could have stood there.
    """
    candidates = sorted(set(candidates))
    suggestion = nearest(word, candidates) if word else None
    hint = ""
    if suggestion is not None:
        hint = f'; did you mean "{suggestion}"?'
    elif candidates:
        hint = f"; expected one of: {', '.join(candidates)}"
    caret = " " * column + "^" * max(1, len(word))
    line = text.replace("\n", " ").replace("\t", " ")
    detail = f"column {column + 1}: {problem}{hint}\n  {line}\n  {caret}"
    return not_run(ErrorCode.BAD_COMMAND, detail)
