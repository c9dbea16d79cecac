"""The acceptor of one replica group: votes, crash vector and recovery pages.

Every handler runs without a switch to another task, so each message is handled atomically.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Callable, Iterable

from loguru import logger

from runkeel.api.configuration import RecordGroupSpec
from runkeel.state.records import metrics
from runkeel.state.records.ballots import FAST_BALLOT, to_ballot_number, to_wire_ballot
from runkeel.state.records.options import RecordOptions
from runkeel.state.records.table import Record, RecordTable
from runkeel.state.records.transfer import fill_page, merge_record, remaining_ms
from runkeel.wire.generated.records.ttypes import (
    Accept,
    Departure,
    Learn,
    LearnReply,
    MemberIncarnation,
    Prepare,
    Read,
    RecordState,
    Recover,
    RecoverReply,
    ReplicaReply,
    ReplicaStatus,
)

INCARNATION_RANDOM_BITS = 31


class ReplicaPhase(enum.StrEnum):
    """What this node is to the group."""

    OUTSIDE = "outside"
    """Not a member, or the group is not known."""
    JOINING = "joining"
    """A member that provably never voted in this epoch."""
    RECOVERING = "recovering"
    """A member that may have voted before and has forgotten its votes."""
    VOTING = "voting"


_REFUSAL_OF_PHASE = {
    ReplicaPhase.OUTSIDE: ReplicaStatus.NOT_MEMBER,
    ReplicaPhase.JOINING: ReplicaStatus.JOINING,
    ReplicaPhase.RECOVERING: ReplicaStatus.RECOVERING,
}


def joined_entry(spec: RecordGroupSpec, node_id: str) -> str | None:
    """Return the member's entry ``node_id@incarnation`` in ``joined``, or None."""
    prefix = f"{node_id}@"
    return next((entry for entry in spec.joined if entry.startswith(prefix)), None)


def joined_incarnation(entry: str) -> int:
    """Return the incarnation of an entry of ``joined``."""
    return int(entry.rpartition("@")[2])


