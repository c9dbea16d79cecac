"""The proposer: single-decree Paxos per key (Lamport, Paxos Made Simple, 2001).

Quorums are crash-consistent (Michael, Ports, Sharma, Szekeres: Recovering Shared Objects Without
Stable Storage, DISC 2017): a promise counts only while no reply names a higher incarnation of the
replica that gave it, and the accept quorum is made of the promising replicas at the incarnations
of their promises.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from runkeel.api.configuration import RecordGroupSpec
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.state.records import metrics
from runkeel.state.records.broadcast import Broadcast
from runkeel.state.records.options import RecordOptions
from runkeel.state.records.replica import to_ballot_number, to_wire_ballot
from runkeel.state.records.table import BallotNumber
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.records.ttypes import (
    Accept,
    Learn,
    LearnReply,
    MemberIncarnation,
    Prepare,
    Read,
    ReplicaReply,
    ReplicaStatus,
)

NONCE_BITS = 62
_LASTING_REFUSALS = (ReplicaStatus.FULL, ReplicaStatus.RETENTION_WAIT)


def majority(members: int) -> int:
    """Return the size of a majority."""
    return members // 2 + 1


@dataclass(slots=True)
class _Round:
    """What one round brought."""

    decided: bytes | None = None
    empty: bool = False
    """A quorum had accepted nothing, and there was no value to propose."""
    refused: ReplicaReply | None = None
    """A refusal that lasts, by so many replicas that no quorum is left."""
    highest_round: int = 0


@dataclass(slots=True)
class _Call:
    """State of one decide or read."""

    key: str
    value: bytes | None
    deadline: float
    round: int = 0
    attempts: int = 0
    proposed: bool = field(default=False)
    """Whether our own value may have reached a replica."""


def consistent_members(replies: dict[str, ReplicaReply]) -> dict[str, int]:
    """Return the incarnations of the replicas whose OK is not overtaken by a restart."""
    highest: dict[str, int] = {}
    for reply in replies.values():
        for entry in reply.vector:
            highest[entry.node_id] = max(highest.get(entry.node_id, 0), entry.incarnation)
    return {
        node_id: reply.incarnation
        for node_id, reply in replies.items()
        if reply.status == ReplicaStatus.OK and highest.get(node_id, 0) <= reply.incarnation
    }


class Proposer:
    """Decides and reads the keys of one group."""

    def __init__(
        self,
        group: str,
        spec: Callable[[], RecordGroupSpec | None],
        broadcast: Broadcast,
        options: RecordOptions,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._group = group
        self._spec = spec
        self._broadcast = broadcast
        self._options = options
        self._clock = clock
        self._rng = rng
        self._decided: OrderedDict[str, tuple[float, bytes]] = OrderedDict()

    def decide(self, key: str, value: bytes, timeout_seconds: float) -> bytes:
        """Return the value decided for the key; see :class:`runkeel.api.interfaces.Records`."""
        cached = self._cached(key)
        if cached is not None:
            return cached
        return self._run(_Call(key, value, self._clock() + timeout_seconds))

    def read(self, key: str, timeout_seconds: float) -> bytes | None:
        """Return the decided value, or None when none was decided before the call began."""
        cached = self._cached(key)
        if cached is not None:
            return cached
        call = _Call(key, None, self._clock() + timeout_seconds)
        spec = self._spec()
        if spec is not None:
            result = self._read_quorum(spec, call)
            if result.decided is not None or result.empty:
                return result.decided
        return self._run(call)

    def _run(self, call: _Call) -> bytes | None:
        refusal: ReplicaReply | None = None
        while True:
            spec = self._spec()
            if spec is not None and spec.members:
                result = self._round(spec, call)
                if result.decided is not None:
                    return result.decided
                if result.empty:
                    return None
                refusal = result.refused
                call.round = max(call.round, result.highest_round)
            self._back_off(call)
            if refusal is not None or self._clock() >= call.deadline:
                raise self._unavailable(call, refusal)

    def _back_off(self, call: _Call) -> None:
        call.attempts += 1
        bound = self._options.backoff_seconds * 2 ** min(call.attempts, 10)
        bound = min(bound, self._options.max_backoff_seconds, call.deadline - self._clock())
        gevent.sleep(self._rng.uniform(0, max(bound, 0.0)))

    def _unavailable(self, call: _Call, refusal: ReplicaReply | None) -> RunkeelError:
        verdict = Verdict.MAY_HAVE_RUN if call.proposed else Verdict.NOT_RUN
        detail = f"no majority of group {self._group} answered in time"
        retry_after = None
        if refusal is not None:
            name = ReplicaStatus._VALUES_TO_NAMES[refusal.status].lower()
            detail = f"group {self._group} refuses: {name}"
            retry_after = refusal.wait_ms / 1000 if refusal.wait_ms else None
        return RunkeelError(ErrorCode.RECORDS_UNAVAILABLE, detail, verdict, retry_after)

    # One round

    def _round(self, spec: RecordGroupSpec, call: _Call) -> _Round:
        metrics.ROUNDS.inc()
        call.round += 1
        ballot = BallotNumber(call.round, self._rng.getrandbits(NONCE_BITS))
        replies = self._prepare(spec, call, ballot)
        result = self._summary(spec, call, replies)
        quorum = consistent_members(replies)
        if result.decided is not None or result.refused is not None:
            return result
        if len(quorum) < majority(len(spec.members)):
            return result
        value = self._highest_accepted([replies[node_id] for node_id in quorum])
        if value is None:
            value = call.value
            if value is None:
                result.empty = True
                return result
            call.proposed = True
        return self._accept(spec, call, ballot, value, quorum)

    def _prepare(
        self, spec: RecordGroupSpec, call: _Call, ballot: BallotNumber
    ) -> dict[str, ReplicaReply]:
        request = Prepare(
            group=self._group, epoch=spec.epoch, key=call.key, ballot=to_wire_ballot(ballot)
        )
        return self._gather(spec, call, MessageType.RECORD_PREPARE, request, spec.members)

    def _accept(
        self,
        spec: RecordGroupSpec,
        call: _Call,
        ballot: BallotNumber,
        value: bytes,
        quorum: dict[str, int],
    ) -> _Round:
        request = Accept(
            group=self._group,
            epoch=spec.epoch,
            key=call.key,
            ballot=to_wire_ballot(ballot),
            value=value,
            quorum=[
                MemberIncarnation(node_id=node_id, incarnation=incarnation)
                for node_id, incarnation in quorum.items()
            ],
        )
        replies = self._gather(spec, call, MessageType.RECORD_ACCEPT, request, tuple(quorum))
        result = self._summary(spec, call, replies)
        accepted = consistent_members(replies)
        if result.decided is None and len(accepted) >= majority(len(spec.members)):
            result.decided = value
            result.refused = None
            self._teach(spec, call.key, value)
        return result

    def _read_quorum(self, spec: RecordGroupSpec, call: _Call) -> _Round:
        request = Read(group=self._group, epoch=spec.epoch, key=call.key)
        replies = self._gather(spec, call, MessageType.RECORD_READ, request, spec.members)
        result = self._summary(spec, call, replies)
        quorum = consistent_members(replies)
        nothing_accepted = all(replies[node_id].accepted is None for node_id in quorum)
        result.empty = nothing_accepted and len(quorum) >= majority(len(spec.members))
        return result

    def _gather(
        self,
        spec: RecordGroupSpec,
        call: _Call,
        message_type: int,
        request: object,
        targets: tuple[str, ...],
    ) -> dict[str, ReplicaReply]:
        needed = majority(len(spec.members))

        def enough(replies: dict[str, ReplicaReply]) -> bool:
            if any(reply.decided for reply in replies.values()):
                return True
            return len(consistent_members(replies)) >= needed

        timeout = min(self._options.call_timeout_seconds, call.deadline - self._clock())
        return self._broadcast.gather(
            targets, message_type, request, ReplicaReply, max(timeout, 0.0), enough
        )

    def _summary(
        self, spec: RecordGroupSpec, call: _Call, replies: dict[str, ReplicaReply]
    ) -> _Round:
        result = _Round()
        refusals = []
        for reply in replies.values():
            if reply.decided:
                result.decided = reply.value
                self._remember(call.key, reply.value, reply.remaining_ms / 1000)
            if reply.promised is not None:
                result.highest_round = max(result.highest_round, reply.promised.round)
            if reply.status == ReplicaStatus.HIGHER_BALLOT:
                metrics.DUELS.inc()
            if reply.status in _LASTING_REFUSALS:
                refusals.append(reply)
        if len(refusals) > len(spec.members) - majority(len(spec.members)):
            result.refused = refusals[0]
        return result

    @staticmethod
    def _highest_accepted(replies: list[ReplicaReply]) -> bytes | None:
        accepted = [reply for reply in replies if reply.accepted is not None]
        if not accepted:
            return None
        return max(accepted, key=lambda reply: to_ballot_number(reply.accepted)).value

    # Decided values

    def _teach(self, spec: RecordGroupSpec, key: str, value: bytes) -> None:
        # Half the retention: this cache must forget before the first replica does, and a replica
        # that misses the message below counts from its promise.
        self._remember(key, value, self._options.retention_seconds / 2)
        request = Learn(group=self._group, epoch=spec.epoch, key=key, value=value)
        self._broadcast.send(spec.members, MessageType.RECORD_LEARN, request, LearnReply)

    def _remember(self, key: str, value: bytes, seconds: float) -> None:
        self._decided[key] = (self._clock() + seconds, value)
        self._decided.move_to_end(key)
        while len(self._decided) > self._options.max_cached_values:
            self._decided.popitem(last=False)

    def _cached(self, key: str) -> bytes | None:
        entry = self._decided.get(key)
        if entry is None:
            return None
        expires_at, value = entry
        if self._clock() >= expires_at:
            del self._decided[key]
            return None
        return value
