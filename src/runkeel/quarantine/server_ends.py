"""Finds out whether a server has ended under a request, or only a connection to it.

A connection that breaks proves nothing: resets, cuts and lost answers break it too. The server has
ended if nobody listens at its address any more, if another one does, if it has started anew under
its id, or if its entry goes without a word of draining while nothing was heard of it.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from runkeel.api.fleet import Backend
from runkeel.backends.http_connection import Reachability
from runkeel.clock import steady_seconds
from runkeel.gateway.backends import BackendState

PROBE_SECONDS = 0.1
"""Longest wait for a new connection to a server that may have ended.

On the users' platform it comes about, or is refused, within 3 ms. Repetitions wait for it.
"""

DOUBT_SECONDS = 10.0
"""A lost connection is explained by news of its server that come within so long.

Entries of servers that crash go after three heartbeats, 3.6 s, and news of it come 2 s later.
"""

MAXIMUM_DOUBTS = 1_024
"""Lost connections whose cause is not known yet; the oldest are given up first."""


class EndEvidence(enum.StrEnum):
    """What showed that a server has ended."""

    REFUSED = "refused"
    """Nobody listens at its address."""
    REPLACED = "replaced"
    """Another server has its address."""
    RESTARTED = "restarted"
    """It has started anew under its id."""
    GONE = "gone"
    """Its entry has gone, and it never said that it drains."""


@dataclass(frozen=True, slots=True)
class LostConnection:
    """A connection that broke while a server ran a request."""

    request_id: str
    fingerprint: str
    service: str
    state: BackendState
    lost_at: float


EndListener = Callable[[LostConnection, EndEvidence], None]
"""Called with each connection that broke as its server ended."""


class ServerEnds:
    """Judges lost connections, at once or by later news of their servers."""

    def __init__(self, on_ended: EndListener) -> None:
        self._on_ended = on_ended
        self._doubts: deque[LostConnection] = deque(maxlen=MAXIMUM_DOUBTS)

    def judge(self, lost: LostConnection, probe: bool = True) -> None:
        """Find out what broke a connection; waits for :data:`PROBE_SECONDS` at the longest.

        Args:
            probe: False where nothing broke, and the server was only silent.
        """
        if lost.state.replaced:
            if not lost.state.backend.draining:
                self._on_ended(lost, EndEvidence.RESTARTED)
            return
        if lost.state.ended:
            self._on_ended(lost, EndEvidence.REFUSED)
            return
        reached = lost.state.pool.probe(PROBE_SECONDS) if probe else Reachability.UNKNOWN
        if reached is Reachability.REFUSED:
            lost.state.note_ended()
            self._on_ended(lost, EndEvidence.REFUSED)
            return
        logger.info(
            "connection lost, its server has not ended as far as is known",
            code="server_doubted",
            request=lost.request_id,
            fingerprint=lost.fingerprint,
            backend=lost.state.incarnation,
            reached=str(reached),
        )
        self._doubts.append(lost)

    def backend_joined(self, backend: Backend) -> None:
        """Take the news of a server: whoever had its address before has ended."""
        if self._doubts:
            self._settle(
                lambda state: (
                    state.incarnation != backend.incarnation
                    and state.backend.address == backend.address
                ),
                EndEvidence.REPLACED,
            )

    def address_taken(self, state: BackendState) -> None:
        """Take note that another server answered at a server's address."""
        if self._doubts:
            self._settle(lambda doubted: doubted is state, EndEvidence.REPLACED)

    def backend_restarted(self, state: BackendState) -> None:
        """Take the news that a server has started anew: what ran at its last start has ended.

        One that drained before has ended as planned.
        """
        if self._doubts and not state.backend.draining:
            self._settle(lambda doubted: doubted is state, EndEvidence.RESTARTED)

    def backend_gone(self, state: BackendState) -> None:
        """Take the news that a server's entry has gone."""
        if self._doubts and not state.backend.draining:
            self._settle(lambda doubted: doubted is state, EndEvidence.GONE)

    def _settle(self, concerned: Callable[[BackendState], bool], evidence: EndEvidence) -> None:
        oldest = steady_seconds() - DOUBT_SECONDS
        doubts = [lost for lost in self._doubts if lost.lost_at > oldest]
        self._doubts.clear()
        for lost in doubts:
            if not concerned(lost.state):
                self._doubts.append(lost)
            elif lost.state.answered_at < lost.lost_at:
                self._on_ended(lost, evidence)
