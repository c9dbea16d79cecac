"""Errors in an operator's statement, with position and suggested correction."""

from __future__ import annotations

import difflib
from collections.abc import Iterable

from runkeel.errors import ErrorCode, RunkeelError, not_run


def nearest_match(word: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate most similar to the word, or None when none is similar."""
    matches = difflib.get_close_matches(word.lower(), list(candidates), n=1, cutoff=0.5)
    return matches[0] if matches else None


def bad_command(
    text: str, position: int, problem: str, word: str = "", candidates: Iterable[str] = ()
) -> RunkeelError:
    """Build a BAD_COMMAND error that shows the text with a caret under the position.

    Args:
        position: position of the offending word in the text, from 0.
        word: the offending word; empty if the problem is not a single word.
        candidates: words that are valid at that position.
    """
    candidates = sorted(set(candidates))
    suggestion = nearest_match(word, candidates) if word else None
    hint = ""
    if suggestion is not None:
        hint = f'; did you mean "{suggestion}"?'
    elif candidates:
        hint = f"; expected one of: {', '.join(candidates)}"
    caret = " " * position + "^" * max(1, len(word))
    line = text.replace("\n", " ").replace("\t", " ")
    detail = f"column {position + 1}: {problem}{hint}\n  {line}\n  {caret}"
    return not_run(ErrorCode.BAD_COMMAND, detail)
