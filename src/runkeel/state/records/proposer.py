"""The proposer: single-decree Paxos per key (Lamport, Paxos Made Simple, 2001).

Quorums are crash-consistent (Michael, Ports, Sharma, Szekeres: Recovering Shared Objects Without
Stable Storage, DISC 2017): a promise counts only while no reply names a higher incarnation of the
replica that gave it, and the accept quorum is made of the promising replicas at the incarnations
of their promises.

A first attempt uses the fast ballot (Lamport, Fast Paxos, 2006, with all members as its quorum):
one round trip, if every member accepts the same value. A later ballot that finds the fast ballot's
votes takes the value that all of its quorum voted for; if they differ, none was chosen.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from runkeel.api.configuration import RecordGroupSpec
from runkeel.errors import ErrorCode, RunkeelError, Verdict
from runkeel.state.records import metrics
from runkeel.state.records.ballots import (
    FAST_BALLOT,
    BallotNumber,
    to_ballot_number,
    to_wire_ballot,
)
from runkeel.state.records.broadcast import Broadcast
from runkeel.state.records.options import RecordOptions
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
_NOT_VOTING = {
    ReplicaStatus.RECOVERING,
    ReplicaStatus.JOINING,
    ReplicaStatus.NOT_MEMBER,
    ReplicaStatus.WRONG_EPOCH,
}
Enough = Callable[[dict[str, ReplicaReply]], bool]
RETRY_AFTER_SECONDS = 1.0
"""When a caller should come back, unless the group says that it takes longer."""
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


def _fast_is_settled(replies: dict[str, ReplicaReply]) -> bool:
    """Whether waiting for more votes of the fast ballot is of no use.

    Refusals that last are waited for: by all members, they prove that the value was not proposed.
    """
    return any(
        reply.decided or reply.status not in (ReplicaStatus.OK, *_LASTING_REFUSALS)
        for reply in replies.values()
    )


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
        self._incarnations: dict[str, int] = {}
        """Last known of each member; a wrong one costs a fast ballot, never a decision."""
        self._no_fast_before = 0.0

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
                result = self._fast_round(spec, call) or self._round(spec, call)
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
        retry_after = RETRY_AFTER_SECONDS
        if refusal is not None:
            name = ReplicaStatus._VALUES_TO_NAMES[refusal.status].lower()
            detail = f"group {self._group} refuses: {name}"
            retry_after = max(refusal.wait_ms / 1000, RETRY_AFTER_SECONDS)
        return RunkeelError(ErrorCode.RECORDS_UNAVAILABLE, detail, verdict, retry_after)

    # One round

    def _fast_round(self, spec: RecordGroupSpec, call: _Call) -> _Round | None:
        """Try the fast ballot once; None when the usual round has to follow."""
        if call.value is None or call.proposed or call.round or not self._may_be_fast(spec):
            return None
        quorum = {node_id: self._incarnations[node_id] for node_id in spec.members}
        # Without an answer from every member it stands so.
        call.proposed = True
        replies = self._send_accept(spec, call, FAST_BALLOT, call.value, quorum, _fast_is_settled)
        result = self._summary(spec, call, replies)
        votes = len(consistent_members(replies))
        if result.decided is None and votes >= self._fast_quorum(len(spec.members)):
            result.decided = call.value
            self._teach(spec, call.key, call.value)
        if result.decided is not None:
            metrics.FAST_BALLOTS.labels("decided").inc()
            return result
        metrics.FAST_BALLOTS.labels("undecided").inc()
        self._after_failed_fast_ballot(spec, call, replies)
        return None

    def _after_failed_fast_ballot(
        self, spec: RecordGroupSpec, call: _Call, replies: dict[str, ReplicaReply]
    ) -> None:
        statuses = {reply.status for reply in replies.values()}
        if len(replies) == len(spec.members) and ReplicaStatus.OK not in statuses:
            # Every copy of the value was refused; calls are delivered at most once.
            call.proposed = False
        unanswered = len(replies) < len(spec.members) and statuses <= {ReplicaStatus.OK}
        if unanswered or statuses & _NOT_VOTING:
            self._no_fast_before = self._clock() + self._options.fast_pause_seconds

    def _may_be_fast(self, spec: RecordGroupSpec) -> bool:
        known = all(node_id in self._incarnations for node_id in spec.members)
        return self._options.fast_ballots and known and self._clock() >= self._no_fast_before

    @staticmethod
    def _fast_quorum(members: int) -> int:
        return members

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
        replies = self._send_accept(spec, call, ballot, value, quorum)
        result = self._summary(spec, call, replies)
        accepted = consistent_members(replies)
        if result.decided is None and len(accepted) >= majority(len(spec.members)):
            result.decided = value
            result.refused = None
            self._teach(spec, call.key, value)
        return result

    def _send_accept(
        self,
        spec: RecordGroupSpec,
        call: _Call,
        ballot: BallotNumber,
        value: bytes,
        quorum: dict[str, int],
        enough: Enough | None = None,
    ) -> dict[str, ReplicaReply]:
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
        return self._gather(spec, call, MessageType.RECORD_ACCEPT, request, tuple(quorum), enough)

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
        fast_enough: Enough | None = None,
    ) -> dict[str, ReplicaReply]:
        needed = majority(len(spec.members))

        def enough(replies: dict[str, ReplicaReply]) -> bool:
            if any(reply.decided for reply in replies.values()):
                return True
            return len(consistent_members(replies)) >= needed

        longest = self._options.call_timeout_seconds
        if fast_enough is not None:
            longest = self._options.fast_wait_seconds
        timeout = max(min(longest, call.deadline - self._clock()), 0.0)
        replies = self._broadcast.gather(
            targets,
            message_type,
            request,
            ReplicaReply,
            timeout,
            fast_enough or enough,
            self._note_incarnation,
        )
        for node_id in [one for one in self._incarnations if one not in spec.members]:
            del self._incarnations[node_id]
        return replies

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
            result.refused = max(refusals, key=lambda reply: reply.wait_ms)
        return result

    def _note_incarnation(self, node_id: str, reply: ReplicaReply) -> None:
        known = self._incarnations.get(node_id, 0)
        self._incarnations[node_id] = max(known, reply.incarnation)

    @staticmethod
    def _highest_accepted(replies: list[ReplicaReply]) -> bytes | None:
        accepted = [reply for reply in replies if reply.accepted is not None]
        if not accepted:
            return None
        highest = max(to_ballot_number(reply.accepted) for reply in accepted)
        values = [reply.value for reply in accepted if to_ballot_number(reply.accepted) == highest]
        # Only the fast ballot can have several; then none was chosen, and any will do.
        return Counter(values).most_common(1)[0][0]

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
