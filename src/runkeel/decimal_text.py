"""Parsing of decimal numbers in text that other programs sent."""

from __future__ import annotations

MAX_DIGITS = 18
"""Maximum length of a number, so that it fits a signed 64-bit integer on the wire."""


def parse_decimal(text: str) -> int | None:
    """Return the number that ASCII digits stand for, None if the text is anything else.

    Unlike :meth:`str.isdigit` and :class:`int`, rejects other digits and signs, and is bounded.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
