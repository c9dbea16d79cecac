"""What the emulated engine generates: a checkable function of model, version and prompt."""

from __future__ import annotations

import re
import zlib
from collections.abc import Iterable

VOCABULARY_SIZE = 50_000
BYTES_PER_TOKEN = 4
_STOP_MARK = re.compile(r"\[stop=(\d{1,9})\]")


def stream_seed(model: str, version: int, prompt: str) -> int:
    """Return the CRC state shared by all tokens of one version of a completion."""
    return zlib.crc32(f"{model}|{version}|{prompt}|".encode())


def token_at(seed: int, position: int) -> int:
    """Return the token at a position, from the value of :func:`stream_seed`."""
    return zlib.crc32(b"%d" % position, seed) % VOCABULARY_SIZE


def expected_token(model: str, version: int, prompt: str, position: int) -> int:
    """Return the token that a version generates at a position."""
    return token_at(stream_seed(model, version, prompt), position)


def token_text(token_ids: Iterable[int]) -> str:
    """Return the text of tokens."""
    return "".join(f" t{token_id}" for token_id in token_ids)


def stop_length(prompt: str) -> int | None:
    """Return N of the prompt's ``[stop=N]``, or None."""
    match = _STOP_MARK.search(prompt)
    return None if match is None else int(match.group(1))


def prompt_token_count(prompt: str) -> int:
    """Return how many tokens a prompt counts for: one for each started four bytes."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))
