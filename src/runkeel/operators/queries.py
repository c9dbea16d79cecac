"""Runs queries: on this node, and on all others where each has rows of its own."""

from __future__ import annotations

import time
from dataclasses import dataclass

from gevent.pool import Pool

from runkeel.api.interfaces import MachineView, Membership, PeerClient, PeerHandlers
from runkeel.api.machines import MachineKind, MachineState, Member, MemberStatus
from runkeel.errors import RunkeelError
from runkeel.operators import metrics
from runkeel.operators.diagnostics import bad_command
from runkeel.operators.language import parse_statement
from runkeel.operators.local_queries import QueryAnswer, age_ms, find_source
from runkeel.operators.selection import select
from runkeel.operators.sources import QuerySources, Row
from runkeel.operators.statements import Scalar, ShowQuery
from runkeel.wire.generated.common.ttypes import MessageType
from runkeel.wire.generated.operators.ttypes import Cell, QueryReply, QueryRequest

PEER_TIMEOUT_SECONDS = 2.0
PEERS_AT_ONCE = 32
MAXIMUM_ROWS_PER_NODE = 2_000


@dataclass(slots=True)
class _PeerAnswer:
    member: Member
    reply: QueryReply | None


class QueryRunner:
    """Answers queries of operators and of other nodes."""

    def __init__(
        self,
        membership: Membership,
        machines: MachineView,
        peers: PeerClient,
        handlers: PeerHandlers,
        sources: QuerySources,
        peer_timeout_seconds: float = PEER_TIMEOUT_SECONDS,
    ) -> None:
        self._membership = membership
        self._machines = machines
        self._peers = peers
        self._sources = sources
        self._peer_timeout_seconds = peer_timeout_seconds
        handlers.on_call(MessageType.QUERY, QueryRequest, self.handle)

    def run(self, text: str, query: ShowQuery) -> QueryAnswer:
        """Answer a query.

        Raises:
            RunkeelError: BAD_COMMAND.
        """
        source = find_source(self._sources, text, query)
        started_at = time.monotonic()
        rows = select(query, source.columns, source.provider())
        if not source.everywhere:
            return QueryAnswer(source.columns, rows, age_ms(source.columns, rows, started_at))
        answers = self._ask_peers(text)
        truncated = False
        for answer in answers:
            if answer.reply is not None:
                rows.extend(_rows_of(answer.reply, source.columns))
                truncated = truncated or answer.reply.truncated
        rows = select(query, source.columns, rows)
        nodes, zones = self._unreachable(answers)
        age = age_ms(source.columns, rows, started_at)
        return QueryAnswer(source.columns, rows, age, zones, nodes, truncated)

    def handle(self, _peer: str, request: QueryRequest) -> tuple[int, QueryReply]:
        """Answer another node's query from this node's own rows."""
        query = parse_statement(request.query)
        if not isinstance(query, ShowQuery):
            raise bad_command(request.query, 0, "not a query")
        source = find_source(self._sources, request.query, query)
        rows = select(query, source.columns, source.provider())
        reply = QueryReply(
            columns=list(source.columns),
            rows=[[_cell(value) for value in row] for row in rows[:MAXIMUM_ROWS_PER_NODE]],
            truncated=len(rows) > MAXIMUM_ROWS_PER_NODE,
        )
        return MessageType.QUERY_REPLY, reply

    def _ask_peers(self, text: str) -> list[_PeerAnswer]:
        others = [
            member
            for member in self._membership.live_members()
            if member.node_id != self._membership.node_id
        ]
        pool = Pool(PEERS_AT_ONCE)
        return pool.map(lambda member: self._ask_peer(member, text), others)

    def _ask_peer(self, member: Member, text: str) -> _PeerAnswer:
        try:
            reply = self._peers.call(
                member.node_id,
                MessageType.QUERY,
                QueryRequest(text),
                QueryReply,
                self._peer_timeout_seconds,
            )
        except RunkeelError:
            metrics.QUERY_PEER_FAILURES.inc()
            return _PeerAnswer(member, None)
        return _PeerAnswer(member, reply)

    def _unreachable(self, answers: list[_PeerAnswer]) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the nodes that did not answer, and the zones of which none did."""
        reached_zones = {self._membership.zone}
        reached_zones |= {answer.member.zone for answer in answers if answer.reply is not None}
        missing = {answer.member.node_id: answer.member.zone for answer in answers}
        for answer in answers:
            if answer.reply is not None:
                del missing[answer.member.node_id]
        for machine in self._machines.machines(MachineKind.NODE):
            if machine.state is MachineState.LIVE and self._is_missed(machine.machine_id):
                missing[machine.machine_id] = machine.zone
        zones = sorted(set(missing.values()) - reached_zones)
        return tuple(sorted(missing)), tuple(zones)

    def _is_missed(self, node_id: str) -> bool:
        """Return whether a listed node should be live; one that left on purpose is not missed."""
        member = self._membership.member(node_id)
        left = member is not None and member.status is MemberStatus.LEFT
        return not left and not self._membership.is_live(node_id)


def _cell(value: Scalar) -> Cell:
    if isinstance(value, bool):
        return Cell(flag=value)
    if isinstance(value, int):
        return Cell(integer=value)
    if isinstance(value, float):
        return Cell(number=value)
    return Cell(text=value)


def _rows_of(reply: QueryReply, columns: tuple[str, ...]) -> list[Row]:
    """Return a peer's rows in the order of our columns; it may run another release."""
    positions = [
        reply.columns.index(column) if column in reply.columns else None for column in columns
    ]
    return [
        tuple(_scalar(cells[index]) if index is not None else None for index in positions)
        for cells in reply.rows
    ]


def _scalar(cell: Cell) -> Scalar:
    for value in (cell.flag, cell.integer, cell.number, cell.text):
        if value is not None:
            return value
    return None
