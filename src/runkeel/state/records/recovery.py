"""Recovery of a replica that restarted empty, from the other members.

Follows the recovery protocol of Michael et al. (DISC 2017): announce the new incarnation, copy the
state of a recovery quorum of voting members, and begin to vote only if none of those members has
restarted since its state was copied.
"""

from __future__ import annotations

from dataclasses import dataclass

import gevent

from runkeel.api.interfaces import PeerClient
from runkeel.errors import RunkeelError
from runkeel.state.records.options import RecordOptions
from runkeel.state.records.proposer import majority
from runkeel.state.records.replica import Replica
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.records.ttypes import (
    MemberIncarnation,
    Recover,
    RecoverReply,
    ReplicaStatus,
)

MAX_PAGES = 100_000


def recovery_quorum(members: int) -> int:
    """Return how many other members a recovering one must copy from.

    The quorum must meet every majority that the recovering member was part of, in a member other
    than itself; f+1 of 2f+1.
    """
    return members - majority(members) + 1


@dataclass(frozen=True, slots=True)
class CopyResult:
    """What one member answered.

    Attributes:
        status: the member's last status; None when it could not be reached.
        incarnation: the member's incarnation during the copy.
        complete: whether its whole state was copied.
        retention_wait: whether the member still refuses votes after a formation.
    """

    status: int | None
    incarnation: int = 0
    complete: bool = False
    retention_wait: bool = False


class Recovery:
    """One replica's recovery; :meth:`run` is repeated until it returns True."""

    def __init__(self, replica: Replica, peers: PeerClient, options: RecordOptions) -> None:
        self._replica = replica
        self._peers = peers
        self._options = options
        self._epoch = 0
        self._incarnation = 0
        self._copied: dict[str, CopyResult] = {}
        self.statuses: dict[str, int | None] = {}
        """Status of each other member as of the last run."""

    def run(self) -> bool:
        """Ask every other member once; return whether the replica now votes."""
        replica = self._replica
        if (self._epoch, self._incarnation) != (replica.epoch, replica.incarnation):
            self._epoch, self._incarnation = replica.epoch, replica.incarnation
            self._copied.clear()
        others = [node_id for node_id in replica.members if node_id != replica.node_id]
        tasks = {node_id: gevent.spawn(self._copy, node_id) for node_id in others}
        gevent.joinall(tasks.values())
        self.statuses = {}
        for node_id, task in tasks.items():
            result = task.value or CopyResult(None)
            self.statuses[node_id] = result.status
            if result.complete:
                self._copied[node_id] = result
        return self._finish_if_consistent()

    def ask_all(self, node_ids: list[str]) -> dict[str, RecoverReply]:
        """Ask members, in parallel, for their status; who does not answer is missing."""
        self._epoch, self._incarnation = self._replica.epoch, self._replica.incarnation
        tasks = {node_id: gevent.spawn(self._ask, node_id, 0, "", 0) for node_id in node_ids}
        gevent.joinall(tasks.values())
        return {node_id: task.value for node_id, task in tasks.items() if task.value is not None}

    def all_voting(self, node_ids: list[str]) -> bool:
        """Ask members whether they vote in this replica's epoch."""
        replies = self.ask_all(node_ids)
        return all(
            node_id in replies and replies[node_id].status == ReplicaStatus.OK
            for node_id in node_ids
        )

    def _finish_if_consistent(self) -> bool:
        replica = self._replica
        if (self._epoch, self._incarnation) != (replica.epoch, replica.incarnation):
            return False
        consistent = [
            result
            for node_id, result in self._copied.items()
            if replica.vector.get(node_id, 0) == result.incarnation
        ]
        if len(consistent) < recovery_quorum(len(replica.members)):
            return False
        replica.finish_recovery(any(result.retention_wait for result in consistent))
        return True

    def _copy(self, node_id: str) -> CopyResult:
        """Copy one member's state page by page."""
        earlier = self._copied.get(node_id)
        probe_only = (
            earlier is not None and self._replica.vector.get(node_id, 0) == earlier.incarnation
        )
        bucket, after_key, incarnation = 0, "", 0
        for _ in range(MAX_PAGES):
            limit = 0 if probe_only else self._options.recovery_page_bytes
            reply = self._ask(node_id, bucket, after_key, limit)
            if reply is None:
                return CopyResult(None)
            if reply.status != ReplicaStatus.OK or probe_only:
                return CopyResult(reply.status)
            if incarnation not in (0, reply.incarnation):
                return CopyResult(reply.status)
            incarnation = reply.incarnation
            if not all(self._replica.merge_record(state) for state in reply.records):
                return CopyResult(reply.status)
            if reply.done:
                return CopyResult(reply.status, incarnation, True, reply.wait_ms > 0)
            bucket, after_key = reply.bucket, reply.after_key
        return CopyResult(None)

    def _ask(self, node_id: str, bucket: int, after_key: str, limit: int) -> RecoverReply | None:
        replica = self._replica
        announced = (self._epoch, self._incarnation)
        request = Recover(
            group=replica.group,
            epoch=self._epoch,
            incarnation=self._incarnation,
            bucket=bucket,
            after_key=after_key,
            limit_bytes=limit,
        )
        try:
            reply = self._peers.call(
                node_id,
                MessageType.RECORD_RECOVER,
                request,
                RecoverReply,
                self._options.call_timeout_seconds,
            )
        except RunkeelError:
            return None
        replica.merge_vector(
            [*reply.vector, MemberIncarnation(node_id=node_id, incarnation=reply.incarnation)]
        )
        # A page must not enter the table of another epoch or incarnation.
        if announced != (replica.epoch, replica.incarnation):
            return None
        return reply
