"""Exported KV caches, kept for a while and movable between engines."""

from __future__ import annotations

import json
import uuid
import zlib
from collections import OrderedDict
from dataclasses import asdict, dataclass

from runkeel_lab.standins.http import BadRequestError


@dataclass(frozen=True, slots=True)
class KvExport:
    """KV cache of a prompt and the tokens generated after it.

    Attributes:
        prompt_crc32: tells whether the cache belongs to a prompt.
        token_count: prompt and generated tokens covered.
    """

    model: str
    prompt_crc32: int
    token_count: int

    @classmethod
    def of(cls, model: str, prompt: str, token_count: int) -> KvExport:
        """Describe the cache of a prompt."""
        return cls(model, zlib.crc32(prompt.encode()), token_count)

    def covers(self, model: str, prompt: str) -> bool:
        """Return whether the cache was made from this prompt by this model."""
        return self.model == model and self.prompt_crc32 == zlib.crc32(prompt.encode())

    def to_bytes(self, size: int) -> bytes:
        """Return the wire form: a JSON line, padded to the size of a real cache."""
        return json.dumps(asdict(self)).encode().ljust(size) + b"\n"

    @classmethod
    def from_bytes(cls, data: bytes) -> KvExport:
        """Parse the wire form.

        Raises:
            BadRequestError: the bytes are no exported cache.
        """
        try:
            fields = json.loads(data)
            return cls(
                str(fields["model"]), int(fields["prompt_crc32"]), int(fields["token_count"])
            )
        except (ValueError, TypeError, KeyError) as error:
            raise BadRequestError("not an exported KV cache") from error


class KvExports:
    """Bounded table of exported and imported caches; the oldest go first."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._entries: OrderedDict[str, KvExport] = OrderedDict()

    def add(self, export: KvExport, handle: str | None = None) -> str:
        """Keep a cache and return its handle."""
        handle = handle or uuid.uuid4().hex
        self._entries[handle] = export
        self._entries.move_to_end(handle)
        while len(self._entries) > self._capacity:
            self._entries.popitem(last=False)
        return handle

    def get(self, handle: str) -> KvExport | None:
        """Return a cache, or None when it was never there or is evicted."""
        return self._entries.get(handle)
