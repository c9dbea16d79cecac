"""Record of a request during which servers crashed, mergeable between nodes.

Merging is commutative, associative and idempotent: sets of crashed servers are united, trial
counters take their maximum, and a record with a higher clearance replaces older ones.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from runkeel.wire.generated.quarantine.ttypes import CrashNews

QUARANTINE_THRESHOLD = 3
"""Number of servers that must crash while running a request before it is quarantined.

A success clears the count, so unrelated crashes rarely add up to it.
"""

MAX_CRASHED_SERVERS = 16
"""Maximum number of crashed servers listed in a record."""

_DIGEST_BYTES = 7
"""Short enough that XORed record digests fit a signed 64-bit integer on the wire."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crash record of one request; contains no API key and no part of the request body.

    Attributes:
        clearance: number of times the request was cleared, by a success or by an operator.
        crashed_servers: incarnations of the servers that crashed during it since the last
            clearance.
        trials: number of trials (single sends while quarantined) granted since the last clearance.
        trials_returned: number of granted trials that reached no server.
        changed_at: steady time, in seconds, of the last known crash, clearance or granted trial.
    """

    fingerprint: str
    service: str
    clearance: int = 0
    crashed_servers: frozenset[str] = frozenset()
    trials: int = 0
    trials_returned: int = 0
    changed_at: float = 0.0

    @property
    def quarantined(self) -> bool:
        """Whether the request is quarantined, so that it is sent to servers only in trials."""
        return len(self.crashed_servers) >= QUARANTINE_THRESHOLD

    @property
    def trials_used(self) -> int:
        """Number of trials that reached, or may have reached, a server."""
        return self.trials - self.trials_returned

    @property
    def digest(self) -> int:
        """Digest of the record's content, excluding its age."""
        ended = ",".join(sorted(self.crashed_servers))
        text = f"{self.fingerprint} {self.clearance} {ended} {self.trials} {self.trials_returned}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest())

    def same_content(self, other: CrashRecord | None) -> bool:
        """Return whether another record has the same content, ignoring age."""
        return other is not None and self.digest == other.digest


def merge(one: CrashRecord, other: CrashRecord) -> CrashRecord:
    """Merge two records of the same request."""
    if one.clearance != other.clearance:
        return max(one, other, key=lambda record: record.clearance)
    return CrashRecord(
        one.fingerprint,
        one.service or other.service,
        one.clearance,
        frozenset(sorted(one.crashed_servers | other.crashed_servers)[:MAX_CRASHED_SERVERS]),
        max(one.trials, other.trials),
        max(one.trials_returned, other.trials_returned),
        max(one.changed_at, other.changed_at),
    )


def to_wire(record: CrashRecord, now: float) -> CrashNews:
    """Encode a record for the wire; ``now`` is this node's steady time in seconds."""
    return CrashNews(
        record.fingerprint,
        record.service,
        record.clearance,
        sorted(record.crashed_servers),
        record.trials,
        record.trials_returned,
        int(max(0.0, now - record.changed_at) * 1000),
    )


def from_wire(message: CrashNews, now: float) -> CrashRecord:
    """Decode a record from the wire; ``now`` is this node's steady time in seconds."""
    return CrashRecord(
        message.fingerprint,
        message.service_name or "",
        message.clearance or 0,
        frozenset((message.ended_backends or [])[:MAX_CRASHED_SERVERS]),
        message.trials or 0,
        message.trials_returned or 0,
        now - (message.age_ms or 0) / 1000.0,
    )
