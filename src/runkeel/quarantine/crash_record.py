"""What is known of one request under which servers have ended; records of two nodes can be merged.

A merged record is the same in whatever order, and however often, news come. Servers that ended are
joined, counts of trials grow only, and a clearance replaces all that was known before it.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from runkeel.wire.generated.quarantine.ttypes import CrashNews

ENDS_UNTIL_HELD = 3
"""A request is held back once so many servers have ended under it.

One that is innocent loses so many in a row by chance hardly ever, and a success clears it.
"""

MAXIMUM_ENDED = 16
"""So many servers that ended are remembered by name; a request is held long before."""

_DIGEST_BYTES = 7
"""The sum of such digests fits a signed number of 64 bits on the wire."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """One request; it holds no key and nothing of the body.

    Attributes:
        clearance: how often the request was cleared, by a success or by an operator.
        ended: ids of servers that ended under it since then.
        trials: sends that were granted since it is held back.
        trials_returned: of these, those by which no server was reached.
        changed_at: steady time of the last end or trial that is known here.
    """

    fingerprint: str
    service: str
    clearance: int = 0
    ended: frozenset[str] = frozenset()
    trials: int = 0
    trials_returned: int = 0
    changed_at: float = 0.0

    @property
    def held(self) -> bool:
        """Whether the request is kept away from servers, but for trials."""
        return len(self.ended) >= ENDS_UNTIL_HELD

    @property
    def trials_used(self) -> int:
        """Trials by which a server was reached, or may have been."""
        return self.trials - self.trials_returned

    @property
    def digest(self) -> int:
        """Number that is the same for records that say the same; ages are not part of it."""
        ended = ",".join(sorted(self.ended))
        text = f"{self.fingerprint} {self.clearance} {ended} {self.trials} {self.trials_returned}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest())

    def same_as(self, other: CrashRecord | None) -> bool:
        """Return whether another record says the same, ages aside."""
        return other is not None and self.digest == other.digest


def merged(one: CrashRecord, other: CrashRecord) -> CrashRecord:
    """Return what two records of one request say together."""
    if one.clearance != other.clearance:
        return max(one, other, key=lambda record: record.clearance)
    return CrashRecord(
        one.fingerprint,
        one.service or other.service,
        one.clearance,
        frozenset(sorted(one.ended | other.ended)[:MAXIMUM_ENDED]),
        max(one.trials, other.trials),
        max(one.trials_returned, other.trials_returned),
        max(one.changed_at, other.changed_at),
    )


def to_wire(record: CrashRecord, now: float) -> CrashNews:
    """Return a record as it is sent; ``now`` is this node's steady time."""
    return CrashNews(
        record.fingerprint,
        record.service,
        record.clearance,
        sorted(record.ended),
        record.trials,
        record.trials_returned,
        int(max(0.0, now - record.changed_at) * 1000),
    )


def from_wire(news: CrashNews, now: float) -> CrashRecord:
    """Return a record as it was received; ``now`` is this node's steady time."""
    return CrashRecord(
        news.fingerprint,
        news.service_name or "",
        news.clearance or 0,
        frozenset((news.ended_backends or [])[:MAXIMUM_ENDED]),
        news.trials or 0,
        news.trials_returned or 0,
        now - (news.age_ms or 0) / 1000.0,
    )
