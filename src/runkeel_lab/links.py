"""Emulated links between zones: a rules file, its writer, and the policy that nodes follow."""

from __future__ import annotations

import json
import os
import time
from dataclasses import dataclass, field
from pathlib import Path

from runkeel.wire.links import LinkPolicy

_CHECK_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class LinkRules:
    """Delays and cuts between zones.

    Attributes:
        delays_ms: one-way delay in ms for each pair of zones, in both orders.
        cuts: pairs of zones that can't reach each other, in both orders.
    """

    delays_ms: dict[tuple[str, str], float] = field(default_factory=dict)
    cuts: frozenset[tuple[str, str]] = frozenset()

    @classmethod
    def read(cls, path: Path) -> LinkRules:
        """Read a rules file. Raises OSError or ValueError."""
        content = json.loads(path.read_text())
        delays = {(entry["from"], entry["to"]): entry["ms"] for entry in content["delays"]}
        return cls(delays, frozenset((entry["from"], entry["to"]) for entry in content["cuts"]))

    def write(self, path: Path) -> None:
        """Replace the rules file in one step, so that no reader sees half of it."""
        content = {
            "delays": [
                {"from": source, "to": target, "ms": delay}
                for (source, target), delay in sorted(self.delays_ms.items())
            ],
            "cuts": [{"from": source, "to": target} for source, target in sorted(self.cuts)],
        }
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(content))
        os.replace(temporary, path)


class FileLinkPolicy(LinkPolicy):
    """Link policy of one node that follows a rules file, as :mod:`runkeel.wire.links` asks.

    A file that can't be read leaves the last rules in force.
    """

    def __init__(self, zone: str, path: Path) -> None:
        self._zone = zone
        self._path = path
        self._rules = LinkRules.read(path)
        self._modified = path.stat().st_mtime_ns
        self._checked = time.monotonic()

    def delay_seconds(self, zone: str) -> float:
        """Return the one-way delay to a zone, in s."""
        return self._current().delays_ms.get((self._zone, zone), 0.0) / 1000.0

    def is_cut(self, zone: str) -> bool:
        """Return whether the zone can't be reached."""
        return (self._zone, zone) in self._current().cuts

    def _current(self) -> LinkRules:
        now = time.monotonic()
        if now - self._checked >= _CHECK_INTERVAL_SECONDS:
            self._checked = now
            self._reload()
        return self._rules

    def _reload(self) -> None:
        try:
            modified = self._path.stat().st_mtime_ns
            if modified != self._modified:
                self._rules = LinkRules.read(self._path)
                self._modified = modified
        except (OSError, ValueError, KeyError):
            return
