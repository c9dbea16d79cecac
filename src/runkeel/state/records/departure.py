"""When a member of a record group may end as planned.

Members forget their votes when they end, so a group survives only while enough of the others vote.
A member that wants to go commits, then asks the others, and goes once enough of them answer that
they vote and have not committed themselves; docs/design/records.md argues why members that go at
the same time leave a majority.
"""

from __future__ import annotations

from collections.abc import Sequence

from runkeel.state.records.proposer import majority
from runkeel.state.records.recovery import Recovery, recovery_quorum
from runkeel.state.records.replica import Replica, ReplicaPhase
from runkeel.wire.generated.records.ttypes import Departure, RecoverReply, ReplicaStatus


def voters_to_stay(members: int) -> int:
    """Return how many others must vote when one member goes.

    They are a majority, and enough for it to recover when it comes back. Of two members or one no
    majority can stay; the other one is then waited for, so that the records last.
    """
    return min(max(majority(members), recovery_quorum(members)), members - 1)


class PlannedDeparture:
    """One member's way out of its group; :meth:`commit` is repeated until it returns True."""

    def __init__(self, replica: Replica, probe: Recovery) -> None:
        self._replica = replica
        self._probe = probe

    def commit(self) -> bool:
        """Ask the others once; return whether this member may go now.

        While this returns True the member stays committed, and no other may count on it.
        """
        replica = self._replica
        if replica.phase is not ReplicaPhase.VOTING:
            # It has no vote to take away; nor may it be counted on if it gets one before it ends.
            replica.departure = Departure.COMMITTED
            return True
        if replica.departure != Departure.COMMITTED:
            replies = self._ask_others()
            if self._must_yield(replies) or not self._enough(replies):
                replica.departure = Departure.WAITING
                return False
            replica.departure = Departure.COMMITTED
        # Only answers given after the commitment count.
        replies = self._ask_others()
        if self._enough(replies):
            return True
        if self._must_yield(replies):
            replica.departure = Departure.WAITING
        return False

    def withdraw(self) -> None:
        """Let the others count on this member again, until it commits anew."""
        self._replica.departure = Departure.WAITING

    def all_vote(self, node_ids: list[str]) -> bool:
        """Ask whether other members vote in the present epoch."""
        return self._probe.all_voting(node_ids)

    def _ask_others(self) -> dict[str, RecoverReply]:
        replica = self._replica
        return self._probe.ask_all(
            [node_id for node_id in replica.members if node_id != replica.node_id]
        )

    def _enough(self, replies: dict[str, RecoverReply]) -> bool:
        staying = [
            reply
            for reply in replies.values()
            if reply.status == ReplicaStatus.OK and reply.departure != Departure.COMMITTED
        ]
        return len(staying) >= voters_to_stay(len(self._replica.members))

    def _must_yield(self, replies: dict[str, RecoverReply]) -> bool:
        """Whether a member with a lower id wants to go as well: it goes first."""
        return any(
            reply.departure and node_id < self._replica.node_id
            for node_id, reply in replies.items()
        )


def commit_in_order(departures: Sequence[PlannedDeparture]) -> bool:
    """Commit the departures from several groups; return whether the node may go now.

    All nodes take the groups in the same order and hold none behind one that they wait for, so
    two nodes never wait for each other.
    """
    for position, departure in enumerate(departures):
        if not departure.commit():
            for later in departures[position + 1 :]:
                later.withdraw()
            return False
    return True