class Replica:
    """Acceptor state of one group on one node."""

    def __init__(
        self,
        group: str,
        node_id: str,
        options: RecordOptions,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.group = group
        self.node_id = node_id
        self.epoch = 0
        self.members: tuple[str, ...] = ()
        self.phase = ReplicaPhase.OUTSIDE
        self.vector: dict[str, int] = {}
        self.table = RecordTable(options.max_records, options.max_bytes, clock)
        self.retention_until = 0.0
        self.departure = Departure.NONE
        """Told to whoever asks for this replica's status; see :mod:`.departure`."""
        self._options = options
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng
        self._tenure: str | None = None
        self.incarnation = 0
        self.incarnation = self._draw_incarnation()

    # Membership of the group

    def observe(self, spec: RecordGroupSpec) -> None:
        """Take over the group object in force; an older epoch than the known one is ignored."""
        if spec.epoch < self.epoch:
            return
        entry = joined_entry(spec, self.node_id)
        if spec.epoch > self.epoch:
            self._enter_epoch(spec, entry)
        if self.phase is ReplicaPhase.JOINING and entry is not None:
            self._take_seat(entry)

    def _enter_epoch(self, spec: RecordGroupSpec, entry: str | None) -> None:
        self.epoch = spec.epoch
        self.members = spec.members
        self.vector = {
            node_id: incarnation
            for node_id, incarnation in self.vector.items()
            if node_id in spec.members
        }
        if self.node_id not in spec.members:
            self._reset(ReplicaPhase.OUTSIDE)
        elif entry is None or entry != self._tenure:
            # A seat of another epoch is a new seat: what was voted in the old one is history
            # that the present members hold.
            self._reset(ReplicaPhase.JOINING)
        else:
            # Votes of the old epoch carry over; a recovery begins again.
            self._set_phase(self.phase)

    def _take_seat(self, entry: str) -> None:
        self._tenure = entry
        if entry == self.own_entry():
            # Only this process can have written this entry, and it has not voted before.
            if self.epoch > 1:
                self.retention_until = self._clock() + self._options.retention_seconds
            self._set_phase(ReplicaPhase.VOTING)
        else:
            # The entry may be the only trace of an earlier process, and this machine's clock may
            # have gone back since: the present incarnation must be the higher one.
            self.vector[self.node_id] = max(
                self.vector.get(self.node_id, 0), joined_incarnation(entry)
            )
            self._reset(ReplicaPhase.RECOVERING)
            self._tenure = entry

    def own_entry(self) -> str:
        """Return the entry by which this process joins an epoch for the first time."""
        return f"{self.node_id}@{self.incarnation}"

    def begin_new_incarnation(self) -> None:
        """Forget everything and go on under a higher incarnation."""
        if self.phase is ReplicaPhase.JOINING:
            self._reset(ReplicaPhase.JOINING)
            return
        tenure = self._tenure
        self._reset(ReplicaPhase.RECOVERING)
        self._tenure = tenure

    def finish_recovery(self, retention_wait: bool) -> None:
        """Begin to vote with the state copied from the other members."""
        if retention_wait:
            self.retention_until = self._clock() + self._options.retention_seconds
        metrics.RECOVERIES.inc()
        self._set_phase(ReplicaPhase.VOTING)

    def _reset(self, phase: ReplicaPhase) -> None:
        self.table.clear()
        self.retention_until = 0.0
        self._tenure = None
        self.incarnation = self._draw_incarnation()
        self._set_phase(phase)

    def _set_phase(self, phase: ReplicaPhase) -> None:
        if phase is not ReplicaPhase.OUTSIDE:
            self.vector[self.node_id] = self.incarnation
        if phase is not self.phase:
            logger.info(
                "record replica is {}",
                phase.value,
                code="record_replica_phase",
                group=self.group,
                epoch=self.epoch,
                incarnation=self.incarnation,
            )
        self.phase = phase

    def _draw_incarnation(self) -> int:
        """Return an incarnation above all that are known of this node.

        Seconds come first, so that a later process usually draws a higher one; the random bits
        make it unlike any earlier one even when the clock went back. That it is also the highest
        is made sure by the recovery, see :meth:`merge_vector`.
        """
        known = max(self.vector.get(self.node_id, 0), self.incarnation)
        seconds = max(int(self._wall_clock()), (known >> INCARNATION_RANDOM_BITS) + 1)
        random_bits = self._rng.getrandbits(INCARNATION_RANDOM_BITS)
        return (seconds << INCARNATION_RANDOM_BITS) | random_bits

    # Crash vector

    def merge_vector(self, entries: Iterable[MemberIncarnation]) -> None:
        """Raise the known incarnations; a higher one of this node's own ends this one."""
        for entry in entries:
            if entry.node_id not in self.members:
                continue
            if entry.incarnation > self.vector.get(entry.node_id, 0):
                self.vector[entry.node_id] = entry.incarnation
        if self.phase is ReplicaPhase.OUTSIDE:
            return
        if self.vector.get(self.node_id, 0) > self.incarnation:
            self.begin_new_incarnation()

    def wire_vector(self) -> list[MemberIncarnation]:
        """Return the crash vector as a message field."""
        return [
            MemberIncarnation(node_id=node_id, incarnation=incarnation)
            for node_id, incarnation in self.vector.items()
        ]

    def _names_older_incarnation(self, quorum: list[MemberIncarnation]) -> bool:
        own = next((entry for entry in quorum if entry.node_id == self.node_id), None)
        if own is None or own.incarnation != self.incarnation:
            return True
        return any(entry.incarnation < self.vector.get(entry.node_id, 0) for entry in quorum)

    # Messages

    def prepare(self, request: Prepare) -> ReplicaReply:
        """Phase 1b: promise, and report what was accepted."""
        refusal = self._refusal(request.epoch)
        if refusal is not None:
            return refusal
        record = self.table.get(request.key)
        if record is None:
            record = self.table.create(request.key, self._expiry())
        if record is None:
            return self._reply(ReplicaStatus.FULL)
        ballot = to_ballot_number(request.ballot)
        if record.decided:
            return self._reply(ReplicaStatus.OK, record)
        if ballot < record.promised:
            return self._reply(ReplicaStatus.HIGHER_BALLOT, record)
        record.promised = ballot
        return self._reply(ReplicaStatus.OK, record)

    def accept(self, request: Accept) -> ReplicaReply:
        """Phase 2b: accept, unless a higher ballot was promised or the quorum is out of date."""
        refusal = self._refusal(request.epoch)
        if refusal is not None:
            return refusal
        self.merge_vector(request.quorum)
        if self.phase is not ReplicaPhase.VOTING or self._names_older_incarnation(request.quorum):
            return self._reply(ReplicaStatus.STALE_INCARNATION)
        record = self.table.get(request.key)
        ballot = to_ballot_number(request.ballot)
        if ballot == FAST_BALLOT:
            return self._accept_fast(request, record)
        if record is None:
            # The promise has expired: as if it had been forgotten in a crash.
            return self._reply(ReplicaStatus.STALE_INCARNATION)
        if record.decided:
            return self._reply(ReplicaStatus.OK, record)
        if ballot < record.promised:
            return self._reply(ReplicaStatus.HIGHER_BALLOT, record)
        if not self.table.set_value(record, request.value):
            return self._reply(ReplicaStatus.FULL)
        record.promised = ballot
        record.accepted = ballot
        return self._reply(ReplicaStatus.OK)

    def _accept_fast(self, request: Accept, record: Record | None) -> ReplicaReply:
        """Accept the first value heard of, if every member was asked and nothing was promised."""
        if {entry.node_id for entry in request.quorum} != set(self.members):
            return self._reply(ReplicaStatus.STALE_INCARNATION)
        if record is not None:
            repeated = record.promised == FAST_BALLOT and record.value == request.value
            if record.decided or (repeated and record.accepted == FAST_BALLOT):
                return self._reply(ReplicaStatus.OK, record if record.decided else None)
            return self._reply(ReplicaStatus.HIGHER_BALLOT, record)
        record = self.table.create(request.key, self._expiry())
        if record is None or not self.table.set_value(record, request.value):
            return self._reply(ReplicaStatus.FULL)
        record.accepted = FAST_BALLOT
        return self._reply(ReplicaStatus.OK)

    def read(self, request: Read) -> ReplicaReply:
        """Report the state of a key without a promise."""
        refusal = self._refusal(request.epoch)
        if refusal is not None:
            return refusal
        return self._reply(ReplicaStatus.OK, self.table.get(request.key))

    def learn(self, request: Learn) -> LearnReply:
        """Remember a chosen value; also while recovering, since a chosen value never changes."""
        if request.epoch == self.epoch and self.phase is not ReplicaPhase.OUTSIDE:
            record = self.table.get(request.key) or self.table.create(request.key, self._expiry())
            if record is not None and not record.decided:
                self._mark_decided(record, request.value, self._expiry())
        return LearnReply()

    def _mark_decided(self, record: Record, value: bytes, expires_at: float) -> None:
        if self.table.set_value(record, value):
            record.decided = True
            record.expires_at = max(record.expires_at, expires_at)

    def recover(self, peer_node_id: str, request: Recover) -> RecoverReply:
        """Take note of a member's new incarnation and return a page of this replica's state."""
        if request.epoch != self.epoch:
            return self._recover_reply(ReplicaStatus.WRONG_EPOCH)
        announced = MemberIncarnation(node_id=peer_node_id, incarnation=request.incarnation)
        self.merge_vector([announced])
        if self.phase is not ReplicaPhase.VOTING:
            return self._recover_reply(_REFUSAL_OF_PHASE[self.phase])
        if self.vector.get(peer_node_id, 0) > request.incarnation:
            return self._recover_reply(ReplicaStatus.STALE_INCARNATION)
        reply = self._recover_reply(ReplicaStatus.OK)
        if request.limit_bytes > 0:
            fill_page(self.table, reply, request, self._clock())
        return reply

    def merge_record(self, state: RecordState) -> bool:
        """Take over a member's state of one key; False when there is no room."""
        return merge_record(self.table, state, self._clock())

    # Replies

    def retention_wait_seconds(self) -> float:
        """Return how long votes are still refused after the group was formed anew."""
        return max(0.0, self.retention_until - self._clock())

    def _expiry(self) -> float:
        return self._clock() + self._options.retention_seconds

    def _refusal(self, epoch: int) -> ReplicaReply | None:
        if epoch != self.epoch:
            return self._reply(ReplicaStatus.WRONG_EPOCH)
        if self.phase is not ReplicaPhase.VOTING:
            return self._reply(_REFUSAL_OF_PHASE[self.phase])
        if self.retention_wait_seconds() > 0:
            return self._reply(ReplicaStatus.RETENTION_WAIT)
        return None

    def _reply(self, status: int, record: Record | None = None) -> ReplicaReply:
        if status != ReplicaStatus.OK:
            metrics.REFUSALS.labels(ReplicaStatus._VALUES_TO_NAMES[status].lower()).inc()
        reply = ReplicaReply(
            status=status,
            epoch=self.epoch,
            incarnation=self.incarnation,
            vector=self.wire_vector(),
            decided=False,
            wait_ms=math.ceil(self.retention_wait_seconds() * 1000),
            remaining_ms=0,
        )
        if record is not None:
            reply.promised = to_wire_ballot(record.promised)
            reply.accepted = to_wire_ballot(record.accepted)
            reply.value = record.value
            reply.decided = record.decided
            reply.remaining_ms = remaining_ms(record, self._clock())
        return reply

    def _recover_reply(self, status: int) -> RecoverReply:
        return RecoverReply(
            status=status,
            epoch=self.epoch,
            incarnation=self.incarnation,
            vector=self.wire_vector(),
            records=[],
            bucket=0,
            after_key="",
            done=False,
            wait_ms=math.ceil(self.retention_wait_seconds() * 1000),
            departure=self.departure,
        )
