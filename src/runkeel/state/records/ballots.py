"""Ballots, and their form on the wire."""

from __future__ import annotations

from typing import NamedTuple

from runkeel.wire.generated.records.ttypes import Ballot


class BallotNumber(NamedTuple):
    """A ballot; ordered by round, then by the random nonce of the attempt."""

    round: int
    nonce: int


NO_BALLOT = BallotNumber(0, 0)
"""Promised by a replica that has made no promise."""
FAST_BALLOT = BallotNumber(0, 0)
"""The one ballot that needs no promise, and every member's vote."""


def to_ballot_number(ballot: Ballot | None) -> BallotNumber | None:
    """Convert from the wire."""
    return None if ballot is None else BallotNumber(ballot.round, ballot.nonce)


def to_wire_ballot(ballot: BallotNumber | None) -> Ballot | None:
    """Convert to the wire."""
    return None if ballot is None else Ballot(round=ballot.round, nonce=ballot.nonce)
